//! The newest known incarnation of each guard.
//!
//! A replica sends it with each reply, so that a proposer does not count the vote of an incarnation that has ended
//! ([`crate::Proposer`]). Owns the numbers by guard; a number never falls. Relies on a later incarnation having a larger
//! number.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{GuardId, Incarnation};

/// The newest known incarnation of each guard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnations(BTreeMap<GuardId, Incarnation>);

impl Incarnations {
    /// Returns the newest incarnation known of a guard, 0 when none is known.
    pub fn newest(&self, guard: GuardId) -> Incarnation {
        self.0.get(&guard).copied().unwrap_or(0)
    }

    /// Records an incarnation of a guard; one that is older than known changes nothing.
    pub fn record(&mut self, guard: GuardId, incarnation: Incarnation) {
        let known = self.0.entry(guard).or_insert(incarnation);
        *known = (*known).max(incarnation);
    }

    /// Returns what is known of the given guards alone.
    pub fn restrict_to(&self, guards: &[GuardId]) -> Self {
        let known = guards
            .iter()
            .filter_map(|guard| Some((*guard, *self.0.get(guard)?)));
        Self(known.collect())
    }
}
