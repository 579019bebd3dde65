//! What a dispatcher counts, for the metrics.
//!
//! Owns [`DispatcherCounts`] and relies on nothing.

use crate::messages::RunRefusal;

/// Runs given back without a start, by the reason that their runner gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusedRunCounts {
    /// In the order of [`RunRefusal::ALL`].
    by_reason: [u64; RunRefusal::ALL.len()],
}

impl RefusedRunCounts {
    pub(super) fn record(&mut self, reason: RunRefusal) {
        self.by_reason[reason as usize] += 1;
    }

    /// Returns how many there are in all.
    pub fn total(&self) -> u64 {
        self.by_reason.iter().sum()
    }

    /// Returns each reason with its count.
    pub fn iter(&self) -> impl Iterator<Item = (RunRefusal, u64)> {
        RunRefusal::ALL.into_iter().zip(self.by_reason)
    }
}

/// Counts since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounts {
    /// Runs assigned.
    pub assigned: u64,
    /// Runs given back without a start.
    pub refused_runs: RefusedRunCounts,
    /// Jobs that began while not all their tasks found a target: a job that has begun is no longer refused, and what it uses is lost if
    /// the rest comes late.
    pub partially_started: u64,
    /// Jobs that came again past their objective, so that others went before them.
    pub late_resubmissions: u64,
    /// Runs that ended `failed`.
    pub failed: u64,
    /// Runs whose target or lease was lost.
    pub lost: u64,
    /// Runs that made no progress at their target and were stopped there.
    pub stuck: u64,
    /// Runs withdrawn because they took far longer than expected.
    pub overdue: u64,
    /// Runs withdrawn from a slow target to restart elsewhere.
    pub withdrawn_stragglers: u64,
    /// Runs withdrawn because their caller left or their job was given up.
    pub withdrawn: u64,
    /// Jobs given up because the process was stalled.
    pub stalled: u64,
    /// Times a target was paused.
    pub pauses: u64,
}
