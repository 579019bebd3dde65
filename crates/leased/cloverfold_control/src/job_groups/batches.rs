//! Commands on their way into the log of a group (group commit).
//!
//! Decision: which commands become one entry of the log. Rule: one entry at a time is under way; what comes meanwhile becomes the next
//! one, in order, up to [`MAX_ENTRY_BYTES`]. More than [`MAX_WAITING_BYTES`] do not wait. Inputs: the encoded commands. Reason: syncs a
//! second do not grow with jobs, and neither memory nor a message grows without bound.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{LogIndex, Term};
use cloverfold_kept_jobs::JobCommand;

use super::Caller;

/// Bytes of the commands in one entry, at most. Chosen, not measured: eight entries fit into half a frame of a link.
pub(crate) const MAX_ENTRY_BYTES: usize = 512 * 1024;
/// Bytes of the commands that wait, at most. Chosen, not measured: four entries, some 40 ms of a disk that syncs in 9 ms.
const MAX_WAITING_BYTES: usize = 2 * 1024 * 1024;
/// Commands that wait, at most. Chosen, not measured: five seconds' at 850 a second.
const MAX_WAITING: usize = 4_096;

/// A command that waits for its entry.
#[derive(Debug)]
struct WaitingCommand {
    bytes: Vec<u8>,
    caller: Option<Caller>,
}

/// The entry that is under way.
#[derive(Debug)]
struct ProposedEntry {
    index: LogIndex,
    term: Term,
    callers: Vec<Option<Caller>>,
    since: Timestamp,
}

/// Commands of a leader that wait or are under way.
#[derive(Debug, Default)]
pub(super) struct CommandBatches {
    waiting: VecDeque<WaitingCommand>,
    waiting_bytes: usize,
    proposed: Option<ProposedEntry>,
}

impl CommandBatches {
    /// Queues a command; returns `false` if there is no room for it.
    pub(super) fn push(&mut self, command: &JobCommand, caller: Option<Caller>) -> bool {
        let Ok(bytes) = postcard::to_stdvec(command) else {
            log::error!("a command of kept jobs cannot be encoded");
            return false;
        };
        let has_room = self.waiting.len() < MAX_WAITING
            && self.waiting_bytes + bytes.len() <= MAX_WAITING_BYTES
            && bytes.len() <= MAX_ENTRY_BYTES;
        if has_room {
            self.waiting_bytes += bytes.len();
            self.waiting.push_back(WaitingCommand { bytes, caller });
        }
        has_room
    }

    /// Takes the commands of the next entry, if none is under way: its bytes, and who waits for each command.
    pub(super) fn take_next(&mut self) -> Option<(Vec<u8>, Vec<Option<Caller>>)> {
        if self.proposed.is_some() || self.waiting.is_empty() {
            return None;
        }
        let mut commands = Vec::new();
        let mut callers = Vec::new();
        while let Some(next) = self.waiting.front() {
            if commands.len() + next.bytes.len() > MAX_ENTRY_BYTES {
                break;
            }
            self.waiting_bytes -= next.bytes.len();
            commands.extend_from_slice(&next.bytes);
            callers.push(next.caller);
            self.waiting.pop_front();
        }
        // The bytes of a sequence are its length and its elements.
        let mut entry = postcard::to_stdvec(&callers.len()).ok()?;
        entry.append(&mut commands);
        Some((entry, callers))
    }

    /// Records that an entry was appended.
    pub(super) fn mark_proposed(
        &mut self,
        index: LogIndex,
        term: Term,
        callers: Vec<Option<Caller>>,
        since: Timestamp,
    ) {
        self.proposed = Some(ProposedEntry {
            index,
            term,
            callers,
            since,
        });
    }

    /// Returns whether the entry under way has not been committed for longer than `limit`.
    pub(super) fn is_stuck(&self, limit: Duration, now: Timestamp) -> bool {
        let proposed = self.proposed.as_ref();
        proposed.is_some_and(|proposed| now > proposed.since + limit)
    }

    /// Returns who waits for the commands of an entry that is committed; nobody if it is not the one under way.
    pub(super) fn take_callers(&mut self, index: LogIndex, term: Term) -> Vec<Option<Caller>> {
        let proposed = self.proposed.take_if(|p| p.index <= index);
        let is_same = |p: &ProposedEntry| p.index == index && p.term == term;
        proposed.filter(is_same).map_or(Vec::new(), |p| p.callers)
    }

    /// Returns who waits for commands that were certainly not appended.
    pub(super) fn take_waiting_callers(&mut self) -> impl Iterator<Item = Caller> + use<> {
        self.waiting_bytes = 0;
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().filter_map(|command| command.caller)
    }
}

/// Decodes the commands of an entry.
pub(super) fn decode_commands(entry: &[u8]) -> Result<Vec<JobCommand>, postcard::Error> {
    postcard::from_bytes(entry)
}
