//! Stalls of processes, which each process detects by its clock; some simulations also stall all processes at once.

use std::ops::Range;

use cloverfold_lease::is_request_outdated;
use rand::RngExt;

use super::{DISPATCHERS, RUNNERS, World};

/// Length of a stall of all processes, in milliseconds: shorter than the lease of a target.
const GLOBAL_STALL_MS: Range<u64> = 150..500;
/// Minimum time between two such stalls, in milliseconds.
const GLOBAL_STALL_PAUSE_MS: u64 = 1_000;

impl World {
    /// Stalls all processes at once at random; their targets keep running.
    pub(super) fn stall_all_processes(&mut self) {
        let pauses_until = self.dispatchers[0].frozen_until + GLOBAL_STALL_PAUSE_MS;
        if !self.faults.has_global_stalls || self.now < pauses_until || !self.random_bool(0.01) {
            return;
        }
        let until = self.now + self.rng.random_range(GLOBAL_STALL_MS);
        for node in &mut self.runners {
            node.frozen_until = until;
        }
        for node in &mut self.dispatchers {
            node.frozen_until = until;
        }
        self.stalls += 1;
    }

    /// Lets each process detect its stall before any other call; dispatchers then read the requests that arrived meanwhile.
    pub(super) fn detect_stalls(&mut self) {
        for index in 0..RUNNERS {
            let node = &mut self.runners[index];
            let now = node.clock.read(self.now);
            if self.now < node.frozen_until {
                continue;
            }
            if let (Some(stall), Some(runner)) = (node.stalls.poll(now), &mut node.runner) {
                runner.allow_for_stall(stall, now);
                self.execute_runner_actions(index);
            }
        }
        for index in 0..DISPATCHERS {
            let node = &mut self.dispatchers[index];
            let now = node.clock.read(self.now);
            if self.now < node.frozen_until {
                continue;
            }
            let last_call_at = node.last_active_at;
            node.last_active_at = now;
            if let (Some(stall), Some(dispatcher)) = (node.stalls.poll(now), &mut node.dispatcher) {
                dispatcher.allow_for_stall(stall, now);
            }
            if is_request_outdated(last_call_at, now) {
                // Refused: none of their tasks has run, and the clients do not resend them.
                self.dispatchers[index].unread.clear();
            } else {
                self.read_requests(index);
            }
        }
    }
}
