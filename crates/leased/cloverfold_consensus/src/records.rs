//! The records of a replica, and the state that they add up to.
//!
//! [`RecoveredState`] is what a replica starts from; applying all records of a file in order yields it.

use serde::{Deserialize, Serialize};

use crate::log_entries::{Entry, LogIndex, Snapshot, Term};
use crate::members::ReplicaId;

/// A change of the state that must survive a restart. The order of the variants is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The identity that was drawn for this disk, and whether its process may begin a group.
    Identity {
        /// The identity.
        id: ReplicaId,
        /// Whether the operator declared the first start of the whole installation when the disk was first used.
        may_bootstrap: bool,
    },
    /// The term, and who got the vote in it.
    HardState {
        /// The term.
        term: Term,
        /// The vote.
        voted_for: Option<ReplicaId>,
    },
    /// An entry of the log.
    Entry(Entry),
    /// All entries from here on are removed.
    Truncate {
        /// Index of the first removed entry.
        from: LogIndex,
    },
    /// All entries up to here are committed. Nothing waits for this record: it lets a restarted replica apply entries before a leader
    /// sends it the committed index.
    Commit {
        /// Index of the last committed entry.
        index: LogIndex,
    },
    /// The state after all entries up to its index; it replaces all entries that were recorded before it.
    Snapshot(Snapshot),
}

/// The identity of a disk, drawn when it was first used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskIdentity {
    /// The identity of the replica that uses the disk.
    pub id: ReplicaId,
    /// Whether its process may begin a group.
    pub may_bootstrap: bool,
}

/// The state that a store had recorded when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The identity of the disk; `None` if it was never used.
    pub identity: Option<DiskIdentity>,
    /// The current term.
    pub term: Term,
    /// Who got this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// Index up to which all entries are known to be committed; more may be.
    pub commit: LogIndex,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// Applies one record.
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

    /// Returns the fewest records that yield this state.
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
