//! Settings of the processes of a leased installation: entry, guard and control process.
//!
//! Each process has a type here that is read from one file; [`PeerSettings`] and [`LeaseSettings`] stand in several of them. Owns the
//! checks of single values and of values against each other. Relies on `cloverfold_settings` for reading files and placing faults.

mod leased;

pub use leased::{
    ControlSettings, LeaseSettings, LeasedEntrySettings, LeasedGuardSettings, PeerSettings,
};
