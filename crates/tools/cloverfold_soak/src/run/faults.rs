//! Executes faults and planned work.
//!
//! Each process has at most one process fault at a time; a fault that finds the process busy is skipped. The history records each fault
//! until everything that it affected has recovered.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use super::installation::{Installation, ProcessSlot};
use super::links::LinkFault;
use super::programs::Program;
use super::target_faults;
use crate::plan::{Fault, Millis};
use crate::records::{Process, Scope};

/// Timeout of a planned stop, after which the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// A restarted process counts as recovered after this time.
const RECOVERY_DELAY: Duration = Duration::from_secs(1);

/// Executes one fault.
pub(crate) async fn execute(installation: &Installation, fault: Fault) {
    let is_planned = fault.is_planned();
    match fault {
        Fault::Stop { process, downtime } => stop(installation, process, millis(downtime)).await,
        Fault::Kill { process, downtime } => {
            kill(installation, process, millis(downtime), false).await;
        }
        Fault::LoseDisk { control, downtime } => {
            kill(
                installation,
                Process::Control(control),
                millis(downtime),
                true,
            )
            .await;
        }
        Fault::KillAll {
            downtime,
            lost_disk,
        } => {
            kill_all(installation, millis(downtime), lost_disk).await;
        }
        Fault::Pause { process, duration } => pause(installation, process, millis(duration)).await,
        Fault::Target {
            target,
            fault,
            duration,
        } => {
            target_faults::inject(installation, target, fault, millis(duration)).await;
        }
        Fault::Reset { process } => {
            let disturbance = begin_disturbance(installation, vec![process], is_planned);
            installation.links.reset(process);
            installation.recorder.end_disturbance(disturbance);
        }
        Fault::Blackhole { process } => blackhole(installation, process).await,
        Fault::Partition {
            side,
            other,
            direction,
            duration,
        } => {
            let processes = [side.clone(), other.clone()].concat();
            let fault = LinkFault::Partition {
                side,
                other,
                direction,
            };
            inject_link_fault(installation, processes, fault, duration).await;
        }
        Fault::ExternalPartition {
            process,
            direction,
            duration,
        } => {
            let fault = LinkFault::ExternalPartition { process, direction };
            inject_link_fault(installation, vec![process], fault, duration).await;
        }
        Fault::Delay {
            process,
            delay,
            duration,
        } => {
            let delay = millis(delay);
            let fault = LinkFault::Delay { process, delay };
            inject_link_fault(installation, vec![process], fault, duration).await;
        }
    }
}

fn millis(span: Millis) -> Duration {
    Duration::from_millis(span)
}

fn begin_disturbance(
    installation: &Installation,
    processes: Vec<Process>,
    is_planned: bool,
) -> usize {
    let scope = Scope::Processes(processes);
    installation.recorder.begin_disturbance(scope, is_planned)
}

async fn inject_link_fault(
    installation: &Installation,
    processes: Vec<Process>,
    fault: LinkFault,
    duration: Millis,
) {
    let disturbance = begin_disturbance(installation, processes, false);
    let fault_id = installation.links.begin_fault(fault);
    sleep(millis(duration)).await;
    installation.links.end_fault(fault_id);
    installation.recorder.end_disturbance(disturbance);
}

/// Drops all further traffic on the open connections, and waits for the longest timeout after which a side gives them up.
async fn blackhole(installation: &Installation, process: Process) {
    const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1_500);
    let disturbance = begin_disturbance(installation, vec![process], false);
    installation.links.blackhole(process);
    sleep(CONNECTION_TIMEOUT).await;
    installation.recorder.end_disturbance(disturbance);
}

/// Restarts a process and waits until it counts as recovered.
async fn restart(
    installation: &Installation,
    slot: &ProcessSlot,
    program_slot: &mut Option<Program>,
) {
    // A failed restart shows as a process that stays unavailable.
    *program_slot = installation.start_program(slot).ok();
    sleep(RECOVERY_DELAY).await;
}

async fn stop(installation: &Installation, process: Process, downtime: Duration) {
    let Some(slot) = installation.slot(process) else {
        return;
    };
    let Ok(mut program_slot) = slot.program.try_lock() else {
        return;
    };
    let Some(program) = program_slot.as_mut() else {
        return;
    };
    let disturbance = begin_disturbance(installation, vec![process], true);
    let stop = installation.recorder.begin_stop(process);
    program.signal(Signal::TERM);
    if program.wait_exit(STOP_TIMEOUT).await {
        installation.recorder.end_stop(stop);
    }
    *program_slot = None;
    sleep(downtime).await;
    restart(installation, slot, &mut program_slot).await;
    installation.recorder.end_disturbance(disturbance);
}

async fn kill(installation: &Installation, process: Process, downtime: Duration, loses_disk: bool) {
    let Some(slot) = installation.slot(process) else {
        return;
    };
    let Ok(mut program_slot) = slot.program.try_lock() else {
        return;
    };
    let disturbance = begin_disturbance(installation, vec![process], false);
    *program_slot = None;
    if let (true, Process::Control(index)) = (loses_disk, process) {
        remove_data_folder(installation, index);
    }
    sleep(downtime).await;
    restart(installation, slot, &mut program_slot).await;
    installation.recorder.end_disturbance(disturbance);
}

fn remove_data_folder(installation: &Installation, control: usize) {
    // An error means that the folder does not exist: the process has not written yet.
    let _ = std::fs::remove_dir_all(installation.layout.data_folder(control));
}

async fn kill_all(installation: &Installation, downtime: Duration, lost_disk: Option<usize>) {
    let mut all = Vec::new();
    for slot in &installation.slots {
        all.push((slot, slot.program.lock().await));
    }
    let disturbance = installation.recorder.begin_disturbance(Scope::All, false);
    for (_, program_slot) in &mut all {
        **program_slot = None;
    }
    if let Some(control) = lost_disk {
        remove_data_folder(installation, control);
    }
    sleep(downtime).await;
    for (slot, program_slot) in &mut all {
        // As in `restart`.
        **program_slot = installation.start_program(slot).ok();
    }
    sleep(RECOVERY_DELAY).await;
    installation.recorder.end_disturbance(disturbance);
}

async fn pause(installation: &Installation, process: Process, duration: Duration) {
    let Some(slot) = installation.slot(process) else {
        return;
    };
    let Ok(mut program_slot) = slot.program.try_lock() else {
        return;
    };
    let Some(program) = program_slot.as_mut() else {
        return;
    };
    let disturbance = begin_disturbance(installation, vec![process], false);
    program.signal(Signal::STOP);
    sleep(duration).await;
    program.signal(Signal::CONT);
    installation.recorder.end_disturbance(disturbance);
}
