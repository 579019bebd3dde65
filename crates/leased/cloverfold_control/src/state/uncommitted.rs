//! What this process appended to the log as the leader and what is not committed yet.
//!
//! Owns the places of these entries. The process that received an operator's call submits it again every 250 ms until it is decided;
//! without this record each repetition would become an entry.

use std::collections::HashMap;
use std::hash::Hash;

use cloverfold_consensus::LogIndex;

/// Where entries stand, by what they are recognised by.
#[derive(Debug)]
pub(super) struct UncommittedEntries<K> {
    indexes: HashMap<K, LogIndex>,
}

impl<K> Default for UncommittedEntries<K> {
    fn default() -> Self {
        Self {
            indexes: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> UncommittedEntries<K> {
    /// Returns whether an entry was appended and is not committed yet.
    pub(super) fn is_uncommitted(&self, key: &K, commit: LogIndex) -> bool {
        self.indexes.get(key).is_some_and(|&index| index > commit)
    }

    /// Records an append, and forgets what is committed.
    pub(super) fn record(&mut self, key: K, index: LogIndex, commit: LogIndex) {
        self.indexes.retain(|_, appended| *appended > commit);
        self.indexes.insert(key, index);
    }
}
