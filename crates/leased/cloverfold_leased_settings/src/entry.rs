//! Settings of a leased entry.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_connections::BudgetLimits;
use cloverfold_settings::{LogSettings, Validate, ValidationErrors};
use serde::Deserialize;

use crate::clients::ClientSettings;
use crate::lease::LeaseSettings;
use crate::peer::PeerSettings;

/// Default of [`LeasedEntrySettings::linger_ms`].
const DEFAULT_LINGER_MS: u64 = 2_200;
/// Default of [`ClientSettings::memory_mb`].
const DEFAULT_CLIENT_MEMORY_MB: usize = 40;

/// Settings of one `cloverfold leased-entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedEntrySettings {
    /// Settings that all processes have.
    pub peer: PeerSettings,
    /// Timing bounds of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// TCP address that serves callers.
    pub client_address: SocketAddr,
    /// TCP address of the readiness check for the load balancer.
    pub ready_address: SocketAddr,
    /// Timeout of a graceful shutdown, after which remaining work is abandoned, in milliseconds.
    pub drain_ms: u64,
    /// How long a stopping entry still accepts requests, so that the load balancer can detect that it is not ready, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Limits of what the process holds for its clients.
    #[serde(default)]
    pub clients: ClientSettings,
    /// Destination of log lines.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_linger_ms() -> u64 {
    DEFAULT_LINGER_MS
}

impl LeasedEntrySettings {
    /// Returns the limits of what the process holds for callers.
    pub fn client_limits(&self) -> BudgetLimits {
        self.clients.limits(DEFAULT_CLIENT_MEMORY_MB)
    }

    /// Returns the timeout of a graceful shutdown.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns how long a stopping entry still accepts requests.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

impl Validate for LeasedEntrySettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        self.peer.validate(errors);
        self.clients.validate(errors);
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
