//! Runs a plan: starts the programs, executes the plan, records a history, and checks it periodically with [`crate::checker`].

mod callers;
mod exchange;
mod faults;
mod findings;
mod installation;
mod layout;
mod links;
mod observers;
mod operators;
mod programs;
mod recorder;
mod snapshot;
mod target_faults;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::checker::{Bounds, Violation, find_violations};
use crate::plan::Plan;
use crate::records::{History, Outcome};

pub use findings::{FindingsError, write_findings};
use installation::Installation;
pub use programs::Programs;

/// Interval at which the history is checked and progress is reported.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Time after the end of the plan that callers and operators may take to finish.
const FINISH_TIMEOUT: Duration = Duration::from_secs(6);

/// Errors that prevent a soak from running.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file, an address or a program cannot be used.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The installation did not become ready.
    #[error("the installation did not become ready: {0}")]
    NotReady(&'static str),
}

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// The recorded history.
    pub history: History,
    /// The violated guarantees, earliest first.
    pub violations: Vec<Violation>,
    /// Lengths of the logs over time.
    pub log_offsets: Vec<LogOffset>,
}

/// The length of a log at one time.
#[derive(Clone, Debug)]
pub struct LogOffset {
    /// Time of the measurement.
    pub at: Duration,
    /// The log file.
    pub log: PathBuf,
    /// Its length in bytes.
    pub len: u64,
}

/// Numbers of the events in a history.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Attempts of callers.
    pub sends: usize,
    /// Attempts that were answered as completed.
    pub completed: usize,
    /// Attempts that were refused.
    pub refused: usize,
    /// Attempts without an answer.
    pub unanswered: usize,
    /// Runs at targets.
    pub runs: usize,
    /// Faults and planned work.
    pub disturbances: usize,
    /// Attempts to send a configuration.
    pub configurations: usize,
    /// Probes of the configuration in force.
    pub probes: usize,
}

impl Counts {
    /// Counts the events in a history.
    pub fn of(history: &History) -> Self {
        let count = |is_counted: &dyn Fn(Outcome) -> bool| {
            let outcomes = history
                .attempts
                .iter()
                .filter_map(|attempt| attempt.outcome);
            outcomes.filter(|(_, outcome)| is_counted(*outcome)).count()
        };
        Self {
            sends: history.attempts.len(),
            completed: count(&|outcome| outcome == Outcome::Completed),
            refused: count(&|outcome| outcome == Outcome::Refused),
            unanswered: count(&|outcome| {
                matches!(outcome, Outcome::ConnectionLost | Outcome::TimedOut)
            }),
            runs: history.runs.len(),
            disturbances: history.disturbances.len(),
            configurations: history.configuration_orders.len(),
            probes: history.probes.len(),
        }
    }
}

/// Runs a plan in a folder, which holds settings, data and logs afterwards. Ends early at the first violation.
///
/// # Errors
///
/// Returns an error if the soak could not run, which says nothing about the guarantees.
pub async fn run_plan(
    plan: &Plan,
    programs: &Programs,
    folder: &Path,
    bounds: &Bounds,
    mut report_progress: impl FnMut(Duration, Counts),
) -> Result<SoakReport, SoakError> {
    let installation = Arc::new(Installation::start(programs, folder).await?);
    let mut tasks = JoinSet::new();
    let mut background = JoinSet::new();
    observers::spawn_observers(&installation, &mut background);
    spawn_plan(plan, &installation, &mut tasks);

    let end = Instant::now() + Duration::from_millis(plan.length);
    let mut log_offsets = Vec::new();
    let mut has_violation = false;
    while Instant::now() < end && !has_violation {
        sleep(CHECK_INTERVAL.min(end - Instant::now())).await;
        let history = installation.snapshot(false);
        installation.record_log_offsets(&mut log_offsets);
        has_violation = !find_violations(&history, bounds).is_empty();
        report_progress(history.now, Counts::of(&history));
    }
    if !has_violation {
        let all_ended = async { while tasks.join_next().await.is_some() {} };
        // Callers and operators that still wait are abandoned, and their attempts have no outcome.
        let _ = timeout_at(Instant::now() + FINISH_TIMEOUT, all_ended).await;
    }
    installation.record_log_offsets(&mut log_offsets);
    let history = installation.snapshot(!has_violation);
    let violations = find_violations(&history, bounds);
    Ok(SoakReport {
        history,
        violations,
        log_offsets,
    })
}

/// Spawns a task for each job, order and fault of the plan, which waits for its time.
fn spawn_plan(plan: &Plan, installation: &Arc<Installation>, tasks: &mut JoinSet<()>) {
    let started = Instant::now();
    let at = |millis: u64| started + Duration::from_millis(millis);
    for (number, job) in plan.jobs.iter().cloned().enumerate() {
        let (installation, at) = (installation.clone(), at(job.at));
        let name = format!("{:08x}{number:08x}", plan.seed as u32);
        tasks.spawn(async move {
            sleep_until(at).await;
            if callers::is_on_time(at.elapsed()) {
                callers::run_caller(&installation, &name, &job).await;
            }
        });
    }
    for planned in plan.orders.iter().cloned() {
        let (installation, at) = (installation.clone(), at(planned.at));
        tasks.spawn(async move {
            sleep_until(at).await;
            operators::execute(&installation, &planned).await;
        });
    }
    for planned in plan.faults.iter().cloned() {
        let (installation, at) = (installation.clone(), at(planned.at));
        tasks.spawn(async move {
            sleep_until(at).await;
            faults::execute(&installation, planned.fault).await;
        });
    }
}
