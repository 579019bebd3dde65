//! The faults that a proxy injects, by the source of a packet.
//!
//! Owns the table of a proxy. Relies on the system's random source: runs are not repeatable.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults on a link, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Delay of each packet.
    pub delay: Duration,
    /// Upper bound of a further delay that is drawn for each packet, which reorders packets.
    pub jitter: Duration,
    /// Share of packets that are lost, 0 to 1.
    pub loss: f64,
    /// Share of packets that are delivered twice, 0 to 1.
    pub duplication: f64,
    /// Drops packets and stalls streams without an error at either end.
    pub is_blackholed: bool,
}

impl Faults {
    /// Returns faults that drop all traffic without an error at either end.
    pub fn blackhole() -> Self {
        Self {
            is_blackholed: true,
            ..Self::default()
        }
    }

    /// Draws the delay of each copy of a packet; empty when it is lost.
    pub(crate) fn draw_arrivals(&self) -> Vec<Duration> {
        if self.is_blackholed || rand::random::<f64>() < self.loss {
            return Vec::new();
        }
        let copies = if rand::random::<f64>() < self.duplication {
            2
        } else {
            1
        };
        (0..copies)
            .map(|_| self.delay + self.jitter.mul_f64(rand::random()))
            .collect()
    }
}

#[derive(Debug, Default)]
struct Rules {
    general: Faults,
    by_source: HashMap<SocketAddr, Faults>,
}

/// The present faults of a proxy; clones share one table.
#[derive(Clone, Debug, Default)]
pub struct FaultTable {
    rules: Arc<Mutex<Rules>>,
}

impl FaultTable {
    /// Sets the faults of all sources that have none of their own.
    pub fn set(&self, faults: Faults) {
        self.lock().general = faults;
    }

    /// Sets the faults between one source and what is behind the proxy.
    pub fn set_for(&self, source: SocketAddr, faults: Faults) {
        self.lock().by_source.insert(source, faults);
    }

    /// Removes all faults.
    pub fn clear(&self) {
        *self.lock() = Rules::default();
    }

    /// Returns the faults of a source.
    pub(crate) fn find(&self, source: SocketAddr) -> Faults {
        let rules = self.lock();
        rules
            .by_source
            .get(&source)
            .copied()
            .unwrap_or(rules.general)
    }

    fn lock(&self) -> MutexGuard<'_, Rules> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
