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
