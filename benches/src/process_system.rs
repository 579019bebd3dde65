//! A claims installation of real processes on this box, with sample targets in the process of the bench.
//!
//! Needs release binaries, which must have been built before.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cloverfold_claim::bootstrap_cell;
use cloverfold_claims_process::{list_guard_addresses, open_operator_network};
use cloverfold_claims_settings::CellSettings;
use cloverfold_load::{CallerClient, CallerKey, read_metrics};
use cloverfold_solo::{GuardAddresses, Installation, OPERATOR, SoloWorkspace, find_free_addresses};
use cloverfold_target::SampleTarget;
use eyre::{Result, bail};
use serde_json::json;
use tempfile::TempDir;
use tokio::time::sleep;

/// Longest wait until the system is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const PAGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longer than [`PAGE_POLL_INTERVAL`], since each poll reads the metrics of every guard.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(100);
const SLOTS_PER_TARGET: usize = 8;
/// Names of the workspaces that submit jobs.
const WORKSPACES: [&str; 4] = ["pharmacy", "clinic", "station", "depot"];

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The guard that coordinates all jobs.
    Lead,
    /// Any other guard.
    Guard,
    /// An entry.
    Entry,
}

struct Process {
    role: Role,
    http: SocketAddr,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running installation. Dropping it kills the processes and deletes their settings.
pub struct ProcessSystem {
    _folder: TempDir,
    targets: Vec<SampleTarget>,
    guards: usize,
    processes: Vec<Process>,
    client: CallerClient,
}

impl ProcessSystem {
    /// Starts guards and entries, bootstraps the cell and waits until all are ready and every guard counts all guards as live.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or become ready in time, or if the release binaries have not been built.
    pub async fn start(guards: usize, entries: usize) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let installation = Installation::create(folder.path(), guards, entries)?;
        let mut system = Self {
            _folder: folder,
            targets: Vec::new(),
            guards,
            processes: Vec::new(),
            client: CallerClient::new()?,
        };
        let cell = system.start_guards(&installation).await?;
        system.start_entries(&installation, entries)?;
        system.wait_until_pages_are_ok("/healthz").await?;
        bootstrap(&installation, &cell).await?;
        system.wait_until_pages_are_ok("/readyz").await?;
        system.wait_until_all_live().await?;
        Ok(system)
    }

    /// Writes the cell's file and starts a target and a guard for each guard in it.
    async fn start_guards(&mut self, installation: &Installation) -> Result<CellSettings> {
        let peers = find_free_addresses(self.guards)?;
        let workspaces: Vec<_> = WORKSPACES
            .iter()
            .map(|name| SoloWorkspace::named(name))
            .collect();
        let cell = installation.write_cell(&peers, &workspaces, json!({}))?;
        for (index, peer) in peers.into_iter().enumerate() {
            let target = SampleTarget::start((Ipv4Addr::LOCALHOST, 0).into()).await?;
            let http = find_free_addresses(1)?[0];
            let addresses = GuardAddresses {
                public: peer,
                peer,
                http,
                target: target.address(),
            };
            let file =
                installation.write_guard(index + 1, &addresses, SLOTS_PER_TARGET, json!({}))?;
            let role = if index == 0 { Role::Lead } else { Role::Guard };
            let process = spawn(role, "cloverfold-guard", &[file.as_path()], http)?;
            self.processes.push(process);
            self.targets.push(target);
        }
        Ok(cell)
    }

    fn start_entries(&mut self, installation: &Installation, entries: usize) -> Result<()> {
        for (index, http) in find_free_addresses(entries)?.into_iter().enumerate() {
            let file = installation.write_entry(index + 1, http, json!({}))?;
            let args = [Path::new("entry"), file.as_path()];
            self.processes
                .push(spawn(Role::Entry, "cloverfold", &args, http)?);
        }
        Ok(())
    }

    /// Returns the number of guards.
    pub fn guards(&self) -> usize {
        self.guards
    }

    /// Returns the number of slots of all targets.
    pub fn slots(&self) -> usize {
        self.guards * SLOTS_PER_TARGET
    }

    /// Returns the names and keys of the workspaces that submit jobs.
    pub fn callers(&self) -> Vec<CallerKey> {
        let workspaces = WORKSPACES.iter();
        workspaces
            .map(|name| SoloWorkspace::named(name).caller)
            .collect()
    }

    /// Returns the addresses at which entries serve callers.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let entries = self
            .processes
            .iter()
            .filter(|process| process.role == Role::Entry);
        entries.map(|process| process.http).collect()
    }

    /// Returns the role, process ID and HTTP address of each process.
    pub fn list_processes(&self) -> Vec<(Role, u32, SocketAddr)> {
        let processes = self.processes.iter();
        processes
            .map(|process| (process.role, process.child.id(), process.http))
            .collect()
    }

    /// Returns the client that reads metrics.
    pub fn client(&self) -> &CallerClient {
        &self.client
    }

    /// Waits until every process answers a path with status 200.
    async fn wait_until_pages_are_ok(&self, path: &str) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for process in &self.processes {
            let is_ready = async || {
                let page = self.client.get_text(process.http, path).await;
                page.is_ok_and(|(status, _)| status == 200)
            };
            while !is_ready().await {
                if Instant::now() > deadline {
                    bail!(
                        "{:?} at {} is not ready: {path}",
                        process.role,
                        process.http
                    );
                }
                sleep(PAGE_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every guard counts all guards as live.
    async fn wait_until_all_live(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let guards: Vec<_> = self
            .processes
            .iter()
            .filter(|process| process.role != Role::Entry)
            .map(|process| process.http)
            .collect();
        let expected = (self.guards * self.guards) as f64;
        loop {
            let metrics = read_metrics(&self.client, &guards).await?;
            if metrics.sum_of("cloverfold_members_live") >= expected {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("some guards do not count all guards as live");
            }
            sleep(MEMBERS_POLL_INTERVAL).await;
        }
    }
}

/// Bootstraps the cell, as an operator does after all guards have started.
async fn bootstrap(installation: &Installation, cell: &CellSettings) -> Result<()> {
    let network = open_operator_network(&installation.key_folder(), OPERATOR)?;
    bootstrap_cell(&network, &list_guard_addresses(cell)).await?;
    network.close().await;
    Ok(())
}

fn spawn(role: Role, binary: &str, args: &[&Path], http: SocketAddr) -> Result<Process> {
    let child = Command::new(find_binary(binary)?)
        .args(args)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(Process { role, http, child })
}

/// Returns the path of a binary in the parent of the folder of the bench's executable.
fn find_binary(name: &str) -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folder = executable.parent().and_then(Path::parent);
    let binary = folder.unwrap_or(Path::new("")).join(name);
    if !binary.exists() {
        bail!("{name} is not built; run `cargo build --release` first");
    }
    Ok(binary)
}
