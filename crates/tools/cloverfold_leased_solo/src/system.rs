//! Start and stop of all roles of a leased installation in one process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_control::{ControlProcess, start_control};
use cloverfold_http::HttpClient;
use cloverfold_lease::Resources;
use cloverfold_leased_entry::{LeasedEntry, start_leased_entry};
use cloverfold_leased_guard::{LeasedGuard, start_leased_guard};
use cloverfold_platform::{Platform, SampleQueue};
use http::{Method, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::addresses::SoloAddresses;
use crate::error::LeasedSoloError;
use crate::local_target::{LocalTarget, LocalTargetInterface};

/// How long a role may take to become ready. Chosen, not measured.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// How often readiness is asked for, and how long one call may take. Chosen, not measured.
const READY_POLL: Duration = Duration::from_millis(50);
/// Longest call within the installation. Chosen, not measured.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a planned stop of an entry may take, in milliseconds. Chosen, not measured.
const DRAIN_MS: u64 = 5_000;
/// How long a stopping entry takes new requests, in milliseconds: no balancer has to notice here. Chosen, not measured.
const LINGER_MS: u64 = 100;
/// What each sample target has. Chosen, not measured.
const TARGET_CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 32_768,
    accelerators: 0,
};
/// The data halls; control processes and guards are spread over them in turn.
const HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// How many processes of each role there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoloSize {
    /// Control processes, 1, 3 or 5.
    pub controls: u8,
    /// Entries, at most 9.
    pub entries: u8,
    /// Guards, each with a sample target; at most 200.
    pub guards: u8,
}

impl Default for SoloSize {
    fn default() -> Self {
        Self {
            controls: 3,
            entries: 2,
            guards: 4,
        }
    }
}

/// A leased installation that runs; dropping it ends its processes and removes its files.
pub struct LeasedSolo {
    addresses: SoloAddresses,
    size: SoloSize,
    queue: SampleQueue,
    controls: Vec<ControlProcess>,
    entries: Vec<LeasedEntry>,
    guards: Vec<LeasedGuard>,
    targets: Vec<Arc<LocalTarget>>,
    folder: TempDir,
    /// Aborted on drop.
    registrations: JoinSet<()>,
}

impl LeasedSolo {
    /// Starts all roles, brings a configuration with one queue into force, and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Returns which part could not start or did not become ready.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn start(size: SoloSize) -> Result<Self, LeasedSoloError> {
        let mut solo = Self {
            addresses: SoloAddresses::find()?,
            size,
            queue: SampleQueue,
            controls: Vec::new(),
            entries: Vec::new(),
            guards: Vec::new(),
            targets: Vec::new(),
            folder: tempfile::tempdir()?,
            registrations: JoinSet::new(),
        };
        solo.start_controls()?;
        solo.start_guards()?;
        solo.start_entries()?;
        solo.put_configuration().await?;
        solo.wait_ready().await?;
        Ok(solo)
    }

    /// Returns the folder with the state of the control processes.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Lists where operators are served.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let controls = self.controls.iter();
        controls.map(ControlProcess::operator_address).collect()
    }

    /// Lists where callers are served.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(LeasedEntry::client_address)
            .collect()
    }

    /// Returns the queue that callers use.
    pub fn queue(&self) -> &SampleQueue {
        &self.queue
    }

    /// Returns the number of starts at all targets.
    pub fn count_starts(&self) -> u64 {
        self.targets.iter().map(|target| target.start_count()).sum()
    }

    /// Stops entries, then guards, then control processes, as planned.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for guard in self.guards {
            guard.stop().await;
        }
        for control in self.controls {
            control.stop().await;
        }
    }

    fn start_controls(&mut self) -> Result<(), LeasedSoloError> {
        for index in 0..self.size.controls {
            let ip = self.addresses.control(index);
            let settings = json!({
                "peer": self.describe_peer(&format!("control-{index}"), index, ip),
                "operator_address": self.addresses.outside(ip),
                "data_folder": self.folder.path().join(format!("control-{index}")),
                "may_found": true,
                "tolerated_losses": self.size.controls / 2,
                "halls": HALLS,
            });
            let settings = serde_json::from_value(settings)?;
            let process = start_control(&settings, Arc::new(Platform::default()))?;
            self.controls.push(process);
        }
        Ok(())
    }

    fn start_guards(&mut self) -> Result<(), LeasedSoloError> {
        for index in 0..self.size.guards {
            let ip = self.addresses.guard(index);
            let registration = self.addresses.outside(ip);
            let settings = json!({
                "peer": self.describe_peer(&format!("guard-{index}"), index, ip),
                "registration_address": registration,
                "drain_ms": DRAIN_MS,
            });
            let name = format!("target-{index}");
            let target = LocalTarget::new(&name, self.queue.service(), TARGET_CAPACITY);
            let calls = Arc::new(LocalTargetInterface(target.clone()));
            let settings = serde_json::from_value(settings)?;
            self.guards.push(start_leased_guard(&settings, calls)?);
            self.registrations
                .spawn(target.clone().register_periodically(registration));
            self.targets.push(target);
        }
        Ok(())
    }

    fn start_entries(&mut self) -> Result<(), LeasedSoloError> {
        for index in 0..self.size.entries {
            let ip = self.addresses.entry(index);
            let settings = json!({
                "peer": self.describe_peer(&format!("entry-{index}"), 0, ip),
                "client_address": self.addresses.outside(ip),
                "ready_address": self.addresses.ready(ip),
                "drain_ms": DRAIN_MS,
                "linger_ms": LINGER_MS,
            });
            let settings = serde_json::from_value(settings)?;
            let entry = start_leased_entry(&settings, Arc::new(Platform::default()))?;
            self.entries.push(entry);
        }
        Ok(())
    }

    fn describe_peer(&self, name: &str, index: u8, ip: IpAddr) -> Value {
        let controls = 0..self.size.controls;
        let seeds: Vec<SocketAddr> = controls
            .map(|index| self.addresses.outside(self.addresses.control(index)))
            .collect();
        json!({
            "name": name,
            "hall": HALLS[usize::from(index) % HALLS.len()],
            "ip": ip,
            "port": self.addresses.port(),
            "seeds": seeds,
            "metrics_port": null,
        })
    }

    /// Sends the configuration until it is acknowledged.
    async fn put_configuration(&self) -> Result<(), LeasedSoloError> {
        let operator = self.controls[0].operator_address();
        let text = self.queue.configuration();
        wait_for("the configuration", || async {
            let body = Bytes::from(text.clone());
            call(operator, Method::PUT, "/v1/configuration", body).await
        })
        .await
    }

    async fn wait_ready(&self) -> Result<(), LeasedSoloError> {
        for entry in &self.entries {
            let address = entry.ready_address();
            let path = self.queue.readiness_path();
            wait_for("an entry", || async {
                call(address, Method::GET, path, Bytes::new()).await
            })
            .await?;
        }
        Ok(())
    }
}

/// Repeats a call until it is answered 200.
async fn wait_for<F>(what: &'static str, attempt: impl Fn() -> F) -> Result<(), LeasedSoloError>
where
    F: Future<Output = Result<StatusCode, LeasedSoloError>>,
{
    let until_answered = async {
        // While roles start, calls fail and are made again.
        while !matches!(attempt().await, Ok(StatusCode::OK)) {
            sleep(READY_POLL).await;
        }
    };
    let in_time = timeout(READY_TIMEOUT, until_answered).await;
    in_time.map_err(|_| LeasedSoloError::NotReady(what))
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<StatusCode, LeasedSoloError> {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))?;
    let answer = HttpClient::default()
        .call(address, request, CALL_TIMEOUT)
        .await;
    let (status, _, _) = answer.map_err(|cause| LeasedSoloError::Call { address, cause })?;
    Ok(status)
}
