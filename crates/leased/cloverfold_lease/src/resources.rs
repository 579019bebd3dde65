//! What tasks ask for and targets have.

use serde::{Deserialize, Serialize};

/// Amounts of what tasks use; signed, since a target may be asked for more than it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_milli: i64,
    /// Memory in megabytes.
    pub memory_mb: i64,
    /// Whole accelerators.
    pub accelerators: i64,
}

impl Resources {
    /// Says whether `demand` can be taken from these.
    pub fn covers(&self, demand: &Self) -> bool {
        self.cpu_milli >= demand.cpu_milli
            && self.memory_mb >= demand.memory_mb
            && self.accelerators >= demand.accelerators
    }

    /// Returns these without `taken`.
    pub fn minus(&self, taken: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli - taken.cpu_milli,
            memory_mb: self.memory_mb - taken.memory_mb,
            accelerators: self.accelerators - taken.accelerators,
        }
    }

    /// Returns these with `given`.
    pub fn plus(&self, given: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + given.cpu_milli,
            memory_mb: self.memory_mb + given.memory_mb,
            accelerators: self.accelerators + given.accelerators,
        }
    }
}
