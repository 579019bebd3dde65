//! Counters of a dispatcher, exported as metrics.

use crate::messages::RunRefusal;

/// Number of runs that runners refused to start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusedRunCounts {
    /// In the order of [`RunRefusal::ALL`].
    by_reason: [u64; RunRefusal::ALL.len()],
}

impl RefusedRunCounts {
    pub(super) fn record(&mut self, reason: RunRefusal) {
        self.by_reason[reason as usize] += 1;
    }

    /// Returns the sum over all reasons.
    pub fn total(&self) -> u64 {
        self.by_reason.iter().sum()
    }

    /// Returns all reasons with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (RunRefusal, u64)> {
        RunRefusal::ALL.into_iter().zip(self.by_reason)
    }
}

/// Counts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounts {
    /// Runs assigned.
    pub assigned: u64,
    /// Runs that runners refused to start.
    pub refused_runs: RefusedRunCounts,
    /// Jobs that started although not all of their waiting tasks found a target. Such a job is no longer refused, and its work is wasted if
    /// the remaining tasks are late.
    pub partially_started: u64,
    /// Resubmitted jobs that had already missed their objective and were served after others.
    pub late_resubmissions: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were lost with their target, lease or session.
    pub lost: u64,
    /// Runs that their runner stopped because they made no progress.
    pub stuck: u64,
    /// Runs withdrawn because they took far longer than expected.
    pub overdue: u64,
    /// Runs withdrawn from a slow target to restart on another.
    pub withdrawn_stragglers: u64,
    /// Runs withdrawn for any reason.
    pub withdrawn: u64,
    /// Jobs given up because this process was stalled.
    pub stalled: u64,
    /// Number of pauses of targets.
    pub pauses: u64,
}
