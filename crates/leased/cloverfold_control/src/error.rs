//! Errors of the start of a control process.
//!
//! For the program around it, which prints them to its operator and ends. Owns no state. Relies on the texts of the errors of the store and of
//! the listeners.

use cloverfold_consensus::StoreError;
use cloverfold_http::ListenError;

/// Why a control process could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The data folder cannot be used.
    #[error("data_folder: {0}")]
    Store(#[from] StoreError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The thread that writes to the disk could not be started.
    #[error("the disk's thread: {0}")]
    Thread(std::io::Error),
}
