//! What a dispatcher counts, for the metrics.
//!
//! Owns [`DispatcherCounts`] and relies on nothing.

/// Counts since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounts {
    /// Runs assigned.
    pub assigned: u64,
    /// Runs given back without a start.
    pub given_back: u64,
    /// Runs that ended `failed`.
    pub failed: u64,
    /// Runs whose target or lease was lost.
    pub lost: u64,
    /// Runs that made no progress at their target and were stopped there.
    pub stuck: u64,
    /// Runs withdrawn because they took far longer than expected.
    pub overdue: u64,
    /// Runs withdrawn from a slow target to restart elsewhere.
    pub stragglers: u64,
    /// Runs withdrawn because their caller left or their job was given up.
    pub withdrawn: u64,
    /// Jobs given up because the process was stalled.
    pub stalled: u64,
    /// Times a target was paused.
    pub pauses: u64,
}
