//! The errors of building and running a process.
//!
//! Owns nothing; plugins and `App` return them.

/// Why a process could not be built or started.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// No plugin added earlier provides this type.
    #[error("no plugin added so far provides {0}")]
    MissingResource(&'static str),
    /// A value from the settings does not fit the rest.
    #[error("{0}")]
    InvalidSetting(String),
    /// The system refused something.
    #[error("{what}: {cause}")]
    System {
        /// What was attempted.
        what: String,
        /// The system's error.
        cause: std::io::Error,
    },
}
