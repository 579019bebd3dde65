//! The control process: it keeps the configuration with its peers and tells every process of it.
//!
//! [`start_control`] runs it. One state ([`state::ControlState`]) reacts to links, timers, the disk and operators;
//! the disk is written from a thread of its own.

mod disk;
mod error;
mod metrics;
mod operators;
mod process;
mod state;

pub use error::ControlError;
pub use operators::{OperatorCall, OperatorInterface};
pub use process::{ControlProcess, start_control};
