//! Membership of a cell: heartbeats, failure detection, and the load of each guard.
//!
//! Each process exchanges heartbeats with the acting lead, which replies with the reports of all guards. Messages about
//! claims and tasks also contain reports. [`Membership`] returns which guards accept work and which of them leads. The
//! set of guards is fixed by the cell's settings.
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
