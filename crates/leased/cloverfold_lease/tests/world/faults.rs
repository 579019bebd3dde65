//! Faults: processes die and restart, freeze, and lose connections.

use rand::RngExt;

use cloverfold_lease::Runner;

use super::processes::new_dispatcher;
use super::{CLIENT_TIMEOUT_MS, DISPATCHERS, RESEND_MS, RUNNERS, World};

impl World {
    pub(super) fn inject_faults(&mut self) {
        for index in 0..RUNNERS {
            if self.random_bool(0.0004) {
                self.runners[index].runner = None;
                self.runners[index].starts_at = self.now + self.rng.random_range(100..2_000);
                self.close_links(|key| key.1 == index);
            }
            if self.random_bool(0.0004) {
                self.runners[index].frozen_until = self.now + self.rng.random_range(200..4_000);
            }
            if self.random_bool(0.0003) {
                let downtime = self.rng.random_range(100..1_500);
                let keeps_name = self.rng.random_bool(0.5);
                let arrives_at = self.now + downtime + self.rng.random_range(0..3_000);
                let node = &mut self.runners[index];
                let last = node.target.register(self.now);
                node.late_registrations.push((arrives_at, last));
                node.target.crash(self.now, downtime, keeps_name);
            }
            if self.random_bool(0.0003) {
                self.runners[index].target.disconnected_until =
                    self.now + self.rng.random_range(200..3_000);
            }
        }
        for index in 0..DISPATCHERS {
            if self.random_bool(0.0004) {
                self.kill_dispatcher(index);
            }
            if self.random_bool(0.0004) {
                self.dispatchers[index].frozen_until = self.now + self.rng.random_range(200..4_000);
            }
        }
        let keys: Vec<_> = self.links.keys().copied().collect();
        for key in keys {
            let is_partitioned = self.links[&key].is_partitioned;
            if self.random_bool(if is_partitioned { 0.004 } else { 0.0004 }) {
                self.links.get_mut(&key).unwrap().is_partitioned = !is_partitioned;
            }
        }
    }

    pub(super) fn kill_dispatcher(&mut self, index: usize) {
        let is_unnoticed = self.random_bool(0.4);
        let node = &mut self.dispatchers[index];
        node.dispatcher = None;
        node.starts_at = self.now + self.rng.random_range(100..2_000);
        let unread = std::mem::take(&mut node.unread).into_iter();
        let unread = unread.map(|(client, _)| client);
        let clients = std::mem::take(&mut node.clients).into_values();
        for client in clients.chain(unread) {
            let noticed_at = if is_unnoticed {
                client.sent_at + CLIENT_TIMEOUT_MS
            } else {
                self.now
            };
            self.resends
                .push((noticed_at.max(self.now) + RESEND_MS, client.id));
        }
        if is_unnoticed {
            for (_, link) in self.links.iter_mut().filter(|(key, _)| key.0 == index) {
                link.is_open_at_dispatcher = false;
                link.is_partitioned = true;
            }
        } else {
            self.close_links(|key| key.0 == index);
        }
    }

    pub(super) fn restart_processes(&mut self) {
        for index in 0..RUNNERS {
            let node = &mut self.runners[index];
            if node.runner.is_none() && self.now >= node.starts_at {
                node.runner = Some(Runner::new(self.faults.timings(), 1_000 + self.now));
                node.registered_at = 0;
                node.renewal_due_at = 0;
                self.links.retain(|key, _| key.1 != index);
                self.notify_restarted_runner(index);
            }
        }
        for index in 0..DISPATCHERS {
            let node = &mut self.dispatchers[index];
            if node.dispatcher.is_none() && self.now >= node.starts_at {
                node.dispatcher = Some(new_dispatcher(self.faults, self.now));
                node.frozen_until = 0;
            }
        }
    }
}
