//! Builds the guards and entries of a claims installation from their plugins.

mod endpoint;
mod entry;
mod error;
mod guard;
mod operator;

pub use entry::start_entry;
pub use error::ProcessError;
pub use guard::start_guard;
pub use operator::{list_guard_addresses, open_operator_network};
