//! The replicated state of a group: all its kept jobs.
//!
//! The outcome of a submission depends on its name:
//!
//! | stored under the name | outcome |
//! |---|---|
//! | nothing, and there is room | `Accepted` |
//! | nothing, but the open jobs take [`MAX_OPEN_BYTES`] or [`MAX_ENDED_JOBS`] are stored | `Full` |
//! | a job with the same digest, open or ended | `Known` |
//! | a job with another digest | `Conflict` |
//! | a tombstone (`tombstones`) | `Known`: the job is stored as cancelled |
//!
//! This makes submissions idempotent: a caller may resend one that was not answered without starting the job twice. A different job
//! under a used name is refused, so that its caller never gets the answer to another job.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::commands::{
    CancelOutcome, CommandOutcome, EndDecision, JobCommand, JobReassignment, JobSubmission,
    SubmitOutcome, TaskEnd,
};
use crate::ids::{DriverId, EndSequence, JobId};
use crate::job::{EndedJob, OpenJob, TerminalState};

/// Maximum total size of the names, queues and bodies of a group's open jobs, in bytes. It bounds the memory of the process. 27,000 jobs of
/// 1,200 bytes fit, which is half a minute of them at 850 per second.
pub const MAX_OPEN_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of ended jobs that a group stores; twice as many as end in 150 s at 850 per second.
pub const MAX_ENDED_JOBS: usize = 256 * 1024;

/// The jobs of a group. The order of the fields is part of the disk format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTable {
    open: BTreeMap<JobId, OpenJob>,
    ended: BTreeMap<JobId, EndedJob>,
    /// Names of the ended jobs, in the order in which they ended.
    end_order: VecDeque<JobId>,
    last_end: EndSequence,
    open_bytes: usize,
    /// Open jobs of each driver that has any; derived from `open`.
    #[serde(skip)]
    by_driver: BTreeMap<DriverId, BTreeSet<JobId>>,
    /// Number of tombstones; derived from `ended`.
    #[serde(skip)]
    tombstones: usize,
}

impl JobTable {
    /// Decodes a table. No bytes decode to the empty table of a new group.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are not a valid table.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let mut table: Self = postcard::from_bytes(bytes)?;
        for (id, job) in &table.open {
            let jobs = table.by_driver.entry(job.driver()).or_default();
            jobs.insert(id.clone());
        }
        let tombstones = table.ended.values().filter(|job| job.is_tombstone());
        table.tombstones = tombstones.count();
        Ok(table)
    }

    /// Encodes the table.
    ///
    /// # Panics
    ///
    /// Never, since every table can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a table in memory can be encoded")
    }

    /// Returns the open jobs by name.
    pub fn open(&self) -> &BTreeMap<JobId, OpenJob> {
        &self.open
    }

    /// Returns the open jobs of each driver that has any, including drivers whose lease has expired.
    pub fn by_driver(&self) -> &BTreeMap<DriverId, BTreeSet<JobId>> {
        &self.by_driver
    }

    /// Returns a stored ended job, or a tombstone.
    pub fn ended(&self, job: &str) -> Option<&EndedJob> {
        self.ended.get(job)
    }

    /// Returns the number of stored ended jobs, including tombstones.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Returns the number of stored tombstones.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones
    }

    /// Returns the sequence number of the job that ended last, or 0 if none has.
    pub fn last_end(&self) -> EndSequence {
        self.last_end
    }

    /// Returns the total size of the names, queues and bodies of the open jobs, in bytes.
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: JobCommand) -> CommandOutcome {
        match command {
            JobCommand::Submit(submission) => CommandOutcome::Submit(self.submit(submission)),
            JobCommand::RecordEnds(ends) => {
                let decisions = ends.iter().map(|end| self.record_end(end));
                CommandOutcome::Ends(decisions.collect())
            }
            JobCommand::Cancel(job) => CommandOutcome::Cancel(self.cancel(&job)),
            JobCommand::Assign(jobs) => CommandOutcome::Assigned(self.assign(jobs)),
            JobCommand::Expire(up_to) => CommandOutcome::Expired(self.expire(up_to)),
        }
    }

    fn submit(&mut self, submission: JobSubmission) -> SubmitOutcome {
        if self.replace_tombstone(&submission) {
            return SubmitOutcome::Known;
        }
        let open = self.open.get(&submission.id);
        let open = open.map(|job| job.submission().digest);
        let stored = open.or_else(|| self.ended.get(&submission.id).map(|job| job.digest));
        if let Some(digest) = stored {
            return if digest == submission.digest {
                SubmitOutcome::Known
            } else {
                SubmitOutcome::Conflict
            };
        }
        let bytes = count_bytes(&submission);
        let is_full = self.open_bytes + bytes > MAX_OPEN_BYTES;
        if is_full || self.ended.len() >= MAX_ENDED_JOBS {
            return SubmitOutcome::Full;
        }
        self.open_bytes += bytes;
        let id = submission.id.clone();
        let job = OpenJob::new(submission);
        let epoch = job.epoch();
        self.add_to_driver(job.driver(), &id);
        self.open.insert(id, job);
        SubmitOutcome::Accepted(epoch)
    }

    /// Stores a submitted job as cancelled if there is a tombstone for it; returns whether there was one.
    fn replace_tombstone(&mut self, submission: &JobSubmission) -> bool {
        let ended = self.ended.get_mut(&submission.id);
        let Some(ended) = ended.filter(|ended| ended.is_tombstone()) else {
            return false;
        };
        ended.digest = submission.digest;
        self.tombstones -= usize::from(!submission.is_tombstone());
        true
    }

    fn record_end(&mut self, end: &TaskEnd) -> EndDecision {
        let Some(job) = self.open.get_mut(&end.job) else {
            let ended = self.ended.get(&end.job);
            // A removed job may have rerun the task, so its late ends are fenced.
            return ended.map_or(EndDecision::Fenced, |ended| ended.decide_late_end(end));
        };
        let decision = job.record(end);
        if let Some(how) = job.terminal_state() {
            self.end_job(&end.job, how);
        }
        decision
    }

    fn cancel(&mut self, job: &str) -> CancelOutcome {
        if self.open.contains_key(job) {
            self.end_job(job, TerminalState::Cancelled);
        }
        let ended = self.ended.get(job).filter(|ended| !ended.is_tombstone());
        match ended.map(|ended| ended.how) {
            Some(TerminalState::Cancelled) => CancelOutcome::Cancelled,
            Some(how) => CancelOutcome::Ended(how),
            None => CancelOutcome::Unknown,
        }
    }

    fn assign(&mut self, reassignments: Vec<JobReassignment>) -> Vec<JobId> {
        let mut assigned = Vec::new();
        for JobReassignment { job, after, driver } in reassignments {
            let Some(open) = self.open.get_mut(&job) else {
                continue;
            };
            let before = open.driver();
            if open.assign(after, driver) {
                self.remove_from_driver(before, &job);
                self.add_to_driver(driver, &job);
                assigned.push(job);
            }
        }
        assigned
    }

    fn add_to_driver(&mut self, driver: DriverId, job: &str) {
        let jobs = self.by_driver.entry(driver).or_default();
        jobs.insert(job.to_owned());
    }

    fn remove_from_driver(&mut self, driver: DriverId, job: &str) {
        if let Some(jobs) = self.by_driver.get_mut(&driver) {
            jobs.remove(job);
            if jobs.is_empty() {
                self.by_driver.remove(&driver);
            }
        }
    }

    /// Moves a job from the open to the ended jobs.
    fn end_job(&mut self, job: &str, how: TerminalState) {
        let Some((id, open)) = self.open.remove_entry(job) else {
            return;
        };
        self.open_bytes -= count_bytes(open.submission());
        self.remove_from_driver(open.driver(), job);
        self.last_end += 1;
        self.tombstones += usize::from(open.submission().is_tombstone());
        self.end_order.push_back(id.clone());
        self.ended.insert(id, open.end(how, self.last_end));
    }

    fn expire(&mut self, up_to: EndSequence) -> usize {
        let mut removed = 0;
        while let Some(id) = self.end_order.front() {
            let sequence = self.ended.get(id).map(|job| job.sequence);
            if sequence.is_some_and(|sequence| sequence > up_to) {
                break;
            }
            let job = self.ended.remove(id);
            self.tombstones -= usize::from(job.is_some_and(|job| job.is_tombstone()));
            self.end_order.pop_front();
            removed += 1;
        }
        removed
    }
}

fn count_bytes(submission: &JobSubmission) -> usize {
    submission.id.len() + submission.queue.len() + submission.body.len()
}
