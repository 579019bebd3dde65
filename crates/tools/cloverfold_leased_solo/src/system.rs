//! Starts and stops all processes of a leased installation as tasks of this process.

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

/// Timeout for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Polling interval for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call within the installation.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Drain timeout of entries and guards, in milliseconds.
const DRAIN_MS: u64 = 5_000;
/// How long a stopping entry accepts new requests, in milliseconds. Short, because there is no load balancer to notice the stop.
const LINGER_MS: u64 = 100;
/// Capacity of each sample target.
const TARGET_CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 32_768,
    accelerators: 0,
};
/// Data halls, assigned round-robin to control processes and guards.
const HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// Number of processes of each role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoloSize {
    /// Control processes: 1, 3 or 5.
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

/// A running leased installation. Dropping it stops its processes and removes its files.
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
    /// Starts all processes, applies a configuration with one queue, and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part could not start or did not become ready.
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

    /// Lists the operator addresses of the control processes.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let controls = self.controls.iter();
        controls.map(ControlProcess::operator_address).collect()
    }

    /// Lists the caller addresses of the entries.
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

    /// Returns the total number of runs that the targets have started.
    pub fn count_starts(&self) -> u64 {
        self.targets.iter().map(|target| target.start_count()).sum()
    }

    /// Stops all processes with a planned stop: entries first, then guards, then control processes.
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
                "operator_address": self.addresses.external(ip),
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
            let registration = self.addresses.external(ip);
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
                "client_address": self.addresses.external(ip),
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
            .map(|index| self.addresses.external(self.addresses.control(index)))
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

/// Repeats a call until it is answered with 200.
async fn wait_for<F>(what: &'static str, send_call: impl Fn() -> F) -> Result<(), LeasedSoloError>
where
    F: Future<Output = Result<StatusCode, LeasedSoloError>>,
{
    let until_answered = async {
        // Calls fail while processes are starting, and are retried.
        while !matches!(send_call().await, Ok(StatusCode::OK)) {
            sleep(READY_POLL_INTERVAL).await;
        }
    };
    let outcome = timeout(READY_TIMEOUT, until_answered).await;
    outcome.map_err(|_| LeasedSoloError::NotReady(what))
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
