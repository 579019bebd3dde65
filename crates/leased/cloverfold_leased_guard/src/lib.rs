//! The guard process of a leased installation, which runs assigned tasks on one target beside it.
//!
//! It dials its entries, starts and stops runs on the target, and renews the lease of the target while it is alive itself. A
//! [`TargetInterface`] defines how the target is called.
//!
//! The guard stores nothing on disk. It keeps a copy of the configuration for entries that cannot reach a control process. The runner of
//! `cloverfold_lease` makes all decisions.

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
