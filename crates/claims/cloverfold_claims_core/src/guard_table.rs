//! What one process knows of the guards of its cell: their incarnations, phases and loads.
//!
//! Owns the newest report of each guard and the number of tasks that this process has in flight there. Relies on the
//! caller for reports and for the time, as a span since the start of the process.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::Capacity;
use crate::placement_policy::{Candidate, PlacementPolicy, choose_placements};
use crate::{GuardId, Incarnation, Placement};

/// Phase of a guard, as it reports it itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardPhase {
    /// It runs but accepts no work yet.
    Joining,
    /// It accepts work.
    Live,
    /// It ends what runs and accepts nothing new.
    Leaving,
}

/// What a guard reports of itself; a later report has a larger `(incarnation, sequence)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardReport {
    /// The guard and its incarnation.
    pub placement: Placement,
    /// Number of the report in that incarnation.
    pub sequence: u64,
    /// Phase of the guard.
    pub phase: GuardPhase,
    /// Whether its memory of claims is whole, so that it can lead.
    pub is_whole: bool,
    /// Tasks at the target.
    pub running: u32,
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks that can run at once.
    pub slots: u32,
    /// How long ago the guard made the report, summed over the processes that passed it on.
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
    /// When the guard made the report, by this process's monotonic clock.
    reported_at: Duration,
    /// Tasks that the report shows beyond those that this process had there when it came.
    load_of_others: u32,
    /// When it last could not be reached, unless it made a report after that.
    suspected_at: Option<Duration>,
}

/// The newest report of each guard, and what this process itself has in flight there.
///
/// Its own tasks are known exactly; reports only show the tasks of other coordinators. So a process that places
/// all tasks of a cell needs no report to know the load.
#[derive(Clone, Debug, Default)]
pub struct GuardTable {
    guards: BTreeMap<GuardId, KnownGuard>,
    in_flight: BTreeMap<GuardId, u32>,
}

impl GuardTable {
    /// Records a report, unless a newer one is known; returns whether the guard has restarted.
    pub fn record_report(&mut self, report: GuardReport, now: Duration) -> bool {
        let guard = report.placement.guard;
        let held = self.guards.get(&guard);
        if held.is_some_and(|held| held.report.order() >= report.order()) {
            return false;
        }
        let is_new_incarnation =
            |held: &KnownGuard| held.report.placement.incarnation != report.placement.incarnation;
        let has_restarted = held.is_some_and(is_new_incarnation);
        let reported_at = now.saturating_sub(report.age);
        // A report from before the suspicion, passed on late, does not show that the guard can be reached.
        let suspected_at = held
            .filter(|_| !has_restarted)
            .and_then(|held| held.suspected_at)
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

    /// Lists the newest report of each guard with its present age.
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

    /// Returns the number of tasks that this process has at a guard.
    pub fn in_flight_at(&self, guard: GuardId) -> u32 {
        self.in_flight.get(&guard).copied().unwrap_or(0)
    }

    /// Counts a task that this process sends to a guard.
    pub fn add_in_flight(&mut self, guard: GuardId) {
        *self.in_flight.entry(guard).or_default() += 1;
    }

    /// Counts a task that was charged to a guard as ended.
    pub fn remove_in_flight(&mut self, guard: GuardId) {
        if let Some(count) = self.in_flight.get_mut(&guard) {
            *count = count.saturating_sub(1);
        }
    }

    /// Places tasks on the guards that have reported within the given time, and charges them.
    pub fn place_tasks(
        &mut self,
        policy: PlacementPolicy,
        count: usize,
        now: Duration,
        report_timeout: Duration,
        draw: impl FnMut(usize) -> usize,
    ) -> Vec<Placement> {
        let mut candidates = self.list_candidates(now, report_timeout);
        let chosen = choose_placements(policy, &mut candidates, count, draw);
        let places: Vec<Placement> = chosen
            .into_iter()
            .map(|index| candidates[index].placement)
            .collect();
        for place in &places {
            self.add_in_flight(place.guard);
        }
        places
    }

    /// Excludes a guard that could not be reached from new work until a report that it made after `now` comes.
    pub fn suspect(&mut self, guard: GuardId, now: Duration) {
        if let Some(guard) = self.guards.get_mut(&guard) {
            guard.suspected_at = Some(now);
        }
    }

    /// Finds the first of the given guards that accepts work, has reported within the given time, and is whole.
    pub fn find_lead(
        &self,
        order: &[GuardId],
        now: Duration,
        report_timeout: Duration,
    ) -> Option<GuardId> {
        let usable = self.list_candidates(now, report_timeout);
        let can_lead = |guard: &GuardId| {
            let is_usable = usable.iter().any(|one| one.placement.guard == *guard);
            is_usable && self.report_of(*guard).is_some_and(|report| report.is_whole)
        };
        order.iter().copied().find(can_lead)
    }

    /// Counts the slots of the guards that have reported within the given time.
    pub fn count_capacity(&self, now: Duration, report_timeout: Duration) -> Capacity {
        let mut capacity = Capacity::default();
        for candidate in self.list_candidates(now, report_timeout) {
            capacity.total += candidate.slots as usize;
            capacity.free += candidate.slots.saturating_sub(candidate.load) as usize;
            capacity.backlog += candidate.load.saturating_sub(candidate.slots) as usize;
        }
        capacity
    }

    /// Lists the live guards that have reported within the given time.
    pub fn list_candidates(&self, now: Duration, report_timeout: Duration) -> Vec<Candidate> {
        let usable = self.guards.values().filter(|guard| {
            guard.report.phase == GuardPhase::Live
                && guard.suspected_at.is_none()
                && now.saturating_sub(guard.reported_at) <= report_timeout
        });
        let describe = |guard: &KnownGuard| Candidate {
            placement: guard.report.placement,
            load: self.in_flight_at(guard.report.placement.guard) + guard.load_of_others,
            slots: guard.report.slots,
        };
        usable.map(describe).collect()
    }
}
