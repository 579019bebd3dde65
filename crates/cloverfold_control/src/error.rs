//! Why a control process could not start.

use cloverfold_consensus::StoreError;

/// Why a control process could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The data folder cannot be used.
    #[error("data_folder: {0}")]
    Store(#[from] StoreError),
    /// The replicated state on disk is none.
    #[error("data_folder: the state in the last snapshot cannot be read: {0}")]
    State(#[from] postcard::Error),
    /// The system refuses something.
    #[error("{what}: {cause}")]
    System {
        /// What was attempted.
        what: String,
        /// The system's error.
        cause: std::io::Error,
    },
}
