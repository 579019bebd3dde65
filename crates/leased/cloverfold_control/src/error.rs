//! Why a control process could not start.

use cloverfold_consensus::StoreError;
use cloverfold_http::ListenError;

/// Why a control process could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The data folder cannot be used.
    #[error("data_folder: {0}")]
    Store(#[from] StoreError),
    /// The replicated state on disk is none.
    #[error("data_folder: the state in the last snapshot cannot be read: {0}")]
    State(#[from] postcard::Error),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The system gave no thread to write from.
    #[error("the disk's thread: {0}")]
    Thread(std::io::Error),
}
