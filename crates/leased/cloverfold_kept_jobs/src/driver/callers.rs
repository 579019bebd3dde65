//! Calls on behalf of callers, and the sending of calls to the groups.

use cloverfold_base::Timestamp;

use crate::calls::{CallToken, JobCall, JobCallMessage};
use crate::commands::JobSubmission;
use crate::driver::Driver;
use crate::driver::actions::{CallAnswer, CallRoute, DriverAction, RefusalReason};
use crate::groups::GroupId;
use crate::ids::{JobDigest, JobId, TaskIndex};

/// A job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewJob {
    /// Name that the caller gave to the job.
    pub id: JobId,
    /// Queue through which it is submitted.
    pub queue: String,
    /// Hash of the submitted content.
    pub digest: JobDigest,
    /// Payload that an entry needs to drive the job.
    pub body: Vec<u8>,
    /// Number of tasks.
    pub tasks: TaskIndex,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
}

impl Driver {
    /// Submits a job and returns the token of its answer. A disconnect of the caller does not cancel the submission.
    pub fn submit(&mut self, job: NewJob, deadline: Timestamp, now: Timestamp) -> CallToken {
        self.expire_leases(now);
        let Some(index) = self.group_index(&job.id) else {
            return self.refuse(RefusalReason::NoGroups);
        };
        let group = &self.groups[index];
        if !group.lease.is_valid(now) {
            return self.refuse(RefusalReason::NoLease);
        }
        let submission = JobSubmission {
            driver: group.id,
            id: job.id,
            queue: job.queue,
            digest: job.digest,
            body: job.body,
            tasks: job.tasks,
            max_attempts: job.max_attempts,
        };
        self.call(index, JobCall::Submit(submission), deadline, now)
    }

    /// Requests the phase of a job.
    pub fn show(&mut self, job: &str, deadline: Timestamp, now: Timestamp) -> CallToken {
        match self.group_index(job) {
            Some(index) => self.call(index, JobCall::Show(job.into()), deadline, now),
            None => self.refuse(RefusalReason::NoGroups),
        }
    }

    /// Requests the cancellation of a job.
    pub fn cancel(&mut self, job: &str, deadline: Timestamp, now: Timestamp) -> CallToken {
        match self.group_index(job) {
            Some(index) => self.call(index, JobCall::Cancel(job.into()), deadline, now),
            None => self.refuse(RefusalReason::NoGroups),
        }
    }

    /// Requests the number of jobs of a queue in one group that have not started.
    pub fn count_pending(
        &mut self,
        group: GroupId,
        queue: &str,
        deadline: Timestamp,
        now: Timestamp,
    ) -> CallToken {
        if self.group_count().is_some_and(|count| group < count) {
            let call = JobCall::CountPending(queue.into());
            self.call(group as usize, call, deadline, now)
        } else {
            self.refuse(RefusalReason::NoGroups)
        }
    }

    /// Refuses a call without sending it.
    pub(super) fn refuse(&mut self, cause: RefusalReason) -> CallToken {
        let token = self.next_token();
        self.answer(token, CallAnswer::Refused(cause));
        token
    }

    /// Sends a caller's call and tracks it until its deadline.
    pub(super) fn call(
        &mut self,
        index: usize,
        call: JobCall,
        deadline: Timestamp,
        now: Timestamp,
    ) -> CallToken {
        if self.calls.is_full() {
            return self.refuse(RefusalReason::Busy);
        }
        let token = self.next_token();
        let group = index as GroupId;
        self.calls.add(token, group, call, Some(deadline), now);
        self.send_calls(now);
        token
    }

    pub(super) fn send_calls(&mut self, now: Timestamp) {
        for (token, pending) in self.calls.take_due(now, &mut self.rng) {
            let attempt = pending.sent - 1;
            self.send(pending.group, token, pending.call, attempt);
        }
    }

    /// Sends a call. The first attempt goes to the known leader, retries go through other control processes.
    pub(super) fn send(&mut self, group: GroupId, token: CallToken, call: JobCall, attempt: u32) {
        let driver = self.groups.get(group as usize);
        let leader = driver.and_then(|driver| driver.leader.clone());
        let route = CallRoute {
            leader: leader.filter(|_| attempt == 0),
            attempt,
        };
        let message = JobCallMessage { token, group, call };
        self.actions.push(DriverAction::Send(route, message));
    }
}
