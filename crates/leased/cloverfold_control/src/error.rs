//! Errors at the start of a control process.

use cloverfold_consensus::StoreError;
use cloverfold_http::ListenError;

/// An error that prevents a control process from starting.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The data folder cannot be used.
    #[error("data_folder: {0}")]
    Store(#[from] StoreError),
    /// A listener cannot be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A thread that writes to the disk cannot be started.
    #[error("the disk's thread: {0}")]
    Thread(std::io::Error),
}
