//! The guard of a leased installation: it stands beside one target and runs what entries assign to it.
//!
//! It dials every entry that it learns of, starts and stops runs at its target, and renews the target's lease for as long as it is alive
//! itself. How the target is called is decided by a [`TargetInterface`].
//!
//! Owns what is known of the target and of its runs, and a copy of the configuration for entries that can't reach a control process.
//! Keeps nothing on disk. Relies on `cloverfold_lease` for every decision (the runner), on `cloverfold_leased_process` to start and run,
//! and on `cloverfold_peer` for entries and control processes.

#![warn(clippy::disallowed_methods)]

mod configuration;
mod event_log;
mod interface;
mod metrics;
mod process;
mod renewals;
mod state;
mod target_orders;

pub use interface::{CallFuture, RegistrationCall, RegistrationRefusal, TargetInterface};
pub use process::{LeasedGuard, start_leased_guard};
