//! Every role in one process, for newcomers and measurements.
//!
//! [`SoloSystem`] makes keys and settings in a temporary folder and starts targets, guards and entries as
//! tasks of this process, over the same sockets and protocols as separate processes.

mod error;
mod measure;
mod system;

pub use error::SoloError;
pub use measure::{Measurement, measure_load};
pub use system::{SERVICE, SoloConfig, SoloCustomer, SoloSystem};
