//! Settings of planned upkeep: where the platform's interface for boxes is, and the bounds that it keeps.
//!
//! Owns the checks of [`UpkeepSettings`].

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_settings::ValidationErrors;
use serde::Deserialize;

/// How control processes call for the upkeep of boxes; without these settings they take no order of a wave.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpkeepSettings {
    /// Where the platform serves its list of boxes and takes calls.
    pub address: SocketAddr,
    /// How many calls a second the platform takes from all processes together.
    #[serde(default = "default_rate")]
    pub calls_per_second: f64,
    /// How many readings of a page of its list a second it takes from all processes together.
    #[serde(default = "default_rate")]
    pub readings_per_second: f64,
    /// How long a box is away for its upkeep, in seconds.
    #[serde(default = "default_maintenance_s")]
    pub maintenance_s: f64,
    /// How long after the last call of one process another may call for the same box, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long a process that was frozen may take to find out, in milliseconds.
    #[serde(default = "default_thaw_ms")]
    pub thaw_ms: u64,
    /// How old the list may be, in seconds.
    #[serde(default = "default_list_lag_s")]
    pub list_lag_s: f64,
    /// How long a box gets no new work before it is called, in milliseconds.
    #[serde(default = "default_empty_ms")]
    pub empty_ms: u64,
}

/// A rate that any platform takes. Chosen, not measured.
fn default_rate() -> f64 {
    10.0
}

/// Chosen, not measured.
fn default_maintenance_s() -> f64 {
    2.0
}

/// Chosen, not measured.
fn default_lease_ms() -> u64 {
    3_000
}

/// Chosen, not measured.
fn default_thaw_ms() -> u64 {
    300
}

/// Chosen, not measured.
fn default_list_lag_s() -> f64 {
    3.0
}

/// Chosen, not measured: most tasks take less than a second.
fn default_empty_ms() -> u64 {
    1_000
}

impl UpkeepSettings {
    /// Returns how long a box is away for its upkeep.
    pub fn maintenance_duration(&self) -> Duration {
        Duration::from_secs_f64(self.maintenance_s)
    }

    /// Returns how old the list may be.
    pub fn list_lag(&self) -> Duration {
        Duration::from_secs_f64(self.list_lag_s)
    }

    /// Returns how long a process leaves a box alone that another may have called.
    pub fn takeover_delay(&self) -> Duration {
        Duration::from_millis(self.lease_ms + self.thaw_ms)
    }

    /// Returns how long a box gets no new work before it is called.
    pub fn drain_duration(&self) -> Duration {
        Duration::from_millis(self.empty_ms)
    }

    /// Returns the span between two calls that keeps to half of the platform's rate: a process that is being replaced may still call.
    pub fn call_interval(&self) -> Duration {
        Duration::from_secs_f64(2.0 / self.calls_per_second)
    }

    /// Returns the span between two readings that keeps to half of the platform's rate.
    pub fn reading_interval(&self) -> Duration {
        Duration::from_secs_f64(2.0 / self.readings_per_second)
    }

    pub(crate) fn validate(&self, errors: &mut ValidationErrors) {
        let is_rate = |rate: f64| (0.01..=1e6).contains(&rate);
        let is_span = |seconds: f64| (0.0..=86_400.0).contains(&seconds);
        errors.add_if(
            !is_rate(self.calls_per_second),
            "upkeep.calls_per_second",
            "must be from 0.01 to 1000000",
        );
        errors.add_if(
            !is_rate(self.readings_per_second),
            "upkeep.readings_per_second",
            "must be from 0.01 to 1000000",
        );
        errors.add_if(
            !is_span(self.maintenance_s),
            "upkeep.maintenance_s",
            "must be from 0 to 86400",
        );
        errors.add_if(
            !is_span(self.list_lag_s),
            "upkeep.list_lag_s",
            "must be from 0 to 86400",
        );
    }
}
