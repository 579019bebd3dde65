//! What targets do by themselves and in a fault: heartbeats, crashes, late registrations, leaving.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_stand_ins::target::{FakeTarget, TargetFaults};
use tokio::time::{Instant, sleep};

use super::installation::Installation;
use crate::plan::{Millis, TargetFault};
use crate::records::{Drain, Scope, TargetIndex};

/// How often a target sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A target that leaves waits so long for the acknowledgement.
const DRAIN_PATIENCE: Duration = Duration::from_secs(4);
/// After the acknowledgement it serves on for so long: the bound for new work, and the longest task.
const SERVES_ON: Duration = Duration::from_millis(2_800);
/// Longest time that a crashed target stays away.
const LONGEST_AWAY: Duration = Duration::from_millis(2_000);
/// From the end of a target to its next life.
const BETWEEN_LIVES: Duration = Duration::from_millis(200);

/// Sends heartbeats for good.
pub(crate) async fn send_heartbeats(target: Arc<FakeTarget>) {
    loop {
        if let Some(heartbeat) = target.next_heartbeat() {
            // One that is lost is followed by the next.
            target.send_heartbeat(&heartbeat).await;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Lets a target misbehave, unless it does already.
pub(crate) async fn misbehave(
    installation: &Installation,
    index: TargetIndex,
    fault: TargetFault,
    lasts: Duration,
) {
    let Ok(_care) = installation.target_care[index].try_lock() else {
        return;
    };
    match fault {
        TargetFault::Leave => leave(installation, index).await,
        TargetFault::Crash { late_registration } => {
            crash(installation, index, late_registration, lasts).await;
        }
        other => {
            let number = begin(installation, index, false);
            installation.targets[index].set_faults(list_faults(other));
            sleep(lasts).await;
            installation.targets[index].set_faults(TargetFaults::default());
            installation.recorder.end_disturbance(number);
        }
    }
}

fn begin(installation: &Installation, index: TargetIndex, is_planned: bool) -> usize {
    let scope = Scope::Target(index);
    installation.recorder.begin_disturbance(scope, is_planned)
}

fn list_faults(fault: TargetFault) -> TargetFaults {
    let mut faults = TargetFaults::default();
    match fault {
        TargetFault::Hang => faults.hangs_runs = true,
        TargetFault::Fail => faults.fails_runs = true,
        TargetFault::Late { by } => faults.start_delay = Some(Duration::from_millis(by)),
        TargetFault::Unanswering => faults.drops_answers = true,
        TargetFault::Unhealthy => faults.is_unhealthy = true,
        TargetFault::Crash { .. } | TargetFault::Leave => {}
    }
    faults
}

async fn crash(
    installation: &Installation,
    index: TargetIndex,
    late_registration: Option<Millis>,
    lasts: Duration,
) {
    let number = begin(installation, index, false);
    let target = &installation.targets[index];
    let last_words = target.next_heartbeat();
    target.crash();
    sleep(lasts.min(LONGEST_AWAY)).await;
    target.restart();
    if let (Some(after), Some(last_words)) = (late_registration, last_words) {
        sleep(Duration::from_millis(after)).await;
        target.send_heartbeat(&last_words).await;
    }
    installation.recorder.end_disturbance(number);
}

/// Announces that a target leaves, lets it serve on, ends it, and begins another life.
async fn leave(installation: &Installation, index: TargetIndex) {
    let target = &installation.targets[index];
    target.drain();
    let until = Instant::now() + DRAIN_PATIENCE;
    while !announce(installation, index).await && Instant::now() < until {
        sleep(HEARTBEAT_INTERVAL).await;
    }
    sleep(SERVES_ON).await;
    let number = begin(installation, index, true);
    if let Some(last_words) = target.next_heartbeat() {
        // It ends all the same.
        target.deregister(&last_words).await;
    }
    target.crash();
    sleep(BETWEEN_LIVES).await;
    target.restart();
    installation.recorder.end_disturbance(number);
}

/// Sends a heartbeat that says that the target leaves; records the acknowledgement.
async fn announce(installation: &Installation, index: TargetIndex) -> bool {
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
