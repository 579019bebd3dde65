//! What a process has used, as the system accounts for it.

use std::time::Duration;

use eyre::{Result, eyre};

/// Linux counts processor time in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);
const USER_FIELD: usize = 11;
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
/// Says that the process is gone or the system's pages have another form.
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
