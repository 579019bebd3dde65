//! The control process: it replicates the configuration and the evacuations of data halls with its peers and announces what is in force
//! to every process of the installation.
//!
//! [`start_control`] runs it. One state (`state::ControlState`) reacts to links, ticks, the disk and operators; records are written from a
//! thread of its own (`disk`). It owns its data folder. It relies on `cloverfold_consensus` for the replicated log, on
//! `cloverfold_configuration` for what a configuration is and which of two is in force, on `cloverfold_evacuation` for what an order
//! changes, and on `cloverfold_peer` for links.
//!
//! # From an operator's call to a configuration in force at an entry
//!
//! 1. `operators::configurations`: a control process decodes and checks the body. An invalid one is answered 400; a valid one becomes a
//!    proposal.
//! 2. `state::proposals`: the proposal goes to the leader, which appends it to the log. This is repeated every 250 ms
//!    until a version as high is in force here.
//! 3. `cloverfold_consensus`: the leader commits the entry once a majority has synced it.
//! 4. `state::applying`: every control process applies the entry; `cloverfold_configuration` decides whether it comes into force. The
//!    waiting call is answered 200, by the process that received it.
//! 5. `state::directory`: every control process sends the new version to the entries and guards that are connected to it, and repeats it
//!    every 500 ms.
//! 6. An entry with an older version fetches the text, which `state::peers` sends. The entry decodes it, puts it in force, and reports its
//!    version back; `GET /v1/status` shows it under `processes`.
//!
//! An order to evacuate a data hall goes the same way through `state::evacuations`. It is answered once it is applied here, and entries
//! and guards get the evacuated halls themselves instead of a notice.
//!
//! An order of a wave of upkeep goes the same way through `operators::upkeep` and `state::upkeep`. The leader of the log then holds the
//! upkeep: `cloverfold_upkeep` decides which box is next, `upkeep_caller` calls the platform.
//!
//! The answer 200 therefore says that the configuration is committed, not that entries have it yet. To look for a version that does not
//! arrive: `version` in the status of each control process (steps 2 to 4), then `version` of the entry in `processes` (5 and 6), then the
//! entry's log, since it keeps its present configuration if it cannot decode the new one.
//!
//! # Kept jobs
//!
//! The control processes agree in this log on the groups that keep jobs (`state::founding`). Each hosts a replica of each group, with a log
//! and a disk thread of its own (`job_groups`, `replica_host`, `disk`); calls of entries and guards go through `state::job_calls` to the
//! group's leader, those of operators through `operators::jobs`. What becomes of a job is decided by `cloverfold_kept_jobs`.

#![warn(clippy::disallowed_methods)]

mod disk;
mod error;
mod job_counts;
mod job_groups;
mod job_metrics;
mod metrics;
mod operators;
mod peer_file;
mod pending_writes;
mod process;
mod replica_host;
mod state;
mod upkeep_caller;

pub use error::ControlError;
pub use operators::{CallFormat, JobsCall, OperatorCall, OperatorInterface};
pub use process::{ControlProcess, start_control};
pub use state::{Command, ReplicatedState};
