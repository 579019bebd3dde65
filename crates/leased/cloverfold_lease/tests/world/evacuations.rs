//! Operators evacuate data halls and take them back; runners hear of it late. No task may start in a hall long after its evacuation.
//!
//! Dispatchers hear of nothing here: what runners do by themselves must be enough.

use std::collections::VecDeque;

use cloverfold_lease::Timings;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{RUNNERS, World, at};

const HALLS: usize = 2;
/// Longest time until a runner that is up hears of an order.
const LONGEST_NEWS_MS: u64 = 300;
/// Time after the order within which the last task starts in the hall: the news, a freeze that no session survives, the deadline of the
/// last start on a clock that is slow, and some steps.
const IN_FORCE_MS: u64 = 2_000;

/// The data halls and what was ordered for them.
pub(super) struct Evacuations {
    rng: SmallRng,
    /// Since when each hall is evacuated.
    since: [Option<u64>; HALLS],
    next_order_at: u64,
    /// What is on its way to each runner, and when it arrives.
    news: [VecDeque<(u64, bool)>; RUNNERS],
}

impl Evacuations {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            since: [None; HALLS],
            next_order_at: 500,
            news: [const { VecDeque::new() }; RUNNERS],
        }
    }

    /// Evacuates a hall or takes it back, and sends word to its runners.
    fn order(&mut self, now: u64) {
        let hall = self.rng.random_range(0..HALLS);
        self.since[hall] = match self.since[hall] {
            None => Some(now),
            Some(_) => None,
        };
        for runner in (0..RUNNERS).filter(|runner| runner % HALLS == hall) {
            let arrives_at = now + self.rng.random_range(0..=LONGEST_NEWS_MS);
            let last = self.news[runner].back().map_or(0, |(at, _)| *at);
            let news = (arrives_at.max(last), self.since[hall].is_some());
            self.news[runner].push_back(news);
        }
        self.next_order_at = now + self.rng.random_range(500..4_000);
    }
}

impl World {
    /// Gives due orders, and brings the news to the runners that are up.
    pub(super) fn evacuate_halls(&mut self) {
        let now = self.now;
        let Some(evacuations) = &mut self.evacuations else {
            return;
        };
        if now >= evacuations.next_order_at {
            evacuations.order(now);
        }
        for (news, node) in evacuations.news.iter_mut().zip(&mut self.runners) {
            let Some(runner) = &mut node.runner else {
                continue;
            };
            if now < node.frozen_until {
                continue;
            }
            while let Some((_, is_evacuated)) = news.pop_front_if(|(at, _)| *at <= now) {
                runner.set_evacuated(is_evacuated, at(now));
            }
        }
    }

    /// A runner that has just started knows what is ordered: its first links tell it before they bring work.
    pub(super) fn tell_restarted_runner(&mut self, index: usize) {
        if let Some(evacuations) = &self.evacuations
            && let Some(runner) = &mut self.runners[index].runner
        {
            let is_evacuated = evacuations.since[index % HALLS].is_some();
            runner.set_evacuated(is_evacuated, at(self.now));
        }
    }

    /// Checks that the runs that began at a target since the last step may have begun.
    pub(super) fn check_hall(&self, index: usize, starts: u64) {
        let Some(evacuations) = &self.evacuations else {
            return;
        };
        if let Some(since) = evacuations.since[index % HALLS]
            && starts > 0
        {
            let in_force_at = since + IN_FORCE_MS;
            assert!(
                self.now <= in_force_at,
                "at {} ms a task starts at {index}, whose hall is evacuated since {since} ms",
                self.now
            );
        }
    }
}

#[test]
fn the_bound_has_room_for_what_it_is_made_of() {
    let timings = Timings::default();
    let lease = timings.lease_duration.as_millis() as u64 * 102 / 100;
    let session = timings.session_timeout.as_millis() as u64;
    assert!(LONGEST_NEWS_MS + session + lease < IN_FORCE_MS);
}
