//! What a process knows of evacuations: which data halls are evacuated, as of which revision.
//!
//! Decision: whether what a peer tells is newer. Rule: a higher revision replaces a lower one, whichever way it came. Reason: an
//! evacuation never reverts at a process that knows of it, as a configuration does not.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Name of a data hall.
pub type DataHall = String;

/// Number of a state of the evacuations; rises by one with each order that is taken. 0 is the state before the first.
pub type EvacuationRevision = u64;

/// The evacuated data halls. The order of the fields is the format on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// The revision that this is.
    pub revision: EvacuationRevision,
    /// The halls in which no task may start.
    pub halls: BTreeSet<DataHall>,
}

impl EvacuatedHalls {
    /// Returns whether a hall is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains(hall)
    }

    /// Takes over what a peer tells if it is newer; returns whether it was.
    pub fn update(&mut self, told: Self) -> bool {
        let is_newer = told.revision > self.revision;
        if is_newer {
            *self = told;
        }
        is_newer
    }
}
