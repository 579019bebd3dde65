//! Durable ("kept") jobs: an accepted job is never lost, and repeated queries get the same answer.
//!
//! Jobs are partitioned over *groups* of replicas by a hash of their names ([`group_of`]). The control processes replicate the
//! [`JobTable`] of each group in a log of its own. Nothing in this crate does I/O or reads a clock.
//!
//! - An entry submits, shows and cancels jobs with a [`JobCall`], and *drives* the jobs that are assigned to it: it schedules their tasks.
//! - A guard records the ends of task runs with a [`JobCall`] before it lets the target forget them.
//! - The leader of a group decides which entry drives a job. A driver holds a lease, and each driver of a job gets a higher [`Epoch`].
//!
//! | module | contents |
//! |---|---|
//! | `ids` | identifiers and numbering |
//! | `commands` | commands of a group's log, and their outcomes |
//! | `job` | one job, open or ended |
//! | `table` | all jobs of a group: the replicated state |
//! | `tombstones` | cancellations of jobs that are not stored |
//! | `calls` | messages of entries and guards to a group, and its replies |
//! | `drivers`, `handover` | the leader's view of the drivers: whose lease has expired, and which driver gets which job |
//! | `groups` | the mapping of jobs to groups, and the initial replicas |
//! | `driver` | the entry's side: calls, leases and driven jobs |
//! | `recorder` | the guard's side: recording of run ends |
//! | `timings` | the time bounds that make a handover safe |

#![warn(clippy::disallowed_methods)]

mod calls;
mod commands;
mod driver;
mod drivers;
mod groups;
mod handover;
mod ids;
mod job;
mod recorder;
mod table;
mod timings;
mod tombstones;

pub use calls::{
    CallRefusal, CallToken, DrivenJob, JobAssignment, JobCall, JobCallMessage, JobReply,
    JobReplyMessage, ReleasedJob, Renewal, RenewalReply,
};
pub use commands::{
    CancelOutcome, CommandOutcome, EndDecision, EndOutcome, JobCommand, JobReassignment,
    JobSubmission, SubmitOutcome, TaskEnd,
};
pub use driver::{CallAnswer, CallRoute, Driver, DriverAction, NewJob, RefusalReason, StopCause};
pub use drivers::{DriverTable, job_assignment};
pub use groups::{Founder, GroupId, JobGroups, MAX_GROUPS, group_of};
pub use ids::{
    DriverId, EndSequence, Epoch, FIRST_KEPT_RUN, JobDigest, JobId, RUNS_PER_EPOCH, TaskIndex,
    first_run_of, is_kept_run,
};
pub use job::{EndedJob, JobPhase, OpenJob, TaskProgress, TerminalState};
pub use recorder::{Recorder, RecorderAction};
pub use table::{JobTable, MAX_ENDED_JOBS, MAX_OPEN_BYTES};
pub use timings::KeptJobTimings;
pub use tombstones::MAX_TOMBSTONES;
