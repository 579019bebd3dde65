//! The entry of a leased installation.
//!
//! It accepts callers' jobs over HTTP, dispatches them to the guards that dial it, and answers each once. The form of bodies and paths is
//! decided by a [`JobProtocol`].
//!
//! Owns the open jobs that may be repeated and the callers that wait for them; no other process knows them, so that they are lost with the
//! entry. Jobs that are kept are replicated by the control processes; the entry submits them, and drives those that it is given. Relies on
//! `cloverfold_lease` for where and when tasks run (the dispatcher), on `cloverfold_kept_jobs` for what it drives, on `cloverfold_leased_process` to start and run, and on `cloverfold_peer` for
//! guards and control processes.

#![warn(clippy::disallowed_methods)]

mod callers;
mod configuration;
mod driven_jobs;
mod event_log;
mod job_counts;
mod kept_body;
mod kept_callers;
mod known_guards;
mod metrics;
mod pending_counts;
mod process;
mod protocol;
mod responses;
mod run_numbers;
mod state;
mod submission;

pub use kept_body::KeptBody;
pub use process::{LeasedEntry, start_leased_entry};
pub use protocol::{JobProtocol, JobState, MalformedJob, ParsedJob, QueueCall};
