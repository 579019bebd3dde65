//! Decisions on leased runs, without I/O or a clock.
//!
//! A [`Dispatcher`] (in an entry) coordinates the repeatable jobs that it accepted: it places their tasks, retries what did not run,
//! and answers. A [`Runner`] (in a guard) executes them at the one target beside it: it accounts for the target's capacity, keeps the
//! target's lease renewed while it is alive, and stops runs without a valid session.
//!
//! Nothing is agreed on and nothing is stored. That no two runs of a task overlap rests on time alone:
//!
//! - a dispatcher's *session* with a runner is valid until [`Timings::session`] after the runner's own clock reading that the
//!   dispatcher last echoed; a runner stops the runs of a session that is over;
//! - a target kills everything when its lease of [`Timings::lease`] is not renewed;
//! - a dispatcher starts a task elsewhere only after its end was reported, or after [`Timings::runs_over_after`] has passed since its
//!   last echo.
//!
//! The inequality behind this stands in `timings`. Each process owns one dispatcher or one runner, calls it with the time and with
//! what it hears, and carries out the actions that it returns.

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
