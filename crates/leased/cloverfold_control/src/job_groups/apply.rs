//! Application of committed commands.
//!
//! Every replica applies the commands; only the leader logs them, replies to callers and notifies the drivers that gain or lose a job.

use cloverfold_base::Timestamp;
use cloverfold_consensus::{LogIndex, Term};
use cloverfold_kept_jobs::{
    CallRefusal, CancelOutcome, CommandOutcome, DriverId, EndDecision, Epoch, JobCommand, JobId,
    JobReassignment, JobReply, OpenJob, RenewalReply, SubmitOutcome, TaskEnd, TerminalState,
    job_assignment,
};
use log::Level;

use super::batches::decode_commands;
use super::{Caller, GroupEffect, GroupHost};

/// Log level of events that occur for every job. At a higher level, they would exceed the rate limit of 100 lines per second and displace
/// rarer lines.
const ROUTINE_LEVEL: Level = Level::Debug;

/// The driver of an open job before a command that may end or reassign the job.
struct PriorAssignment {
    job: JobId,
    driver: DriverId,
    epoch: Epoch,
}

impl GroupHost {
    pub(super) fn apply_commands(
        &mut self,
        index: LogIndex,
        term: Term,
        entry: &[u8],
        now: Timestamp,
    ) {
        let leader_state = self.leader_state.as_mut();
        let callers = leader_state.map_or(Vec::new(), |l| l.batches.take_callers(index, term));
        let commands = match decode_commands(entry) {
            Ok(commands) => commands,
            Err(cause) => {
                log::error!(group = self.id, index; "cannot decode a log entry: {cause}");
                return;
            }
        };
        for (position, command) in commands.into_iter().enumerate() {
            let caller = callers.get(position).copied().flatten();
            self.apply_command(command, caller, now);
        }
    }

    fn apply_command(&mut self, command: JobCommand, caller: Option<Caller>, now: Timestamp) {
        let before = self.list_affected(&command);
        let outcome = self.table.apply(command.clone());
        if is_tombstone(&command) {
            // The cancellation that follows reports the result.
            return;
        }
        self.counts.record(&outcome);
        if self.leader_state.is_none() {
            return;
        }
        for prior in &before {
            self.notify_if_ended(prior, now);
        }
        match (command, outcome) {
            (JobCommand::Submit(job), CommandOutcome::Submit(outcome)) => {
                self.finish_submit(&job.id, job.driver, outcome, caller, now);
            }
            (JobCommand::RecordEnds(ends), CommandOutcome::Ends(decisions)) => {
                self.log_fenced(&ends, &decisions);
                self.reply_if_awaited(caller, JobReply::EndsRecorded(decisions));
            }
            (JobCommand::Cancel(job), CommandOutcome::Cancel(outcome)) => {
                log::info!(job = job.as_str(), outcome:? = outcome, group = self.id; "processed the cancellation of a kept job");
                let reply = self.cancel_reply(&job, outcome);
                self.reply_if_awaited(caller, reply);
            }
            (JobCommand::Assign(assignees), CommandOutcome::Assigned(jobs)) => {
                self.log_assigned(&before, &jobs);
                self.notify_assigned_drivers(&assignees, &jobs, now);
            }
            (JobCommand::Expire(up_to), CommandOutcome::Expired(count)) => {
                log::info!(count, up_to, group = self.id; "removed ended kept jobs");
            }
            _ => {}
        }
    }

    fn log_fenced(&self, ends: &[TaskEnd], decisions: &[EndDecision]) {
        let decided = ends.iter().zip(decisions);
        for (end, _) in decided.filter(|(_, decision)| **decision == EndDecision::Fenced) {
            log::warn!(
                job = end.job.as_str(), task = end.task, run = end.run, epoch = end.epoch, group = self.id;
                "ignored a task end reported by an earlier driver"
            );
        }
    }

    /// Returns the reply to a cancellation. If the job is unknown and no tombstone is stored, a later submission could run, so the call is
    /// refused and the caller cancels again.
    fn cancel_reply(&self, job: &str, outcome: CancelOutcome) -> JobReply {
        if outcome == CancelOutcome::Unknown && self.table.ended(job).is_none() {
            return JobReply::Refused(CallRefusal::Busy);
        }
        JobReply::Cancelled(outcome)
    }

    /// Lists the open jobs that a command may end or reassign.
    fn list_affected(&self, command: &JobCommand) -> Vec<PriorAssignment> {
        let mut jobs: Vec<&JobId> = match command {
            JobCommand::RecordEnds(ends) => ends.iter().map(|end| &end.job).collect(),
            JobCommand::Cancel(job) => vec![job],
            JobCommand::Assign(assignees) => assignees.iter().map(|a| &a.job).collect(),
            _ => Vec::new(),
        };
        jobs.sort_unstable();
        jobs.dedup();
        let open = jobs.into_iter().filter_map(|job| {
            let open = self.table.open().get(job)?;
            Some(PriorAssignment {
                job: job.clone(),
                driver: open.driver(),
                epoch: open.epoch(),
            })
        });
        open.collect()
    }

    fn notify_if_ended(&mut self, prior: &PriorAssignment, now: Timestamp) {
        let ended = self.table.ended(&prior.job);
        let Some(ended) = ended.filter(|ended| !ended.is_tombstone()) else {
            return;
        };
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.open_since.remove(&prior.job);
            leader_state.drivers.remove_ended(&prior.job);
        }
        let level = match ended.how {
            TerminalState::Completed => ROUTINE_LEVEL,
            TerminalState::Failed | TerminalState::Cancelled => Level::Info,
        };
        log::log!(
            level, job = prior.job.as_str(), how:? = ended.how, epoch = prior.epoch, group = self.id;
            "kept job ended"
        );
        let reply = RenewalReply {
            driver: prior.driver,
            drive: Vec::new(),
            drop: vec![(prior.job.clone(), prior.epoch)],
        };
        self.push_to_driver(reply);
        self.answer_watches(&prior.job, now);
    }

    /// Replies to a submission. A driver without a lease from this leader is not told that it drives the job, because the job may be
    /// reassigned as soon as it is committed. The driver learns of the job with its next renewal.
    fn finish_submit(
        &mut self,
        job: &str,
        driver: DriverId,
        outcome: SubmitOutcome,
        caller: Option<Caller>,
        now: Timestamp,
    ) {
        let level = match outcome {
            SubmitOutcome::Accepted(_) | SubmitOutcome::Known => ROUTINE_LEVEL,
            SubmitOutcome::Conflict | SubmitOutcome::Full => Level::Info,
        };
        log::log!(level, job, outcome:? = outcome, group = self.id; "kept job submitted");
        if let (Some(leader_state), SubmitOutcome::Accepted(_)) = (&mut self.leader_state, outcome)
        {
            leader_state.open_since.insert(job.to_owned(), now);
        }
        let leader_state = self.leader_state.as_ref();
        let is_alive =
            leader_state.is_some_and(|leader_state| leader_state.drivers.is_alive(driver, now));
        let reported = match outcome {
            SubmitOutcome::Accepted(_) if !is_alive => SubmitOutcome::Known,
            outcome => outcome,
        };
        self.reply_if_awaited(caller, JobReply::Submitted(reported));
    }

    fn log_assigned(&self, before: &[PriorAssignment], assigned: &[JobId]) {
        for PriorAssignment { job, driver, epoch } in before {
            if !assigned.contains(job) {
                continue;
            }
            let next = self.table.open().get(job).map(OpenJob::driver);
            let (from, to) = (self.entry_name(Some(*driver)), self.entry_name(next));
            log::info!(job = job.as_str(), epoch = epoch + 1, from, to, group = self.id; "kept job reassigned");
        }
    }

    /// Returns the name of a driver's entry, or an empty string if the driver has not renewed its lease with this leader.
    fn entry_name(&self, driver: Option<DriverId>) -> &str {
        let leader_state = self.leader_state.as_ref();
        let entry = leader_state.and_then(|leader_state| leader_state.drivers.entry_of(driver?));
        entry.unwrap_or_default()
    }

    /// Notifies drivers of jobs assigned to them. An entry that receives such a notification renews its lease immediately and drives the
    /// job according to the reply.
    fn notify_assigned_drivers(
        &mut self,
        assignees: &[JobReassignment],
        assigned: &[JobId],
        now: Timestamp,
    ) {
        if let Some(leader_state) = &mut self.leader_state {
            let jobs = assignees.iter().map(|assignee| &assignee.job);
            leader_state.drivers.complete_handover(jobs, now);
        }
        for JobReassignment { job, driver, .. } in assignees {
            if !assigned.contains(job) {
                continue;
            }
            let Some(open) = self.table.open().get(job) else {
                continue;
            };
            let reply = RenewalReply {
                driver: *driver,
                drive: vec![job_assignment(job, open)],
                drop: Vec::new(),
            };
            self.push_to_driver(reply);
        }
    }

    fn push_to_driver(&mut self, reply: RenewalReply) {
        let leader_state = self.leader_state.as_ref();
        let entry =
            leader_state.and_then(|leader_state| leader_state.drivers.entry_of(reply.driver));
        if let Some(entry) = entry.map(str::to_owned) {
            self.effects.push(GroupEffect::Push { entry, reply });
        }
    }

    fn reply_if_awaited(&mut self, caller: Option<Caller>, reply: JobReply) {
        if let Some(caller) = caller {
            self.answer(caller, reply);
        }
    }
}

/// Returns whether a command only prepares the tombstone of the cancellation that follows it.
fn is_tombstone(command: &JobCommand) -> bool {
    matches!(command, JobCommand::Submit(submission) if submission.is_tombstone())
}
