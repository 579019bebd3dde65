//! What an entry concludes from the replies of a group.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{
    CallRefusal, CallToken, JobAssignment, JobCall, JobReply, JobReplyMessage, RenewalReply,
};
use crate::commands::{JobSubmission, SubmitOutcome};
use crate::driver::Driver;
use crate::driver::actions::{CallAnswer, DriverAction, RefusalReason, StopCause};
use crate::driver::group::{Driven, Gone};
use crate::ids::{Epoch, JobId};

/// Pause before a renewal that was asked for by an unasked order or a refusal. Chosen, not measured: orders that come together need one.
const RENEWAL_PAUSE: Duration = Duration::from_millis(20);

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
            JobReply::Cancelled(outcome) => self.settle(token, CallAnswer::Cancelled(outcome)),
            JobReply::Shown(phase) => self.settle(token, CallAnswer::Shown(phase)),
            JobReply::Pending(count) => self.settle(token, CallAnswer::Pending(count)),
            JobReply::Released => self.receive_released(index, token, now),
            JobReply::Refused(refusal) => self.receive_refusal(index, token, refusal, now),
            // What became of them comes with the order to drop their jobs.
            JobReply::EndsRecorded(_) => {
                self.calls.take(token);
            }
        }
    }

    /// Records that a copy of a call could not be sent, so that it has no effect.
    pub fn record_send_failure(&mut self, token: CallToken, now: Timestamp) {
        let cause = RefusalReason::ByGroup(CallRefusal::NoLeader);
        self.record_refusal(token, cause, now);
    }

    /// Answers a caller's call, unless it was answered before.
    fn settle(&mut self, token: CallToken, answer: CallAnswer) {
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
        // A drop holds for good, so one that comes late or unasked is right as well.
        for (job, epoch) in reply.drop {
            self.drop_job(index, &job, epoch, now);
        }
        if is_reply {
            self.groups[index].unanswered = 0;
        }
        if is_reply && self.groups[index].lease.is_valid(now) {
            for order in reply.drive {
                self.settle_submissions(&order.job);
                self.begin_driving(index, order, now);
            }
        } else if !reply.drive.is_empty() {
            self.renew_soon(index, RENEWAL_PAUSE, now);
        }
    }

    /// Stops driving a job that the leader says is over or another driver's.
    fn drop_job(&mut self, index: usize, job: &JobId, epoch: Epoch, now: Timestamp) {
        let gone = Gone {
            epoch,
            settled_at: Some(now + 2 * self.timings.driver_lease),
            is_released: false,
        };
        let group = &mut self.groups[index];
        let is_meant = |driven: &Driven| driven.epoch == epoch;
        if group.driven.get(job).is_some_and(is_meant) {
            group.driven.remove(job);
            group.gone.insert(job.clone(), gone);
            self.actions.push(DriverAction::StopDriving {
                job: job.clone(),
                epoch,
                cause: StopCause::Dropped,
            });
        }
    }

    /// Answers the submissions of a job that the leader gives to this driver, so that it is kept: a reply to one of them that comes
    /// later must not begin it again.
    fn settle_submissions(&mut self, job: &str) {
        let is_meant =
            |call: &JobCall| matches!(call, JobCall::Submit(submission) if submission.id == job);
        for token in self.calls.take_all(|pending| is_meant(&pending.call)) {
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
                self.settle(token, CallAnswer::Kept);
                // The reply to an earlier copy may be lost, with which the job was given to this driver.
                self.renew_soon(index, RENEWAL_PAUSE, now);
            }
            SubmitOutcome::Conflict => self.settle(token, CallAnswer::Conflict),
            SubmitOutcome::Full => self.record_refusal(token, RefusalReason::Full, now),
        }
    }

    /// Drives an accepted job if the driver that its submission names is still the present one.
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
            let order = JobAssignment {
                job: id,
                epoch,
                body,
                progress: Vec::new(),
            };
            self.begin_driving(index, order, now);
        }
    }

    /// The leader has jobs back that were released.
    fn receive_released(&mut self, index: usize, token: CallToken, now: Timestamp) {
        let Some(pending) = self.calls.take(token) else {
            return;
        };
        let JobCall::Release { jobs, .. } = pending.call else {
            return;
        };
        let settled_at = Some(now + 2 * self.timings.driver_lease);
        for released in jobs {
            let gone = self.groups[index].gone.get_mut(&released.job);
            if let Some(gone) = gone.filter(|gone| gone.epoch == released.epoch) {
                gone.settled_at = settled_at;
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
            self.renew_soon(index, 4 * RENEWAL_PAUSE, now);
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
