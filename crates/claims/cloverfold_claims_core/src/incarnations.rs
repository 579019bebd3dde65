//! The newest known incarnation of each guard.
//!
//! A replica sends it with each reply, so that a proposer ([`crate::Proposer`]) does not count the vote of an
//! incarnation that has ended. Numbers only increase.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{GuardId, Incarnation};

/// The newest known incarnation of each guard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnations(BTreeMap<GuardId, Incarnation>);

impl Incarnations {
    /// Returns the newest known incarnation of a guard, or 0.
    pub fn newest(&self, guard: GuardId) -> Incarnation {
        self.0.get(&guard).copied().unwrap_or(0)
    }

    /// Records an incarnation of a guard; an older one has no effect.
    pub fn record(&mut self, guard: GuardId, incarnation: Incarnation) {
        let known = self.0.entry(guard).or_insert(incarnation);
        *known = (*known).max(incarnation);
    }

    /// Returns the known incarnations of the given guards only.
    pub fn restrict_to(&self, guards: &[GuardId]) -> Self {
        let known = guards
            .iter()
            .filter_map(|guard| Some((*guard, *self.0.get(guard)?)));
        Self(known.collect())
    }
}
