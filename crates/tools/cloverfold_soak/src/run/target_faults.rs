//! Behavior of the targets: heartbeats, faults, crashes, delayed registrations, and planned restarts.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_stand_ins::target::{FakeTarget, TargetFaults};
use tokio::time::{Instant, sleep};

use super::installation::Installation;
use crate::plan::{Millis, TargetFault};
use crate::records::{Drain, Scope, TargetIndex};

/// Interval of the heartbeats of a target.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a draining target waits for the acknowledgement.
const DRAIN_ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a draining target keeps running after the acknowledgement: the drain bound and the longest task.
const DRAIN_DURATION: Duration = Duration::from_millis(2_800);
/// Maximum downtime of a crashed target.
const MAX_CRASH_DOWNTIME: Duration = Duration::from_millis(2_000);
/// Downtime between two incarnations in a planned restart.
const RESTART_DOWNTIME: Duration = Duration::from_millis(200);

/// Sends heartbeats until the task is aborted.
pub(crate) async fn send_heartbeats(target: Arc<FakeTarget>) {
    loop {
        if let Some(heartbeat) = target.next_heartbeat() {
            // The next heartbeat makes up for a lost one.
            target.send_heartbeat(&heartbeat).await;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Injects a fault into a target unless it already has one.
pub(crate) async fn inject(
    installation: &Installation,
    index: TargetIndex,
    fault: TargetFault,
    duration: Duration,
) {
    let Ok(_lock) = installation.target_fault_locks[index].try_lock() else {
        return;
    };
    match fault {
        TargetFault::PlannedRestart => drain_and_restart(installation, index).await,
        TargetFault::Crash { late_registration } => {
            crash(installation, index, late_registration, duration).await;
        }
        other => {
            let disturbance = begin_disturbance(installation, index, false);
            installation.targets[index].set_faults(build_faults(other));
            sleep(duration).await;
            installation.targets[index].set_faults(TargetFaults::default());
            installation.recorder.end_disturbance(disturbance);
        }
    }
}

fn begin_disturbance(installation: &Installation, index: TargetIndex, is_planned: bool) -> usize {
    let scope = Scope::Target(index);
    installation.recorder.begin_disturbance(scope, is_planned)
}

fn build_faults(fault: TargetFault) -> TargetFaults {
    let mut faults = TargetFaults::default();
    match fault {
        TargetFault::Hang => faults.hangs_runs = true,
        TargetFault::Fail => faults.fails_runs = true,
        TargetFault::Late { delay } => faults.start_delay = Some(Duration::from_millis(delay)),
        TargetFault::DropAnswers => faults.drops_answers = true,
        TargetFault::Unhealthy => faults.is_unhealthy = true,
        TargetFault::Crash { .. } | TargetFault::PlannedRestart => {}
    }
    faults
}

async fn crash(
    installation: &Installation,
    index: TargetIndex,
    late_registration: Option<Millis>,
    duration: Duration,
) {
    let disturbance = begin_disturbance(installation, index, false);
    let target = &installation.targets[index];
    let last_heartbeat = target.next_heartbeat();
    target.crash();
    sleep(duration.min(MAX_CRASH_DOWNTIME)).await;
    target.restart();
    if let (Some(after), Some(last_heartbeat)) = (late_registration, last_heartbeat) {
        sleep(Duration::from_millis(after)).await;
        target.send_heartbeat(&last_heartbeat).await;
    }
    installation.recorder.end_disturbance(disturbance);
}

/// Drains a target, waits for its runs, stops it, and starts a new incarnation.
async fn drain_and_restart(installation: &Installation, index: TargetIndex) {
    let target = &installation.targets[index];
    target.drain();
    let until = Instant::now() + DRAIN_ACK_TIMEOUT;
    while !announce_drain(installation, index).await && Instant::now() < until {
        sleep(HEARTBEAT_INTERVAL).await;
    }
    sleep(DRAIN_DURATION).await;
    let disturbance = begin_disturbance(installation, index, true);
    if let Some(last_heartbeat) = target.next_heartbeat() {
        // The target exits whether or not the deregistration succeeds.
        target.deregister(&last_heartbeat).await;
    }
    target.crash();
    sleep(RESTART_DOWNTIME).await;
    target.restart();
    installation.recorder.end_disturbance(disturbance);
}

/// Sends a heartbeat that announces the drain, and records the acknowledgement.
async fn announce_drain(installation: &Installation, index: TargetIndex) -> bool {
    let target = &installation.targets[index];
    let Some(heartbeat) = target.next_heartbeat() else {
        return false;
    };
    let is_acknowledged = target.send_heartbeat(&heartbeat).await;
    if is_acknowledged {
        installation.recorder.lock().drains.push(Drain {
            target: index,
            incarnation: heartbeat.incarnation,
            acknowledged_at: installation.recorder.now(),
        });
    }
    is_acknowledged
}
