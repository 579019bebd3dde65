//! Handling of calls on the leader of a group.
//!
//! | call | refused if | replied to |
//! |---|---|---|
//! | `Submit` | no quorum contact, stuck disks here or on a majority, full queue | after commit |
//! | `RecordEnds` | no quorum contact, full queue | after commit |
//! | `Cancel` | no quorum contact, full queue, unknown job and too many tombstones | after commit |
//! | `Show`, `CountPending`, `Renew` | full queue, leadership not confirmed | after a read barrier |
//! | `Release` | never | immediately |
//!
//! A refusal guarantees that a call has no effect, now or later. A command that was appended may still be committed and is therefore never
//! refused. A leader with a hanging disk accepts no new jobs, but the other replicas still record the progress of accepted ones.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CallRefusal, JobCall, JobCommand, JobId, JobPhase, JobReply, JobSubmission, SubmitOutcome,
};

use super::batches::MAX_ENTRY_BYTES;
use super::reads::{ReadRequest, WaitingRead};
use super::{Caller, GroupEffect, GroupHost};

/// Age of an unsynced write or uncommitted entry from which on the leader refuses new jobs; fifty syncs of 9 ms.
const STUCK_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without quorum contact after which the leader refuses commands; ten heartbeats.
const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of pending reads. The renewals of 1,000 entries in one second fit.
const MAX_PENDING_READS: usize = 4_096;
/// Maximum size of the body of a job; leaves room for the rest of its command in an entry.
const MAX_BODY_BYTES: usize = MAX_ENTRY_BYTES / 2;

impl GroupHost {
    /// Handles a call. Refuses it if this replica does not lead.
    pub(crate) fn handle_call(&mut self, caller: Caller, call: JobCall, now: Timestamp) {
        let job = match &call {
            JobCall::Submit(submission) => submission.id.clone(),
            JobCall::Cancel(job) => job.clone(),
            _ => String::new(),
        };
        let result = self.try_handle_call(caller, call, now);
        if let Err(refusal) = result {
            if !job.is_empty() {
                log::warn!(job = job.as_str(), cause = refusal.as_str(), group = self.id; "refused a call about a kept job");
            }
            self.counts.record_refusal(refusal);
            self.answer(caller, JobReply::Refused(refusal));
        }
        self.advance(now);
    }

    fn try_handle_call(
        &mut self,
        caller: Caller,
        call: JobCall,
        now: Timestamp,
    ) -> Result<(), CallRefusal> {
        match call {
            JobCall::Submit(submission) => self.submit(caller, submission, now),
            JobCall::RecordEnds(ends) => {
                self.queue_command(caller, &JobCommand::RecordEnds(ends), now)
            }
            JobCall::Cancel(job) => self.cancel(caller, &job, now),
            JobCall::Show(job) => self.queue_read(caller, ReadRequest::Show(job)),
            JobCall::CountPending(queue) => {
                self.queue_read(caller, ReadRequest::CountPending(queue))
            }
            JobCall::Renew(renewal) => {
                let driver = renewal.driver;
                let leader_state = self.leader_state.as_mut().ok_or(CallRefusal::NoLeader)?;
                leader_state.drivers.renew(&self.table, renewal, now);
                self.queue_read(caller, ReadRequest::Renewal(driver))
            }
            JobCall::Release { driver, jobs } => {
                let leader_state = self.leader_state.as_mut().ok_or(CallRefusal::NoLeader)?;
                leader_state.drivers.release(&self.table, driver, jobs, now);
                self.answer(caller, JobReply::Released);
                Ok(())
            }
        }
    }

    fn submit(
        &mut self,
        caller: Caller,
        submission: JobSubmission,
        now: Timestamp,
    ) -> Result<(), CallRefusal> {
        let leader_state = self.leader_state.as_ref();
        let is_commit_stuck =
            leader_state.is_some_and(|l| l.batches.is_stuck(STUCK_WRITE_TIMEOUT, now));
        if is_commit_stuck || self.host.is_disk_stuck(STUCK_WRITE_TIMEOUT, now) {
            return Err(CallRefusal::Disk);
        }
        if submission.body.len() > MAX_BODY_BYTES {
            self.answer(caller, JobReply::Submitted(SubmitOutcome::Full));
            return Ok(());
        }
        self.queue_command(caller, &JobCommand::Submit(submission), now)
    }

    fn cancel(&mut self, caller: Caller, job: &JobId, now: Timestamp) -> Result<(), CallRefusal> {
        let commands = self.table.plan_cancellation(job);
        let commands = commands.ok_or(CallRefusal::Busy)?;
        self.queue_commands(caller, &commands, now)
    }

    fn queue_command(
        &mut self,
        caller: Caller,
        command: &JobCommand,
        now: Timestamp,
    ) -> Result<(), CallRefusal> {
        self.queue_commands(caller, std::slice::from_ref(command), now)
    }

    /// Queues commands for one entry of the log; the outcome of the last one is the reply.
    fn queue_commands(
        &mut self,
        caller: Caller,
        commands: &[JobCommand],
        now: Timestamp,
    ) -> Result<(), CallRefusal> {
        let has_quorum = self
            .host
            .replica
            .has_quorum_contact(QUORUM_CONTACT_TIMEOUT, now);
        let leader_state = self.leader_state.as_mut();
        let leader_state = leader_state.filter(|_| has_quorum);
        let leader_state = leader_state.ok_or(CallRefusal::NoLeader)?;
        let has_room = leader_state.batches.push_together(commands, Some(caller));
        has_room.then_some(()).ok_or(CallRefusal::Busy)
    }

    fn queue_read(&mut self, caller: Caller, read: ReadRequest) -> Result<(), CallRefusal> {
        let leader_state = self.leader_state.as_mut().ok_or(CallRefusal::NoLeader)?;
        if leader_state.reads.len() + leader_state.watches.len() >= MAX_PENDING_READS {
            return Err(CallRefusal::Busy);
        }
        leader_state.reads.push(WaitingRead { caller, read });
        Ok(())
    }

    /// Completes a read once this replica has confirmed its leadership or failed to. A call that shows an open job then waits briefly for
    /// the job to end.
    pub(super) fn finish_read(&mut self, read: WaitingRead, is_confirmed: bool, now: Timestamp) {
        let leader_state = self.leader_state.as_mut().filter(|_| is_confirmed);
        let Some(leader_state) = leader_state else {
            self.answer(read.caller, JobReply::Refused(CallRefusal::NoLeader));
            return;
        };
        let reply = match read.read {
            ReadRequest::Renewal(driver) => {
                JobReply::Renewed(leader_state.drivers.renewal_reply(&self.table, driver))
            }
            ReadRequest::Show(job) if self.table.open().contains_key(&job) => {
                leader_state.watches.add(&job, read.caller, now);
                return;
            }
            ReadRequest::Show(job) => self.show(&job, now),
            ReadRequest::CountPending(queue) => {
                let count = leader_state.count_pending(&self.table, &queue, now);
                reply_if_known(count.map(JobReply::Pending))
            }
        };
        self.answer(read.caller, reply);
    }

    /// Replies to the calls that wait for a job which has just ended.
    pub(super) fn answer_watches(&mut self, job: &str, now: Timestamp) {
        let leader_state = self.leader_state.as_mut();
        let callers =
            leader_state.map_or(Vec::new(), |leader_state| leader_state.watches.take(job));
        for caller in callers {
            self.answer(caller, self.show(job, now));
        }
    }

    /// Replies to the calls whose wait for the end of a job has timed out.
    pub(super) fn answer_due_watches(&mut self, now: Timestamp) {
        let leader_state = self.leader_state.as_mut();
        let due = leader_state.map_or(Vec::new(), |leader_state| {
            leader_state.watches.take_due(now)
        });
        for (job, callers) in due {
            for caller in callers {
                self.answer(caller, self.show(&job, now));
            }
        }
    }

    /// Returns the reply to a call that shows a job.
    fn show(&self, job: &str, now: Timestamp) -> JobReply {
        if let Some(open) = self.table.open().get(job) {
            let leader_state = self.leader_state.as_ref();
            let phase = leader_state.and_then(|l| l.drivers.phase(job, open, now));
            return reply_if_known(phase.map(|phase| JobReply::Shown(Some(phase))));
        }
        let ended = self.table.ended(job).filter(|ended| !ended.is_tombstone());
        JobReply::Shown(ended.map(|ended| JobPhase::Ended(ended.how)))
    }

    pub(super) fn answer(&mut self, caller: Caller, reply: JobReply) {
        self.effects.push(GroupEffect::Answer(caller, reply));
    }
}

/// Refuses a call whose reply this leader does not know yet; the caller asks again.
fn reply_if_known(reply: Option<JobReply>) -> JobReply {
    reply.unwrap_or(JobReply::Refused(CallRefusal::NoLeader))
}
