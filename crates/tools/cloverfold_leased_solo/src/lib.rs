//! A whole leased installation in one process, for newcomers.
//!
//! [`LeasedSolo`] starts control processes, entries, and guards with a [sample target](LocalTarget) each as tasks of this process, over
//! the same links and calls as separate processes; only the calls to targets stay within the process. Owns a temporary folder with the
//! state of the control processes. Each role has a loopback address of its own (127.0.0.0/8), as boxes have.

mod addresses;
mod error;
mod local_target;
mod system;
mod target_state;

pub use error::LeasedSoloError;
pub use local_target::{LocalTarget, LocalTargetInterface};
pub use system::{LeasedSolo, SoloSize};
pub use target_state::TargetState;
