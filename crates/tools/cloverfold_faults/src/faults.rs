//! What a proxy does to what passes through it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults on a link, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Added to each packet's way.
    pub delay: Duration,
    /// Up to this much more delay, drawn for each packet, which reorders packets.
    pub jitter: Duration,
    /// Share of packets that are lost.
    pub loss: f64,
    /// Share of packets that come twice.
    pub duplication: f64,
    /// Nothing passes, and nobody is told.
    pub is_silent: bool,
}

impl Faults {
    /// Nothing passes, and nobody is told.
    pub fn silence() -> Self {
        Self {
            is_silent: true,
            ..Self::default()
        }
    }

    /// Draws when each copy of a packet arrives; empty when it is lost.
    pub(crate) fn draw_arrivals(&self) -> Vec<Duration> {
        if self.is_silent || rand::random::<f64>() < self.loss {
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

    /// Takes all faults away.
    pub fn clear(&self) {
        *self.lock() = Rules::default();
    }

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
