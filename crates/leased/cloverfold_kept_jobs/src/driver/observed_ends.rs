//! Run ends that guards have reported to this entry.
//!
//! A guard that reaches entries but no control process cannot record its run ends, and its finished jobs would be rerun by another driver.
//! The entry therefore records the reported ends itself, once, if the leader has not dropped a finished job within
//! [`GUARD_RECORD_TIMEOUT`]. Recording an end twice has no effect.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::JobCall;
use crate::commands::TaskEnd;
use crate::driver::Driver;
use crate::groups::GroupId;
use crate::ids::JobId;

/// Time that guards get to record the ends of a finished job. It usually takes them some 30 ms.
const GUARD_RECORD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which an unanswered record is retried; as long as a finished job stays driven.
const RECORD_RETRY_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
pub(super) struct ObservedEnds {
    by_job: BTreeMap<JobId, Vec<TaskEnd>>,
}

impl ObservedEnds {
    fn add(&mut self, end: TaskEnd) {
        let ends = self.by_job.entry(end.job.clone()).or_default();
        ends.push(end);
    }

    fn take(&mut self, job: &str) -> Vec<TaskEnd> {
        self.by_job.remove(job).unwrap_or_default()
    }

    /// Removes the ends of jobs that are no longer driven.
    pub(super) fn retain(&mut self, is_driven: impl Fn(&JobId) -> bool) {
        self.by_job.retain(|job, _| is_driven(job));
    }
}

impl Driver {
    /// Stores a run end that a guard has reported.
    pub fn observe_end(&mut self, end: TaskEnd) {
        if self.driven_epoch(&end.job) == Some(end.epoch)
            && let Some(index) = self.group_index(&end.job)
        {
            self.groups[index].ends.add(end);
        }
    }

    /// Records the ends of finished jobs that their guards have not recorded in time.
    pub(super) fn record_observed_ends(&mut self, now: Timestamp) {
        for index in 0..self.groups.len() {
            let ends = self.take_due(index, now);
            if ends.is_empty() {
                continue;
            }
            let token = self.next_token();
            let call = JobCall::RecordEnds(ends);
            let deadline = Some(now + RECORD_RETRY_TIMEOUT);
            self.calls.add(token, index as GroupId, call, deadline, now);
        }
    }

    fn take_due(&mut self, index: usize, now: Timestamp) -> Vec<TaskEnd> {
        let group = &mut self.groups[index];
        let driven = group.driven.iter();
        let due = driven.filter(|(_, driven)| {
            let finished = driven.finished;
            finished.is_some_and(|finished| now >= finished.at + GUARD_RECORD_TIMEOUT)
        });
        let due: Vec<JobId> = due.map(|(job, _)| job.clone()).collect();
        due.iter().flat_map(|job| group.ends.take(job)).collect()
    }
}
