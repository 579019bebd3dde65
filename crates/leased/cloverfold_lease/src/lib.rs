//! Decisions on leased runs, without I/O or a clock.
//!
//! A **dispatcher** (in an entry) coordinates the repeatable jobs that it took: it places their tasks, tries again what
//! did not run, and answers. A **runner** (in a guard) executes them at the one target beside it: it accounts
//! for the target's room, keeps the target's lease renewed while it is alive, and stops what nobody vouches for.
//!
//! Nothing is agreed on and nothing is stored. That no two runs of a task overlap rests on time alone:
//!
//! - a dispatcher's *session* with a runner is valid until [`Timings::session`] after the runner's own clock reading that the
//!   dispatcher last echoed; a runner stops the tasks of a session that is over;
//! - a target kills everything when its lease of [`Timings::lease`] is not renewed;
//! - a dispatcher starts a task elsewhere only after its end was reported, or after
//!   [`Timings::runs_over_after`] has passed since its last echo.

mod dispatcher;
mod health;
mod messages;
mod request;
mod resources;
mod runner;
mod stall;
mod timings;

pub use dispatcher::{
    Dispatcher, DispatcherAction, DispatcherCounts, DispatcherEvent, JobAnswer, JobNumber,
    JobRefusal, RETRY_AFTER, TargetCounts,
};
pub use health::{HealthLimits, TargetHealth};
pub use messages::{
    Assignment, DispatcherMessage, FreeCapacity, RunOutcome, RunRefusal, RunnerMessage, SessionId,
    TargetDescription, TaskId,
};
pub use request::{JobRequest, Objective, StepRequest};
pub use resources::Resources;
pub use runner::{
    EndCause, EndedRun, ListedRun, RenewalAnswer, RenewalOrder, Runner, RunnerAction, RunnerCounts,
    StartAnswer, StartOrder, StartRefusal, StopOrder, TargetRegistration, UnavailableReason,
};
pub use stall::{JOB_STALL, REQUEST_STALL};
pub use timings::{
    CLOCK_DRIFT_PERMILLE, DEFAULT_LEASE, DEFAULT_RESEND, DEFAULT_SESSION, DEFAULT_STOP, TargetTime,
    Timings,
};
