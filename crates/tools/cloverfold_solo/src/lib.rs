//! A complete claims installation in one process, for trying it out and for measurements.
//!
//! [`SoloSystem`] generates keys and settings in a temporary folder and starts targets, guards and entries as tasks of this process. They
//! use the same start functions, sockets and protocols as separate processes.

mod error;
mod installation;
mod measure;
mod ports;
mod system;

pub use error::SoloError;
pub use installation::{GuardAddresses, Installation, OPERATOR, SERVICE, SoloWorkspace};
pub use measure::{Measurement, SoloLoad, measure_load};
pub use ports::find_free_addresses;
pub use system::{SoloConfig, SoloSystem};
