//! Parameters of a replica: timeouts, sizes and the number of voters.

use std::time::Duration;

/// Four heartbeats fit into the shortest election timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(350);
/// Twice the shortest election timeout, so that two replicas rarely start elections at the same time.
const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(700);
const MAX_BATCH_ENTRIES: usize = 64;
const COMPACTION_THRESHOLD: usize = 256;
/// Voters of a group that tolerates the loss of one; control processes derive theirs from the setting `tolerated_losses`.
const DEFAULT_VOTERS: usize = 3;
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// Parameters of a replica. All replicas of a group must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// Interval at which a leader contacts every follower, with or without entries.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// Number of log entries that triggers compaction.
    pub compaction_threshold: usize,
    /// Maximum size of the state in one message, in bytes. A longer state is sent in parts, which older builds cannot read. `None` sends
    /// every state whole.
    pub max_snapshot_bytes: Option<usize>,
    /// How long the commit index may wait to be written together with other records. Zero by default, so that a restarted control process
    /// immediately knows and announces what is committed.
    pub commit_delay: Duration,
    /// Target number of voters.
    pub voters: usize,
    /// How long a voter may stay silent before a learner may replace it.
    pub replace_after: Duration,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout_min: ELECTION_TIMEOUT_MIN,
            election_timeout_max: ELECTION_TIMEOUT_MAX,
            max_batch_entries: MAX_BATCH_ENTRIES,
            compaction_threshold: COMPACTION_THRESHOLD,
            max_snapshot_bytes: None,
            commit_delay: Duration::ZERO,
            voters: DEFAULT_VOTERS,
            replace_after: REPLACE_AFTER,
        }
    }
}
