//! The processor time and memory of a process, read from `/proc` on Linux.

use std::time::Duration;

use eyre::{Result, eyre};

/// Unit of processor time in `/proc/PID/stat` (`USER_HZ`).
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Index of the user time in `/proc/PID/stat`, counted from 0 after the command name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time, counted in the same way.
const SYSTEM_TIME_FIELD: usize = 12;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// User and system time since the start of the process.
    pub processor: Duration,
    /// Current resident memory, in KiB.
    pub resident_kib: u64,
}

/// Reads the usage of a process.
///
/// # Errors
///
/// Returns an error if the process has exited or if the files in `/proc` have an unexpected format.
pub fn read_usage(pid: u32) -> Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat
        .rsplit_once(") ")
        .ok_or_else(|| eyre!("unexpected format of /proc/{pid}/stat"))?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks: u32 =
        fields[USER_TIME_FIELD].parse::<u32>()? + fields[SYSTEM_TIME_FIELD].parse::<u32>()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_else(|| eyre!("no VmRSS line in /proc/{pid}/status"))?;
    Ok(Usage {
        processor: CLOCK_TICK * ticks,
        resident_kib: resident.trim().trim_end_matches(" kB").parse()?,
    })
}
