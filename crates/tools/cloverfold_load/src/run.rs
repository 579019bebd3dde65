//! Carries out a plan of load and gathers the answers.
//!
//! Owns the tasks of one run. Relies on `client` for the calls and on `report` for the sums.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::client::{CallerClient, JobAnswer, JobRequest, LoadError};
use crate::plan::{LoadPlan, LoadWorkspace};
use crate::report::{LoadReport, Sample};

/// Outcome of a job without an answer, in the report.
const NO_ANSWER: &str = "no_answer";
/// Answers that may wait to be recorded. Chosen, not measured; a full queue delays nothing that is measured.
const SAMPLE_QUEUE: usize = 4_096;

/// Submits all jobs of a plan and waits for every answer.
///
/// # Errors
///
/// Returns that the client cannot be built; failed requests are part of the report.
pub async fn run_load(plan: &LoadPlan) -> Result<LoadReport, LoadError> {
    let client = CallerClient::new()?;
    let plan = Arc::new(plan.clone());
    let (tx, mut samples) = mpsc::channel(SAMPLE_QUEUE);
    let began = Instant::now();
    for index in 0..plan.workspaces.len() {
        tokio::spawn(submit_as_workspace(
            plan.clone(),
            index,
            client.clone(),
            began,
            tx.clone(),
        ));
    }
    drop(tx);
    let names = plan.workspaces.iter();
    let names = names.map(|one| one.caller.workspace.clone()).collect();
    let mut report = LoadReport::new(names);
    while let Some(sample) = samples.recv().await {
        report.record(&sample);
    }
    report.length = began.elapsed();
    Ok(report)
}

/// Submits one workspace's jobs on schedule, whether or not earlier ones are answered.
async fn submit_as_workspace(
    plan: Arc<LoadPlan>,
    index: usize,
    client: CallerClient,
    began: Instant,
    tx: mpsc::Sender<Sample>,
) {
    let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_add(index as u64));
    let workspace = &plan.workspaces[index];
    let mut at = Duration::ZERO;
    let mut turn = index;
    loop {
        at += draw_gap(&mut rng, workspace.jobs_per_s);
        if at >= plan.length {
            return;
        }
        let arrival = Arrival {
            workspace: index,
            is_counted: at >= plan.warm_up,
            due: began + at,
            entry: plan.entries[turn % plan.entries.len()],
        };
        turn += 1;
        let job = draw_job(&mut rng, &plan, workspace);
        sleep_until(arrival.due).await;
        tokio::spawn(submit_one(
            plan.clone(),
            client.clone(),
            arrival,
            job,
            tx.clone(),
        ));
    }
}

/// When and where a job is to be submitted.
struct Arrival {
    workspace: usize,
    is_counted: bool,
    due: Instant,
    entry: SocketAddr,
}

/// A job and the duration that its longest task asks for.
struct DrawnJob {
    request: JobRequest,
    longest: Duration,
}

async fn submit_one(
    plan: Arc<LoadPlan>,
    client: CallerClient,
    arrival: Arrival,
    job: DrawnJob,
    tx: mpsc::Sender<Sample>,
) {
    let caller = &plan.workspaces[arrival.workspace].caller;
    let answer = client.submit(arrival.entry, caller, &job.request).await;
    let sample = Sample {
        workspace: arrival.workspace,
        is_counted: arrival.is_counted,
        tasks: job.request.tasks.len(),
        // From the time at which the job was due, so that a late start counts as waiting.
        response: arrival.due.elapsed(),
        ideal: answer.as_ref().map_or(job.longest, find_longest_run),
        // Which error it was does not matter to the report: it counts jobs without an answer.
        outcome: answer.map_or_else(|_| NO_ANSWER.into(), |answer| answer.outcome),
    };
    // The only error is that the report is gone; it waits for every submission unless the run was dropped.
    let _ = tx.send(sample).await;
}

/// Returns how long the longest task really ran, by the targets' results: their timers are late by up to 2 ms.
fn find_longest_run(answer: &JobAnswer) -> Duration {
    let results = answer.results.iter().flatten();
    let runs = results.filter_map(|result| result.get("ran_us")?.as_u64());
    runs.max().map_or(Duration::ZERO, Duration::from_micros)
}

/// Draws the gap to the next arrival of a Poisson process.
fn draw_gap(rng: &mut StdRng, per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_s)
}

fn draw_job(rng: &mut StdRng, plan: &LoadPlan, workspace: &LoadWorkspace) -> DrawnJob {
    let (least, most) = workspace.job_size;
    let size = rng.random_range(least..=most);
    let (shortest, longest) = plan.task_duration;
    let mut job_longest = 0;
    let mut tasks = Vec::with_capacity(size);
    for _ in 0..size {
        let range = shortest.as_millis() as u64..=longest.as_millis() as u64;
        let duration_ms = rng.random_range(range);
        job_longest = job_longest.max(duration_ms);
        tasks.push(json!({ "duration_ms": duration_ms }));
    }
    DrawnJob {
        request: JobRequest {
            service: plan.service.clone(),
            tasks,
            ..JobRequest::default()
        },
        longest: Duration::from_millis(job_longest),
    }
}
