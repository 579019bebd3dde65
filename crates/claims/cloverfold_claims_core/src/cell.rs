//! The guards of one cell and the replica group of a key.
//!
//! Owns nothing that changes: a cell is what its settings file lists, the same in every process.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{GuardId, SubmissionKey};

/// Where a guard's box stands; boxes that share a data hall or a rack can fail together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Number of the guard on the box.
    pub guard: GuardId,
    /// Name of the data hall.
    pub data_hall: String,
    /// Name of the rack, unique in its data hall.
    pub rack: String,
}

/// The guards that may hold claims and run tasks together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    locations: Vec<Location>,
    group_size: usize,
    lead: Option<GuardId>,
}

impl Cell {
    /// Builds a cell whose keys are each held by `group_size` guards.
    pub fn new(locations: Vec<Location>, group_size: usize) -> Self {
        Self {
            locations,
            group_size,
            lead: None,
        }
    }

    /// Makes one guard the first choice for every key, so that it knows all tasks in flight in the cell.
    pub fn with_lead(mut self, lead: GuardId) -> Self {
        self.lead = Some(lead);
        self
    }

    /// Returns where each guard of the cell stands.
    pub fn locations(&self) -> &[Location] {
        &self.locations
    }

    /// Returns the number of replies that make a majority of a group.
    pub fn quorum(&self) -> usize {
        quorum_of(self.group_size.min(self.locations.len()))
    }

    /// Chooses the guards that hold a key, first choice first.
    ///
    /// The lead, where the cell has one, is the first choice. The other guards are ranked by rendezvous hashing,
    /// so the loss or arrival of one guard moves only that guard's share of keys. From the ranking each next
    /// member is taken from a data hall not yet used, then from a rack not yet used, then from the rest.
    pub fn choose_replica_group(&self, key: &SubmissionKey) -> Vec<GuardId> {
        let ranked = self.rank_guards(key);
        let mut chosen: Vec<&Location> = Vec::with_capacity(self.group_size);
        while chosen.len() < self.group_size.min(ranked.len()) {
            let Some(next) = choose_most_separate(&ranked, &chosen) else {
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

fn choose_most_separate<'a>(ranked: &[&'a Location], chosen: &[&Location]) -> Option<&'a Location> {
    let is_free = |one: &Location| chosen.iter().all(|other| other.guard != one.guard);
    let in_new_data_hall =
        |one: &Location| chosen.iter().all(|other| other.data_hall != one.data_hall);
    let in_new_rack = |one: &Location| {
        let shares_rack =
            |other: &&Location| other.data_hall == one.data_hall && other.rack == one.rack;
        !chosen.iter().any(shares_rack)
    };
    let find = |wanted: &dyn Fn(&Location) -> bool| {
        let mut candidates = ranked.iter().copied();
        candidates.find(|one| is_free(one) && wanted(one))
    };
    find(&in_new_data_hall)
        .or_else(|| find(&in_new_rack))
        .or_else(|| find(&|_| true))
}
