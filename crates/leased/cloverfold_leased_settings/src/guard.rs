//! Settings of a leased guard.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_connections::BudgetLimits;
use cloverfold_settings::{LogSettings, Validate, ValidationErrors};
use serde::Deserialize;

use crate::clients::ClientSettings;
use crate::lease::LeaseSettings;
use crate::peer::PeerSettings;

/// Default of [`ClientSettings::memory_mb`].
const DEFAULT_CLIENT_MEMORY_MB: usize = 16;

/// Settings of one `cloverfold-guard --leased`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedGuardSettings {
    /// Settings that all processes have.
    pub peer: PeerSettings,
    /// Timing bounds of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// TCP address on which the target of this guard registers.
    pub registration_address: SocketAddr,
    /// Timeout of a graceful shutdown, after which remaining work is abandoned, in milliseconds.
    pub drain_ms: u64,
    /// Limits of what the process holds for its clients.
    #[serde(default)]
    pub clients: ClientSettings,
    /// Destination of log lines.
    #[serde(default)]
    pub log: LogSettings,
}

impl LeasedGuardSettings {
    /// Returns the limits of what the process holds for its target.
    pub fn client_limits(&self) -> BudgetLimits {
        self.clients.limits(DEFAULT_CLIENT_MEMORY_MB)
    }

    /// Returns the timeout of a graceful shutdown.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl Validate for LeasedGuardSettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        self.peer.validate(errors);
        self.clients.validate(errors);
        self.lease.validate(errors);
    }
}
