//! Links between runners and dispatchers, and the messages in flight.

use std::collections::VecDeque;

use cloverfold_lease::{DispatcherMessage, RunnerMessage};
use rand::RngExt;

use super::{DISPATCHERS, RUNNERS, World};

/// Minimum time for which a retired session stays open, in milliseconds.
const MIN_RETIRED_MS: u64 = 500;

/// A link between a dispatcher and a runner.
#[derive(Default)]
pub(super) struct Link {
    pub(super) id: u64,
    pub(super) is_open_at_dispatcher: bool,
    pub(super) is_open_at_runner: bool,
    pub(super) to_dispatcher: VecDeque<(u64, RunnerMessage)>,
    pub(super) to_runner: VecDeque<(u64, DispatcherMessage)>,
    pub(super) is_partitioned: bool,
    /// When the runner retired its session in order to leave the dispatcher.
    retired_at: Option<u64>,
}

impl World {
    pub(super) fn close_links(&mut self, matches: impl Fn(&(usize, usize)) -> bool) {
        let now = self.now;
        let keys: Vec<_> = self
            .links
            .keys()
            .copied()
            .filter(|key| matches(key))
            .collect();
        for key in keys {
            let link = self.links.remove(&key).unwrap();
            if link.is_partitioned {
                // The other side is not notified and has to detect it by timeout.
                self.links.insert(
                    key,
                    Link {
                        is_partitioned: true,
                        ..link
                    },
                );
                continue;
            }
            let node = &mut self.runners[key.1];
            if let Some(runner) = &mut node.runner {
                runner.close_session(link.id, node.clock.read(now));
            }
            let node = &mut self.dispatchers[key.0];
            if let Some(dispatcher) = &mut node.dispatcher {
                dispatcher.close_session(link.id, node.clock.read(now));
            }
        }
    }

    /// Connects runners to dispatchers; a link that one side has closed also closes at the other unless it is partitioned.
    pub(super) fn maintain_links(&mut self) {
        for dispatcher in 0..DISPATCHERS {
            for runner in 0..RUNNERS {
                let runner_now = self.runners[runner].clock.read(self.now);
                let dispatcher_now = self.dispatchers[dispatcher].clock.read(self.now);
                let key = (dispatcher, runner);
                let is_alive = self.runners[runner].runner.is_some()
                    && self.dispatchers[dispatcher].dispatcher.is_some()
                    && self.now >= self.runners[runner].frozen_until
                    && self.now >= self.dispatchers[dispatcher].frozen_until;
                let link = self.links.get(&key);
                let is_open =
                    link.is_some_and(|link| link.is_open_at_dispatcher && link.is_open_at_runner);
                let is_partitioned = link.is_some_and(|link| link.is_partitioned);
                if is_open || is_partitioned || !is_alive {
                    continue;
                }
                if let Some(link) = self.links.remove(&key) {
                    let runner = self.runners[runner].runner.as_mut().unwrap();
                    runner.close_session(link.id, runner_now);
                    let dispatcher = self.dispatchers[dispatcher].dispatcher.as_mut().unwrap();
                    dispatcher.close_session(link.id, dispatcher_now);
                }
                let id = self.next_link;
                self.next_link += 1;
                let open = Link {
                    id,
                    is_open_at_dispatcher: true,
                    is_open_at_runner: true,
                    ..Link::default()
                };
                self.links.insert(key, open);
                let node = self.runners[runner].runner.as_mut().unwrap();
                node.open_session(id, runner_now);
                let name = format!("runner-{runner}");
                let node = self.dispatchers[dispatcher].dispatcher.as_mut().unwrap();
                node.open_session(id, &name, dispatcher_now);
                node.set_supports_kept_jobs(id);
            }
        }
    }

    /// Lets runners leave a dispatcher at random, like a guard that is given other entries: the runner retires the session, lets its runs
    /// end, closes the link after assignments in flight have arrived, and connects again at once.
    pub(super) fn leave_dispatchers(&mut self) {
        let now = self.now;
        let keys: Vec<_> = self.links.keys().copied().collect();
        for key in keys {
            let is_departing = self.faults.has_faults && self.random_bool(0.0005);
            let link = self.links.get_mut(&key).unwrap();
            let node = &mut self.runners[key.1];
            let Some(runner) = &mut node.runner else {
                continue;
            };
            if now < node.frozen_until || !link.is_open_at_runner {
                continue;
            }
            match link.retired_at {
                None if is_departing => {
                    link.retired_at = Some(now);
                    runner.retire_session(link.id, true);
                }
                Some(at) if now >= at + MIN_RETIRED_MS => {
                    if runner.count_session_runs(link.id) == 0 {
                        self.departures += 1;
                        self.close_links(|closed| *closed == key);
                    }
                }
                None | Some(_) => {}
            }
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let keys: Vec<_> = self.links.keys().copied().collect();
        for key in keys {
            let (dispatcher, runner) = key;
            if now >= self.dispatchers[dispatcher].frozen_until {
                self.expire_kept_leases(dispatcher);
            }
            loop {
                let link = self.links.get_mut(&key).unwrap();
                let is_due = link.to_dispatcher.front().is_some_and(|(at, _)| *at <= now);
                let node = &mut self.dispatchers[dispatcher];
                if !is_due
                    || link.is_partitioned
                    || !link.is_open_at_dispatcher
                    || now < node.frozen_until
                {
                    break;
                }
                let (_, message) = link.to_dispatcher.pop_front().unwrap();
                let id = link.id;
                if let Some(dispatcher) = &mut node.dispatcher {
                    dispatcher.receive(id, message, node.clock.read(now));
                }
                self.execute_dispatcher_actions(dispatcher);
            }
            while let Some(link) = self.links.get_mut(&key) {
                let is_due = link.to_runner.front().is_some_and(|(at, _)| *at <= now);
                let node = &mut self.runners[runner];
                if !is_due
                    || link.is_partitioned
                    || !link.is_open_at_runner
                    || now < node.frozen_until
                {
                    break;
                }
                let (_, message) = link.to_runner.pop_front().unwrap();
                let id = link.id;
                if let Some(runner) = &mut node.runner {
                    runner.receive(id, message, node.clock.read(now));
                }
                self.execute_runner_actions(runner);
            }
        }
    }

    pub(super) fn send_to_dispatcher(
        &mut self,
        index: usize,
        session: u64,
        message: RunnerMessage,
    ) {
        let arrives_at = self.now + self.rng.random_range(1..12);
        let link = self
            .links
            .iter_mut()
            .find(|(key, link)| key.1 == index && link.id == session);
        if let Some((_, link)) = link {
            let last = link.to_dispatcher.back().map_or(0, |(at, _)| *at);
            link.to_dispatcher
                .push_back((arrives_at.max(last), message));
        }
    }

    pub(super) fn close_endpoint(&mut self, session: u64, is_dispatcher: bool) {
        if let Some((_, link)) = self.links.iter_mut().find(|(_, link)| link.id == session) {
            if is_dispatcher {
                link.is_open_at_dispatcher = false;
            } else {
                link.is_open_at_runner = false;
            }
        }
    }
}
