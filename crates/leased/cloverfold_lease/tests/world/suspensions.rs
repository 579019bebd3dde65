//! Suspended boxes: nothing runs there but the target, and when they wake, clocks differ in what they show.

use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::RngExt;

use super::{DISPATCHERS, RUNNERS, World, at};

/// What the clock of a process shows after its box was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspendedClock {
    /// The time went on.
    GoesOn,
    /// As if the box had not been suspended.
    StandsStill,
}

/// The clocks of runners and of dispatchers.
#[derive(Clone, Copy, Debug)]
pub struct SuspendedClocks {
    pub of_runners: SuspendedClock,
    pub of_dispatchers: SuspendedClock,
}

/// The clock of one box.
#[derive(Clone, Copy, Default)]
pub(super) struct BoxClock {
    suspended_since: Option<u64>,
    /// How far it is behind, in milliseconds.
    behind: u64,
}

impl BoxClock {
    /// Returns what a process there reads `now` milliseconds after the start of the world.
    pub(super) fn read(&self, now: u64) -> Timestamp {
        at(now - self.behind)
    }

    /// Wakes the box if it is suspended; returns for how long it was.
    fn wake(&mut self, now: u64, clock: SuspendedClock) -> Option<Duration> {
        let span = now - self.suspended_since.take()?;
        if clock == SuspendedClock::StandsStill {
            self.behind += span;
        }
        Some(Duration::from_millis(span))
    }
}

impl World {
    /// Suspends boxes now and then, and wakes those whose time is over.
    pub(super) fn suspend_boxes(&mut self) {
        let Some(clocks) = self.faults.suspended else {
            return;
        };
        for index in 0..RUNNERS {
            let is_drawn = self.draw(0.0006);
            let span = self.rng.random_range(50..5_000);
            let node = &mut self.runners[index];
            if self.now >= node.frozen_until {
                let woken = node.clock.wake(self.now, clocks.of_runners);
                if let (Some(span), Some(runner)) = (woken, &mut node.runner)
                    && clocks.of_runners == SuspendedClock::GoesOn
                {
                    runner.allow_for_suspension(span);
                    // What follows from a stall does not follow from a suspension.
                    let _ = node.stalls.record_call(node.clock.read(self.now));
                }
                if is_drawn {
                    node.clock.suspended_since = Some(self.now);
                    node.frozen_until = self.now + span;
                    self.suspensions += 1;
                }
            }
        }
        for index in 0..DISPATCHERS {
            let is_drawn = self.draw(0.0006);
            let span = self.rng.random_range(50..5_000);
            let node = &mut self.dispatchers[index];
            if self.now >= node.frozen_until {
                node.clock.wake(self.now, clocks.of_dispatchers);
                if is_drawn {
                    node.clock.suspended_since = Some(self.now);
                    node.frozen_until = self.now + span;
                    self.suspensions += 1;
                }
            }
        }
    }
}
