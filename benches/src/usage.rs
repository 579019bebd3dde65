//! The processor time and memory of a process, as the system accounts for them.
//!
//! Owns no state. Relies on Linux's `/proc`.

use std::time::Duration;

use eyre::{Result, eyre};

/// Unit of processor time in `/proc/PID/stat`: Linux shows hundredths of a second (`USER_HZ`).
const TICK: Duration = Duration::from_millis(10);
/// Place of the user time in `/proc/PID/stat`, counted from 0 after the command's name.
const USER_FIELD: usize = 11;
/// Place of the system time, counted likewise.
const SYSTEM_FIELD: usize = 12;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// User and system time since its start.
    pub processor: Duration,
    /// Resident memory now, in KiB.
    pub resident_kib: u64,
}

/// Reads the usage of a process.
///
/// # Errors
///
/// Returns that the process is gone or that the system's pages have another form.
pub fn read_usage(pid: u32) -> Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat
        .rsplit_once(") ")
        .ok_or_else(|| eyre!("stat of {pid}"))?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks: u32 = fields[USER_FIELD].parse::<u32>()? + fields[SYSTEM_FIELD].parse::<u32>()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_else(|| eyre!("status of {pid}"))?;
    Ok(Usage {
        processor: TICK * ticks,
        resident_kib: resident.trim().trim_end_matches(" kB").parse()?,
    })
}
