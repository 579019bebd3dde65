//! The interface to the ways in which a configuration is written; the adapter of a platform implements it.

use crate::configuration::Configuration;
use crate::faults::ConfigurationFault;

/// A text format of configurations.
pub trait ConfigurationFormat: Send + Sync {
    /// Decodes a text.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigurationFault::Unreadable`] with the place that can't be read.
    fn decode(&self, text: &[u8]) -> Result<Configuration, ConfigurationFault>;
}
