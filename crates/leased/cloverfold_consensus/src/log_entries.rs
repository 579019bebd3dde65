//! Entries of the log, and snapshots in place of its beginning.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::members::Members;

/// Number of one leader's time; rises.
pub type Term = u64;
/// Place in the log, from 1.
pub type LogIndex = u64;

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a leader's first entry.
    Empty,
    /// Something for the state that the log replicates.
    Command(Vec<u8>),
    /// The members from here on.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// The state after all entries up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Place of the last entry in it.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
    /// The replicated state.
    pub state: Vec<u8>,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self {
            snapshot,
            entries: entries.into(),
        }
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries
            .back()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the term of a place that is still known.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns entries after `index`, `most` at the most.
    pub(crate) fn after(&self, index: LogIndex, most: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.snapshot.index) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(most)
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Replaces the entries up to the snapshot's place by it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= snapshot.index)
        {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Replaces everything by a snapshot of another replica.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Returns the newest members in the log, committed or not, and where they stand.
    pub(crate) fn newest_members(&self) -> (LogIndex, &Members) {
        let newest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some((entry.index, members)),
                _ => None,
            });
        newest.unwrap_or((self.snapshot.index, &self.snapshot.members))
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
