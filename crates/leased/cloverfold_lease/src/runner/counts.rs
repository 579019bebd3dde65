//! Counters of a runner, which its process exposes as metrics.
//!
//! They start at 0 with the process. No decision depends on them.

/// Events since the start of the process. All counters are monotonic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerCounts {
    /// Runs whose start the target acknowledged or listed.
    pub started: u64,
    /// Start orders that were retried because no answer arrived.
    pub repeated_starts: u64,
    /// Runs lost because the lease lapsed or the target died.
    pub lost: u64,
    /// Runs that the runner ordered to stop.
    pub stopped: u64,
    /// Assignments reported back as not started.
    pub refused: u64,
    /// Sessions that expired because the dispatcher sent no echo in time.
    pub expired_sessions: u64,
    /// Listed runs that this runner did not start, counted once for each list.
    pub orphans: u64,
    /// Runs that were stopped because they made no progress.
    pub stuck: u64,
    /// Times the target was paused because of stuck runs.
    pub pauses: u64,
    /// Listed ends that were skipped because their number was already processed although the run is still open here.
    pub skipped_ends: u64,
    /// Registrations of the target, by verdict.
    pub registrations: RegistrationCounts,
    /// Calls to the target, by kind.
    pub calls: TargetCallCounts,
}

/// Calls to the target since the start of the process, by kind. All counters are monotonic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetCallCounts {
    /// Lease renewals.
    pub renewals: u64,
    /// Renewals that the target answered well before the poll timeout because it had an end to list.
    pub answered_early: u64,
    /// Probes of candidate incarnations.
    pub probes: u64,
    /// Start orders, including retries.
    pub starts: u64,
    /// Stop orders, including retries.
    pub stops: u64,
}

/// Registrations since the start of the process, by verdict. All counters are monotonic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistrationCounts {
    /// Accepted as the newest registration of the target.
    pub accepted: u64,
    /// Ignored because a newer one of the same incarnation arrived earlier.
    pub outdated: u64,
    /// Ignored because their incarnation has ended.
    pub incarnation_ended: u64,
    /// Ignored because they lack the start time that the known incarnation of the target reports.
    pub missing_start_time: u64,
    /// Kept as candidates until a probe shows which incarnation is alive.
    pub candidates: u64,
}

/// The verdict on a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationVerdict {
    /// It is the newest registration of the target.
    Accepted,
    /// It is ignored: a newer one of the same incarnation arrived earlier. Written `overtaken`.
    Outdated,
    /// It is ignored: its incarnation has ended. Written `ended`.
    IncarnationEnded,
    /// It is ignored: it lacks the start time that the known incarnation reports, so another writer sent it. Written `foreign`.
    MissingStartTime,
    /// Its incarnation is probed before it can become the target.
    Candidate,
}

impl RegistrationVerdict {
    /// Returns the stable name that is used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "taken",
            Self::Outdated => "overtaken",
            Self::IncarnationEnded => "ended",
            Self::MissingStartTime => "foreign",
            Self::Candidate => "candidate",
        }
    }
}

impl RegistrationCounts {
    pub(super) fn record(&mut self, verdict: RegistrationVerdict) {
        match verdict {
            RegistrationVerdict::Accepted => self.accepted += 1,
            RegistrationVerdict::Outdated => self.outdated += 1,
            RegistrationVerdict::IncarnationEnded => self.incarnation_ended += 1,
            RegistrationVerdict::MissingStartTime => self.missing_start_time += 1,
            RegistrationVerdict::Candidate => self.candidates += 1,
        }
    }
}

/// Processor use at the target, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorUse {
    /// Capacity offered to dispatchers.
    pub offered: i64,
    /// Capacity registered but not offered: the target is paused, on probation, draining or unresponsive, or its clock is unknown.
    pub held_back: i64,
    /// Demand of runs that were started and whose end is not confirmed.
    pub running: i64,
    /// Demand of runs that wait for free capacity.
    pub waiting: i64,
}
