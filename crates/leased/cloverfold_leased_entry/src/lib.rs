//! The entry of a leased installation.
//!
//! It takes callers' jobs over HTTP, coordinates those that are repeatable on the guards that dial it, and answers each once. What
//! bodies and paths look like is a [`JobProtocol`]'s matter.

mod callers;
mod event_log;
mod in_force;
mod metrics;
mod process;
mod protocol;
mod state;

pub use in_force::InForce;
pub use process::{LeasedEntry, start_leased_entry};
pub use protocol::{JobForm, JobProtocol, JobState, MalformedJob, QueueCall};
