//! Decision: what becomes of a call that has reached the leader.
//!
//! | call | refused | answered |
//! |---|---|---|
//! | `Submit` | no contact with a majority, its disk or those of the majority are stuck, too many wait | after the commit |
//! | `RecordEnds`, `Cancel` | no contact with a majority, too many wait | after the commit |
//! | `Show`, `Renew` | too many wait; the proof fails | with a proof that this replica leads |
//! | `CountPending`, `Release` | never | at once |
//!
//! Inputs: the call, the contact with the majority, the ages of the oldest write that is not synced and of the entry that is not
//! committed, how many calls wait.
//!
//! Reason: a refusal says that a call had no effect and never will; whatever was appended may be committed later and is therefore
//! never refused. A disk that hangs must not gather new jobs, while what is known of accepted ones is still recorded by the others.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CallRefusal, JobCall, JobCommand, JobPhase, JobReply, JobSubmission, SubmitOutcome,
};

use super::batches::MAX_ENTRY_BYTES;
use super::reads::{Read, WaitingRead};
use super::{Caller, GroupEffect, GroupHost};

/// Age of an unsynced write, or of an entry that is not committed, from which on new jobs are refused. Chosen, not measured: fifty syncs of 9 ms.
const STUCK_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Without contact with the majority for this long no command is taken. Chosen, not measured: ten heartbeats, as for configurations.
const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_millis(800);
/// Calls that wait for a proof, at most. Chosen, not measured: a second's renewals of 1,000 entries.
const MAX_PENDING_READS: usize = 4_096;
/// Longest body of a job, in bytes; the rest of its command fits into the difference to an entry. Chosen, not measured.
const MAX_BODY_BYTES: usize = MAX_ENTRY_BYTES / 2;

impl GroupHost {
    /// Handles a call. This process should lead; if it does not, the call is refused.
    pub(crate) fn call(&mut self, caller: Caller, call: JobCall, now: Timestamp) {
        let job = match &call {
            JobCall::Submit(submission) => submission.id.clone(),
            JobCall::Cancel(job) => job.clone(),
            _ => String::new(),
        };
        let taken = self.handle_call(caller, call, now);
        if let Err(refusal) = taken {
            if !job.is_empty() {
                log::warn!(job = job.as_str(), cause = refusal.as_str(), group = self.id; "a call about a kept job is refused");
            }
            self.counts.record_refusal(refusal);
            self.answer(caller, JobReply::Refused(refusal));
        }
        self.advance(now);
    }

    fn handle_call(
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
            JobCall::Cancel(job) => self.queue_command(caller, &JobCommand::Cancel(job), now),
            JobCall::Show(job) => self.queue_read(caller, Read::Show(job)),
            JobCall::Renew(renewal) => {
                let driver = renewal.driver;
                let leader_state = self.leader_state.as_mut().ok_or(CallRefusal::NoLeader)?;
                leader_state.drivers.renew(renewal, now);
                self.queue_read(caller, Read::Renewal(driver))
            }
            JobCall::CountPending(queue) => {
                let leader_state = self.leader_state.as_mut().ok_or(CallRefusal::NoLeader)?;
                let pending = leader_state.count_pending(&self.table, &queue, now);
                self.answer(caller, JobReply::Pending(pending));
                Ok(())
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

    fn queue_command(
        &mut self,
        caller: Caller,
        command: &JobCommand,
        now: Timestamp,
    ) -> Result<(), CallRefusal> {
        let has_quorum = self
            .host
            .replica
            .has_quorum_contact(QUORUM_CONTACT_TIMEOUT, now);
        let leader_state = self.leader_state.as_mut();
        let leader_state = leader_state.filter(|_| has_quorum);
        let leader_state = leader_state.ok_or(CallRefusal::NoLeader)?;
        let has_room = leader_state.batches.push(command, Some(caller));
        has_room.then_some(()).ok_or(CallRefusal::Busy)
    }

    fn queue_read(&mut self, caller: Caller, read: Read) -> Result<(), CallRefusal> {
        let leader_state = self.leader_state.as_mut().ok_or(CallRefusal::NoLeader)?;
        if leader_state.reads.len() + leader_state.watches.len() >= MAX_PENDING_READS {
            return Err(CallRefusal::Busy);
        }
        leader_state.reads.push(WaitingRead { caller, read });
        Ok(())
    }

    /// Answers a call for which this replica has proved that it leads, or has failed to. One that asks for an open job waits a while
    /// for its end.
    pub(super) fn finish_read(&mut self, read: WaitingRead, is_proved: bool, now: Timestamp) {
        let leader_state = self.leader_state.as_mut().filter(|_| is_proved);
        let Some(leader_state) = leader_state else {
            self.answer(read.caller, JobReply::Refused(CallRefusal::NoLeader));
            return;
        };
        let reply = match read.read {
            Read::Renewal(driver) => {
                JobReply::Renewed(leader_state.drivers.renewal_reply(&self.table, driver))
            }
            Read::Show(job) if self.table.open().contains_key(&job) => {
                leader_state.watches.add(&job, read.caller, now);
                return;
            }
            Read::Show(job) => JobReply::Shown(self.show(&job)),
        };
        self.answer(read.caller, reply);
    }

    /// Answers the calls that ask for a job which has just ended.
    pub(super) fn answer_watches(&mut self, job: &str) {
        let leader_state = self.leader_state.as_mut();
        let callers =
            leader_state.map_or(Vec::new(), |leader_state| leader_state.watches.take(job));
        for caller in callers {
            self.answer(caller, JobReply::Shown(self.show(job)));
        }
    }

    /// Answers the calls that have waited long enough for the end of a job.
    pub(super) fn answer_due_watches(&mut self, now: Timestamp) {
        let leader_state = self.leader_state.as_mut();
        let due = leader_state.map_or(Vec::new(), |leader_state| {
            leader_state.watches.take_due(now)
        });
        for (job, callers) in due {
            for caller in callers {
                self.answer(caller, JobReply::Shown(self.show(&job)));
            }
        }
    }

    /// Returns how far a job is, as far as this replica knows; `None` if it knows none of this name.
    pub(crate) fn show(&self, job: &str) -> Option<JobPhase> {
        if let Some(open) = self.table.open().get(job) {
            let leader_state = self.leader_state.as_ref();
            let phase = leader_state.map(|leader_state| leader_state.drivers.phase(job, open));
            return Some(phase.unwrap_or(JobPhase::Queued));
        }
        let ended = self.table.ended(job)?;
        Some(JobPhase::Ended(ended.how))
    }

    pub(super) fn answer(&mut self, caller: Caller, reply: JobReply) {
        self.effects.push(GroupEffect::Answer(caller, reply));
    }
}
