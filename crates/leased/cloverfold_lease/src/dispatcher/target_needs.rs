//! Targets that kept jobs need and this entry does not see.
//!
//! An entry sees a subset of the targets, and drives kept jobs for as long as it lives, whatever they need: jobs that it accepted when it saw
//! other targets, and jobs that were handed over to it. It never gives a job back for want of a target, because no other entry may see one
//! either and the job would be handed around. Instead, the process requests the missing targets from the control processes, which connect
//! them to this entry in addition to its subset.
//!
//! A need is requested once no target has met it for [`UNMET_DELAY`], and until no open job has it any more. Withdrawing it as soon as a
//! target is connected would disconnect the target again.
//!
//! There is one need for each combination of service and label, however many jobs have it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::messages::TargetNeed;

/// How long a need must be unmet before it is requested; most restarts and pauses of a target are shorter.
const UNMET_DELAY: Duration = Duration::from_millis(500);
/// Minimum time between two checks of all kept jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of requested needs, which bounds the size of a request. Further needs are requested as others end.
const MAX_REQUESTED: usize = 1_024;

/// The needs of the open kept jobs, as pairs of service and label, and whether targets meet them.
type CurrentNeeds<'a> = BTreeMap<(&'a str, Option<&'a str>), bool>;

/// The unmet needs of the open kept jobs, as of the last check.
#[derive(Debug, Default)]
pub(super) struct TargetNeeds {
    requested: BTreeSet<TargetNeed>,
    /// The needs that no target has met since the time, except requested ones.
    unmet_since: BTreeMap<TargetNeed, Timestamp>,
    checked_at: Option<Timestamp>,
}

impl TargetNeeds {
    /// Records the current needs.
    fn record(&mut self, needs: &CurrentNeeds<'_>, now: Timestamp) {
        let is_current = |need: &TargetNeed| {
            let key = (need.service.as_str(), need.label.as_deref());
            needs.contains_key(&key)
        };
        self.requested.retain(is_current);
        let previous = std::mem::take(&mut self.unmet_since);
        let unmet = needs.iter().filter(|(_, is_met)| !**is_met);
        for ((service, label), _) in unmet {
            let need = TargetNeed {
                service: (*service).into(),
                label: label.map(Into::into),
            };
            if self.requested.contains(&need) {
                continue;
            }
            let since = previous.get(&need).copied().unwrap_or(now);
            if now >= since + UNMET_DELAY && self.requested.len() < MAX_REQUESTED {
                self.requested.insert(need);
            } else {
                self.unmet_since.insert(need, since);
            }
        }
    }
}

impl Dispatcher {
    /// Returns the targets to be requested from the control processes.
    pub fn requested_targets(&self) -> &BTreeSet<TargetNeed> {
        &self.target_needs.requested
    }

    /// Updates the needs of the open kept jobs if the last check is long enough ago.
    pub(super) fn update_target_needs(&mut self, now: Timestamp) {
        let last = self.target_needs.checked_at;
        if last.is_some_and(|at| now < at + CHECK_INTERVAL) {
            return;
        }
        let mut target_needs = std::mem::take(&mut self.target_needs);
        target_needs.checked_at = Some(now);
        target_needs.record(&self.list_needs(now), now);
        self.target_needs = target_needs;
    }

    /// Returns the needs of the unfinished steps of kept jobs. A need is met if each of these steps has a target that could run it.
    fn list_needs(&self, now: Timestamp) -> CurrentNeeds<'_> {
        let mut needs = CurrentNeeds::new();
        for job in self.jobs.values().filter(|job| job.is_kept()) {
            let service = job.request.service.as_str();
            let steps = job.request.steps.iter().enumerate();
            for (_, step) in steps.filter(|(index, _)| job.count_open_in_step(*index) > 0) {
                let is_met = needs
                    .entry((service, step.required_label.as_deref()))
                    .or_insert(true);
                *is_met = *is_met && self.has_capable_target(service, step, now);
            }
        }
        needs
    }
}
