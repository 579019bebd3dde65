//! Batching of linearizable reads.
//!
//! Each read requires a round of messages to a majority. At most one round is in flight; it serves the calls that arrived before it
//! started, because it confirms leadership only for the time after its start. Later calls wait for the next round.

use cloverfold_consensus::ReadToken;
use cloverfold_kept_jobs::{DriverId, JobId};

use super::Caller;

/// A call that waits for a round.
#[derive(Debug)]
pub(super) struct WaitingRead {
    pub(super) caller: Caller,
    pub(super) read: ReadRequest,
}

/// The content of a read.
#[derive(Debug)]
pub(super) enum ReadRequest {
    /// The phase of a job.
    Show(JobId),
    /// The number of jobs of a queue that have not started.
    CountPending(String),
    /// The reply to the last renewal of a driver.
    Renewal(DriverId),
}

/// The pending reads.
#[derive(Debug, Default)]
pub(super) struct ReadRounds {
    last_token: ReadToken,
    /// Reads that wait for the next round.
    queued: Vec<WaitingRead>,
    /// Reads served by the round in flight.
    in_flight: Vec<WaitingRead>,
}

impl ReadRounds {
    /// Returns the number of pending reads.
    pub(super) fn len(&self) -> usize {
        self.queued.len() + self.in_flight.len()
    }

    /// Queues a read.
    pub(super) fn push(&mut self, read: WaitingRead) {
        self.queued.push(read);
    }

    /// Starts the next round if none is in flight and reads are queued; returns its token.
    pub(super) fn start_next(&mut self) -> Option<ReadToken> {
        if !self.in_flight.is_empty() || self.queued.is_empty() {
            return None;
        }
        self.in_flight = std::mem::take(&mut self.queued);
        self.last_token += 1;
        Some(self.last_token)
    }

    /// Completes a round; returns the reads that it served.
    pub(super) fn finish(&mut self, token: ReadToken) -> Vec<WaitingRead> {
        if token == self.last_token {
            std::mem::take(&mut self.in_flight)
        } else {
            Vec::new()
        }
    }

    pub(super) fn take_all(&mut self) -> impl Iterator<Item = WaitingRead> + use<> {
        let in_flight = std::mem::take(&mut self.in_flight).into_iter();
        in_flight.chain(std::mem::take(&mut self.queued))
    }
}
