//! The entry of a leased installation.
//!
//! It accepts callers' jobs over HTTP, dispatches those that may be repeated to the guards that dial it, and answers each once. The form
//! of bodies and paths is decided by a [`JobProtocol`].
//!
//! Owns the open jobs and the callers that wait for them; no other process knows them, so that they are lost with the entry. Relies on
//! `cloverfold_lease` for every decision (the dispatcher), on `cloverfold_leased_process` to start and run, and on `cloverfold_peer` for
//! guards and control processes.

mod callers;
mod configuration;
mod event_log;
mod job_counts;
mod known_guards;
mod metrics;
mod process;
mod protocol;
mod responses;
mod run_numbers;
mod state;
mod submission;

pub use process::{LeasedEntry, start_leased_entry};
pub use protocol::{JobForm, JobProtocol, JobState, MalformedJob, QueueCall};
