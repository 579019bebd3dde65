//! Settings of the processes of a leased installation.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_lease::{DEFAULT_LEASE, DEFAULT_RESEND, DEFAULT_SESSION, DEFAULT_STOP, Timings};
use cloverfold_settings::{Check, FaultList, LogSettings, SettingsError, read_settings};
use serde::Deserialize;

/// Most control processes that may be lost at once.
const MAX_TOLERATED_LOSSES: usize = 4;
/// Shortest lease that leaves time for a lost renewal, in milliseconds. Chosen, not measured.
const MIN_LEASE_MS: u64 = 200;

/// What all processes of a leased installation are told.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of this process; no other has it.
    pub name: String,
    /// The data hall it stands in.
    pub hall: String,
    /// Address of this box, on which it listens.
    pub ip: IpAddr,
    /// TCP port at which every process of the installation listens to the others.
    pub port: u16,
    /// Control processes at the start, by any address of theirs; only the IP address counts.
    pub seeds: Vec<SocketAddr>,
    /// TCP port of `/healthz`, `/readyz` and `/metrics`; none are served without.
    pub metrics_port: Option<u16>,
}

impl PeerSettings {
    /// Returns where this process listens to the others.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }

    /// Returns where the seeds listen to other processes, in order.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        let mut addresses: Vec<_> = seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.port))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns where the metrics are served.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_port.map(|port| SocketAddr::new(self.ip, port))
    }

    fn check(&self, faults: &mut FaultList) {
        faults.add_if(self.name.is_empty(), "peer.name", "must not be empty");
        faults.add_if(
            self.port == 0,
            "peer.port",
            "must be above 0, the same for all processes",
        );
        faults.add_if(
            self.seeds.is_empty(),
            "peer.seeds",
            "must name at least one control process",
        );
        faults.add_if(
            self.metrics_port == Some(self.port),
            "peer.metrics_port",
            "must differ from peer.port",
        );
    }
}

/// Bounds that leases rest on; the same at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// How long a target may run on when its guard is silent, in milliseconds.
    pub lease_ms: u64,
    /// How long a guard works on for an entry that is silent, in milliseconds.
    pub session_ms: u64,
    /// How long a target may take to end a stopped run, in milliseconds.
    pub stop_ms: u64,
    /// After this a caller may send again what got no answer, in milliseconds.
    pub resend_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease_ms: DEFAULT_LEASE.as_millis() as u64,
            session_ms: DEFAULT_SESSION.as_millis() as u64,
            stop_ms: DEFAULT_STOP.as_millis() as u64,
            resend_ms: DEFAULT_RESEND.as_millis() as u64,
        }
    }
}

impl LeaseSettings {
    /// Returns the timings of dispatchers and runners under these bounds.
    pub fn timings(&self) -> Timings {
        Timings::with_bounds(
            Duration::from_millis(self.session_ms),
            Duration::from_millis(self.lease_ms),
            Duration::from_millis(self.stop_ms),
        )
    }

    fn check(&self, faults: &mut FaultList) {
        let resend = Duration::from_millis(self.resend_ms);
        faults.add_if(
            !self.timings().are_runs_over_before(resend),
            "lease.session_ms",
            "with lease_ms and stop_ms it must be over before resend_ms; make one of them shorter",
        );
        faults.add_if(
            self.lease_ms < MIN_LEASE_MS,
            "lease.lease_ms",
            "must be at least 200, so that a lost renewal can be repeated",
        );
    }
}

/// Settings of one `cloverfold leased-entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedEntrySettings {
    /// What all processes are told.
    pub peer: PeerSettings,
    /// Bounds of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// TCP address to serve callers on.
    pub client_address: SocketAddr,
    /// TCP address at which the balancer asks whether this entry is ready.
    pub ready_address: SocketAddr,
    /// How long a planned stop may take before what is left is given up, in milliseconds.
    pub drain_ms: u64,
    /// How long a stopping entry takes new requests, so that the balancer can notice, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_linger_ms() -> u64 {
    2_200
}

/// Settings of one `cloverfold-guard` that leases its target's runs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedGuardSettings {
    /// What all processes are told.
    pub peer: PeerSettings,
    /// Bounds of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// TCP address at which the target beside this guard registers.
    pub registration_address: SocketAddr,
    /// How long a planned stop may take before what is left is given up, in milliseconds.
    pub drain_ms: u64,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

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

impl LeasedEntrySettings {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// As [`cloverfold_settings::read_settings`].
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        read_settings(file)
    }

    /// Returns how long a planned stop may take.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns how long a stopping entry takes new requests.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

impl LeasedGuardSettings {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// As [`cloverfold_settings::read_settings`].
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        read_settings(file)
    }

    /// Returns how long a planned stop may take.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl ControlSettings {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// As [`cloverfold_settings::read_settings`].
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        read_settings(file)
    }
}

impl Check for LeasedEntrySettings {
    fn check(&self, faults: &mut FaultList) {
        self.peer.check(faults);
        self.lease.check(faults);
        faults.add_if(
            self.client_address == self.ready_address,
            "ready_address",
            "must differ from client_address",
        );
        faults.add_if(
            self.linger_ms >= self.drain_ms,
            "linger_ms",
            "must be below drain_ms",
        );
    }
}

impl Check for LeasedGuardSettings {
    fn check(&self, faults: &mut FaultList) {
        self.peer.check(faults);
        self.lease.check(faults);
    }
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
