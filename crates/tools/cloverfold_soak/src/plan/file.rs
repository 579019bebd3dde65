//! Reads and writes plans as JSON files, and validates them.

use std::path::Path;

use super::{CONTROL_COUNT, ENTRY_COUNT, Fault, GUARD_COUNT, Plan, PlannedOrder};
use crate::records::Process;

/// Errors of reading or writing a plan.
#[derive(Debug, thiserror::Error)]
pub enum PlanFileError {
    /// The file cannot be read or written.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The file does not contain a plan.
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
    /// The plan refers to a process that does not exist.
    #[error("{0}: {1}")]
    InvalidReference(String, &'static str),
}

/// Reads a plan from a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or does not contain a valid plan.
pub fn read_plan(file: &Path) -> Result<Plan, PlanFileError> {
    let name = || file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|cause| PlanFileError::Io(name(), cause))?;
    let plan: Plan =
        serde_json::from_str(&text).map_err(|cause| PlanFileError::Json(name(), cause))?;
    match find_invalid_reference(&plan) {
        Some(reference) => Err(PlanFileError::InvalidReference(name(), reference)),
        None => Ok(plan),
    }
}

/// Returns a description of the first reference to a process that does not exist.
fn find_invalid_reference(plan: &Plan) -> Option<&'static str> {
    let exists = |process: &Process| match process {
        Process::Control(index) => *index < CONTROL_COUNT,
        Process::Entry(index) => *index < ENTRY_COUNT,
        Process::Guard(index) => *index < GUARD_COUNT,
    };
    let is_valid = |fault: &Fault| match fault {
        Fault::Stop { process, .. }
        | Fault::Kill { process, .. }
        | Fault::Pause { process, .. }
        | Fault::ExternalPartition { process, .. }
        | Fault::Delay { process, .. }
        | Fault::Reset { process }
        | Fault::Blackhole { process } => exists(process),
        Fault::LoseDisk { control, .. } => *control < CONTROL_COUNT,
        Fault::KillAll { lost_disk, .. } => lost_disk.is_none_or(|control| control < CONTROL_COUNT),
        Fault::Partition { side, other, .. } => side.iter().chain(other).all(exists),
        Fault::Target { target, .. } => *target < GUARD_COUNT,
    };
    if !plan.faults.iter().all(|planned| is_valid(&planned.fault)) {
        return Some("a fault refers to a process that does not exist");
    }
    if plan.jobs.iter().any(|job| job.entry >= ENTRY_COUNT) {
        return Some("a job refers to an entry that does not exist");
    }
    let has_control = |order: &PlannedOrder| order.control < CONTROL_COUNT;
    (!plan.orders.iter().all(has_control))
        .then_some("an order refers to a control process that does not exist")
}

/// Writes a plan to a file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_plan(plan: &Plan, file: &Path) -> Result<(), PlanFileError> {
    let name = || file.display().to_string();
    let text =
        serde_json::to_string_pretty(plan).map_err(|cause| PlanFileError::Json(name(), cause))?;
    std::fs::write(file, text).map_err(|cause| PlanFileError::Io(name(), cause))
}
