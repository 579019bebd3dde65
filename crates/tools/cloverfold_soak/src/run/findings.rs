//! What is kept of a play that found something: the plan, all that was seen, the logs, and the lines around.

use std::collections::HashMap;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::{LogOffset, SoakReport};
use crate::plan::{Plan, PlanFileError, write_plan};

/// Lines are kept from so long before a finding.
const BEFORE: Duration = Duration::from_secs(6);
/// Lines are kept until so long after it.
const AFTER: Duration = Duration::from_secs(4);

/// Why findings cannot be kept.
#[derive(Debug, thiserror::Error)]
pub enum FindingsError {
    /// A file cannot be written.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// What was seen cannot be written.
    #[error("what was seen: {0}")]
    Form(#[from] serde_json::Error),
    /// The plan cannot be written.
    #[error(transparent)]
    Plan(#[from] PlanFileError),
}

/// Writes `plan.json`, `findings.json`, `history.json` and `around.log` beside the logs of a play.
///
/// # Errors
///
/// Returns which file cannot be written.
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
        .map_err(|cause| FindingsError::File(around.display().to_string(), cause))
}

fn write_text(file: &Path, text: &str) -> Result<(), FindingsError> {
    std::fs::write(file, text)
        .map_err(|cause| FindingsError::File(file.display().to_string(), cause))
}

/// Copies from each log what was written around a moment.
fn write_lines_around(log_offsets: &[LogOffset], at: Duration, file: &Path) -> std::io::Result<()> {
    let mut out = std::fs::File::create(file)?;
    let mut logs: Vec<&PathBuf> = log_offsets.iter().map(|offset| &offset.log).collect();
    logs.sort();
    logs.dedup();
    let spans: HashMap<&PathBuf, (u64, u64)> = logs
        .iter()
        .map(|log| (*log, find_span(log_offsets, log, at)))
        .collect();
    for log in logs {
        let (from, until) = spans[log];
        let mut lines = Vec::new();
        let mut source = std::fs::File::open(log)?;
        source.seek(SeekFrom::Start(from))?;
        source.take(until - from).read_to_end(&mut lines)?;
        writeln!(out, "== {}", log.display())?;
        out.write_all(&lines)?;
    }
    Ok(())
}

/// Returns from where to where a log was written around a moment, by the marks next to it.
fn find_span(log_offsets: &[LogOffset], log: &Path, at: Duration) -> (u64, u64) {
    let own = || log_offsets.iter().filter(|offset| offset.log == log);
    let before = own().filter(|offset| offset.at + BEFORE <= at);
    let from = before.map(|offset| offset.len).max().unwrap_or_default();
    let after = own().filter(|offset| offset.at >= at + AFTER);
    let last = own().map(|offset| offset.len).max().unwrap_or_default();
    let until = after.map(|offset| offset.len).min().unwrap_or(last);
    (from, until.max(from))
}
