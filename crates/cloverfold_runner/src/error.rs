//! Why a guard could not start.

/// Why a guard could not start.
#[derive(Debug, thiserror::Error)]
pub enum GuardError {
    /// The system refuses something.
    #[error("{what}: {cause}")]
    System {
        /// What was attempted.
        what: String,
        /// The system's error.
        cause: std::io::Error,
    },
}
