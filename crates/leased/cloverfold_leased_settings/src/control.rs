//! Settings of a control process.
//!
//! Owns the checks of [`ControlSettings`]. Relies on the settings that it shares with the other processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use cloverfold_settings::{Check, FaultList, LogSettings};
use serde::Deserialize;

use crate::peer::PeerSettings;

/// Most control processes that may be lost at once: nine would keep the configuration. Chosen, not measured.
const MAX_TOLERATED_LOSSES: usize = 4;

/// Settings of one `cloverfold control`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
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
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

impl Check for ControlSettings {
    fn check(&self, faults: &mut FaultList) {
        self.peer.check(faults);
        faults.add_if(
            self.data_folder.as_os_str().is_empty(),
            "data_folder",
            "must name a folder",
        );
        faults.add_if(
            self.tolerated_losses > MAX_TOLERATED_LOSSES,
            "tolerated_losses",
            "must be at most 4: nine control processes",
        );
    }
}
