//! Starts and stops all processes of a claims installation as tasks of this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use cloverfold_app::RunningApp;
use cloverfold_claim::bootstrap_cell;
use cloverfold_claims_process::{
    list_guard_addresses, open_operator_network, start_entry, start_guard,
};
use cloverfold_claims_settings::{CellSettings, EntrySettings, GuardSettings};
use cloverfold_load::{CallerClient, read_metrics};
use cloverfold_settings::SettingsWithPaths;
use cloverfold_target::SampleTarget;
use serde_json::json;
use tempfile::TempDir;
use tokio::task::JoinSet;

use crate::error::SoloError;
use crate::installation::{GuardAddresses, Installation, OPERATOR, SoloWorkspace};
use crate::ports::find_free_addresses;

/// Timeout for the system to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Polling interval for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of the planned stop of one process.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Configuration of a solo system.
#[derive(Clone, Debug, PartialEq)]
pub struct SoloConfig {
    /// Number of guards, each with a target.
    pub guards: usize,
    /// Slots of each target.
    pub slots: usize,
    /// Number of entries.
    pub entries: usize,
    /// The workspaces.
    pub workspaces: Vec<SoloWorkspace>,
    /// Placement of tasks, as in the cell's settings.
    pub placement: &'static str,
    /// Whether one guard coordinates all jobs.
    pub has_lead: bool,
    /// Order of queued work, as in the cell's settings.
    pub queueing: &'static str,
}

impl Default for SoloConfig {
    fn default() -> Self {
        let names = ["pharmacy", "clinic", "station", "depot"];
        Self {
            guards: 11,
            slots: 8,
            entries: 3,
            workspaces: names.map(SoloWorkspace::named).into(),
            placement: "packed",
            has_lead: true,
            queueing: "fair",
        }
    }
}

/// A running system. Dropping it stops its processes and removes its files.
pub struct SoloSystem {
    folder: TempDir,
    installation: Installation,
    config: SoloConfig,
    targets: Vec<SampleTarget>,
    guards: Vec<RunningApp>,
    entries: Vec<RunningApp>,
}

impl SoloSystem {
    /// Starts all processes and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part could not start or did not become ready.
    pub async fn start(config: SoloConfig) -> Result<Self, SoloError> {
        let folder = tempfile::tempdir()?;
        let installation = Installation::create(folder.path(), config.guards, config.entries)?;
        let mut system = Self {
            folder,
            installation,
            config,
            targets: Vec::new(),
            guards: Vec::new(),
            entries: Vec::new(),
        };
        system.start_targets().await?;
        let cell = system.start_guards().await?;
        system.bootstrap_cell(&cell).await?;
        system.start_entries().await?;
        system.wait_ready().await?;
        Ok(system)
    }

    /// Returns the folder with the keys and settings.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the configuration of the system.
    pub fn config(&self) -> &SoloConfig {
        &self.config
    }

    /// Returns the targets.
    pub fn targets(&self) -> &[SampleTarget] {
        &self.targets
    }

    /// Lists the addresses of the entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(RunningApp::http_address).collect()
    }

    /// Lists the addresses of the metrics pages of all processes.
    pub fn metrics_addresses(&self) -> Vec<SocketAddr> {
        let processes = self.entries.iter().chain(&self.guards);
        processes.map(RunningApp::http_address).collect()
    }

    /// Returns the total number of starts at all targets.
    pub fn count_starts(&self) -> u64 {
        let journals = self.targets.iter().map(SampleTarget::journal);
        journals.map(|journal| journal.count_starts() as u64).sum()
    }

    /// Stops entries, then guards; returns whether all of them drained in time.
    pub async fn stop(self) -> bool {
        stop_all(self.entries).await && stop_all(self.guards).await
    }

    async fn start_targets(&mut self) -> Result<(), SoloError> {
        for _ in 0..self.config.guards {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            self.targets.push(SampleTarget::start(any).await?);
        }
        Ok(())
    }

    async fn start_guards(&mut self) -> Result<CellSettings, SoloError> {
        let peers = find_free_addresses(self.config.guards)?;
        let http_addresses = find_free_addresses(self.config.guards)?;
        let extra = json!({
            "placement": self.config.placement,
            "has_lead": self.config.has_lead,
            "queueing": self.config.queueing,
        });
        let cell = self
            .installation
            .write_cell(&peers, &self.config.workspaces, extra)?;
        for (index, target) in self.targets.iter().enumerate() {
            let addresses = GuardAddresses {
                public: peers[index],
                peer: peers[index],
                http: http_addresses[index],
                target: target.address(),
            };
            let slots = self.config.slots;
            let file = self
                .installation
                .write_guard(index + 1, &addresses, slots, json!({}))?;
            self.guards
                .push(start_guard(GuardSettings::read(&file)?).await?);
        }
        Ok(cell)
    }

    async fn bootstrap_cell(&self, cell: &CellSettings) -> Result<(), SoloError> {
        let network = open_operator_network(&self.installation.key_folder(), OPERATOR)?;
        bootstrap_cell(&network, &list_guard_addresses(cell)).await?;
        network.close().await;
        Ok(())
    }

    async fn start_entries(&mut self) -> Result<(), SoloError> {
        let http_addresses = find_free_addresses(self.config.entries)?;
        for (index, http) in http_addresses.into_iter().enumerate() {
            let file = self.installation.write_entry(index + 1, http, json!({}))?;
            self.entries
                .push(start_entry(EntrySettings::read(&file)?).await?);
        }
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), SoloError> {
        let client = CallerClient::new()?;
        let until = Instant::now() + READY_TIMEOUT;
        for address in self.metrics_addresses() {
            while client.get_text(address, "/readyz").await?.0 != 200 {
                if Instant::now() > until {
                    return Err(SoloError::NotReady(address.to_string()));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        while self.config.has_lead && !self.has_acting_lead(&client).await? {
            if Instant::now() > until {
                return Err(SoloError::NotReady("the lead".into()));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether every process reports the first guard, whose id is 1, as the acting lead.
    async fn has_acting_lead(&self, client: &CallerClient) -> Result<bool, SoloError> {
        let processes = self.metrics_addresses();
        let metrics = read_metrics(client, &processes).await?;
        Ok(metrics.sum_of("cloverfold_acting_lead") as usize == processes.len())
    }
}

async fn stop_all(processes: Vec<RunningApp>) -> bool {
    let mut stops = JoinSet::new();
    for process in processes {
        stops.spawn(process.stop(STOP_TIMEOUT));
    }
    let outcomes = stops.join_all().await;
    outcomes.into_iter().all(|is_drained| is_drained)
}
