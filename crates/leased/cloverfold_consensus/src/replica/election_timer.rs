//! The randomized election timer.
//!
//! The timeout is a random duration between `election_timeout_min` and `election_timeout_max`, which avoids split votes, plus twice the
//! duration of the newest sync. Candidate and voter sync a vote before they send it: without this allowance, a group whose disks sync
//! more slowly than the election timeout never elects a leader.
//!
//! The timer restarts on every message of a leader, granted vote, higher term, pre-vote or election of its own, and, on a replica that
//! does not lead, completed sync. The first timeout after a start is shorter: after a power loss all replicas start together and no leader
//! exists, and a live leader is not disturbed by a pre-vote.

use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::config::ReplicaConfig;

/// Divisor of the first timeout after a start.
const FIRST_TIMEOUT_DIVISOR: u32 = 3;
/// Upper bound on the sync time that extends the timeout.
const MAX_SYNC_TIME: Duration = Duration::from_secs(3);
/// Consecutive syncs that an election waits for: the candidate's, then a voter's.
const SYNCS_PER_ELECTION: u32 = 2;

/// Determines when a replica starts an election.
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    min: Duration,
    max: Duration,
    rng: SmallRng,
    /// Duration of the newest sync.
    sync_time: Duration,
    due_at: Timestamp,
}

impl ElectionTimer {
    /// Starts the timer with the shorter first timeout.
    pub(super) fn new(config: &ReplicaConfig, seed: u64, now: Timestamp) -> Self {
        let mut timer = Self {
            min: config.election_timeout_min,
            max: config.election_timeout_max,
            rng: SmallRng::seed_from_u64(seed),
            sync_time: Duration::ZERO,
            due_at: now,
        };
        timer.due_at = now + timer.random_timeout() / FIRST_TIMEOUT_DIVISOR;
        timer
    }

    pub(super) fn restart(&mut self, now: Timestamp) {
        self.due_at = now + self.random_timeout() + self.sync_time * SYNCS_PER_ELECTION;
    }

    /// Records the duration of the newest sync, which extends the timeouts from the next restart on.
    pub(super) fn record_sync_time(&mut self, sync_time: Duration) {
        self.sync_time = sync_time.min(MAX_SYNC_TIME);
    }

    /// Returns whether the timeout has elapsed.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at
    }

    fn random_timeout(&mut self) -> Duration {
        let min = self.min.as_millis() as u64;
        let max = self.max.as_millis() as u64;
        Duration::from_millis(self.rng.random_range(min..=max.max(min)))
    }
}
