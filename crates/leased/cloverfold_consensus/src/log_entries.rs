//! Entries of the log, and the snapshot in place of its beginning.
//!
//! [`Log`] owns the entries that a replica holds in memory; the types around it are written to disk and sent.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::members::Members;

/// Number of a term; each term has at most one leader, and the number only rises.
pub type Term = u64;
/// Index of an entry in the log, from 1.
pub type LogIndex = u64;

/// The content of an entry. The order of the variants is the format on disk and on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a leader's first entry of its term.
    Empty,
    /// A command for the replicated state.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its index.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// The replicated state after all entries up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it contains.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The members after that entry.
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

    /// Returns the term of an entry that is in the log, or is the last of the snapshot.
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

    /// Returns the entries after `index`, at most `max`.
    pub(crate) fn after(&self, index: LogIndex, max: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.snapshot.index) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(max)
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Replaces the entries up to the snapshot's index by it.
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

    /// Returns the newest members in the log, committed or not, and the index of their entry.
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
