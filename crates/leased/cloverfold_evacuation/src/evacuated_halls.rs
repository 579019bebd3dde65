//! The evacuated data halls as of a revision, as each process knows them.
//!
//! A process adopts the state of a peer only if its revision is higher, so the known state never goes back to an older one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Name of a data hall.
pub type DataHall = String;

/// Revision of the evacuations. It starts at 0 and rises by one with each order that takes effect.
pub type EvacuationRevision = u64;

/// The evacuated data halls. The order of the fields is part of the wire format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// The revision of this state.
    pub revision: EvacuationRevision,
    /// The halls in which no task may start.
    pub halls: BTreeSet<DataHall>,
}

impl EvacuatedHalls {
    /// Returns whether a hall is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains(hall)
    }

    /// Adopts the state of a peer if it is newer. Returns whether it was.
    pub fn update(&mut self, received: Self) -> bool {
        let is_newer = received.revision > self.revision;
        if is_newer {
            *self = received;
        }
        is_newer
    }
}
