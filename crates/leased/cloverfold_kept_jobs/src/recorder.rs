//! The guard's side: records the ends of kept runs in their groups before the target forgets them.
//!
//! For each group, one batch of at most [`MAX_BATCH_ENDS`] ends is in flight, oldest first. It is resent every [`RETRY_INTERVAL`], through
//! another control process each time, until the group has decided on it. Ends that arrive meanwhile go into the next batch, so the number
//! of calls grows more slowly than the number of ends. Recording is idempotent, so retries are safe.
//!
//! The queue normally holds no more ends than the target retains; [`MAX_QUEUED_ENDS`] bounds it in any case.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{CallToken, JobCall, JobCallMessage, JobReply, JobReplyMessage};
use crate::commands::{EndDecision, TaskEnd};
use crate::driver::CallRoute;
use crate::groups::{GroupId, group_of};

/// Time after which a batch without a decision is resent; more than twice the time of a commit (two disk syncs and four messages).
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of ends in one batch; about 20 KB.
const MAX_BATCH_ENDS: usize = 256;
/// Maximum number of queued ends over all groups, far above what one target retains. Above it, the oldest end is dropped.
const MAX_QUEUED_ENDS: usize = 8_192;

/// An action that the caller of a [`Recorder`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecorderAction {
    /// Send a call to a control process.
    Send(CallRoute, JobCallMessage),
    /// Handle the group's decision on an end.
    Decided(TaskEnd, EndDecision),
}

#[derive(Clone, Copy, Debug)]
struct InFlightBatch {
    token: CallToken,
    /// Number of ends in the batch, taken from the front of the queue.
    ends: usize,
    attempts: u32,
    next_send_at: Timestamp,
}

#[derive(Debug, Default)]
struct GroupQueue {
    waiting: VecDeque<TaskEnd>,
    batch: Option<InFlightBatch>,
    leader: Option<String>,
}

/// Records the ends of a guard's kept runs.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Indexed by group; empty while the number of groups is unknown.
    groups: Vec<GroupQueue>,
    /// Ends that arrived before the number of groups was known.
    unrouted: VecDeque<TaskEnd>,
    last_token: CallToken,
    dropped: u64,
    actions: Vec<RecorderAction>,
}

impl Recorder {
    /// Sets the number of groups. Later calls have no effect, since the number never changes.
    pub fn set_group_count(&mut self, count: u32, now: Timestamp) {
        if !self.groups.is_empty() || count == 0 {
            return;
        }
        self.groups.resize_with(count as usize, GroupQueue::default);
        for end in std::mem::take(&mut self.unrouted) {
            self.queue(end);
        }
        self.tick(now);
    }

    /// Queues an end for recording.
    pub fn record(&mut self, end: TaskEnd, now: Timestamp) {
        if self.waiting_count() >= MAX_QUEUED_ENDS {
            self.drop_oldest();
        }
        self.queue(end);
        self.tick(now);
    }

    /// Returns the number of ends without a decision.
    pub fn waiting_count(&self) -> usize {
        let queued = self.groups.iter().map(|group| group.waiting.len());
        self.unrouted.len() + queued.sum::<usize>()
    }

    /// Returns the number of ends that were dropped without a decision.
    pub fn dropped_count(&self) -> u64 {
        self.dropped
    }

    /// Takes the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<RecorderAction> {
        std::mem::take(&mut self.actions)
    }

    /// Sends the batches that are due. Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        for index in 0..self.groups.len() {
            self.send_due(index, now);
        }
    }

    /// Handles a reply of a group.
    pub fn receive(&mut self, message: JobReplyMessage, now: Timestamp) {
        let index = message.group as usize;
        let Some(group) = self.groups.get_mut(index) else {
            return;
        };
        if message.leader.is_some() {
            group.leader = message.leader;
        }
        let Some(batch) = group.batch.filter(|batch| batch.token == message.token) else {
            return;
        };
        match message.reply {
            JobReply::EndsRecorded(decisions) if decisions.len() == batch.ends => {
                group.batch = None;
                let ends = group.waiting.drain(..batch.ends);
                let decided = ends.zip(decisions);
                let decided = decided.map(|(end, decision)| RecorderAction::Decided(end, decision));
                self.actions.extend(decided);
                self.send_due(index, now);
            }
            JobReply::Refused(_) => group.leader = None,
            // The reply does not match the call.
            _ => {}
        }
    }

    fn queue(&mut self, end: TaskEnd) {
        if self.groups.is_empty() {
            self.unrouted.push_back(end);
            return;
        }
        let index = group_of(&end.job, self.groups.len() as u32) as usize;
        self.groups[index].waiting.push_back(end);
    }

    /// Drops the oldest end that is not in flight.
    fn drop_oldest(&mut self) {
        self.dropped += 1;
        if self.unrouted.pop_front().is_some() {
            return;
        }
        let fullest = self
            .groups
            .iter_mut()
            .max_by_key(|group| group.waiting.len());
        if let Some(group) = fullest {
            let in_flight = group.batch.map_or(0, |batch| batch.ends);
            group.waiting.remove(in_flight);
        }
    }

    /// Sends the next batch of a group, or resends the one in flight.
    fn send_due(&mut self, index: usize, now: Timestamp) {
        let group = &mut self.groups[index];
        let batch = match group.batch {
            Some(batch) if now < batch.next_send_at => return,
            Some(batch) => batch,
            None if group.waiting.is_empty() => return,
            None => {
                self.last_token += 1;
                InFlightBatch {
                    token: self.last_token,
                    ends: group.waiting.len().min(MAX_BATCH_ENDS),
                    attempts: 0,
                    next_send_at: now,
                }
            }
        };
        group.batch = Some(InFlightBatch {
            attempts: batch.attempts + 1,
            next_send_at: now + RETRY_INTERVAL,
            ..batch
        });
        let ends = group.waiting.iter().take(batch.ends).cloned().collect();
        let route = CallRoute {
            leader: group.leader.clone().filter(|_| batch.attempts == 0),
            attempt: batch.attempts,
        };
        let message = JobCallMessage {
            token: batch.token,
            group: index as GroupId,
            call: JobCall::RecordEnds(ends),
        };
        self.actions.push(RecorderAction::Send(route, message));
    }
}
