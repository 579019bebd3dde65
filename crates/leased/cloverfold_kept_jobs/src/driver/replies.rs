//! Handling of a group's replies.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{
    CallRefusal, CallToken, JobAssignment, JobCall, JobReply, JobReplyMessage, RenewalReply,
};
use crate::commands::{JobSubmission, SubmitOutcome};
use crate::driver::Driver;
use crate::driver::actions::{CallAnswer, DriverAction, RefusalReason, StopCause};
use crate::driver::group::{DrivenState, RetiredJob};
use crate::ids::{Epoch, JobId};

/// Delay before an early renewal, so that one renewal covers several unsolicited assignments.
const RENEWAL_DELAY: Duration = Duration::from_millis(20);

impl Driver {
    /// Handles a reply of a group.
    pub fn receive(&mut self, message: JobReplyMessage, now: Timestamp) {
        self.expire_leases(now);
        let index = message.group as usize;
        let Some(group) = self.groups.get_mut(index) else {
            return;
        };
        if message.leader.is_some() {
            group.leader = message.leader;
        }
        let token = message.token;
        match message.reply {
            JobReply::Renewed(reply) => self.receive_renewed(index, token, reply, now),
            JobReply::Submitted(outcome) => self.receive_submitted(index, token, outcome, now),
            JobReply::Cancelled(outcome) => self.resolve(token, CallAnswer::Cancelled(outcome)),
            JobReply::Shown(phase) => self.resolve(token, CallAnswer::Shown(phase)),
            JobReply::Pending(count) => self.resolve(token, CallAnswer::Pending(count)),
            JobReply::Released => self.receive_released(index, token, now),
            JobReply::Refused(refusal) => self.receive_refusal(index, token, refusal, now),
            // The leader reports the result by dropping the jobs.
            JobReply::EndsRecorded(_) => {
                self.calls.take(token);
            }
        }
    }

    /// Records that a copy of a call could not be sent and has no effect.
    pub fn record_send_failure(&mut self, token: CallToken, now: Timestamp) {
        let cause = RefusalReason::ByGroup(CallRefusal::NoLeader);
        self.record_refusal(token, cause, now);
    }

    /// Answers a caller's call unless it has been answered.
    fn resolve(&mut self, token: CallToken, answer: CallAnswer) {
        if self.calls.take(token).is_some() {
            self.answer(token, answer);
        }
    }

    fn receive_renewed(
        &mut self,
        index: usize,
        token: CallToken,
        reply: RenewalReply,
        now: Timestamp,
    ) {
        let group = &mut self.groups[index];
        if reply.driver != group.id {
            return;
        }
        let is_reply = group.lease.record_reply(token, self.timings.driver_lease);
        // A drop is final, so it also applies if it is late or unsolicited.
        for (job, epoch) in reply.drop {
            self.drop_job(index, &job, epoch, now);
        }
        if is_reply {
            self.groups[index].unanswered = 0;
        }
        if is_reply && self.groups[index].lease.is_valid(now) {
            for assignment in reply.drive {
                self.answer_submissions(&assignment.job);
                self.accept_assignment(index, assignment, now);
            }
        } else if !reply.drive.is_empty() {
            self.renew_soon(index, RENEWAL_DELAY, now);
        }
    }

    /// Stops driving a job that has ended or is assigned to another driver.
    fn drop_job(&mut self, index: usize, job: &JobId, epoch: Epoch, now: Timestamp) {
        let retired = RetiredJob {
            epoch,
            settled_at: Some(now + 2 * self.timings.driver_lease),
            is_released: false,
        };
        let group = &mut self.groups[index];
        let is_same_epoch = |driven: &DrivenState| driven.epoch == epoch;
        if group.driven.get(job).is_some_and(is_same_epoch) {
            group.driven.remove(job);
            group.retired.insert(job.clone(), retired);
            self.actions.push(DriverAction::StopDriving {
                job: job.clone(),
                epoch,
                cause: StopCause::Dropped,
            });
        }
    }

    /// Answers the pending submissions of a job that the leader assigns to this driver, which proves that it is stored. A later reply to
    /// one of them must not start the job again.
    fn answer_submissions(&mut self, job: &str) {
        let is_submission =
            |call: &JobCall| matches!(call, JobCall::Submit(submission) if submission.id == job);
        for token in self
            .calls
            .take_matching(|pending| is_submission(&pending.call))
        {
            self.answer(token, CallAnswer::Kept);
        }
    }

    fn receive_submitted(
        &mut self,
        index: usize,
        token: CallToken,
        outcome: SubmitOutcome,
        now: Timestamp,
    ) {
        match outcome {
            SubmitOutcome::Accepted(epoch) => self.receive_accepted(index, token, epoch, now),
            SubmitOutcome::Known => {
                self.resolve(token, CallAnswer::Kept);
                // The job may be assigned to this driver by a lost reply to an earlier copy; an early renewal finds out.
                self.renew_soon(index, RENEWAL_DELAY, now);
            }
            SubmitOutcome::Conflict => self.resolve(token, CallAnswer::Conflict),
            SubmitOutcome::Full => self.record_refusal(token, RefusalReason::Full, now),
        }
    }

    /// Drives an accepted job if the driver named in its submission is still current.
    fn receive_accepted(&mut self, index: usize, token: CallToken, epoch: Epoch, now: Timestamp) {
        let Some(pending) = self.calls.take(token) else {
            return;
        };
        self.answer(token, CallAnswer::Kept);
        let JobCall::Submit(submission) = pending.call else {
            return;
        };
        if submission.driver == self.groups[index].id {
            let JobSubmission { id, body, .. } = submission;
            let assignment = JobAssignment {
                job: id,
                epoch,
                body,
                progress: Vec::new(),
            };
            self.accept_assignment(index, assignment, now);
        }
    }

    /// Records that the leader has answered a release.
    fn receive_released(&mut self, index: usize, token: CallToken, now: Timestamp) {
        let Some(pending) = self.calls.take(token) else {
            return;
        };
        let JobCall::Release { jobs, .. } = pending.call else {
            return;
        };
        let settled_at = Some(now + 2 * self.timings.driver_lease);
        for released in jobs {
            let retired = self.groups[index].retired.get_mut(&released.job);
            if let Some(retired) = retired.filter(|retired| retired.epoch == released.epoch) {
                retired.settled_at = settled_at;
            }
        }
    }

    fn receive_refusal(
        &mut self,
        index: usize,
        token: CallToken,
        refusal: CallRefusal,
        now: Timestamp,
    ) {
        if refusal == CallRefusal::NoLeader {
            self.groups[index].leader = None;
        }
        if self.groups[index].lease.awaits(token) {
            self.renew_soon(index, 4 * RENEWAL_DELAY, now);
        } else {
            self.record_refusal(token, RefusalReason::ByGroup(refusal), now);
        }
    }

    fn record_refusal(&mut self, token: CallToken, cause: RefusalReason, now: Timestamp) {
        let settled = self.calls.record_refusal(token, cause, now, &mut self.rng);
        if let Some(answer) = settled {
            self.answer(token, answer);
        }
    }
}
