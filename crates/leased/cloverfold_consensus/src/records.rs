//! The records that a replica persists, and the state recovered from them.
//!
//! Applying all records of a file in order yields the [`RecoveredState`] from which a replica starts.

use serde::{Deserialize, Serialize};

use crate::log_entries::{Entry, LogIndex, Snapshot, Term};
use crate::members::ReplicaId;

/// A state change that must survive a restart. The order of the variants is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The identity generated for this disk, and whether its process may bootstrap a group.
    Identity {
        /// The identity.
        id: ReplicaId,
        /// Whether the settings declared the first start of the whole installation when the disk was first used.
        may_bootstrap: bool,
    },
    /// The current term and the vote cast in it.
    HardState {
        /// The term.
        term: Term,
        /// The candidate that received the vote, if any.
        voted_for: Option<ReplicaId>,
    },
    /// A log entry.
    Entry(Entry),
    /// Removes all entries from an index on.
    Truncate {
        /// Index of the first removed entry.
        from: LogIndex,
    },
    /// The commit index. No message waits for this record; it lets a restarted replica apply entries before it hears from a leader.
    Commit {
        /// Index of the last committed entry.
        index: LogIndex,
    },
    /// A snapshot; it replaces all entries recorded before it.
    Snapshot(Snapshot),
}

/// The identity of a disk, generated when the disk was first used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskIdentity {
    /// The identity of the replica that uses the disk.
    pub id: ReplicaId,
    /// Whether its process may bootstrap a group.
    pub may_bootstrap: bool,
}

/// The state that a store recovers when it is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The identity of the disk; `None` if the disk is new.
    pub identity: Option<DiskIdentity>,
    /// The current term.
    pub term: Term,
    /// The candidate that received this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// The last recorded commit index; later entries may be committed too.
    pub commit: LogIndex,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::Identity { id, may_bootstrap } => {
                self.identity = Some(DiskIdentity { id, may_bootstrap });
            }
            Record::HardState { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Entry(entry) => {
                self.entries.retain(|known| known.index < entry.index);
                self.entries.push(entry);
            }
            Record::Truncate { from } => self.entries.retain(|known| known.index < from),
            Record::Commit { index } => self.commit = self.commit.max(index),
            Record::Snapshot(snapshot) => {
                self.entries.clear();
                self.snapshot = snapshot;
            }
        }
    }

    /// Returns the minimal list of records that yields this state.
    pub(crate) fn to_records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some(DiskIdentity { id, may_bootstrap }) = self.identity {
            records.push(Record::Identity { id, may_bootstrap });
        }
        records.push(Record::HardState {
            term: self.term,
            voted_for: self.voted_for,
        });
        if self.snapshot.index > 0 {
            records.push(Record::Snapshot(self.snapshot.clone()));
        }
        records.extend(self.entries.iter().cloned().map(Record::Entry));
        records.push(Record::Commit { index: self.commit });
        records
    }
}
