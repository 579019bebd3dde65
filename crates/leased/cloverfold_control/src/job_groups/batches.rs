//! Group commit: batches the commands of a group into log entries.
//!
//! At most one entry is in flight. Commands that arrive in the meantime form the next entry, in order and up to [`MAX_ENTRY_BYTES`], so
//! that the rate of syncs does not grow with the rate of jobs. The queue is limited to [`MAX_WAITING_BYTES`] and [`MAX_WAITING_COMMANDS`]
//! commands.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{LogIndex, Term};
use cloverfold_kept_jobs::JobCommand;

use super::Caller;

/// Maximum size of the commands in one entry. Eight entries fit into half a frame of a link.
pub(crate) const MAX_ENTRY_BYTES: usize = 512 * 1024;
/// Maximum size of the queued commands, equal to four entries. A disk that syncs in 9 ms writes them in some 40 ms.
const MAX_WAITING_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of queued commands; five seconds of them at 850 per second.
const MAX_WAITING_COMMANDS: usize = 4_096;

/// Queued commands that are applied together.
#[derive(Debug)]
struct WaitingCommands {
    /// The encoded commands, one after the other.
    bytes: Vec<u8>,
    count: usize,
    /// The caller that gets the outcome of the last command.
    caller: Option<Caller>,
}

/// The entry in flight.
#[derive(Debug)]
struct ProposedEntry {
    index: LogIndex,
    term: Term,
    callers: Vec<Option<Caller>>,
    since: Timestamp,
}

/// The queued commands of a leader and its entry in flight.
#[derive(Debug, Default)]
pub(super) struct CommandBatches {
    waiting: VecDeque<WaitingCommands>,
    waiting_bytes: usize,
    proposed: Option<ProposedEntry>,
}

impl CommandBatches {
    /// Queues a command; returns `false` if the queue is full or the command is too long.
    pub(super) fn push(&mut self, command: &JobCommand, caller: Option<Caller>) -> bool {
        self.push_together(std::slice::from_ref(command), caller)
    }

    /// Queues commands that must be in the same entry; returns `false` if the queue is full or they are too long.
    pub(super) fn push_together(
        &mut self,
        commands: &[JobCommand],
        caller: Option<Caller>,
    ) -> bool {
        let encoded: Result<Vec<Vec<u8>>, _> = commands.iter().map(postcard::to_stdvec).collect();
        let Ok(encoded) = encoded else {
            log::error!("cannot encode a command of kept jobs");
            return false;
        };
        let bytes = encoded.concat();
        let has_room = self.waiting.len() < MAX_WAITING_COMMANDS
            && self.waiting_bytes + bytes.len() <= MAX_WAITING_BYTES
            && bytes.len() <= MAX_ENTRY_BYTES;
        if has_room {
            self.waiting_bytes += bytes.len();
            self.waiting.push_back(WaitingCommands {
                bytes,
                count: commands.len(),
                caller,
            });
        }
        has_room
    }

    /// Takes the next entry if none is in flight: its encoded commands and the caller of each.
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
            callers.extend(std::iter::repeat_n(None, next.count - 1));
            callers.push(next.caller);
            self.waiting.pop_front();
        }
        // Postcard encodes a sequence as its length followed by its elements.
        let mut entry = postcard::to_stdvec(&callers.len()).ok()?;
        entry.append(&mut commands);
        Some((entry, callers))
    }

    /// Records that an entry was appended to the log.
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

    /// Returns whether the entry in flight has been uncommitted for longer than `limit`.
    pub(super) fn is_stuck(&self, limit: Duration, now: Timestamp) -> bool {
        let proposed = self.proposed.as_ref();
        proposed.is_some_and(|proposed| now > proposed.since + limit)
    }

    /// Takes the callers of the commands in a committed entry; empty if the entry is not the one in flight.
    pub(super) fn take_callers(&mut self, index: LogIndex, term: Term) -> Vec<Option<Caller>> {
        let proposed = self.proposed.take_if(|p| p.index <= index);
        let is_same = |p: &ProposedEntry| p.index == index && p.term == term;
        proposed.filter(is_same).map_or(Vec::new(), |p| p.callers)
    }

    /// Discards the queued commands, which were not appended, and returns their callers.
    pub(super) fn take_waiting_callers(&mut self) -> impl Iterator<Item = Caller> + use<> {
        self.waiting_bytes = 0;
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().filter_map(|commands| commands.caller)
    }
}

pub(super) fn decode_commands(entry: &[u8]) -> Result<Vec<JobCommand>, postcard::Error> {
    postcard::from_bytes(entry)
}
