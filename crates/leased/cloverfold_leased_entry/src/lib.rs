//! The entry process of a leased installation.
//!
//! It accepts jobs over HTTP, dispatches their tasks to the guards that dial it, and answers each job once. A [`JobProtocol`] defines the
//! format of paths and bodies.
//!
//! Repeatable jobs exist only in the memory of their entry and are lost with it. Kept jobs are durable: the control processes replicate
//! them, and the entry submits them and drives those that it is assigned.
//!
//! The dispatcher of `cloverfold_lease` decides where and when tasks run; the driver of `cloverfold_kept_jobs` decides which kept jobs
//! the entry drives.

#![warn(clippy::disallowed_methods)]

mod configuration;
mod driven_jobs;
mod event_log;
mod guard_invitations;
mod job_counts;
mod kept_requests;
mod metrics;
mod pending_counts;
mod process;
mod protocol;
mod request_handler;
mod requested_targets;
mod responses;
mod run_numbers;
mod state;
mod stored_job;
mod submission;

pub use process::{LeasedEntry, start_leased_entry};
pub use protocol::{JobProtocol, JobState, MalformedJob, ParsedJob, QueueCall};
pub use stored_job::StoredJob;
