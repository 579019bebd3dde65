//! Suspensions of boxes: only the target keeps running, and clocks may differ after the box resumes.

use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::RngExt;

use super::{DISPATCHERS, RUNNERS, World, at};

/// What the clock of a process shows after a suspension of its box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspendedClock {
    /// The clock continued.
    Continues,
    /// The clock stopped during the suspension.
    Stops,
}

/// The clocks of runners and dispatchers.
#[derive(Clone, Copy, Debug)]
pub struct SuspendedClocks {
    pub runners: SuspendedClock,
    pub dispatchers: SuspendedClock,
}

/// The clock of one box.
#[derive(Clone, Copy, Default)]
pub(super) struct BoxClock {
    suspended_since: Option<u64>,
    /// How far it lags behind, in milliseconds.
    lag_ms: u64,
}

impl BoxClock {
    /// Returns the reading of a process on this box `now` milliseconds after the start of the simulation.
    pub(super) fn read(&self, now: u64) -> Timestamp {
        at(now - self.lag_ms)
    }

    /// Resumes the box if it is suspended; returns the length of the suspension.
    fn resume(&mut self, now: u64, clock: SuspendedClock) -> Option<Duration> {
        let span = now - self.suspended_since.take()?;
        if clock == SuspendedClock::Stops {
            self.lag_ms += span;
        }
        Some(Duration::from_millis(span))
    }
}

impl World {
    /// Suspends boxes at random and resumes those whose suspension is over.
    pub(super) fn suspend_boxes(&mut self) {
        let Some(clocks) = self.faults.suspended else {
            return;
        };
        for index in 0..RUNNERS {
            let begins_suspension = self.random_bool(0.0006);
            let span = self.rng.random_range(50..5_000);
            let node = &mut self.runners[index];
            if self.now >= node.frozen_until {
                let resumed = node.clock.resume(self.now, clocks.runners);
                if let (Some(span), Some(runner)) = (resumed, &mut node.runner)
                    && clocks.runners == SuspendedClock::Continues
                {
                    runner.allow_for_suspension(span);
                    // A suspension must not also be handled as a stall.
                    let _ = node.stalls.poll(node.clock.read(self.now));
                }
                if begins_suspension {
                    node.clock.suspended_since = Some(self.now);
                    node.frozen_until = self.now + span;
                    self.suspensions += 1;
                }
            }
        }
        for index in 0..DISPATCHERS {
            let begins_suspension = self.random_bool(0.0006);
            let span = self.rng.random_range(50..5_000);
            let node = &mut self.dispatchers[index];
            if self.now >= node.frozen_until {
                node.clock.resume(self.now, clocks.dispatchers);
                if begins_suspension {
                    node.clock.suspended_since = Some(self.now);
                    node.frozen_until = self.now + span;
                    self.suspensions += 1;
                }
            }
        }
    }
}
