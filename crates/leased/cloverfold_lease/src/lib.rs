//! Scheduling and execution of leased runs, without I/O or a clock.
//!
//! A caller submits a *job* to an entry. A job consists of steps, a step of tasks, and a *run* is one attempt to execute a task on a
//! target, the back end beside a guard.
//!
//! - A [`Dispatcher`], in an entry, accepts or refuses jobs, chooses a target for each task, retries unsuccessful runs, and answers each
//!   job once.
//! - A [`Runner`], in a guard, executes runs on the target beside it. It tracks the target's capacity, starts and stops runs, renews the
//!   target's lease, and stops the runs of expired sessions.
//!
//! # Job lifecycle
//!
//! 1. [`Dispatcher::submit`] refuses the job at once (`dispatcher/admission`) or queues it.
//! 2. `dispatcher/placement` sends an [`Assignment`] to a runner. A job without an assignment at its queue deadline
//!    (`dispatcher/deadlines`) is refused.
//! 3. The runner refuses the assignment (`runner/assignment`, [`RunRefusal`]) or starts the run (`runner/starts`, [`StartOrder`]).
//! 4. Each renewal of the lease returns the target's list of runs (`runner/listing`), from which the runner learns that the run has ended.
//!    It reports a [`RunOutcome`].
//! 5. `dispatcher/run_ends` completes the job, fails it, or queues the task again.
//!
//! # Why two runs of a task never overlap
//!
//! Dispatchers and runners persist nothing and use no consensus. The guarantee depends on timeouts alone:
//!
//! - A dispatcher's *session* with a runner is valid for [`Timings::session_timeout`] after the runner's own clock reading that the
//!   dispatcher echoed last. A runner stops the runs of an expired session.
//! - A target kills all its runs if its lease is not renewed within [`Timings::lease_duration`].
//! - A dispatcher starts a task again only after the end of its run was reported, after the runner announced its target to a new session
//!   (it does so only when no run of an earlier session is left), or [`Timings::run_end_bound`] after the last echo.
//!
//! The module `timings` documents the underlying inequality.
//!
//! # Usage
//!
//! Each process owns one dispatcher or one runner. It passes in each message, each closed link and the time, calls `tick` every few tens of
//! milliseconds, and carries out the actions that `take_actions` returns, in order. No call returns an error: failures are variants of
//! messages and answers.
//!
//! Log lines contain the names that `as_str` or `Display` return, which can differ from the variant: `NoRoom` is
//! [`JobRefusal::NoCapacity`]. To find a variant, search for the written name in quotes.

#![warn(clippy::disallowed_methods)]

mod dispatcher;
mod health;
mod messages;
mod request;
mod resources;
mod runner;
mod stall;
mod startup;
mod timings;

pub use dispatcher::{
    Dispatcher, DispatcherAction, DispatcherCounts, DispatcherEvent, JobAnswer, JobNumber,
    JobRefusal, KeptJob, MAX_KEPT_BYTES, QueueAttributes, RETRY_AFTER, RefusedRunCounts,
    TargetCounts, WaitingJobs,
};
pub use health::{HealthLimits, TargetHealth};
pub use messages::{
    Assignment, DispatcherMessage, FreeCapacity, KeptAssignment, RunOutcome, RunRefusal,
    RunnerMessage, SessionId, StartedRun, TargetDescription, TargetNeed, TaskId, UsualSpeed,
};
pub use request::{JobRequest, LatencyObjective, StepRequest};
pub use resources::Resources;
pub use runner::{
    EndCause, EndedRun, IncarnationId, ListedRun, ProcessorUse, RegistrationCounts,
    RegistrationVerdict, RenewalAnswer, RenewalOrder, RenewalPause, Runner, RunnerAction,
    RunnerCounts, StartAnswer, StartOrder, StartRefusal, StartTimeMs, StopOrder, TargetCallCounts,
    TargetRegistration, UnavailableReason,
};
pub use stall::{JOB_STALL_LIMIT, is_request_outdated};
pub use startup::{STARTUP_PERIOD, configuration_timeout};
pub use timings::{
    CLOCK_DRIFT_PERMILLE, DEFAULT_LEASE_DURATION, DEFAULT_MAX_LEASE, DEFAULT_RESEND_INTERVAL,
    DEFAULT_SESSION_TIMEOUT, DEFAULT_STOP_TIMEOUT, TargetTime, Timings,
};
