//! Settings of a leased guard.
//!
//! Owns the checks of [`LeasedGuardSettings`]. Relies on the settings that it shares with the other processes.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_settings::{LogSettings, Validate, ValidationErrors};
use serde::Deserialize;

use crate::lease::LeaseSettings;
use crate::peer::PeerSettings;

/// Settings of one `cloverfold-guard` that leases its target's runs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedGuardSettings {
    /// What all processes are told.
    pub peer: PeerSettings,
    /// Bounds of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// TCP address at which the target beside this guard registers.
    pub registration_address: SocketAddr,
    /// How long a planned stop may take before what is left is given up, in milliseconds.
    pub drain_ms: u64,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

impl LeasedGuardSettings {
    /// Returns how long a planned stop may take.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl Validate for LeasedGuardSettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        self.peer.validate(errors);
        self.lease.validate(errors);
    }
}
