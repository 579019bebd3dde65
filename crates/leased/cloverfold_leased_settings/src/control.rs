//! Settings of a control process.
//!
//! Owns the checks of [`ControlSettings`]. Relies on the settings that it shares with the other processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cloverfold_evacuation::{DataHall, HallNames};
use cloverfold_kept_jobs::MAX_GROUPS;
use cloverfold_settings::{LogSettings, Validate, ValidationErrors};
use serde::Deserialize;

use crate::peer::PeerSettings;
use crate::upkeep::UpkeepSettings;

/// Most control processes that may be lost at once: nine would keep the configuration. Chosen, not measured.
const MAX_TOLERATED_LOSSES: usize = 4;

/// [`ControlSettings::job_groups`] unless it is set. Chosen, not measured.
const DEFAULT_JOB_GROUPS: u32 = 1;
/// [`ControlSettings::status_s`] unless it is set. Chosen, not measured.
const DEFAULT_STATUS_S: u64 = 150;

/// Settings of one `cloverfold control`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// What all processes are told.
    pub peer: PeerSettings,
    /// TCP address to serve operators on.
    pub operator_address: SocketAddr,
    /// Folder of this process's own state; nobody else writes there.
    pub data_folder: PathBuf,
    /// Whether the whole installation starts for the first time: the seeds then found its group.
    pub may_found: bool,
    /// How many control processes may be lost at once; twice as many and one more keep the configuration.
    pub tolerated_losses: usize,
    /// How many groups keep jobs, agreed on once when the installation begins or is upgraded; 0 keeps none.
    #[serde(default = "default_job_groups")]
    pub job_groups: u32,
    /// How long a kept job is remembered after its end, in seconds.
    #[serde(default = "default_status_s")]
    pub status_s: u64,
    /// The data halls of the installation; an order for any other is refused. Where none is named, every name is accepted.
    #[serde(default)]
    pub halls: Vec<DataHall>,
    /// Planned upkeep of boxes; without it, no order of a wave is taken.
    pub upkeep: Option<UpkeepSettings>,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

impl Validate for ControlSettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        self.peer.validate(errors);
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
        self.check_halls(errors);
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
    /// Returns how long a kept job is remembered after its end.
    pub fn status_retention(&self) -> Duration {
        Duration::from_secs(self.status_s)
    }

    fn check_halls(&self, errors: &mut ValidationErrors) {
        let any_name = HallNames::default();
        let is_malformed = |hall: &DataHall| any_name.check(hall).is_err();
        errors.add_if(
            self.halls.iter().any(is_malformed),
            "halls",
            "each must have 1 to 128 letters, digits, dots, hyphens or underscores",
        );
        let is_own_missing = !self.halls.is_empty() && !self.halls.contains(&self.peer.data_hall);
        errors.add_if(is_own_missing, "halls", "must name peer.hall");
    }
}
