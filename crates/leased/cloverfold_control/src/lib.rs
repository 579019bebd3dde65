//! The control process: replicates the configuration, the evacuations of data halls, waves of upkeep and kept jobs among the control
//! processes, and distributes them to the other processes of the installation.
//!
//! [`start_control`] starts it. `state::ControlState` handles events from links, ticks, the disk and operators; a dedicated thread writes
//! records to disk (`disk`). `cloverfold_consensus` provides the replicated log, `cloverfold_peer` the links to other processes.
//!
//! # How a configuration reaches an entry
//!
//! 1. `operators::configurations`: a control process decodes and validates the request body. It responds to an invalid one with 400 and
//!    turns a valid one into a proposal.
//! 2. `state::proposals`: the process submits the proposal to the leader, which appends it to the log. The process resubmits it every
//!    250 ms until that version or a higher one is in force locally.
//! 3. `cloverfold_consensus`: the leader commits the entry once a majority has synced it.
//! 4. `state::apply`: every control process applies the entry; `cloverfold_configuration` decides whether the proposal comes into force.
//!    The process that received the request responds with 200.
//! 5. `state::notices`: every control process sends the new version to its connected entries and guards, and repeats it every 500 ms.
//! 6. An entry with an older version fetches the text, which `state::peers` sends. The entry decodes it, puts it in force and reports its
//!    version back; `GET /v1/status` lists it under `processes`.
//!
//! A response with 200 therefore means that the configuration is committed, not that every entry has it. To find out where a version got
//! stuck, compare `version` in the status of each control process (steps 2 to 4) and `version` of the entry in `processes` (steps 5
//! and 6), then check the entry's log: an entry that cannot decode a configuration keeps its current one.
//!
//! An evacuation order takes the same path through `state::evacuations`. The process responds once it has applied the order, and entries
//! and guards receive the list of evacuated halls instead of a version.
//!
//! An order of a wave of upkeep takes the same path through `operators::upkeep` and `state::upkeep`. The leader then runs the upkeep
//! scheduler: `cloverfold_upkeep` selects the next box, and `upkeep_caller` calls the platform.
//!
//! # Kept jobs
//!
//! The control processes use this log to agree on the groups that keep jobs (`state::founding`). Each process hosts a replica of every
//! group, with its own log and disk thread (`job_groups`, `replica_host`, `disk`). Calls from entries and guards reach the leader of a
//! group through `state::job_calls`, those of operators through `operators::jobs`. `cloverfold_kept_jobs` implements the job state machine.

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
