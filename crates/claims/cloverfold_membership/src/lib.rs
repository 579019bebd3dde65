//! Heartbeats, incarnations and load of the guards in a cell.
//!
//! A guard reports its phase and load to a few peers at a time and passes on what it heard; reports also
//! ride on the messages that tasks need anyway. [`Membership`] answers who can take work now.
//!
//! ```no_run
//! # async fn show(membership: cloverfold_membership::Membership) {
//! for candidate in membership.list_candidates().await {
//!     println!("guard-{} has load {}", candidate.placement.guard, candidate.load);
//! }
//! # }
//! ```

mod membership;
mod messages;
mod plugin;

pub use membership::{Charge, Directory, Membership, OwnState};
pub use messages::{Heartbeat, Leave};
pub use plugin::MembershipPlugin;
