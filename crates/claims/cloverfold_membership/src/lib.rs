//! Heartbeats, incarnations and load of the guards in a cell.
//!
//! Each process sends heartbeats to the acting lead and gets what the lead knows of all guards; reports are also sent
//! along with the messages that tasks need anyway. [`Membership`] answers which guards accept work now and which of
//! them leads.
//!
//! Owns the newest report of each guard, and the tasks that this process has in flight there. Relies on the cell's
//! settings for the list of guards; nothing here adds or removes one.
//!
//! ```no_run
//! # async fn show(membership: cloverfold_membership::Membership) {
//! for candidate in membership.list_candidates().await {
//!     println!("guard-{} has load {}", candidate.placement.guard, candidate.load);
//! }
//! # }
//! ```

mod directory;
mod gossip;
mod local_state;
mod membership;
mod messages;
mod metrics;
mod plugin;

pub use directory::Directory;
pub use local_state::LocalState;
pub use membership::{InFlightTask, Membership};
pub use messages::{Heartbeat, Leave};
pub use plugin::MembershipPlugin;
