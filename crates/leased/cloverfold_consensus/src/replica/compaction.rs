//! Log compaction: a snapshot replaces the applied entries once the log holds `compaction_threshold` entries.
//!
//! This bounds the memory, the file and the start time. A replica that lacks compacted entries receives the snapshot instead.

use super::Replica;
use crate::log_entries::{Entry, LogIndex, Payload, Snapshot, Term};
use crate::members::Members;
use crate::records::Record;

const BOOTSTRAP_INDEX: LogIndex = 1;
const BOOTSTRAP_TERM: Term = 1;

impl Replica {
    /// Bootstraps a new group with the given members and state; does nothing if this replica already has a log.
    ///
    /// The caller must ensure that no group existed before, and that either only one replica bootstraps it or all of them use the same
    /// members and state, so that their logs agree. A replica that lost its disk must come back under a new identity.
    pub fn bootstrap(&mut self, members: Members, state: Vec<u8>) {
        if self.log.last_index() > 0 {
            return;
        }
        let snapshot = Snapshot {
            index: BOOTSTRAP_INDEX,
            term: BOOTSTRAP_TERM,
            members,
            state,
        };
        self.term = self.term.max(snapshot.term);
        self.write_hard_state();
        self.restore_snapshot(snapshot);
    }

    /// Compacts the log up to `index` if it has reached the compaction threshold. The entries up to `index` must be applied, and `state`
    /// must return the state after them.
    pub fn maybe_compact(&mut self, index: LogIndex, state: impl FnOnce() -> Vec<u8>) {
        if self.log.len() < self.config.compaction_threshold || index <= self.log.snapshot.index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.members_at(index),
            state: state(),
        };
        self.log.compact(snapshot.clone());
        self.ready.records.push(Record::Snapshot(snapshot));
        // A snapshot record discards all entry records before it, so the entries after the snapshot must be written again.
        let kept: Vec<Entry> = self.log.entries().cloned().collect();
        self.ready
            .records
            .extend(kept.into_iter().map(Record::Entry));
    }

    fn members_at(&self, index: LogIndex) -> Members {
        let mut members = self.log.snapshot.members.clone();
        for entry in self.log.entries().take_while(|entry| entry.index <= index) {
            if let Payload::Members(newer) = &entry.payload {
                members = newer.clone();
            }
        }
        members
    }

    /// Replaces the whole log with a snapshot and the applied state with the snapshot's state.
    pub(super) fn restore_snapshot(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.sync_progress.reset();
        self.ready.committed.clear();
        self.ready.restored = Some(snapshot.clone());
        self.ready.records.push(Record::Snapshot(snapshot.clone()));
        self.log.restore(snapshot);
    }
}
