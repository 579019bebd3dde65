//! The platform's balancer: asks each entry once a second whether it is ready, and hands new connections to those that are in.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::installation::{Installation, Role};
use crate::random::Random;
use crate::record::{Record, lock};

pub struct Balancer {
    /// Misses in a row of each entry.
    misses: Mutex<Vec<u32>>,
    random: Mutex<Random>,
    fronts: Vec<SocketAddr>,
}

impl Balancer {
    pub fn start(
        installation: &Arc<Installation>,
        record: &Arc<Record>,
        is_over: &Arc<AtomicBool>,
    ) -> Arc<Self> {
        let entries = installation.entries;
        let fronts = (0..entries).map(|i| installation.interface(Role::Entry(i)));
        let balancer = Arc::new(Self {
            misses: Mutex::new(vec![0; entries]),
            random: Mutex::new(Random::new(7)),
            fronts: fronts.collect(),
        });
        for entry in 0..entries {
            let (installation, record) = (installation.clone(), record.clone());
            let (balancer, is_over) = (balancer.clone(), is_over.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let is_ready = installation.is_ready(entry);
                    let mut misses = lock(&balancer.misses);
                    let before = misses[entry];
                    misses[entry] = if is_ready { 0 } else { before + 1 };
                    if before == 1 && !is_ready {
                        record.write(&format!("the balancer takes entry-{} out", entry + 1));
                    } else if before >= 2 && is_ready {
                        record.write(&format!("the balancer takes entry-{} in", entry + 1));
                    }
                    drop(misses);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    /// The entry that gets the next connection of a client in a zone, of which each has one node. If that isn't in, one of another zone;
    /// if none is, any. A retry meets another one.
    pub fn pick(&self, zone: usize, not: Option<SocketAddr>) -> SocketAddr {
        let misses = lock(&self.misses);
        let is_in = |entry: usize| misses[entry] < 2;
        let own = zone % self.fronts.len();
        if is_in(own) && Some(self.fronts[own]) != not {
            return self.fronts[own];
        }
        let all = 0..self.fronts.len();
        let mut open: Vec<SocketAddr> = all
            .filter(|entry| is_in(*entry))
            .map(|entry| self.fronts[entry])
            .collect();
        if open.is_empty() {
            open.clone_from(&self.fronts);
        }
        if open.len() > 1 {
            open.retain(|front| Some(*front) != not);
        }
        let at = lock(&self.random).range(0, open.len() as u64 - 1);
        open[at as usize]
    }
}
