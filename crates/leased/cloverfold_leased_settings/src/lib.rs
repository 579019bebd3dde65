//! Settings of the processes of a leased installation: entry, guard and control process.
//!
//! Each process has a settings type that [`cloverfold_settings::read_settings`] reads from one file and validates; several of them
//! contain [`PeerSettings`] and [`LeaseSettings`].

#![warn(clippy::disallowed_methods)]

mod clients;
mod control;
mod entry;
mod guard;
mod lease;
mod peer;
mod upkeep;

pub use clients::ClientSettings;
pub use control::ControlSettings;
pub use entry::LeasedEntrySettings;
pub use guard::LeasedGuardSettings;
pub use lease::LeaseSettings;
pub use peer::PeerSettings;
pub use upkeep::UpkeepSettings;
