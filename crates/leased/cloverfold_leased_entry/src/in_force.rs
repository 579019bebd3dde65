//! The configuration in force at an entry; it only ever rises.

use std::sync::Arc;

use cloverfold_configuration::{Configuration, ConfigurationFormat, StoredConfiguration, Version};

/// The configuration in force.
#[derive(Default)]
pub struct InForce {
    held: Option<(StoredConfiguration, Arc<Configuration>)>,
}

impl InForce {
    /// Returns the version; 0 before the first.
    pub fn version(&self) -> Version {
        self.held.as_ref().map_or(0, |(stored, _)| stored.version)
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.held
            .as_ref()
            .map(|(_, configuration)| configuration.clone())
    }

    /// Returns it as it was sent.
    pub fn stored(&self) -> Option<&StoredConfiguration> {
        self.held.as_ref().map(|(stored, _)| stored)
    }

    /// Takes a configuration that is newer; returns whether it was.
    pub fn take(&mut self, stored: StoredConfiguration, format: &dyn ConfigurationFormat) -> bool {
        let before = self.version();
        if stored.version <= before {
            return false;
        }
        match format.decode(&stored.text) {
            Ok(configuration) => {
                log::info!(version = stored.version, before; "a configuration is in force");
                self.held = Some((stored, Arc::new(configuration)));
                true
            }
            Err(fault) => {
                log::error!(version = stored.version, before; "a configuration cannot be read: {fault}");
                false
            }
        }
    }
}
