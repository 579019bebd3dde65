//! Calls that are answered once it is proved that this replica leads.
//!
//! Decision: which calls share a proof. Rule: one proof is under way at a time and serves the calls that had come before it began; those
//! that come meanwhile wait for the next. Inputs: none. Reason: a proof is a round of messages to the majority, and proves only what
//! was true after it began.

use cloverfold_consensus::ReadToken;
use cloverfold_kept_jobs::{DriverId, JobId};

use super::Caller;

/// A call that waits for a proof.
#[derive(Debug)]
pub(super) struct WaitingRead {
    pub(super) caller: Caller,
    pub(super) read: Read,
}

/// What is answered with a proof.
#[derive(Debug)]
pub(super) enum Read {
    /// How far a job is.
    Show(JobId),
    /// The last renewal of a driver.
    Renewal(DriverId),
}

/// The calls that wait for a proof.
#[derive(Debug, Default)]
pub(super) struct ReadRounds {
    last_token: ReadToken,
    /// They wait for the next proof.
    queued: Vec<WaitingRead>,
    /// They wait for the proof that is under way.
    in_flight: Vec<WaitingRead>,
}

impl ReadRounds {
    /// Returns how many calls wait.
    pub(super) fn len(&self) -> usize {
        self.queued.len() + self.in_flight.len()
    }

    /// Adds a call.
    pub(super) fn push(&mut self, read: WaitingRead) {
        self.queued.push(read);
    }

    /// Begins the next proof if there is none under way and a call waits; returns its token.
    pub(super) fn start_next(&mut self) -> Option<ReadToken> {
        if !self.in_flight.is_empty() || self.queued.is_empty() {
            return None;
        }
        self.in_flight = std::mem::take(&mut self.queued);
        self.last_token += 1;
        Some(self.last_token)
    }

    /// Ends a proof; returns the calls that waited for it.
    pub(super) fn finish(&mut self, token: ReadToken) -> Vec<WaitingRead> {
        if token == self.last_token {
            std::mem::take(&mut self.in_flight)
        } else {
            Vec::new()
        }
    }

    /// Returns all calls that wait.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = WaitingRead> + use<> {
        let in_flight = std::mem::take(&mut self.in_flight).into_iter();
        in_flight.chain(std::mem::take(&mut self.queued))
    }
}
