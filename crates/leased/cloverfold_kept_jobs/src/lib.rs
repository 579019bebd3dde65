//! Jobs that are kept: accepted once, never lost, the same answer however often they are asked.
//!
//! Jobs are spread over *groups* of replicas by a hash of their names ([`group_of`]). The control processes replicate each group's
//! [`JobTable`] in a log of its own; nothing here does I/O or reads a clock.
//!
//! - An entry submits, shows and cancels jobs with a [`JobCall`], and *drives* those that it was given: it places their tasks.
//! - A guard records the ends of their tasks with a [`JobCall`] before the target may forget them.
//! - The leader of a group decides which entry drives a job. A driver has a lease, and each driver of a job a higher [`Epoch`].
//!
//! | module | duty |
//! |---|---|
//! | `ids` | names and numbers |
//! | `commands` | what the log of a group holds, and what became of it |
//! | `job` | one job, open or ended |
//! | `table` | all jobs of a group: the replicated state |
//! | `calls` | messages of entries and guards to the group, and its replies |
//! | `drivers`, `handover` | the leader's view of the drivers: who is over, who gets which job |
//! | `groups` | which group has a job; how the groups begin |
//! | `driver` | the side of an entry: its calls, its leases, what it drives |
//! | `recorder` | the side of a guard: records ends |
//! | `timings` | the bounds in time that handing on a job rests on |

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
