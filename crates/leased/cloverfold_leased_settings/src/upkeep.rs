//! Settings of planned upkeep: the address of the platform's interface for boxes, and its limits.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_settings::ValidationErrors;
use serde::Deserialize;

/// How control processes request the upkeep of boxes; without these settings they refuse orders for upkeep waves.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpkeepSettings {
    /// Address at which the platform serves its list of boxes and accepts calls.
    pub address: SocketAddr,
    /// Rate limit of the platform for calls from all processes together, per second.
    #[serde(default = "default_rate_limit")]
    pub calls_per_second: f64,
    /// Rate limit of the platform for reads of a page of its list from all processes together, per second.
    #[serde(default = "default_rate_limit")]
    pub readings_per_second: f64,
    /// How long a box is down for its upkeep, in seconds.
    #[serde(default = "default_maintenance_s")]
    pub maintenance_s: f64,
    /// How long after the last call of one process another process may call for the same box, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long a process may take to detect that it was stalled, in milliseconds.
    #[serde(default = "default_thaw_ms")]
    pub thaw_ms: u64,
    /// Maximum age of the list of boxes, in seconds.
    #[serde(default = "default_list_lag_s")]
    pub list_lag_s: f64,
    /// How long a box is drained before the call for its upkeep, in milliseconds.
    #[serde(default = "default_empty_ms")]
    pub empty_ms: u64,
}

/// Default of both rate limits, low enough for any platform.
fn default_rate_limit() -> f64 {
    10.0
}

/// Default of [`UpkeepSettings::maintenance_s`].
fn default_maintenance_s() -> f64 {
    2.0
}

/// Default of [`UpkeepSettings::lease_ms`].
fn default_lease_ms() -> u64 {
    3_000
}

/// Default of [`UpkeepSettings::thaw_ms`].
fn default_thaw_ms() -> u64 {
    300
}

/// Default of [`UpkeepSettings::list_lag_s`].
fn default_list_lag_s() -> f64 {
    3.0
}

/// Default of [`UpkeepSettings::empty_ms`]; most tasks take less than a second.
fn default_empty_ms() -> u64 {
    1_000
}

impl UpkeepSettings {
    /// Returns how long a box is down for its upkeep.
    pub fn maintenance_duration(&self) -> Duration {
        Duration::from_secs_f64(self.maintenance_s)
    }

    /// Returns the maximum age of the list of boxes.
    pub fn list_lag(&self) -> Duration {
        Duration::from_secs_f64(self.list_lag_s)
    }

    /// Returns how long a process waits before it calls for a box that another process may have called for.
    pub fn takeover_delay(&self) -> Duration {
        Duration::from_millis(self.lease_ms + self.thaw_ms)
    }

    /// Returns how long a box is drained before the call for its upkeep.
    pub fn drain_duration(&self) -> Duration {
        Duration::from_millis(self.empty_ms)
    }

    /// Returns the interval between calls. It uses half of the rate limit, because a process that is being replaced may still make calls.
    pub fn call_interval(&self) -> Duration {
        Duration::from_secs_f64(2.0 / self.calls_per_second)
    }

    /// Returns the interval between reads of the list, which uses half of the rate limit.
    pub fn reading_interval(&self) -> Duration {
        Duration::from_secs_f64(2.0 / self.readings_per_second)
    }

    pub(crate) fn validate(&self, errors: &mut ValidationErrors) {
        let is_valid_rate = |rate: f64| (0.01..=1e6).contains(&rate);
        let is_valid_duration = |seconds: f64| (0.0..=86_400.0).contains(&seconds);
        errors.add_if(
            !is_valid_rate(self.calls_per_second),
            "upkeep.calls_per_second",
            "must be from 0.01 to 1000000",
        );
        errors.add_if(
            !is_valid_rate(self.readings_per_second),
            "upkeep.readings_per_second",
            "must be from 0.01 to 1000000",
        );
        errors.add_if(
            !is_valid_duration(self.maintenance_s),
            "upkeep.maintenance_s",
            "must be from 0 to 86400",
        );
        errors.add_if(
            !is_valid_duration(self.list_lag_s),
            "upkeep.list_lag_s",
            "must be from 0 to 86400",
        );
    }
}
