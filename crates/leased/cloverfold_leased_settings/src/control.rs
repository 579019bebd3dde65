//! Settings of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cloverfold_connections::BudgetLimits;
use cloverfold_evacuation::{DataHall, HallNames};
use cloverfold_kept_jobs::MAX_GROUPS;
use cloverfold_settings::{LogSettings, Validate, ValidationErrors};
use serde::Deserialize;

use crate::clients::ClientSettings;
use crate::peer::PeerSettings;
use crate::upkeep::UpkeepSettings;

/// Maximum of [`ControlSettings::tolerated_losses`], for which nine control processes replicate the configuration.
const MAX_TOLERATED_LOSSES: usize = 4;

/// Default of [`ControlSettings::job_groups`].
const DEFAULT_JOB_GROUPS: u32 = 1;
/// Default of [`ControlSettings::status_s`].
const DEFAULT_STATUS_S: u64 = 150;
/// Default of [`ClientSettings::memory_mb`].
const DEFAULT_CLIENT_MEMORY_MB: usize = 64;

/// Settings of one `cloverfold control`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Settings that all processes have.
    pub peer: PeerSettings,
    /// TCP address that serves operators.
    pub operator_address: SocketAddr,
    /// Folder of this process's state; no other process may write there.
    pub data_folder: PathBuf,
    /// Whether the installation starts for the first time, in which case the seeds bootstrap its group.
    pub may_found: bool,
    /// Number of control processes that may fail at once; twice as many plus one replicate the configuration.
    pub tolerated_losses: usize,
    /// Number of groups that replicate kept jobs, fixed when the installation starts for the first time or is upgraded; 0 disables kept
    /// jobs.
    #[serde(default = "default_job_groups")]
    pub job_groups: u32,
    /// How long the state of a kept job is retained after its end, in seconds.
    #[serde(default = "default_status_s")]
    pub status_s: u64,
    /// Data halls of the installation; orders for other halls are refused. If empty, every valid name is accepted.
    #[serde(default)]
    pub halls: Vec<DataHall>,
    /// Planned upkeep of boxes; without it, orders for upkeep waves are refused.
    pub upkeep: Option<UpkeepSettings>,
    /// Limits of what the process holds for its clients.
    #[serde(default)]
    pub clients: ClientSettings,
    /// Destination of log lines.
    #[serde(default)]
    pub log: LogSettings,
}

impl Validate for ControlSettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        self.peer.validate(errors);
        self.clients.validate(errors);
        errors.add_if(
            self.data_folder.as_os_str().is_empty(),
            "data_folder",
            "must name a folder",
        );
        errors.add_if(
            self.tolerated_losses > MAX_TOLERATED_LOSSES,
            "tolerated_losses",
            "must be at most 4: nine control processes",
        );
        errors.add_if(
            self.job_groups > MAX_GROUPS,
            "job_groups",
            "must be at most 16",
        );
        self.validate_halls(errors);
        if let Some(upkeep) = &self.upkeep {
            upkeep.validate(errors);
        }
    }
}

fn default_job_groups() -> u32 {
    DEFAULT_JOB_GROUPS
}

fn default_status_s() -> u64 {
    DEFAULT_STATUS_S
}

impl ControlSettings {
    /// Returns the limits of what the process holds for operators.
    pub fn client_limits(&self) -> BudgetLimits {
        self.clients.limits(DEFAULT_CLIENT_MEMORY_MB)
    }

    /// Returns how long the state of a kept job is retained after its end.
    pub fn status_retention(&self) -> Duration {
        Duration::from_secs(self.status_s)
    }

    fn validate_halls(&self, errors: &mut ValidationErrors) {
        let unrestricted = HallNames::default();
        let is_malformed = |hall: &DataHall| unrestricted.check(hall).is_err();
        errors.add_if(
            self.halls.iter().any(is_malformed),
            "halls",
            "each must have 1 to 128 letters, digits, dots, hyphens or underscores",
        );
        let is_own_hall_missing =
            !self.halls.is_empty() && !self.halls.contains(&self.peer.data_hall);
        errors.add_if(is_own_hall_missing, "halls", "must name peer.hall");
    }
}
