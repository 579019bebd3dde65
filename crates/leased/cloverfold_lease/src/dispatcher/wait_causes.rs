//! Why a waiting task finds no target.
//!
//! A pass over the queue places only the jobs of which a target can run some task. For the others this module tells the cause without
//! searching all targets for each of them; see `placement_pass`.

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::job::{Job, QueuePosition};
use crate::dispatcher::placement::{capacity_on, has_reached_limit};
use crate::dispatcher::placement_pass::{CapacityKey, PlacementPass};
use crate::dispatcher::target_index::TargetSet;
use crate::messages::SessionId;
use crate::resources::Resources;

/// Why no target can run a task of a step now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitCause {
    /// No target of the service with the required label accepts work.
    NoTarget,
    /// No such target has free capacity.
    NoCapacity,
    /// All targets with free capacity hold as many tasks of the step as allowed.
    LimitPerTarget,
    /// An earlier run of each waiting task may be in progress.
    EarlierRunOpen,
}

impl Dispatcher {
    /// Returns the waiting jobs of which a target can run a task now, in the order of precedence, and counts the others.
    pub(super) fn list_placeable_jobs(
        &self,
        pass: &mut PlacementPass,
        now: Timestamp,
    ) -> Vec<QueuePosition> {
        if self.waiting.len() == 1 {
            // For one job, the check would only repeat the search for a target.
            return self.waiting.iter().copied().collect();
        }
        let mut placeable = Vec::new();
        for position in &self.waiting {
            let job = self.jobs.get(&position.job);
            match job.and_then(|job| self.find_job_wait_cause(job, pass, now)) {
                Some(cause) => pass.record_waiting(cause),
                None => placeable.push(*position),
            }
        }
        self.sort_by_precedence(placeable, now)
    }

    /// Returns why no target can run any waiting task of a job now, or `None` if one can.
    fn find_job_wait_cause(
        &self,
        job: &Job,
        pass: &mut PlacementPass,
        now: Timestamp,
    ) -> Option<WaitCause> {
        let mut first = None;
        for step in job.waiting_steps() {
            let cause = self.find_wait_cause(job, step, pass, now)?;
            first.get_or_insert(cause);
        }
        first
    }

    /// Returns why no target can run a task of a step now, or `None` if one can.
    pub(super) fn find_wait_cause(
        &self,
        job: &Job,
        step_index: usize,
        pass: &mut PlacementPass,
        now: Timestamp,
    ) -> Option<WaitCause> {
        let step = &job.request.steps[step_index];
        let Some(targets) = self.find_targets(job, step) else {
            return Some(WaitCause::NoTarget);
        };
        let key = self.capacity_key(job, targets, now);
        let capacities = pass.capacities(key, || self.list_usable(targets, key, now));
        if capacities.is_empty() {
            return Some(WaitCause::NoTarget);
        }
        if !capacities.fit(&step.demand) {
            return Some(WaitCause::NoCapacity);
        }
        let limit = step.max_per_target?;
        let assigned = job.count_assigned(step_index);
        let is_at_limit = |session| has_reached_limit(&assigned, session, limit);
        let can_run = capacities.fit_except(&step.demand, is_at_limit);
        (!can_run).then_some(WaitCause::LimitPerTarget)
    }

    /// Like [`Self::find_wait_cause`], but recomputes the free capacities after a search that found no target.
    pub(super) fn find_new_wait_cause(
        &self,
        job: &Job,
        step: usize,
        pass: &mut PlacementPass,
        now: Timestamp,
    ) -> Option<WaitCause> {
        if let Some(targets) = self.find_targets(job, &job.request.steps[step]) {
            pass.forget_capacities(&self.capacity_key(job, targets, now));
        }
        self.find_wait_cause(job, step, pass, now)
    }

    fn capacity_key(&self, job: &Job, targets: &TargetSet, now: Timestamp) -> CapacityKey {
        CapacityKey {
            targets: targets.id,
            headroom: self.headroom_of(job, now),
            is_kept: job.is_kept(),
        }
    }

    /// Returns the targets of a set that accept work, with the free capacity that a task may use.
    fn list_usable(
        &self,
        targets: &TargetSet,
        key: CapacityKey,
        now: Timestamp,
    ) -> Vec<(SessionId, Resources)> {
        let sessions = targets.sessions.iter();
        let usable = sessions.filter_map(|session| {
            let runner = self.sessions.get(session)?;
            let capacity = capacity_on(runner, key.headroom, key.is_kept, now)?;
            Some((*session, capacity.usable))
        });
        usable.collect()
    }
}
