//! The interface to the text formats of configurations.
//!
//! Keeps the format out of this package: the adapter of a platform implements [`ConfigurationFormat`]. Owns no state. Relies on every process
//! of an installation using the same implementation, so that a text means the same everywhere.

use crate::configuration::Configuration;
use crate::validation::ConfigurationError;

/// A text format of configurations.
pub trait ConfigurationFormat: Send + Sync {
    /// Decodes a text.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigurationError::Unreadable`] with the place that can't be read.
    fn decode(&self, text: &[u8]) -> Result<Configuration, ConfigurationError>;
}
