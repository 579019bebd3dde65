//! Settings of the processes of a leased installation: entry, guard and control process.
//!
//! Each process has a type here that [`cloverfold_settings::read_settings`] reads from one file; [`PeerSettings`] and
//! [`LeaseSettings`] stand in several of them. Owns the checks of single values and of values against each other. Relies on
//! `cloverfold_settings` for reading files and placing errors.

#![warn(clippy::disallowed_methods)]

mod control;
mod entry;
mod guard;
mod lease;
mod peer;
mod upkeep;

pub use control::ControlSettings;
pub use entry::LeasedEntrySettings;
pub use guard::LeasedGuardSettings;
pub use lease::LeaseSettings;
pub use peer::PeerSettings;
pub use upkeep::UpkeepSettings;
