//! Counters of a runner, for the metrics of its process.
//!
//! Owns the counts of one runner; nothing is stored, so they begin at 0 with the process. Relies on the other files of the runner to count. No
//! decision depends on them.

/// Counts since the start of the process, by cause. They only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerCounts {
    /// Starts that the target acknowledged or listed.
    pub started: u64,
    /// Starts sent again because no answer came.
    pub repeated_starts: u64,
    /// Runs whose lease lapsed or whose target died.
    pub lost: u64,
    /// Runs that the runner ordered to stop.
    pub stopped: u64,
    /// Assignments given back without a run.
    pub refused: u64,
    /// Sessions that ended because their dispatcher sent no echo in time.
    pub expired_sessions: u64,
    /// Runs found at the target that this runner did not start; each sighting counts.
    pub orphans: u64,
    /// Runs that were stopped because they made no progress.
    pub stuck: u64,
    /// Times the target was paused because of stuck runs.
    pub pauses: u64,
    /// Ends listed under a number that was processed before, of runs that are still open here.
    pub ends_passed_over: u64,
    /// Registrations of the target, by what became of them.
    pub registrations: RegistrationCounts,
    /// Calls to the target, by cause.
    pub calls: TargetCallCounts,
}

/// Calls to the target since the start of the process, by cause. They only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetCallCounts {
    /// Renewals of its lease.
    pub renewals: u64,
    /// Of these, renewals that it answered long before it had to, since it had an end to tell.
    pub answered_early: u64,
    /// Questions whether a candidate is there.
    pub questions: u64,
    /// Starts of runs, also those that are sent again.
    pub starts: u64,
    /// Stops of runs, also those that are sent again.
    pub stops: u64,
}

/// Registrations since the start of the process, by what became of them. They only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistrationCounts {
    /// Taken as the newest word of the target.
    pub taken: u64,
    /// Passed over, since a newer one of the same incarnation came before.
    pub overtaken: u64,
    /// Passed over, since their incarnation is over.
    pub ended: u64,
    /// Passed over, since they leave out when their incarnation started, though the target tells.
    pub foreign: u64,
    /// Kept until the target's address has answered for the incarnation.
    pub candidates: u64,
}

/// What became of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationVerdict {
    /// It is the newest word of the target.
    Taken,
    /// A newer one of the same incarnation came before: it changes nothing.
    Overtaken,
    /// Its incarnation is over: it changes nothing.
    Ended,
    /// It leaves out when its incarnation started, though the target tells: another writer's word, which changes nothing.
    Foreign,
    /// Its incarnation is asked whether it is there.
    Candidate,
}

impl RegistrationVerdict {
    /// Returns the name by which logs and metrics call it; it is part of the outside interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Overtaken => "overtaken",
            Self::Ended => "ended",
            Self::Foreign => "foreign",
            Self::Candidate => "candidate",
        }
    }
}

impl RegistrationCounts {
    /// Counts one registration.
    pub(super) fn record(&mut self, verdict: RegistrationVerdict) {
        match verdict {
            RegistrationVerdict::Taken => self.taken += 1,
            RegistrationVerdict::Overtaken => self.overtaken += 1,
            RegistrationVerdict::Ended => self.ended += 1,
            RegistrationVerdict::Foreign => self.foreign += 1,
            RegistrationVerdict::Candidate => self.candidates += 1,
        }
    }
}

/// How the processors of the target are used, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorUse {
    /// Offered to dispatchers.
    pub offered: i64,
    /// Registered but not offered: the target is paused, on probation, draining, silent, or its clock is not known.
    pub held_back: i64,
    /// Demanded by runs that were started and whose end is not certain.
    pub running: i64,
    /// Demanded by runs that wait here for free capacity.
    pub waiting: i64,
}
