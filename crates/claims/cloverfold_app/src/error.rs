//! Errors of building and running a process.

/// Why a process could not be built or started.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// No plugin added earlier provides this type.
    #[error("no plugin added so far provides {0}")]
    MissingResource(&'static str),
    /// A setting is invalid.
    #[error("{0}")]
    InvalidSetting(String),
    /// An operation of the operating system failed.
    #[error("{what}: {cause}")]
    System {
        /// The operation.
        what: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
}
