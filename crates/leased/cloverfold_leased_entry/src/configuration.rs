//! The configuration in force at an entry, and when a newer one is fetched.
//!
//! Owns the newest configuration that could be decoded; its version only ever rises. Relies on a [`ConfigurationFormat`] to decode
//! texts.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_configuration::{Configuration, ConfigurationFormat, StoredConfiguration, Version};

/// A configuration as it was received and as it was decoded.
struct DecodedConfiguration {
    stored: StoredConfiguration,
    decoded: Arc<Configuration>,
}

/// The configuration in force; none before the first.
#[derive(Default)]
pub(crate) struct ConfigurationInForce {
    newest: Option<DecodedConfiguration>,
}

impl ConfigurationInForce {
    /// Returns the version; 0 before the first configuration.
    pub(crate) fn version(&self) -> Version {
        self.newest
            .as_ref()
            .map_or(0, |newest| newest.stored.version)
    }

    /// Returns the configuration as it was decoded.
    pub(crate) fn decoded(&self) -> Option<Arc<Configuration>> {
        self.newest.as_ref().map(|newest| newest.decoded.clone())
    }

    /// Returns the configuration as it was received, to pass it on.
    pub(crate) fn stored(&self) -> Option<&StoredConfiguration> {
        self.newest.as_ref().map(|newest| &newest.stored)
    }

    /// Puts a configuration in force if it is newer and can be decoded; returns whether it was. One that cannot be decoded is logged,
    /// and the present one stays in force.
    pub(crate) fn replace(
        &mut self,
        stored: StoredConfiguration,
        format: &dyn ConfigurationFormat,
    ) -> bool {
        let before = self.version();
        if stored.version <= before {
            return false;
        }
        match format.decode(&stored.text) {
            Ok(configuration) => {
                log::info!(version = stored.version, before; "a configuration is in force");
                let decoded = Arc::new(configuration);
                self.newest = Some(DecodedConfiguration { stored, decoded });
                true
            }
            Err(fault) => {
                log::error!(version = stored.version, before; "a configuration cannot be read: {fault}");
                false
            }
        }
    }
}

/// How long an answer to a fetch is awaited before another peer may be asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);

/// A fetch that was sent and not answered yet.
#[derive(Clone, Copy)]
struct OpenFetch {
    /// The version that the asked peer has.
    version: Version,
    asked_at: Timestamp,
}

/// Bounds how often the configuration is fetched: many peers announce a new version at once, and one of them is enough.
#[derive(Default)]
pub(crate) struct FetchLimiter {
    open: Option<OpenFetch>,
}

impl FetchLimiter {
    /// Returns whether a peer that has `version` is to be asked now, and if so counts it as asked.
    pub(crate) fn try_begin(
        &mut self,
        version: Version,
        in_force: Version,
        now: Timestamp,
    ) -> bool {
        let is_asked =
            |open: OpenFetch| open.version >= version && now < open.asked_at + FETCH_TIMEOUT;
        if version <= in_force || self.open.is_some_and(is_asked) {
            return false;
        }
        self.open = Some(OpenFetch {
            version,
            asked_at: now,
        });
        true
    }

    /// Counts the fetch as answered.
    pub(crate) fn finish(&mut self) {
        self.open = None;
    }
}
