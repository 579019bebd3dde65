//! Messages of the simulation that are in flight.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    DriverId, JobId, JobSubmission, ReleasedJob, Renewal, RenewalReply, SubmitOutcome, TaskEnd,
};

pub type EntryIndex = usize;
pub type Term = u64;

/// A message that arrives at a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// At the leader: a submission through an entry.
    Submit(EntryIndex, JobSubmission),
    /// At the entry: the answer to a submission.
    Submitted(EntryIndex, DriverId, JobId, SubmitOutcome),
    /// At the leader: a renewal that an entry sent at this time.
    Renew(EntryIndex, Timestamp, Renewal),
    /// At the leader: confirmation that it still led when the renewal arrived.
    LeadershipConfirmed(Term, EntryIndex, Timestamp, DriverId),
    /// At the entry: the reply to the renewal that it sent at this time, or `None` if unsolicited.
    Renewed(EntryIndex, Option<Timestamp>, RenewalReply),
    /// At the leader: a driver releases a job.
    Release(DriverId, ReleasedJob),
    /// At the leader: a guard records a run end.
    RecordEnd(TaskEnd),
    /// At the guard: the group has decided on a run end.
    EndDecided(TaskEnd),
    /// At the leader: a caller cancels a job.
    Cancel(JobId),
    /// At the caller: its job is cancelled.
    Cancelled(JobId),
}
