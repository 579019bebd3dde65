//! Resources that tasks use and targets offer.

use serde::{Deserialize, Serialize};

/// Amounts of each resource. Signed, because a target may be overcommitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_milli: i64,
    /// Memory, in megabytes.
    pub memory_mb: i64,
    /// Whole accelerators.
    pub accelerators: i64,
}

impl Resources {
    /// Returns the processor time in cores.
    pub fn cores(&self) -> f64 {
        self.cpu_milli as f64 / 1_000.0
    }

    /// Returns whether `demand` fits into these resources.
    pub fn covers(&self, demand: &Self) -> bool {
        self.cpu_milli >= demand.cpu_milli
            && self.memory_mb >= demand.memory_mb
            && self.accelerators >= demand.accelerators
    }

    /// Returns the distinct amounts that no other one covers. A demand fits any of `all` if and only if it fits one of these.
    pub fn maximal<'a>(all: impl IntoIterator<Item = &'a Self>) -> Vec<Self> {
        let mut maximal: Vec<Self> = Vec::new();
        for amount in all {
            if !maximal.iter().any(|other| other.covers(amount)) {
                maximal.retain(|other| !amount.covers(other));
                maximal.push(*amount);
            }
        }
        maximal
    }

    /// Returns these resources less `taken`.
    pub fn minus(&self, taken: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli - taken.cpu_milli,
            memory_mb: self.memory_mb - taken.memory_mb,
            accelerators: self.accelerators - taken.accelerators,
        }
    }
}
