//! Evacuations of data halls. Runners learn of them with a delay, and no task may start in a hall long after its evacuation.
//!
//! Dispatchers are not notified, so the runners alone must prevent such starts.

use std::collections::VecDeque;

use cloverfold_lease::Timings;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{RUNNERS, World, at};

const HALLS: usize = 2;
/// Maximum delay until a running runner learns of a change, in milliseconds.
const MAX_NOTIFICATION_DELAY_MS: u64 = 300;
/// Time after an evacuation within which the last task starts in the hall, in milliseconds: the notification, a freeze as long as a
/// session, the deadline of the last start on a slow clock, and some steps.
const MAX_START_DELAY_MS: u64 = 2_000;

/// The data halls and the changes ordered for them.
pub(super) struct Evacuations {
    rng: SmallRng,
    /// When each evacuated hall was evacuated.
    evacuated_since: [Option<u64>; HALLS],
    next_change_at: u64,
    /// Notifications in flight to each runner, with their times of arrival.
    notifications: [VecDeque<(u64, bool)>; RUNNERS],
}

impl Evacuations {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            evacuated_since: [None; HALLS],
            next_change_at: 500,
            notifications: [const { VecDeque::new() }; RUNNERS],
        }
    }

    /// Begins or ends the evacuation of a random hall and notifies its runners.
    fn toggle_evacuation(&mut self, now: u64) {
        let hall = self.rng.random_range(0..HALLS);
        self.evacuated_since[hall] = match self.evacuated_since[hall] {
            None => Some(now),
            Some(_) => None,
        };
        for runner in (0..RUNNERS).filter(|runner| runner % HALLS == hall) {
            let arrives_at = now + self.rng.random_range(0..=MAX_NOTIFICATION_DELAY_MS);
            let last = self.notifications[runner].back().map_or(0, |(at, _)| *at);
            let notification = (arrives_at.max(last), self.evacuated_since[hall].is_some());
            self.notifications[runner].push_back(notification);
        }
        self.next_change_at = now + self.rng.random_range(500..4_000);
    }
}

impl World {
    /// Makes due changes and delivers notifications to running runners.
    pub(super) fn evacuate_halls(&mut self) {
        let now = self.now;
        let Some(evacuations) = &mut self.evacuations else {
            return;
        };
        if now >= evacuations.next_change_at {
            evacuations.toggle_evacuation(now);
        }
        for (notifications, node) in evacuations.notifications.iter_mut().zip(&mut self.runners) {
            let Some(runner) = &mut node.runner else {
                continue;
            };
            if now < node.frozen_until {
                continue;
            }
            while let Some((_, is_evacuated)) = notifications.pop_front_if(|(at, _)| *at <= now) {
                runner.set_evacuated(is_evacuated, at(now));
            }
        }
    }

    /// Tells a restarted runner whether its hall is evacuated: its first links carry that before any work.
    pub(super) fn notify_restarted_runner(&mut self, index: usize) {
        if let Some(evacuations) = &self.evacuations
            && let Some(runner) = &mut self.runners[index].runner
        {
            let is_evacuated = evacuations.evacuated_since[index % HALLS].is_some();
            runner.set_evacuated(is_evacuated, at(self.now));
        }
    }

    /// Checks that runs started since the last step were still permitted in their hall.
    pub(super) fn check_evacuated_hall(&self, index: usize, starts: u64) {
        let Some(evacuations) = &self.evacuations else {
            return;
        };
        if let Some(since) = evacuations.evacuated_since[index % HALLS]
            && starts > 0
        {
            let latest_start_at = since + MAX_START_DELAY_MS;
            assert!(
                self.now <= latest_start_at,
                "at {} ms a task starts at runner {index}, whose hall was evacuated at {since} ms",
                self.now
            );
        }
    }
}

#[test]
fn the_start_delay_bound_covers_its_parts() {
    let timings = Timings::default();
    let lease = timings.lease_duration.as_millis() as u64 * 102 / 100;
    let session = timings.session_timeout.as_millis() as u64;
    assert!(MAX_NOTIFICATION_DELAY_MS + session + lease < MAX_START_DELAY_MS);
}
