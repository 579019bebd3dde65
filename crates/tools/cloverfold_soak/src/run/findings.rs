//! Writes the evidence of a violation: the plan, the history, and the log lines around the first violation.

use std::collections::HashMap;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::{LogOffset, SoakReport};
use crate::plan::{Plan, PlanFileError, write_plan};

/// Log lines are kept from this time before the violation.
const LOG_BEFORE: Duration = Duration::from_secs(6);
/// Log lines are kept until this time after the violation.
const LOG_AFTER: Duration = Duration::from_secs(4);

/// Errors of writing findings.
#[derive(Debug, thiserror::Error)]
pub enum FindingsError {
    /// A file cannot be written.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The history or the violations cannot be serialized.
    #[error("cannot serialize the findings: {0}")]
    Json(#[from] serde_json::Error),
    /// The plan cannot be written.
    #[error(transparent)]
    Plan(#[from] PlanFileError),
}

/// Writes `plan.json`, `findings.json`, `history.json` and `around.log` next to the logs of a soak.
///
/// # Errors
///
/// Returns an error that names the file that cannot be written.
pub fn write_findings(
    plan: &Plan,
    report: &SoakReport,
    folder: &Path,
) -> Result<(), FindingsError> {
    write_plan(plan, &folder.join("plan.json"))?;
    let violations = serde_json::to_string_pretty(&report.violations)?;
    write_text(&folder.join("findings.json"), &violations)?;
    let history = serde_json::to_string(&report.history)?;
    write_text(&folder.join("history.json"), &history)?;
    let Some(first) = report.violations.first() else {
        return Ok(());
    };
    let around = folder.join("around.log");
    write_lines_around(&report.log_offsets, first.at, &around)
        .map_err(|cause| FindingsError::Io(around.display().to_string(), cause))
}

fn write_text(file: &Path, text: &str) -> Result<(), FindingsError> {
    std::fs::write(file, text).map_err(|cause| FindingsError::Io(file.display().to_string(), cause))
}

/// Copies the lines around a time from each log.
fn write_lines_around(log_offsets: &[LogOffset], at: Duration, file: &Path) -> std::io::Result<()> {
    let mut out = std::fs::File::create(file)?;
    let mut logs: Vec<&PathBuf> = log_offsets.iter().map(|offset| &offset.log).collect();
    logs.sort();
    logs.dedup();
    let ranges: HashMap<&PathBuf, (u64, u64)> = logs
        .iter()
        .map(|log| (*log, find_byte_range(log_offsets, log, at)))
        .collect();
    for log in logs {
        let (from, until) = ranges[log];
        let mut lines = Vec::new();
        let mut source = std::fs::File::open(log)?;
        source.seek(SeekFrom::Start(from))?;
        source.take(until - from).read_to_end(&mut lines)?;
        writeln!(out, "== {}", log.display())?;
        out.write_all(&lines)?;
    }
    Ok(())
}

/// Returns the byte range that was written to a log around a time, from the nearest recorded offsets.
fn find_byte_range(log_offsets: &[LogOffset], log: &Path, at: Duration) -> (u64, u64) {
    let offsets_of_log = || log_offsets.iter().filter(|offset| offset.log == log);
    let before = offsets_of_log().filter(|offset| offset.at + LOG_BEFORE <= at);
    let from = before.map(|offset| offset.len).max().unwrap_or_default();
    let after = offsets_of_log().filter(|offset| offset.at >= at + LOG_AFTER);
    let last = offsets_of_log()
        .map(|offset| offset.len)
        .max()
        .unwrap_or_default();
    let until = after.map(|offset| offset.len).min().unwrap_or(last);
    (from, until.max(from))
}
