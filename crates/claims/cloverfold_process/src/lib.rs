//! Puts guards and entries together from their plugins.
//!
//! The binaries and the solo system start their processes here, so that they are the same everywhere.

mod endpoint;
mod entry;
mod error;
mod guard;
mod leased;
mod operator;
mod outcome;

pub use entry::start_entry;
pub use error::ProcessError;
pub use guard::start_guard;
pub use leased::{SettingsWatch, start_leased_runtime};
pub use operator::{list_guard_addresses, open_operator_network};
pub use outcome::report_outcome;
