//! State of one session with a runner and its target.
//!
//! A runner reports its free capacity together with the number of assignments that the report accounts for. The demand of later assignments
//! is subtracted here.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_evacuation::DataHall;

use crate::health::TargetHealth;
use crate::messages::{FreeCapacity, TargetDescription, UsualSpeed};
use crate::resources::Resources;

/// A target whose relative slowness exceeds this factor is used only if no other has free capacity.
const SLOW_TARGET_FACTOR: f64 = 1.7;

/// An open session with a runner.
#[derive(Clone, Debug)]
pub(crate) struct RunnerSession {
    /// Name of the runner's process, which is stable across restarts.
    pub(crate) runner_name: String,
    /// The target, if the runner announced one that accepts work.
    pub(crate) description: Option<TargetDescription>,
    /// The latest report.
    free_capacity: FreeCapacity,
    /// Demands of assignments that `free_capacity` does not account for yet, oldest first.
    unreported: VecDeque<Resources>,
    assignments_sent: u64,
    /// The runner's clock reading that was echoed last.
    pub(crate) last_echo_clock: Option<Timestamp>,
    pub(crate) last_echo_at: Timestamp,
    /// Time of the latest message, plus the duration of each stall of this process since then.
    pub(crate) last_message_at: Timestamp,
    /// Whether the session may have expired at the runner during a stall of this process; cleared by the runner's next heartbeat.
    may_be_expired: bool,
    pub(crate) health: TargetHealth,
    /// Data hall of the runner; `None` if unknown.
    pub(super) data_hall: Option<DataHall>,
    pub(super) is_evacuated: bool,
    /// Whether the runner's build can decode assignments of kept jobs.
    pub(super) supports_kept_jobs: bool,
    /// Whether the runner's build reports the starts of runs.
    pub(super) reports_starts: bool,
    /// Usual speed of the target as reported by the runner.
    pub(super) usual_speed: UsualSpeed,
}

impl RunnerSession {
    /// Returns a new session; its target receives no work before its first heartbeat and announcement.
    pub(crate) fn new(runner_name: &str, health: TargetHealth, now: Timestamp) -> Self {
        Self {
            runner_name: runner_name.into(),
            description: None,
            free_capacity: FreeCapacity::default(),
            unreported: VecDeque::new(),
            assignments_sent: 0,
            last_echo_clock: None,
            last_echo_at: now,
            last_message_at: now,
            may_be_expired: false,
            health,
            data_hall: None,
            is_evacuated: false,
            supports_kept_jobs: false,
            reports_starts: false,
            usual_speed: UsualSpeed::default(),
        }
    }

    /// Returns whether tasks may be assigned to the target.
    pub(crate) fn accepts_work(&self, now: Timestamp) -> bool {
        self.description.is_some()
            && !self.is_evacuated
            && !self.may_be_expired
            && self.last_echo_clock.is_some()
            && self.health.accepts_work(now)
    }

    /// Compensates for a stall of this process that has just ended, so that it does not count as silence of the runner.
    pub(super) fn allow_for_stall(
        &mut self,
        stall: Duration,
        session_timeout: Duration,
        now: Timestamp,
    ) {
        self.last_message_at += stall;
        self.may_be_expired |= now > self.last_echo_at + session_timeout;
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        let description = self.description.as_ref();
        description.is_some_and(|description| description.labels.iter().any(|l| l == label))
    }

    /// Returns the reported free capacity, less the demand of unreported assignments.
    pub(crate) fn free(&self) -> Resources {
        let unreported = self.unreported.iter();
        unreported.fold(self.free_capacity.free, |free, demand| free.minus(demand))
    }

    /// Returns whether this demand fits the total capacity of the target.
    pub(super) fn fits_when_empty(&self, demand: &Resources) -> bool {
        let description = self.description.as_ref();
        description.is_some_and(|description| description.capacity.covers(demand))
    }

    /// Returns the number of processor cores of the target; 0 without a target.
    pub(super) fn cores(&self) -> f64 {
        let description = self.description.as_ref();
        description.map_or(0.0, |description| description.capacity.cores())
    }

    /// Returns the processor time in `resources` as a share of the target's capacity.
    pub(crate) fn cpu_share(&self, resources: &Resources) -> f64 {
        let capacity = self
            .description
            .as_ref()
            .map_or(1, |d| d.capacity.cpu_milli.max(1));
        resources.cpu_milli as f64 / capacity as f64
    }

    /// Returns how long runs on the target currently take, in thousandths of their estimated durations; 0 if unknown.
    pub(crate) fn slowness_permille(&self) -> u32 {
        self.free_capacity.slowness_permille
    }

    /// Returns whether the runner currently knows how fast runs advance. The runner then detects stuck runs itself, by their progress.
    pub(crate) fn is_speed_known(&self) -> bool {
        self.free_capacity.slowness_permille != 0
    }

    /// Returns the current slowness relative to the duration ratio over all targets; 1 if unknown.
    pub(crate) fn relative_slowness(&self, overall_ratio: f64) -> f64 {
        match self.free_capacity.slowness_permille {
            0 => 1.0,
            permille => f64::from(permille) / (1_000.0 * overall_ratio),
        }
    }

    /// Returns how long runs on the target usually take, in thousandths of their estimated durations; 0 if unknown.
    pub(crate) fn usual_slowness_permille(&self) -> u32 {
        self.usual_speed.slowness_permille
    }

    /// Returns whether the target should be used only if no other has free capacity.
    pub(crate) fn is_slow(&self, overall_ratio: f64) -> bool {
        self.relative_slowness(overall_ratio) > SLOW_TARGET_FACTOR
    }

    /// Returns the age of the latest message from the runner.
    pub(crate) fn report_age(&self, now: Timestamp) -> Duration {
        now.saturating_duration_since(self.last_message_at)
    }

    /// Records the demand of an assignment; it counts as used until a report accounts for it.
    pub(crate) fn record_assignment(&mut self, demand: Resources) {
        self.assignments_sent += 1;
        self.unreported.push_back(demand);
    }

    /// Stores a report of the runner and drops the demands that it accounts for.
    pub(crate) fn record_free_capacity(&mut self, reported: FreeCapacity) {
        self.free_capacity = reported;
        let unreported = self
            .assignments_sent
            .saturating_sub(reported.assignments_seen);
        while self.unreported.len() as u64 > unreported {
            self.unreported.pop_front();
        }
    }

    /// Records an echo of the runner's clock, which extends the session.
    pub(crate) fn record_echo(&mut self, clock: Timestamp, now: Timestamp) {
        self.last_echo_clock = Some(clock);
        self.last_echo_at = now;
        self.may_be_expired = false;
    }

    /// Treats the target as full until its runner reports again.
    pub(crate) fn mark_full(&mut self) {
        let free = &mut self.free_capacity.free;
        free.cpu_milli = free.cpu_milli.min(0);
    }

    /// Stores the announced target and returns whether it replaces another incarnation.
    pub(crate) fn record_target(&mut self, description: Option<TargetDescription>) -> bool {
        let is_new = match (&self.description, &description) {
            (Some(old), Some(new)) => old.incarnation != new.incarnation,
            _ => false,
        };
        self.description = description;
        is_new
    }
}
