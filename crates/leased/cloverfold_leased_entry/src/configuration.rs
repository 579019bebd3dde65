//! The configuration in force at an entry, and the limit on fetches of a newer one.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_configuration::{Configuration, ConfigurationFormat, StoredConfiguration, Version};

/// A configuration in its received and its decoded form.
struct DecodedConfiguration {
    stored: StoredConfiguration,
    decoded: Arc<Configuration>,
}

/// The newest configuration that could be decoded; its version never decreases.
#[derive(Default)]
pub(crate) struct ConfigurationInForce {
    newest: Option<DecodedConfiguration>,
}

impl ConfigurationInForce {
    /// Returns the version of the configuration in force; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        self.newest
            .as_ref()
            .map_or(0, |newest| newest.stored.version)
    }

    /// Returns the decoded configuration.
    pub(crate) fn decoded(&self) -> Option<Arc<Configuration>> {
        self.newest.as_ref().map(|newest| newest.decoded.clone())
    }

    /// Returns the configuration as it was received, for sending it to peers.
    pub(crate) fn stored(&self) -> Option<&StoredConfiguration> {
        self.newest.as_ref().map(|newest| &newest.stored)
    }

    /// Puts a configuration in force if it is newer and can be decoded; returns whether it did. Logs a configuration that cannot be decoded
    /// and keeps the current one.
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
                log::info!(version = stored.version, before; "configuration in force");
                let decoded = Arc::new(configuration);
                self.newest = Some(DecodedConfiguration { stored, decoded });
                true
            }
            Err(error) => {
                log::error!(version = stored.version, before; "cannot decode configuration: {error}");
                false
            }
        }
    }
}

/// How long to wait for the reply to a fetch before fetching from another peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);

/// A fetch in flight.
#[derive(Clone, Copy)]
struct PendingFetch {
    /// Version of the configuration at the peer.
    version: Version,
    started_at: Timestamp,
}

/// Limits fetches of the configuration: many peers announce a new version at once, and one fetch is enough.
#[derive(Default)]
pub(crate) struct FetchLimiter {
    pending: Option<PendingFetch>,
}

impl FetchLimiter {
    /// Returns whether to fetch `version` from a peer now, and if so records the fetch as in flight.
    pub(crate) fn try_start(
        &mut self,
        version: Version,
        in_force: Version,
        now: Timestamp,
    ) -> bool {
        let is_in_flight = |fetch: PendingFetch| {
            fetch.version >= version && now < fetch.started_at + FETCH_TIMEOUT
        };
        if version <= in_force || self.pending.is_some_and(is_in_flight) {
            return false;
        }
        self.pending = Some(PendingFetch {
            version,
            started_at: now,
        });
        true
    }

    /// Records that the fetch has completed.
    pub(crate) fn finish(&mut self) {
        self.pending = None;
    }
}
