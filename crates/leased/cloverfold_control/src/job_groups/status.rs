//! Accessors for the status and metrics of a group.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{ReplicaId, ReplicaStatus};
use cloverfold_kept_jobs::{GroupId, JobTable};

use super::GroupHost;
use crate::job_counts::JobCounts;

impl GroupHost {
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        self.host.replica.status().leader
    }

    pub(crate) fn id(&self) -> GroupId {
        self.id
    }

    pub(crate) fn status(&self) -> ReplicaStatus {
        self.host.replica.status()
    }

    /// Returns the jobs after all applied entries.
    pub(crate) fn table(&self) -> &JobTable {
        &self.table
    }

    /// Returns the counters of commands and refused calls.
    pub(crate) fn counts(&self) -> &JobCounts {
        &self.counts
    }

    pub(crate) fn is_leading(&self) -> bool {
        self.leader_state.is_some()
    }

    /// Returns how long this leader has known its oldest open job; zero if this replica does not lead.
    pub(crate) fn oldest_open_age(&self, now: Timestamp) -> Duration {
        let leader_state = self.leader_state.as_ref();
        let since =
            leader_state.and_then(|leader_state| leader_state.open_since.values().min().copied());
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Counts the open jobs whose driver is not alive; zero if this replica does not lead.
    pub(crate) fn count_without_driver(&self, now: Timestamp) -> usize {
        let leader_state = self.leader_state.as_ref();
        leader_state.map_or(0, |l| l.drivers.count_without_driver(&self.table, now))
    }
}
