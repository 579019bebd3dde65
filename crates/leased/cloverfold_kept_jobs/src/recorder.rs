//! The side of a guard: records the ends of kept runs in their groups, before the target may forget them.
//!
//! Decision: when ends are sent. Rule: of each group one batch is under way, of [`MAX_BATCH`] ends at most, oldest first; it is sent again
//! each [`REPEAT`] until the group has decided on it, over another control process each time. What comes meanwhile waits for the next.
//!
//! Inputs: the ends, the replies, the clock.
//!
//! Reason: a run ends once, and recording it twice changes nothing, so repeats are safe; one batch at a time lets the calls of a busy guard
//! grow more slowly than its ends. A guard has only as many ends as its target holds back, so the queue is bounded by them.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{CallToken, JobCall, JobCallMessage, JobReply, JobReplyMessage};
use crate::commands::{EndDecision, TaskEnd};
use crate::driver::CallRoute;
use crate::groups::{GroupId, group_of};

/// After this a batch without a decision is sent again. Chosen, not measured: two syncs and four messages take less than half.
const REPEAT: Duration = Duration::from_millis(150);
/// Ends in one batch. Chosen, not measured: 20 KB.
const MAX_BATCH: usize = 256;
/// Ends that may wait, over all groups; the oldest give way. Chosen, not measured: far above what one target holds back.
const MAX_WAITING: usize = 8_192;

/// What the process around a recorder has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecorderAction {
    /// Send a call to a control process.
    Send(CallRoute, JobCallMessage),
    /// The group has decided on an end.
    Decided(TaskEnd, EndDecision),
}

/// The call of a batch that is under way.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    token: CallToken,
    /// How many ends it has: the first of the queue.
    ends: usize,
    sent: u32,
    next_send_at: Timestamp,
}

/// The ends of one group.
#[derive(Debug, Default)]
struct GroupEnds {
    waiting: VecDeque<TaskEnd>,
    open: Option<OpenCall>,
    leader: Option<String>,
}

/// Records the ends of one guard's kept runs.
#[derive(Debug, Default)]
pub struct Recorder {
    /// By the number of the group; empty while the groups are not known.
    groups: Vec<GroupEnds>,
    /// Ends that came before the groups were known.
    unsorted: VecDeque<TaskEnd>,
    last_token: CallToken,
    dropped: u64,
    actions: Vec<RecorderAction>,
}

impl Recorder {
    /// Records how many groups there are, which never changes.
    pub fn set_group_count(&mut self, count: u32, now: Timestamp) {
        if !self.groups.is_empty() || count == 0 {
            return;
        }
        self.groups.resize_with(count as usize, GroupEnds::default);
        for end in std::mem::take(&mut self.unsorted) {
            self.queue(end);
        }
        self.tick(now);
    }

    /// Records an end.
    pub fn record(&mut self, end: TaskEnd, now: Timestamp) {
        if self.waiting_count() >= MAX_WAITING {
            self.drop_oldest();
        }
        self.queue(end);
        self.tick(now);
    }

    /// Returns how many ends are not decided on.
    pub fn waiting_count(&self) -> usize {
        let of_groups = self.groups.iter().map(|group| group.waiting.len());
        self.unsorted.len() + of_groups.sum::<usize>()
    }

    /// Returns how many ends gave way to newer ones without a decision.
    pub fn dropped_count(&self) -> u64 {
        self.dropped
    }

    /// Takes what has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<RecorderAction> {
        std::mem::take(&mut self.actions)
    }

    /// Sends what is due; call it every few tens of milliseconds.
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
        let Some(open) = group.open.filter(|open| open.token == message.token) else {
            return;
        };
        match message.reply {
            JobReply::EndsRecorded(decisions) if decisions.len() == open.ends => {
                group.open = None;
                let ends = group.waiting.drain(..open.ends);
                let decided = ends.zip(decisions);
                let decided = decided.map(|(end, decision)| RecorderAction::Decided(end, decision));
                self.actions.extend(decided);
                self.send_due(index, now);
            }
            JobReply::Refused(_) => group.leader = None,
            // No reply to this call.
            _ => {}
        }
    }

    fn queue(&mut self, end: TaskEnd) {
        if self.groups.is_empty() {
            self.unsorted.push_back(end);
            return;
        }
        let index = group_of(&end.job, self.groups.len() as u32) as usize;
        self.groups[index].waiting.push_back(end);
    }

    /// Drops the oldest end that is not under way.
    fn drop_oldest(&mut self) {
        self.dropped += 1;
        if self.unsorted.pop_front().is_some() {
            return;
        }
        let fullest = self
            .groups
            .iter_mut()
            .max_by_key(|group| group.waiting.len());
        if let Some(group) = fullest {
            let under_way = group.open.map_or(0, |open| open.ends);
            group.waiting.remove(under_way);
        }
    }

    /// Sends the next batch of a group, or the one under way again.
    fn send_due(&mut self, index: usize, now: Timestamp) {
        let group = &mut self.groups[index];
        let open = match group.open {
            Some(open) if now < open.next_send_at => return,
            Some(open) => open,
            None if group.waiting.is_empty() => return,
            None => {
                self.last_token += 1;
                OpenCall {
                    token: self.last_token,
                    ends: group.waiting.len().min(MAX_BATCH),
                    sent: 0,
                    next_send_at: now,
                }
            }
        };
        group.open = Some(OpenCall {
            sent: open.sent + 1,
            next_send_at: now + REPEAT,
            ..open
        });
        let ends = group.waiting.iter().take(open.ends).cloned().collect();
        let route = CallRoute {
            leader: group.leader.clone().filter(|_| open.sent == 0),
            attempt: open.sent,
        };
        let message = JobCallMessage {
            token: open.token,
            group: index as GroupId,
            call: JobCall::RecordEnds(ends),
        };
        self.actions.push(RecorderAction::Send(route, message));
    }
}
