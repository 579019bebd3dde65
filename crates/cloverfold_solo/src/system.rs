//! Start and stop of all roles in one process.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cloverfold_app::Running;
use cloverfold_claim::found_cell;
use cloverfold_load::{CallerClient, CallerKey};
use cloverfold_net::make_key_set;
use cloverfold_process::{list_guard_addresses, open_operator_network, start_entry, start_guard};
use cloverfold_settings::{
    CellSettings, EntrySettings, GuardSettings, hash_caller_key, read_settings,
};
use cloverfold_target::SampleTarget;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::error::SoloError;

/// Name of the one service of a solo system.
pub const SERVICE: &str = "sample";
const OPERATOR: &str = "operator-solo";
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const HALLS: usize = 3;
const BOXES_PER_RACK: usize = 3;

/// A customer of a solo system.
#[derive(Clone, Debug, PartialEq)]
pub struct SoloCustomer {
    /// Who it is.
    pub caller: CallerKey,
    /// Its weight.
    pub weight: f64,
}

/// Size of a solo system.
#[derive(Clone, Debug, PartialEq)]
pub struct SoloConfig {
    /// Number of guards, each with a target.
    pub guards: usize,
    /// Slots of each target.
    pub slots: usize,
    /// Number of entries.
    pub entries: usize,
    /// The customers.
    pub customers: Vec<SoloCustomer>,
    /// How tasks are placed, as in the cell's settings.
    pub placement: &'static str,
}

impl Default for SoloConfig {
    fn default() -> Self {
        let customer = |name: &str| SoloCustomer {
            caller: CallerKey {
                customer: name.into(),
                key: format!("{name}-key"),
            },
            weight: 1.0,
        };
        Self {
            guards: 11,
            slots: 8,
            entries: 3,
            customers: ["pharmacy", "clinic", "station", "depot"]
                .map(customer)
                .into(),
            placement: "least_loaded",
        }
    }
}

/// A running system; its files are removed when it is dropped.
pub struct SoloSystem {
    folder: TempDir,
    config: SoloConfig,
    targets: Vec<SampleTarget>,
    guards: Vec<Running>,
    entries: Vec<Running>,
}

impl SoloSystem {
    /// Starts all roles and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Says which part could not start.
    pub async fn start(config: SoloConfig) -> Result<Self, SoloError> {
        let folder = tempfile::tempdir()?;
        let mut system = Self {
            folder,
            config,
            targets: Vec::new(),
            guards: Vec::new(),
            entries: Vec::new(),
        };
        system.make_keys()?;
        system.start_targets().await?;
        let cell = system.write_cell()?;
        system.start_guards(&cell).await?;
        system.found(&cell).await?;
        system.start_entries().await?;
        system.wait_ready().await?;
        Ok(system)
    }

    /// Returns the folder with keys and settings.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the size of the system.
    pub fn config(&self) -> &SoloConfig {
        &self.config
    }

    /// Returns the targets.
    pub fn targets(&self) -> &[SampleTarget] {
        &self.targets
    }

    /// Lists the callers' addresses.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Running::http_address).collect()
    }

    /// Lists the addresses of all metrics pages.
    pub fn metrics_addresses(&self) -> Vec<SocketAddr> {
        let processes = self.entries.iter().chain(&self.guards);
        processes.map(Running::http_address).collect()
    }

    /// Returns the number of starts at all targets.
    pub fn count_starts(&self) -> u64 {
        let counts = self.targets.iter();
        counts
            .map(|target| target.journal().count_starts() as u64)
            .sum()
    }

    /// Stops entries, then guards; returns whether all ended in time.
    pub async fn stop(self) -> bool {
        let mut is_drained = true;
        for process in self.entries.into_iter().chain(self.guards) {
            is_drained &= process.stop(STOP_TIMEOUT).await;
        }
        is_drained
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn make_keys(&self) -> Result<(), SoloError> {
        let guards = (1..=self.config.guards).map(|id| format!("guard-{id}"));
        let entries = (1..=self.config.entries).map(|id| format!("entry-{id}"));
        let names: Vec<String> = guards.chain(entries).chain([OPERATOR.into()]).collect();
        Ok(make_key_set(&self.path("keys"), &names)?)
    }

    async fn start_targets(&mut self) -> Result<(), SoloError> {
        for _ in 0..self.config.guards {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            self.targets.push(SampleTarget::start(any).await?);
        }
        Ok(())
    }

    fn write_cell(&self) -> Result<CellSettings, SoloError> {
        let mut guards = Vec::new();
        for (index, address) in find_udp_addresses(self.config.guards)?
            .into_iter()
            .enumerate()
        {
            guards.push(json!({
                "id": index + 1,
                "hall": format!("hall-{}", index % HALLS + 1),
                "rack": format!("rack-{}", index / (HALLS * BOXES_PER_RACK) + 1),
                "address": address,
            }));
        }
        let customers = self.config.customers.iter().map(|customer| {
            json!({
                "name": customer.caller.customer,
                "key_sha256": hash_caller_key(&customer.caller.key),
                "weight": customer.weight,
            })
        });
        let cell = json!({
            "replicas": self.config.guards.min(3) / 2 * 2 + 1,
            "placement": self.config.placement,
            "guards": guards,
            "services": [{ "name": SERVICE }],
            "customers": customers.collect::<Vec<_>>(),
        });
        let file = self.write_settings("cell.jsonc", &cell)?;
        Ok(read_settings(&file)?)
    }

    async fn start_guards(&mut self, cell: &CellSettings) -> Result<(), SoloError> {
        for (place, target) in cell.guards.iter().zip(&self.targets) {
            let name = format!("guard-{}", place.id);
            let settings = json!({
                "id": place.id,
                "cell": "cell.jsonc",
                "peer_address": place.address,
                "http_address": find_tcp_address()?,
                "keys": key_settings(&name),
                "target": { "address": target.address(), "slots": self.config.slots },
            });
            let file = self.write_settings(&format!("{name}.jsonc"), &settings)?;
            let running = start_guard(GuardSettings::read(&file)?).await?;
            self.guards.push(running);
        }
        Ok(())
    }

    async fn found(&self, cell: &CellSettings) -> Result<(), SoloError> {
        let network = open_operator_network(&self.path("keys"), OPERATOR)?;
        found_cell(&network, &list_guard_addresses(cell)).await?;
        network.close().await;
        Ok(())
    }

    async fn start_entries(&mut self) -> Result<(), SoloError> {
        for id in 1..=self.config.entries {
            let name = format!("entry-{id}");
            let settings = json!({
                "name": name,
                "cell": "cell.jsonc",
                "peer_address": "127.0.0.1:0",
                "http_address": find_tcp_address()?,
                "keys": key_settings(&name),
                "linger_ms": 0,
            });
            let file = self.write_settings(&format!("{name}.jsonc"), &settings)?;
            let running = start_entry(EntrySettings::read(&file)?).await?;
            self.entries.push(running);
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
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    fn write_settings(&self, name: &str, settings: &Value) -> Result<PathBuf, SoloError> {
        let file = self.path(name);
        fs::write(&file, format!("{settings:#}\n"))?;
        Ok(file)
    }
}

fn key_settings(name: &str) -> Value {
    json!({
        "authority": "keys/authority.pem",
        "certificate": format!("keys/{name}.pem"),
        "private_key": format!("keys/{name}.key"),
    })
}

/// Finds free UDP addresses, holding all at once so that they differ.
fn find_udp_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> = (0..count)
        .map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

fn find_tcp_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
