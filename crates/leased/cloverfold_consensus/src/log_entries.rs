//! Log entries and snapshots.
//!
//! [`Log`] is the in-memory log of a replica. [`Entry`], [`Payload`] and [`Snapshot`] are also written to disk and sent to other replicas.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::members::Members;

/// Number of a term. Terms increase monotonically and have at most one leader each.
pub type Term = u64;
/// Index of a log entry, starting at 1.
pub type LogIndex = u64;

/// The content of an entry. The order of the variants is the format on disk and on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The no-op that a leader appends at the start of its term.
    Empty,
    /// A command for the replicated state machine.
    Command(Vec<u8>),
    /// A membership change, effective as soon as a replica appends this entry.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

/// The replicated state after applying all entries up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
    /// The encoded replicated state.
    pub state: Vec<u8>,
}

/// A snapshot and the entries that follow it.
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

    /// Returns the term of an entry in the log, or of the last entry that the snapshot includes.
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

    /// Returns at most `max` entries after `index`.
    pub(crate) fn entries_after(&self, index: LogIndex, max: usize) -> Vec<Entry> {
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

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Replaces the entries up to the snapshot's index with the snapshot.
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

    /// Replaces the whole log with a snapshot from another replica.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Returns the newest membership in the log, committed or not, and the index of its entry.
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
