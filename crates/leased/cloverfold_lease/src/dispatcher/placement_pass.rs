//! Free capacity during one pass over the queue, and why jobs found none.
//!
//! A pass must find out for thousands of waiting jobs whether any target could run one of their tasks. Checking each job against each target
//! would take too long, and checking only some of the jobs would leave the others waiting for as long as these do. So for each set of
//! targets the pass keeps the free capacities that no other one covers. A demand fits a target of the set if and only if one of these covers
//! it, and there are few of them.
//!
//! Free capacity only shrinks during a pass, so what found no target need not be tried again in it. Known capacities of a set may be too
//! large after an assignment; they are computed anew after a search for a target that they promised has found none.

use std::collections::HashMap;

use crate::dispatcher::headroom::Headroom;
use crate::dispatcher::target_index::TargetSetId;
use crate::dispatcher::wait_causes::WaitCause;
use crate::dispatcher::waiting_jobs::WaitingJobs;
use crate::messages::SessionId;
use crate::resources::Resources;

/// Identifies the targets that a task can use, and how much of their free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CapacityKey {
    /// Targets with the service and the label that the task needs.
    pub(super) targets: TargetSetId,
    pub(super) headroom: Headroom,
    /// Whether only runners count that record the ends of kept jobs.
    pub(super) is_kept: bool,
}

/// Free capacities of a set of targets.
#[derive(Debug)]
pub(super) struct FreeCapacities {
    /// The targets that accept work.
    targets: Vec<(SessionId, Resources)>,
    /// The capacities that no other one covers.
    maximal: Vec<Resources>,
}

impl FreeCapacities {
    fn new(targets: Vec<(SessionId, Resources)>) -> Self {
        let maximal = Resources::maximal(targets.iter().map(|(_, free)| free));
        Self { targets, maximal }
    }

    /// Returns whether no target accepts work.
    pub(super) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns whether a demand fits any target.
    pub(super) fn fit(&self, demand: &Resources) -> bool {
        self.maximal.iter().any(|free| free.covers(demand))
    }

    /// Returns whether a demand fits any target that is not excluded.
    pub(super) fn fit_except(
        &self,
        demand: &Resources,
        is_excluded: impl Fn(SessionId) -> bool,
    ) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(session, free)| free.covers(demand) && !is_excluded(*session))
    }
}

/// State of one pass over the queue.
#[derive(Debug, Default)]
pub(super) struct PlacementPass {
    capacities: HashMap<CapacityKey, FreeCapacities>,
    waiting: WaitingJobs,
}

impl PlacementPass {
    /// Returns whether any free capacities are known.
    pub(super) fn knows_capacities(&self) -> bool {
        !self.capacities.is_empty()
    }

    /// Returns the known free capacities of a set of targets, which `list` lists if there are none.
    pub(super) fn capacities(
        &mut self,
        key: CapacityKey,
        list: impl FnOnce() -> Vec<(SessionId, Resources)>,
    ) -> &FreeCapacities {
        let known = self.capacities.entry(key);
        known.or_insert_with(|| FreeCapacities::new(list()))
    }

    /// Forgets the free capacities of a set of targets, because tasks were assigned since.
    pub(super) fn forget_capacities(&mut self, key: &CapacityKey) {
        self.capacities.remove(key);
    }

    /// Counts a job that remains in the queue.
    pub(super) fn record_waiting(&mut self, cause: WaitCause) {
        self.waiting.record(cause);
    }

    /// Returns the jobs that the pass has left in the queue.
    pub(super) fn waiting(&self) -> WaitingJobs {
        self.waiting
    }
}
