//! Plays a plan: starts the programs, does what the plan says, records what is seen, and checks it all the time.
//!
//! Owns the order of a play. Relies on the modules below for each part; what is found is judged by [`crate::checker`] alone.

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

/// How often what was seen so far is checked, and progress is told.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Callers and operators that have not ended so long after the end are left.
const LAST_WAIT: Duration = Duration::from_secs(6);

/// Why a soak could not run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file, an address or a program cannot be used.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The installation did not begin to serve.
    #[error("the installation does not begin to serve: {0}")]
    NotServing(&'static str),
}

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// All that was seen.
    pub history: History,
    /// The promises that broke, the earliest first.
    pub violations: Vec<Violation>,
    /// Lengths of the logs over time.
    pub log_offsets: Vec<LogOffset>,
}

/// The length of a log at one time.
#[derive(Clone, Debug)]
pub struct LogOffset {
    /// When.
    pub at: Duration,
    /// Which log.
    pub log: PathBuf,
    /// Its bytes.
    pub len: u64,
}

/// How much of what a play has done.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Sends of callers.
    pub sends: usize,
    /// Those that were answered as completed.
    pub completed: usize,
    /// Those that were refused.
    pub refused: usize,
    /// Those that got no answer.
    pub unanswered: usize,
    /// Runs at targets.
    pub runs: usize,
    /// Faults and planned work.
    pub disturbances: usize,
    /// Sends of configurations.
    pub configurations: usize,
    /// Probes of what is in force.
    pub probes: usize,
}

impl Counts {
    /// Counts what was seen.
    pub fn of(history: &History) -> Self {
        let count = |is_meant: &dyn Fn(Outcome) -> bool| {
            let outcomes = history
                .attempts
                .iter()
                .filter_map(|attempt| attempt.outcome);
            outcomes.filter(|(_, outcome)| is_meant(*outcome)).count()
        };
        Self {
            sends: history.attempts.len(),
            completed: count(&|outcome| outcome == Outcome::Completed),
            refused: count(&|outcome| outcome == Outcome::Refused),
            unanswered: count(&|outcome| matches!(outcome, Outcome::Broken | Outcome::TimedOut)),
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
/// Returns why the soak could not run; that tells nothing about the promises.
pub async fn run_plan(
    plan: &Plan,
    programs: &Programs,
    folder: &Path,
    bounds: &Bounds,
    mut tell: impl FnMut(Duration, Counts),
) -> Result<SoakReport, SoakError> {
    let installation = Arc::new(Installation::start(programs, folder).await?);
    let mut tasks = JoinSet::new();
    let mut background = JoinSet::new();
    observers::spawn_observers(&installation, &mut background);
    spawn_plan(plan, &installation, &mut tasks);

    let end = Instant::now() + Duration::from_millis(plan.length);
    let mut log_offsets = Vec::new();
    let mut broken = false;
    while Instant::now() < end && !broken {
        sleep(CHECK_INTERVAL.min(end - Instant::now())).await;
        let history = installation.snapshot(false);
        installation.record_log_offsets(&mut log_offsets);
        broken = !find_violations(&history, bounds).is_empty();
        tell(history.now, Counts::of(&history));
    }
    if !broken {
        let all_ended = async { while tasks.join_next().await.is_some() {} };
        // Those that still wait are left: their sends have no outcome.
        let _ = timeout_at(Instant::now() + LAST_WAIT, all_ended).await;
    }
    installation.record_log_offsets(&mut log_offsets);
    let history = installation.snapshot(!broken);
    let violations = find_violations(&history, bounds);
    Ok(SoakReport {
        history,
        violations,
        log_offsets,
    })
}

/// Starts a task for each thing that the plan says, which waits for its time.
fn spawn_plan(plan: &Plan, installation: &Arc<Installation>, tasks: &mut JoinSet<()>) {
    let began = Instant::now();
    let at = |millis: u64| began + Duration::from_millis(millis);
    for (number, job) in plan.jobs.iter().cloned().enumerate() {
        let (installation, at) = (installation.clone(), at(job.at));
        let name = format!("{:08x}{number:08x}", plan.seed as u32);
        tasks.spawn(async move {
            sleep_until(at).await;
            if callers::is_in_time(at.elapsed()) {
                callers::call(&installation, &name, &job).await;
            }
        });
    }
    for planned in plan.orders.iter().cloned() {
        let (installation, at) = (installation.clone(), at(planned.at));
        tasks.spawn(async move {
            sleep_until(at).await;
            operators::carry_out(&installation, &planned).await;
        });
    }
    for planned in plan.faults.iter().cloned() {
        let (installation, at) = (installation.clone(), at(planned.at));
        tasks.spawn(async move {
            sleep_until(at).await;
            faults::carry_out(&installation, planned.fault).await;
        });
    }
}
