//! A cluster of real processes with sample targets. Each guard and each target is behind a fault-injecting proxy.

mod disturbances;
mod job;
mod process;
mod readiness;
mod submissions;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;
use std::sync::Mutex;

use cloverfold_claim::bootstrap_cell;
use cloverfold_claims_process::{list_guard_addresses, open_operator_network};
use cloverfold_claims_settings::CellSettings;
use cloverfold_faults::{TcpProxy, UdpProxy};
use cloverfold_load::{CallerClient, CallerKey};
use cloverfold_solo::{GuardAddresses, Installation, OPERATOR, SoloWorkspace, find_free_addresses};
use cloverfold_target::SampleTarget;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::checker::JobRecord;

use self::process::Process;

pub use self::job::{TestJob, unix_ms};
pub use self::readiness::wait_until;

const WORKSPACE: &str = "pharmacy";

/// Size and settings of a cluster.
pub struct ClusterConfig {
    pub guards: usize,
    pub entries: usize,
    pub slots: usize,
    /// Overrides fields of the cell's file.
    pub cell: Value,
    /// Overrides fields of each entry's file.
    pub entry: Value,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            guards: 5,
            entries: 2,
            slots: 8,
            cell: json!({}),
            entry: json!({}),
        }
    }
}

/// Running processes, which are killed when the cluster is dropped.
pub struct Cluster {
    folder: TempDir,
    pub installation: Installation,
    pub cell: CellSettings,
    pub targets: Vec<SampleTarget>,
    pub guard_links: Vec<UdpProxy>,
    pub target_links: Vec<TcpProxy>,
    peers: Vec<SocketAddr>,
    guard_http_addresses: Vec<SocketAddr>,
    pub entry_http_addresses: Vec<SocketAddr>,
    guards: Vec<Process>,
    entries: Vec<Process>,
    pub client: CallerClient,
    pub caller: CallerKey,
    records: Mutex<Vec<JobRecord>>,
}

impl Cluster {
    /// Starts a cluster and bootstraps its cell.
    pub async fn start(config: ClusterConfig) -> Self {
        let mut cluster = Self::start_without_bootstrap(config).await;
        cluster.bootstrap().await;
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts a cluster without bootstrapping its cell, so that its guards do not vote yet.
    pub async fn start_without_bootstrap(config: ClusterConfig) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let installation =
            Installation::create(folder.path(), config.guards, config.entries).unwrap();
        let peers = find_free_addresses(config.guards).unwrap();
        let guard_http_addresses = find_free_addresses(config.guards).unwrap();
        let entry_http_addresses = find_free_addresses(config.entries).unwrap();
        let mut targets = Vec::new();
        let mut guard_links = Vec::new();
        let mut target_links = Vec::new();
        for peer in &peers {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let target = SampleTarget::start(any).await.unwrap();
            target_links.push(TcpProxy::start(target.address()).await.unwrap());
            guard_links.push(UdpProxy::start(*peer).await.unwrap());
            targets.push(target);
        }
        let public: Vec<_> = guard_links.iter().map(UdpProxy::address).collect();
        let workspaces = [
            SoloWorkspace::named(WORKSPACE),
            SoloWorkspace::named("clinic"),
        ];
        let cell = installation
            .write_cell(&public, &workspaces, config.cell)
            .unwrap();
        let mut cluster = Self {
            folder,
            installation,
            cell,
            targets,
            guard_links,
            target_links,
            peers,
            guard_http_addresses,
            entry_http_addresses,
            guards: Vec::new(),
            entries: Vec::new(),
            client: CallerClient::new().unwrap(),
            caller: workspaces[0].caller.clone(),
            records: Mutex::default(),
        };
        cluster.start_processes(config.slots, &config.entry);
        cluster
    }

    fn start_processes(&mut self, slots: usize, entry: &Value) {
        for index in 0..self.peers.len() {
            let addresses = GuardAddresses {
                public: self.guard_links[index].address(),
                peer: self.peers[index],
                http: self.guard_http_addresses[index],
                target: self.target_links[index].address(),
            };
            let log = self.log_settings(&format!("guard-{}", index + 1));
            let file = self
                .installation
                .write_guard(index + 1, &addresses, slots, log)
                .unwrap();
            let mut process = Process {
                binary: env!("CARGO_BIN_EXE_cloverfold-guard"),
                args: vec![file],
                child: None,
            };
            process.start();
            self.guards.push(process);
        }
        for (index, http) in self.entry_http_addresses.iter().enumerate() {
            let mut extra = self.log_settings(&format!("entry-{}", index + 1));
            extra
                .as_object_mut()
                .unwrap()
                .extend(entry.as_object().unwrap().clone());
            let file = self
                .installation
                .write_entry(index + 1, *http, extra)
                .unwrap();
            let mut process = Process {
                binary: env!("CARGO_BIN_EXE_cloverfold"),
                args: vec!["entry".into(), file],
                child: None,
            };
            process.start();
            self.entries.push(process);
        }
    }

    fn log_settings(&self, name: &str) -> Value {
        let file = self.folder.path().join(format!("{name}.log"));
        json!({ "log": { "level": "debug", "file": file } })
    }

    /// Bootstraps the cell, as the command `found` does, once every guard answers requests.
    pub async fn bootstrap(&mut self) {
        self.wait_until_all_live().await;
        let network = open_operator_network(&self.installation.key_folder(), OPERATOR).unwrap();
        bootstrap_cell(&network, &list_guard_addresses(&self.cell))
            .await
            .unwrap();
    }

    async fn wait_until_all_live(&self) {
        for http in &self.guard_http_addresses {
            wait_until("a guard is up", async || {
                self.client.get_text(*http, "/healthz").await.is_ok()
            })
            .await;
        }
    }

    /// Runs an operator command on the cell's file and returns its output.
    pub fn run_operator(&self, command: &[&str], args: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_cloverfold"))
            .args(command)
            .arg(self.installation.cell_file())
            .args(args)
            .arg("--keys")
            .arg(self.installation.key_folder())
            .args(["--name", OPERATOR])
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{stderr}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Prints the last log lines of each process of a failed test.
    fn print_logs(&self) {
        const SHOWN_LINES: usize = 40;
        for entry in std::fs::read_dir(self.folder.path()).unwrap().flatten() {
            let path = entry.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                let text = std::fs::read_to_string(&path).unwrap_or_default();
                let lines: Vec<_> = text.lines().collect();
                let from = lines.len().saturating_sub(SHOWN_LINES);
                eprintln!("--- {}\n{}", path.display(), lines[from..].join("\n"));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}
