//! Transfer of snapshots that exceed the maximum message size.
//!
//! The leader sends the state in parts of `max_snapshot_bytes`, all at once and in order. The follower joins consecutive parts and then
//! installs the snapshot as if it had arrived whole. It ignores a part that is out of order; the leader resends all parts after a timeout.

use cloverfold_base::Timestamp;

use super::Replica;
use crate::log_entries::Snapshot;
use crate::members::ReplicaId;
use crate::messages::{InstallSnapshot, Message, SnapshotPart};

impl Replica {
    /// Returns the number of messages that the snapshot takes.
    pub(super) fn count_snapshot_parts(&self) -> u32 {
        let len = self.log.snapshot.state.len();
        let max = self.config.max_snapshot_bytes;
        let parts = max.map_or(1, |max| len.div_ceil(max.max(1)));
        u32::try_from(parts).unwrap_or(u32::MAX).max(1)
    }

    pub(super) fn send_snapshot_parts(&mut self, to: ReplicaId) {
        let Some(max) = self.config.max_snapshot_bytes else {
            return;
        };
        let snapshot = &self.log.snapshot;
        let len = snapshot.state.len() as u64;
        let mut parts = Vec::new();
        for (number, state) in snapshot.state.chunks(max.max(1)).enumerate() {
            parts.push(SnapshotPart {
                term: self.term,
                snapshot: Snapshot {
                    index: snapshot.index,
                    term: snapshot.term,
                    members: snapshot.members.clone(),
                    state: state.to_vec(),
                },
                offset: (number * max) as u64,
                len,
                round: self.leader_state.round,
            });
        }
        for part in parts {
            self.send(to, Message::SnapshotPart(part), false);
        }
    }

    /// Handles a part of a snapshot, and installs the snapshot once all parts have arrived.
    pub(super) fn handle_snapshot_part(
        &mut self,
        from: ReplicaId,
        part: SnapshotPart,
        now: Timestamp,
    ) {
        if !self.accept_leader(from, part.term, now) {
            return;
        }
        let SnapshotPart {
            term,
            snapshot,
            offset,
            len,
            round,
        } = part;
        let Some(whole) = self.append_part(snapshot, offset, len) else {
            return;
        };
        let install = InstallSnapshot {
            term,
            snapshot: whole,
            round,
        };
        self.handle_snapshot(from, install, now);
    }

    /// Adds a part to those received so far; returns the snapshot once it is complete.
    fn append_part(&mut self, part: Snapshot, offset: u64, len: u64) -> Option<Snapshot> {
        let partial = &mut self.follower_state.partial_snapshot;
        if offset == 0 {
            *partial = Some(part);
        } else {
            let joined = partial.as_mut()?;
            let is_same = joined.index == part.index && joined.term == part.term;
            if !is_same || joined.state.len() as u64 != offset {
                return None;
            }
            joined.state.extend(part.state);
        }
        partial.take_if(|joined| joined.state.len() as u64 == len)
    }
}
