//! Why an entry could not start.

/// Why an entry could not start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The system refuses something.
    #[error("{what}: {cause}")]
    System {
        /// What was attempted.
        what: String,
        /// The system's error.
        cause: std::io::Error,
    },
}
