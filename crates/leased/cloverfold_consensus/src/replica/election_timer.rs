//! Decision: when a replica without a leader asks for votes.
//!
//! Rule: after a random time between the two election timeouts, plus twice the time that the newest sync took. The wait begins anew with
//! every message of a leader, every vote that is granted, every higher term, every pre-vote or election of the replica's own, and every
//! sync of a replica that doesn't lead. The first wait of a replica that starts is a third of that.
//!
//! Inputs: `election_timeout_min` and `election_timeout_max` (ms), the time of the newest sync, a seeded random number.
//!
//! Reason: random timeouts keep candidates apart. A candidate sends its request only after its own vote is synced, and voters answer
//! after their sync: without the allowance for syncs, a disk that takes longer than the timeout keeps a group from ever electing a
//! leader (docs/incidents/5-control-tests-beside-a-sweep.md). Replicas that start often start together, after a loss of power; a
//! leader that is alive isn't disturbed by a pre-vote, so the first wait can be short.

use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::config::ReplicaConfig;

/// Divisor of the first wait. Measured, together with applying at the start what is known to be committed: score of textovka-sk from
/// 0.871 to 0.887, of terugvonst-ops from 0.869 to 0.896 (docs/incidents/2-incident-textovka.md).
const FIRST_WAIT_DIVISOR: u32 = 3;
/// Syncs that take longer don't extend the wait any further. Chosen, not measured.
const MAX_SYNC_TIME: Duration = Duration::from_secs(3);
/// Syncs that an election waits for, one after the other: the candidate's and a voter's, whose disk may be as slow.
const SYNCS_PER_ELECTION: u32 = 2;

/// The time at which a replica asks for votes.
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    min: Duration,
    max: Duration,
    rng: SmallRng,
    /// How long the newest sync took.
    sync_time: Duration,
    due_at: Timestamp,
}

impl ElectionTimer {
    /// Begins the first wait.
    pub(super) fn new(config: &ReplicaConfig, seed: u64, now: Timestamp) -> Self {
        let mut timer = Self {
            min: config.election_timeout_min,
            max: config.election_timeout_max,
            rng: SmallRng::seed_from_u64(seed),
            sync_time: Duration::ZERO,
            due_at: now,
        };
        timer.due_at = now + timer.draw_timeout() / FIRST_WAIT_DIVISOR;
        timer
    }

    /// Begins the wait anew.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.due_at = now + self.draw_timeout() + self.sync_time * SYNCS_PER_ELECTION;
    }

    /// Records how long the newest sync took, for the waits that begin from now on.
    pub(super) fn record_sync_time(&mut self, sync_time: Duration) {
        self.sync_time = sync_time.min(MAX_SYNC_TIME);
    }

    /// Returns whether the wait is over.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at
    }

    fn draw_timeout(&mut self) -> Duration {
        let min = self.min.as_millis() as u64;
        let max = self.max.as_millis() as u64;
        Duration::from_millis(self.rng.random_range(min..=max.max(min)))
    }
}
