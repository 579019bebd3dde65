//! The control process: it replicates the configuration with its peers and tells every process of the installation which version holds.
//!
//! [`start_control`] runs it. One state (`state::ControlState`) reacts to links, ticks, the disk and operators; records are written from a
//! thread of its own (`disk`). It owns its data folder. It relies on `cloverfold_consensus` for the replicated log, on
//! `cloverfold_configuration` for what a configuration is and which of two holds, and on `cloverfold_peer` for links.

mod disk;
mod error;
mod metrics;
mod operators;
mod process;
mod state;

pub use error::ControlError;
pub use operators::{OperatorCall, OperatorInterface};
pub use process::{ControlProcess, start_control};
