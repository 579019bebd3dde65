//! One process's view of the guards of its cell: their incarnations, phases and loads.
//!
//! The caller provides the reports and the time since the start of the process.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::Capacity;
use crate::placement_policy::{Candidate, PlacementPolicy, choose_placements};
use crate::{GuardId, Incarnation, Placement};

/// Lifecycle phase of a guard, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardPhase {
    /// Started, but not accepting work yet.
    Joining,
    /// Accepting work.
    Live,
    /// Draining: finishes running tasks and accepts no new ones.
    Leaving,
}

/// A guard's report of its own state; a newer report has a larger `(incarnation, sequence)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardReport {
    /// The guard and its incarnation.
    pub placement: Placement,
    /// Sequence number of the report in that incarnation.
    pub sequence: u64,
    /// Phase of the guard.
    pub phase: GuardPhase,
    /// Whether its claim records are complete, so that it can lead.
    pub is_whole: bool,
    /// Tasks at the target.
    pub running: u32,
    /// Tasks that wait for a slot.
    pub queued: u32,
    /// Tasks that can run concurrently.
    pub slots: u32,
    /// Age of the report, summed over the processes that forwarded it.
    pub age: Duration,
}

impl GuardReport {
    fn order(&self) -> (Incarnation, u64) {
        (self.placement.incarnation, self.sequence)
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownGuard {
    report: GuardReport,
    /// When the guard made the report, on this process's monotonic clock.
    reported_at: Duration,
    /// Reported tasks beyond those that this process had in flight there when the report arrived.
    load_of_others: u32,
    /// When the guard was last unreachable, unless it has made a report since.
    suspected_at: Option<Duration>,
}

/// The newest report of each guard, and the tasks that this process has in flight there.
///
/// The process knows its own tasks exactly and needs reports only for the tasks of other coordinators.
#[derive(Clone, Debug, Default)]
pub struct GuardTable {
    guards: BTreeMap<GuardId, KnownGuard>,
    in_flight: BTreeMap<GuardId, u32>,
}

impl GuardTable {
    /// Records a report, unless it is not newer than the known one; returns whether the guard has restarted.
    pub fn record_report(&mut self, report: GuardReport, now: Duration) -> bool {
        let guard = report.placement.guard;
        let last = self.guards.get(&guard);
        if last.is_some_and(|last| last.report.order() >= report.order()) {
            return false;
        }
        let is_new_incarnation =
            |last: &KnownGuard| last.report.placement.incarnation != report.placement.incarnation;
        let has_restarted = last.is_some_and(is_new_incarnation);
        let reported_at = now.saturating_sub(report.age);
        // A report from before the suspicion that arrives late does not prove that the guard is reachable.
        let suspected_at = last
            .filter(|_| !has_restarted)
            .and_then(|last| last.suspected_at)
            .filter(|suspected_at| reported_at <= *suspected_at);
        let load = report.running + report.queued;
        let known = KnownGuard {
            report,
            reported_at,
            load_of_others: load.saturating_sub(self.in_flight_at(guard)),
            suspected_at,
        };
        self.guards.insert(guard, known);
        has_restarted
    }

    /// Returns the newest report of each guard with its current age.
    pub fn reports(&self, now: Duration) -> Vec<GuardReport> {
        let guards = self.guards.values();
        guards
            .map(|guard| GuardReport {
                age: now.saturating_sub(guard.reported_at),
                ..guard.report
            })
            .collect()
    }

    /// Returns the newest report of a guard.
    pub fn report_of(&self, guard: GuardId) -> Option<&GuardReport> {
        self.guards.get(&guard).map(|guard| &guard.report)
    }

    /// Returns the number of tasks that this process has in flight at a guard.
    pub fn in_flight_at(&self, guard: GuardId) -> u32 {
        self.in_flight.get(&guard).copied().unwrap_or(0)
    }

    /// Adds a task to those that this process has in flight at a guard.
    pub fn add_in_flight(&mut self, guard: GuardId) {
        *self.in_flight.entry(guard).or_default() += 1;
    }

    /// Removes an ended task from those that this process has in flight at a guard.
    pub fn remove_in_flight(&mut self, guard: GuardId) {
        if let Some(count) = self.in_flight.get_mut(&guard) {
            *count = count.saturating_sub(1);
        }
    }

    /// Places tasks on the guards that have reported within the timeout, and counts them as in flight.
    pub fn place_tasks(
        &mut self,
        policy: PlacementPolicy,
        count: usize,
        now: Duration,
        report_timeout: Duration,
        random_below: impl FnMut(usize) -> usize,
    ) -> Vec<Placement> {
        let mut candidates = self.list_candidates(now, report_timeout);
        let chosen = choose_placements(policy, &mut candidates, count, random_below);
        let placements: Vec<Placement> = chosen
            .into_iter()
            .map(|index| candidates[index].placement)
            .collect();
        for placement in &placements {
            self.add_in_flight(placement.guard);
        }
        placements
    }

    /// Excludes an unreachable guard from new work until a report that it made after `now` arrives.
    pub fn suspect(&mut self, guard: GuardId, now: Duration) {
        if let Some(guard) = self.guards.get_mut(&guard) {
            guard.suspected_at = Some(now);
        }
    }

    /// Returns the first of the given guards that accepts work, has reported within the timeout, and has complete
    /// claim records.
    pub fn find_lead(
        &self,
        order: &[GuardId],
        now: Duration,
        report_timeout: Duration,
    ) -> Option<GuardId> {
        let usable = self.list_candidates(now, report_timeout);
        let can_lead = |guard: &GuardId| {
            let is_usable = usable
                .iter()
                .any(|candidate| candidate.placement.guard == *guard);
            is_usable && self.report_of(*guard).is_some_and(|report| report.is_whole)
        };
        order.iter().copied().find(can_lead)
    }

    /// Returns the slots of the live guards that have reported within the timeout.
    pub fn count_capacity(&self, now: Duration, report_timeout: Duration) -> Capacity {
        let mut capacity = Capacity::default();
        for candidate in self.list_candidates(now, report_timeout) {
            capacity.total += candidate.slots as usize;
            capacity.free += candidate.slots.saturating_sub(candidate.load) as usize;
            capacity.backlog += candidate.load.saturating_sub(candidate.slots) as usize;
        }
        capacity
    }

    /// Returns the live, reachable guards that have reported within the timeout.
    pub fn list_candidates(&self, now: Duration, report_timeout: Duration) -> Vec<Candidate> {
        let usable = self.guards.values().filter(|guard| {
            guard.report.phase == GuardPhase::Live
                && guard.suspected_at.is_none()
                && now.saturating_sub(guard.reported_at) <= report_timeout
        });
        let to_candidate = |guard: &KnownGuard| Candidate {
            placement: guard.report.placement,
            load: self.in_flight_at(guard.report.placement.guard) + guard.load_of_others,
            slots: guard.report.slots,
        };
        usable.map(to_candidate).collect()
    }
}
