//! Why a control process could not start.

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
    /// The system gave no thread to write from.
    #[error("the disk's thread: {0}")]
    Thread(std::io::Error),
}
