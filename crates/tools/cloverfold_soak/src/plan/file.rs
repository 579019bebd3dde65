//! Plans in files, as JSON.
//!
//! Owns the check that a plan names only what there is. Relies on the types of [`Plan`].

use std::path::Path;

use super::{CONTROL_COUNT, ENTRY_COUNT, Fault, GUARD_COUNT, Plan, PlannedOrder};
use crate::records::Process;

/// Why a plan cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum PlanFileError {
    /// The file cannot be used.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// It does not hold a plan.
    #[error("{0}: {1}")]
    Form(String, serde_json::Error),
    /// The plan names what is not there.
    #[error("{0}: {1}")]
    Content(String, &'static str),
}

/// Reads a plan from a file.
///
/// # Errors
///
/// Returns why the file cannot be read.
pub fn read_plan(file: &Path) -> Result<Plan, PlanFileError> {
    let name = || file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|cause| PlanFileError::File(name(), cause))?;
    let plan: Plan =
        serde_json::from_str(&text).map_err(|cause| PlanFileError::Form(name(), cause))?;
    match find_fault_in(&plan) {
        Some(fault) => Err(PlanFileError::Content(name(), fault)),
        None => Ok(plan),
    }
}

/// Returns what a plan names that is not there.
fn find_fault_in(plan: &Plan) -> Option<&'static str> {
    let is_there = |process: &Process| match process {
        Process::Control(index) => *index < CONTROL_COUNT,
        Process::Entry(index) => *index < ENTRY_COUNT,
        Process::Guard(index) => *index < GUARD_COUNT,
    };
    let is_sound = |fault: &Fault| match fault {
        Fault::Stop { process, .. }
        | Fault::Kill { process, .. }
        | Fault::Pause { process, .. }
        | Fault::CutOff { process, .. }
        | Fault::Delay { process, .. }
        | Fault::Reset { process }
        | Fault::Silence { process } => is_there(process),
        Fault::LoseDisk { control, .. } => *control < CONTROL_COUNT,
        Fault::KillAll { lost_disk, .. } => lost_disk.is_none_or(|control| control < CONTROL_COUNT),
        Fault::Cut { side, other, .. } => side.iter().chain(other).all(is_there),
        Fault::Target { target, .. } => *target < GUARD_COUNT,
    };
    if !plan.faults.iter().all(|planned| is_sound(&planned.fault)) {
        return Some("a fault names a process that there is not");
    }
    if plan.jobs.iter().any(|job| job.entry >= ENTRY_COUNT) {
        return Some("a job names an entry that there is not");
    }
    let has_control = |order: &PlannedOrder| order.control < CONTROL_COUNT;
    (!plan.orders.iter().all(has_control))
        .then_some("an order names a control process that there is not")
}

/// Writes a plan to a file.
///
/// # Errors
///
/// Returns why the file cannot be written.
pub fn write_plan(plan: &Plan, file: &Path) -> Result<(), PlanFileError> {
    let name = || file.display().to_string();
    let text =
        serde_json::to_string_pretty(plan).map_err(|cause| PlanFileError::Form(name(), cause))?;
    std::fs::write(file, text).map_err(|cause| PlanFileError::File(name(), cause))
}
