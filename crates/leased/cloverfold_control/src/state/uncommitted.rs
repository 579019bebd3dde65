//! Entries that this process appended as the leader and that are not committed yet.
//!
//! The process that received an operator's call resubmits it every 250 ms until it is decided. This record prevents each retry from
//! becoming another entry.

use std::collections::HashMap;
use std::hash::Hash;

use cloverfold_consensus::LogIndex;

/// The log indexes of uncommitted entries, by their deduplication key.
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
    /// Returns whether the entry with a key was appended and is not committed yet.
    pub(super) fn is_uncommitted(&self, key: &K, commit: LogIndex) -> bool {
        self.indexes.get(key).is_some_and(|&index| index > commit)
    }

    /// Records an appended entry and removes committed ones.
    pub(super) fn record(&mut self, key: K, index: LogIndex, commit: LogIndex) {
        self.indexes.retain(|_, appended| *appended > commit);
        self.indexes.insert(key, index);
    }
}
