//! The state that only the leader of a group has, and its periodic work: reassigning jobs and removing ended ones.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::Term;
use cloverfold_kept_jobs::{DriverTable, JobCommand, JobId, JobTable, KeptJobTimings};

use super::batches::CommandBatches;
use super::reads::ReadRounds;
use super::retention::JobRetention;
use super::watches::JobWatches;

/// Interval at which the leader looks for jobs to hand over; a fifteenth of the wait before a handover.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum age of the cached counts of pending jobs. A quarter of the 2 s by which a count may be outdated when a caller gets it.
const PENDING_COUNT_MAX_AGE: Duration = Duration::from_millis(500);

/// The state of a leader during its term.
pub(super) struct LeaderState {
    pub(super) term: Term,
    pub(super) drivers: DriverTable,
    pub(super) batches: CommandBatches,
    pub(super) reads: ReadRounds,
    /// When this leader learned of each open job.
    pub(super) open_since: HashMap<JobId, Timestamp>,
    pub(super) watches: JobWatches,
    retention: JobRetention,
    handover_at: Timestamp,
    pending: BTreeMap<String, u64>,
    pending_at: Option<Timestamp>,
}

impl LeaderState {
    pub(super) fn new(term: Term, table: &JobTable, now: Timestamp) -> Self {
        let open = table.open().keys();
        Self {
            open_since: open.map(|job| (job.clone(), now)).collect(),
            term,
            drivers: DriverTable::new(KeptJobTimings::default(), now),
            batches: CommandBatches::default(),
            reads: ReadRounds::default(),
            watches: JobWatches::default(),
            retention: JobRetention::default(),
            handover_at: now,
            pending: BTreeMap::new(),
            pending_at: None,
        }
    }

    /// Queues the commands that are due.
    pub(super) fn tick(&mut self, table: &JobTable, retention: Duration, now: Timestamp) {
        if now >= self.handover_at + HANDOVER_CHECK_INTERVAL {
            self.handover_at = now;
            self.hand_over_jobs(table, now);
        }
        self.retention.observe(table.last_end(), now);
        if let Some(end) = self.retention.take_due(retention, now)
            && !self.batches.push(&JobCommand::Expire(end), None)
        {
            // The next removal includes these jobs.
            log::warn!(end; "the command queue is full; ended jobs are removed later");
        }
    }

    fn hand_over_jobs(&mut self, table: &JobTable, now: Timestamp) {
        let assignees = self.drivers.plan_handover(table, now);
        if assignees.is_empty() {
            return;
        }
        let command = JobCommand::Assign(assignees.clone());
        if !self.batches.push(&command, None) {
            let jobs = assignees.iter().map(|assignee| &assignee.job);
            self.drivers.abort_handover(jobs);
        }
    }

    /// Returns the number of jobs of a queue that have not started; `None` while it is unknown.
    pub(super) fn count_pending(
        &mut self,
        table: &JobTable,
        queue: &str,
        now: Timestamp,
    ) -> Option<u64> {
        let is_old = |at: Timestamp| now >= at + PENDING_COUNT_MAX_AGE;
        if self.pending_at.is_none_or(is_old) {
            self.pending = self.drivers.count_pending(table, now)?;
            self.pending_at = Some(now);
        }
        Some(self.pending.get(queue).copied().unwrap_or(0))
    }
}
