//! How a configuration is written.

use crate::configuration::{Configuration, ConfigurationFault};

/// A way to write configurations as text.
pub trait ConfigurationFormat: Send + Sync {
    /// Reads a text.
    ///
    /// # Errors
    ///
    /// Names the place that can't be read.
    fn decode(&self, text: &[u8]) -> Result<Configuration, ConfigurationFault>;
}
