//! A whole claims installation in one process, for newcomers and measurements.
//!
//! [`SoloSystem`] makes keys and settings in a temporary folder and starts targets, guards and entries as
//! tasks of this process, over the same sockets and protocols as separate processes. Owns the folder and the
//! processes. Relies on `cloverfold_claims_process` to start them, so that they are the same as elsewhere.

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
