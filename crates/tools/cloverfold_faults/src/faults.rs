//! The faults that a proxy injects, by the source of a packet.
//!
//! Faults use the system's random source, so runs are not reproducible.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults on a link in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Delay of each packet.
    pub delay: Duration,
    /// Upper bound of an additional random delay of each packet, which reorders packets.
    pub jitter: Duration,
    /// Probability that a packet is lost, 0 to 1.
    pub loss: f64,
    /// Probability that a packet is delivered twice, 0 to 1.
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

    /// Returns random delays for the copies of a packet; empty if the packet is lost.
    pub(crate) fn sample_delays(&self) -> Vec<Duration> {
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
    default_faults: Faults,
    by_source: HashMap<SocketAddr, Faults>,
}

/// The current faults of a proxy. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct FaultTable {
    rules: Arc<Mutex<Rules>>,
}

impl FaultTable {
    /// Sets the faults of all sources without their own faults.
    pub fn set(&self, faults: Faults) {
        self.lock().default_faults = faults;
    }

    /// Sets the faults between one source and the process behind the proxy.
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
            .unwrap_or(rules.default_faults)
    }

    fn lock(&self) -> MutexGuard<'_, Rules> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
