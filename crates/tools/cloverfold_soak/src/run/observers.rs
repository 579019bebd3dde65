//! Observers: the load balancer's readiness checks, reads at control processes, probes of entries, and a watch for unexpected exits.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_stand_ins::{
    CALLER_HOST, READINESS_PATH, VERSION_WINDOW, configuration, version_prefix,
};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::exchange::exchange;
use super::installation::Installation;
use super::layout::Side;
use super::operators::send;
use crate::plan::{CONTROL_COUNT, ENTRY_COUNT};
use crate::records::{ConfigurationRead, HallRead, Probe, Process, UnexpectedExit};

/// Interval of the load balancer's readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(400);
/// An entry that fails this many readiness checks in a row gets no new callers.
const FAILURE_THRESHOLD: u32 = 2;
/// Interval of the probes of an entry and of the reads at a control process.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of the checks for unexpected exits.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Spawns all observers.
pub(crate) fn spawn_observers(installation: &Arc<Installation>, tasks: &mut JoinSet<()>) {
    for entry in 0..ENTRY_COUNT {
        tasks.spawn(check_readiness(installation.clone(), entry));
        tasks.spawn(probe_entry(installation.clone(), entry));
    }
    for control in 0..CONTROL_COUNT {
        tasks.spawn(read_control(installation.clone(), control));
    }
    tasks.spawn(watch_exits(installation.clone()));
}

async fn check_readiness(installation: Arc<Installation>, entry: usize) {
    let mut failed_checks = 0;
    loop {
        let request = send(
            installation.layout.ready(entry),
            Method::GET,
            READINESS_PATH,
            "",
        );
        let is_ready = matches!(
            timeout(READINESS_TIMEOUT, request).await,
            Ok(Some((StatusCode::OK, _)))
        );
        failed_checks = if is_ready { 0 } else { failed_checks + 1 };
        installation.ready[entry].store(failed_checks < FAILURE_THRESHOLD, Ordering::Relaxed);
        sleep(READINESS_INTERVAL).await;
    }
}

/// Probes an entry periodically for the queue that the newest acknowledged configuration added.
async fn probe_entry(installation: Arc<Installation>, entry: usize) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        if let Some(version) = installation.newest_acknowledged() {
            probe_once(&installation, entry, version).await;
        }
    }
}

async fn probe_once(installation: &Installation, entry: usize, version: u64) {
    let process = Process::Entry(entry);
    let address = installation.layout.interface(process, Side::Outer);
    let request = Request::builder()
        .uri(version_prefix(version))
        .header("Host", CALLER_HOST)
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return;
    };
    let incarnation = installation.incarnation(process);
    let requested_at = installation.recorder.now();
    let answer = timeout(PROBE_TIMEOUT, exchange(address, request)).await;
    let is_known = match answer {
        Ok(Some((StatusCode::OK, _))) => true,
        Ok(Some((StatusCode::NOT_FOUND, _))) => false,
        // No answer, or an entry without a configuration.
        _ => return,
    };
    if installation.incarnation(process) != incarnation {
        return;
    }
    let probe = Probe {
        entry,
        incarnation,
        requested_at,
        answered_at: installation.recorder.now(),
        version,
        last_version: version + VERSION_WINDOW - 1,
        is_known,
    };
    installation.recorder.lock().probes.push(probe);
}

async fn read_control(installation: Arc<Installation>, control: usize) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        read_configuration(&installation, control).await;
        read_halls(&installation, control).await;
    }
}

async fn read_configuration(installation: &Installation, control: usize) {
    let requested_at = installation.recorder.now();
    let address = installation.operator_address(control);
    let answer = send(address, Method::GET, "/v1/configuration", "").await;
    let Some((StatusCode::OK, text)) = answer else {
        return;
    };
    let version = serde_json::from_str::<Value>(&text)
        .ok()
        .and_then(|answer| answer["Version"].as_u64());
    let version = version.unwrap_or_default();
    let read = ConfigurationRead {
        control,
        requested_at,
        version,
        is_as_sent: text == configuration(version) && installation.was_sent(version),
    };
    installation.recorder.lock().configuration_reads.push(read);
}

async fn read_halls(installation: &Installation, control: usize) {
    let requested_at = installation.recorder.now();
    let address = installation.operator_address(control);
    let answer = send(address, Method::GET, "/v1/evacuations", "").await;
    let Some((StatusCode::OK, text)) = answer else {
        return;
    };
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    let halls = answer["halls"].as_array().cloned().unwrap_or_default();
    let names = halls.iter().filter_map(|hall| hall["hall"].as_str());
    let read = HallRead {
        control,
        requested_at,
        answered_at: installation.recorder.now(),
        halls: names.map(str::to_owned).collect(),
    };
    installation.recorder.lock().hall_reads.push(read);
}

/// Records unexpected exits and restarts the processes.
async fn watch_exits(installation: Arc<Installation>) {
    loop {
        sleep(EXIT_CHECK_INTERVAL).await;
        for process in installation.restart_exited() {
            let at = installation.recorder.now();
            let exit = UnexpectedExit { process, at };
            installation.recorder.lock().unexpected_exits.push(exit);
        }
    }
}
