//! The guards of one cell and the replica group of each key.
//!
//! A cell comes from its settings file and is the same in every process.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{GuardId, SubmissionKey};

/// Failure domain of a guard's box; boxes that share a data hall or a rack can fail together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The guard on the box.
    pub guard: GuardId,
    /// Name of the data hall.
    pub data_hall: String,
    /// Name of the rack, unique in its data hall.
    pub rack: String,
}

/// The guards that replicate claims and run tasks together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    locations: Vec<Location>,
    group_size: usize,
    lead: Option<GuardId>,
}

impl Cell {
    /// Builds a cell in which `group_size` guards replicate each key.
    pub fn new(locations: Vec<Location>, group_size: usize) -> Self {
        Self {
            locations,
            group_size,
            lead: None,
        }
    }

    /// Makes one guard the preferred proposer for every key, so that it knows all tasks in flight in the cell.
    pub fn with_lead(mut self, lead: GuardId) -> Self {
        self.lead = Some(lead);
        self
    }

    /// Returns the location of each guard.
    pub fn locations(&self) -> &[Location] {
        &self.locations
    }

    /// Returns the size of a majority of a replica group.
    pub fn quorum(&self) -> usize {
        quorum_of(self.group_size.min(self.locations.len()))
    }

    /// Returns the guards that replicate a key, the preferred proposer first.
    ///
    /// The lead, where the cell has one, is the preferred proposer. Rendezvous hashing ranks the other guards, so
    /// adding or removing one guard moves only that guard's share of keys. Each next member is the best ranked guard
    /// of an unused data hall, otherwise of an unused rack, otherwise of the rest.
    pub fn choose_replica_group(&self, key: &SubmissionKey) -> Vec<GuardId> {
        let ranked = self.rank_guards(key);
        let mut chosen: Vec<&Location> = Vec::with_capacity(self.group_size);
        while chosen.len() < self.group_size.min(ranked.len()) {
            let Some(next) = choose_next_member(&ranked, &chosen) else {
                break;
            };
            chosen.push(next);
        }
        chosen.iter().map(|location| location.guard).collect()
    }

    fn rank_guards(&self, key: &SubmissionKey) -> Vec<&Location> {
        let mut ranked: Vec<&Location> = self.locations.iter().collect();
        ranked.sort_by_cached_key(|location| {
            let is_lead = self.lead == Some(location.guard);
            std::cmp::Reverse((is_lead, score_guard(key, location.guard)))
        });
        ranked
    }
}

/// Returns the size of a majority of `members`.
pub fn quorum_of(members: usize) -> usize {
    members / 2 + 1
}

fn score_guard(key: &SubmissionKey, guard: GuardId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key);
    hasher.write_u16(guard);
    hasher.finish()
}

fn choose_next_member<'a>(ranked: &[&'a Location], chosen: &[&Location]) -> Option<&'a Location> {
    let is_free = |next: &Location| chosen.iter().all(|other| other.guard != next.guard);
    let in_new_data_hall =
        |next: &Location| chosen.iter().all(|other| other.data_hall != next.data_hall);
    let in_new_rack = |next: &Location| {
        let shares_rack =
            |other: &&Location| other.data_hall == next.data_hall && other.rack == next.rack;
        !chosen.iter().any(shares_rack)
    };
    let find = |is_preferred: &dyn Fn(&Location) -> bool| {
        let mut candidates = ranked.iter().copied();
        candidates.find(|next| is_free(next) && is_preferred(next))
    };
    find(&in_new_data_hall)
        .or_else(|| find(&in_new_rack))
        .or_else(|| find(&|_| true))
}
