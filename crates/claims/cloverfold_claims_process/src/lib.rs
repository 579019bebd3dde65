//! Builds the guards and entries of a claims installation from their plugins.
//!
//! The binaries and the solo system start their processes here, so that they are the same everywhere. Owns no state. Relies on the
//! package of each plugin for what it does.

mod endpoint;
mod entry;
mod error;
mod guard;
mod operator;

pub use entry::start_entry;
pub use error::ProcessError;
pub use guard::start_guard;
pub use operator::{list_guard_addresses, open_operator_network};
