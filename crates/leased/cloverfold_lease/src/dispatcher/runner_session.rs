//! What a dispatcher knows of one runner and its target.
//!
//! Owns [`RunnerSession`]. Relies on the runner to report its free capacity with the number of assignments that it accounts for:
//! what was assigned since is taken off here.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_evacuation::DataHall;

use crate::health::TargetHealth;
use crate::messages::{FreeCapacity, TargetDescription, UsualSpeed};
use crate::resources::Resources;

/// Slowness, against all targets, from which a target is used only when no other has free capacity.
const SLOW_TARGET_FACTOR: f64 = 1.7;

/// A session with one runner.
#[derive(Clone, Debug)]
pub(crate) struct RunnerSession {
    /// Name of the runner's process, the same over its incarnations.
    pub(crate) runner: String,
    /// The target, if it accepts work.
    pub(crate) description: Option<TargetDescription>,
    /// As reported last.
    free_capacity: FreeCapacity,
    /// Demands assigned over this session that `free_capacity` does not account for yet, oldest first.
    unreported: VecDeque<Resources>,
    assignments_sent: u64,
    /// The runner's clock reading that was echoed last.
    pub(crate) last_echo_clock: Option<Timestamp>,
    pub(crate) last_echo_at: Timestamp,
    /// Moved on by the length of each stall of this process.
    pub(crate) last_message_at: Timestamp,
    /// Whether its session may have ended at its side during a stall of this process; its next heartbeat shows that it has not.
    may_be_expired: bool,
    pub(crate) health: TargetHealth,
    /// The data hall the runner stands in; `None` if it does not tell.
    pub(super) data_hall: Option<DataHall>,
    /// Whether that hall is evacuated.
    pub(super) is_evacuated: bool,
    /// Whether the runner's build can read assignments of kept jobs.
    pub(super) supports_kept_jobs: bool,
    /// How fast the target usually is, as the runner has told.
    pub(super) usual_speed: UsualSpeed,
}

impl RunnerSession {
    /// Returns a session over which nothing was received; the target gets no work before its first heartbeat and announcement.
    pub(crate) fn new(runner: &str, health: TargetHealth, now: Timestamp) -> Self {
        Self {
            runner: runner.into(),
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
            usual_speed: UsualSpeed::default(),
        }
    }

    /// Returns whether the target gets work.
    pub(crate) fn accepts_work(&self, now: Timestamp) -> bool {
        self.description.is_some()
            && !self.is_evacuated
            && !self.may_be_expired
            && self.last_echo_clock.is_some()
            && self.health.accepts_work(now)
    }

    /// Allows for a stall of this process that has just ended; a session is valid for `session_span` after the last echo.
    pub(super) fn allow_for_stall(
        &mut self,
        stall: Duration,
        session_span: Duration,
        now: Timestamp,
    ) {
        self.last_message_at += stall;
        self.may_be_expired |= now > self.last_echo_at + session_span;
    }

    /// Returns whether the target runs this service.
    pub(crate) fn serves(&self, service: &str) -> bool {
        let description = self.description.as_ref();
        description.is_some_and(|description| description.service == service)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        let description = self.description.as_ref();
        description.is_some_and(|description| description.labels.iter().any(|l| l == label))
    }

    /// Returns what is free, less what was assigned and is not accounted for.
    pub(crate) fn free(&self) -> Resources {
        let unreported = self.unreported.iter();
        unreported.fold(self.free_capacity.free, |free, demand| free.minus(demand))
    }

    /// Returns whether the target has these resources in all.
    pub(super) fn fits_when_empty(&self, demand: &Resources) -> bool {
        let description = self.description.as_ref();
        description.is_some_and(|description| description.capacity.covers(demand))
    }

    /// Returns the processors of the target, in cores; 0 while there is none.
    pub(super) fn cores(&self) -> f64 {
        let description = self.description.as_ref();
        description.map_or(0.0, |description| description.capacity.cores())
    }

    /// Returns the share of the target's processors that these resources are.
    pub(crate) fn cpu_share(&self, resources: &Resources) -> f64 {
        let capacity = self
            .description
            .as_ref()
            .map_or(1, |d| d.capacity.cpu_milli.max(1));
        resources.cpu_milli as f64 / capacity as f64
    }

    /// Returns how slowly runs advance there, in thousandths of their estimated durations; 0 while it is not known.
    pub(crate) fn slowness_permille(&self) -> u32 {
        self.free_capacity.slowness_permille
    }

    /// Returns whether the runner has seen of late how fast its target's runs advance. It then judges by progress which of them hang.
    pub(crate) fn is_speed_known(&self) -> bool {
        self.free_capacity.slowness_permille != 0
    }

    /// Returns how slowly runs advance there against `usual`, the ratio over all targets; 1 while it is not known.
    pub(crate) fn slowness_against(&self, usual: f64) -> f64 {
        match self.free_capacity.slowness_permille {
            0 => 1.0,
            permille => f64::from(permille) / (1_000.0 * usual),
        }
    }

    /// Returns how long runs usually take there, in thousandths of their estimated durations; 0 while it is not known.
    pub(crate) fn usual_slowness_permille(&self) -> u32 {
        self.usual_speed.slowness_permille
    }

    /// Returns whether the target is used only when no other has free capacity.
    pub(crate) fn is_slow(&self, usual: f64) -> bool {
        self.slowness_against(usual) > SLOW_TARGET_FACTOR
    }

    /// Returns how old the newest message of the runner is.
    pub(crate) fn report_age(&self, now: Timestamp) -> Duration {
        now.saturating_duration_since(self.last_message_at)
    }

    /// Records a demand that was assigned; it counts as used until a report accounts for it.
    pub(crate) fn record_assignment(&mut self, demand: Resources) {
        self.assignments_sent += 1;
        self.unreported.push_back(demand);
    }

    /// Takes over a report; what it accounts for is no longer taken off.
    pub(crate) fn record_free_capacity(&mut self, reported: FreeCapacity) {
        self.free_capacity = reported;
        let unreported = self
            .assignments_sent
            .saturating_sub(reported.assignments_seen);
        while self.unreported.len() as u64 > unreported {
            self.unreported.pop_front();
        }
    }

    /// Records an echo of the runner's clock, which prolongs the session.
    pub(crate) fn record_echo(&mut self, clock: Timestamp, now: Timestamp) {
        self.last_echo_clock = Some(clock);
        self.last_echo_at = now;
        self.may_be_expired = false;
    }

    /// Counts the target as full until its runner reports again.
    pub(crate) fn mark_full(&mut self) {
        let free = &mut self.free_capacity.free;
        free.cpu_milli = free.cpu_milli.min(0);
    }

    /// Records what the target is now, and returns whether it is another incarnation than before.
    pub(crate) fn record_target(&mut self, description: Option<TargetDescription>) -> bool {
        let is_new = match (&self.description, &description) {
            (Some(old), Some(new)) => old.incarnation != new.incarnation,
            _ => false,
        };
        self.description = description;
        is_new
    }
}
