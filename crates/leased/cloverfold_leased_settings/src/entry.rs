//! Settings of a leased entry.
//!
//! Owns the checks of [`LeasedEntrySettings`]. Relies on the settings that it shares with the other processes.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_settings::{LogSettings, Validate, ValidationErrors};
use serde::Deserialize;

use crate::lease::LeaseSettings;
use crate::peer::PeerSettings;

/// How long a stopping entry takes new requests unless the settings say otherwise, in milliseconds. Chosen, not measured.
const DEFAULT_LINGER_MS: u64 = 2_200;

/// Settings of one `cloverfold leased-entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedEntrySettings {
    /// What all processes are told.
    pub peer: PeerSettings,
    /// Bounds of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// TCP address to serve callers on.
    pub client_address: SocketAddr,
    /// TCP address at which the balancer asks whether this entry is ready.
    pub ready_address: SocketAddr,
    /// How long a planned stop may take before what is left is given up, in milliseconds.
    pub drain_ms: u64,
    /// How long a stopping entry takes new requests, so that the balancer can notice, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_linger_ms() -> u64 {
    DEFAULT_LINGER_MS
}

impl LeasedEntrySettings {
    /// Returns how long a planned stop may take.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns how long a stopping entry takes new requests.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

impl Validate for LeasedEntrySettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        self.peer.validate(errors);
        self.lease.validate(errors);
        errors.add_if(
            self.client_address == self.ready_address,
            "ready_address",
            "must differ from client_address",
        );
        errors.add_if(
            self.linger_ms >= self.drain_ms,
            "linger_ms",
            "must be below drain_ms",
        );
    }
}
