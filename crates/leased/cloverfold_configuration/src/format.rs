//! The interface to the text format of configurations.

use crate::configuration::Configuration;
use crate::validation::ConfigurationError;

/// A text format of configurations, implemented by a platform adapter. All processes of an installation must use the same implementation.
pub trait ConfigurationFormat: Send + Sync {
    /// Decodes a text.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigurationError::Unreadable`] with the field that cannot be decoded.
    fn decode(&self, text: &[u8]) -> Result<Configuration, ConfigurationError>;
}
