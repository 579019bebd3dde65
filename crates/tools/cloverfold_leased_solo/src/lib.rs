//! A complete leased installation in one process, for trying it out.
//!
//! [`LeasedSolo`] starts control processes, entries, and guards with one [sample target](LocalTarget) each as tasks of this process. They
//! use the same links and calls as separate processes, except that a guard calls its target directly. The control processes keep their
//! state in a temporary folder. Each process has its own loopback address (127.0.0.0/8).

mod addresses;
mod error;
mod local_target;
mod system;
mod target_state;

pub use error::LeasedSoloError;
pub use local_target::{LocalTarget, LocalTargetInterface};
pub use system::{LeasedSolo, SoloSize};
pub use target_state::TargetState;
