//! Executes a load plan and collects the answers.

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

/// Outcome in the report of a job without an answer.
const NO_ANSWER: &str = "no_answer";
/// Capacity of the channel of results. A full channel does not affect measured times.
const SAMPLE_CHANNEL_CAPACITY: usize = 4_096;

/// Submits all jobs of a plan and waits for all answers.
///
/// # Errors
///
/// Returns an error if the client cannot be created. Failed requests are part of the report.
pub async fn run_load(plan: &LoadPlan) -> Result<LoadReport, LoadError> {
    let client = CallerClient::new()?;
    let plan = Arc::new(plan.clone());
    let (tx, mut samples) = mpsc::channel(SAMPLE_CHANNEL_CAPACITY);
    let started = Instant::now();
    for index in 0..plan.workspaces.len() {
        tokio::spawn(submit_workspace_jobs(
            plan.clone(),
            index,
            client.clone(),
            started,
            tx.clone(),
        ));
    }
    drop(tx);
    let names = plan.workspaces.iter();
    let names = names
        .map(|workspace| workspace.caller.workspace.clone())
        .collect();
    let mut report = LoadReport::new(names);
    while let Some(sample) = samples.recv().await {
        report.record(&sample);
    }
    report.length = started.elapsed();
    Ok(report)
}

/// Submits the jobs of one workspace on schedule, without waiting for earlier answers.
async fn submit_workspace_jobs(
    plan: Arc<LoadPlan>,
    index: usize,
    client: CallerClient,
    started: Instant,
    tx: mpsc::Sender<Sample>,
) {
    let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_add(index as u64));
    let workspace = &plan.workspaces[index];
    let mut at = Duration::ZERO;
    let mut next_entry = index;
    loop {
        at += sample_arrival_gap(&mut rng, workspace.jobs_per_s);
        if at >= plan.length {
            return;
        }
        let arrival = Arrival {
            workspace: index,
            is_counted: at >= plan.warm_up,
            due: started + at,
            entry: plan.entries[next_entry % plan.entries.len()],
        };
        next_entry += 1;
        let job = generate_job(&mut rng, &plan, workspace);
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

/// The scheduled time and the entry of a submission.
struct Arrival {
    workspace: usize,
    is_counted: bool,
    due: Instant,
    entry: SocketAddr,
}

/// A generated job and the requested duration of its longest task.
struct GeneratedJob {
    request: JobRequest,
    longest: Duration,
}

async fn submit_one(
    plan: Arc<LoadPlan>,
    client: CallerClient,
    arrival: Arrival,
    job: GeneratedJob,
    tx: mpsc::Sender<Sample>,
) {
    let caller = &plan.workspaces[arrival.workspace].caller;
    let answer = client.submit(arrival.entry, caller, &job.request).await;
    let sample = Sample {
        workspace: arrival.workspace,
        is_counted: arrival.is_counted,
        tasks: job.request.tasks.len(),
        // Measured from the scheduled time, so that a late submission counts as waiting.
        response: arrival.due.elapsed(),
        ideal: answer.as_ref().map_or(job.longest, find_longest_run),
        // The report counts jobs without an answer and does not distinguish errors.
        outcome: answer.map_or_else(|_| NO_ANSWER.into(), |answer| answer.outcome),
    };
    // An error means that the run was dropped: otherwise the receiver waits for every submission.
    let _ = tx.send(sample).await;
}

/// Returns the actual duration of the longest task according to the results, because the targets' timers are up to 2 ms late.
fn find_longest_run(answer: &JobAnswer) -> Duration {
    let results = answer.results.iter().flatten();
    let runs = results.filter_map(|result| result.get("ran_us")?.as_u64());
    runs.max().map_or(Duration::ZERO, Duration::from_micros)
}

/// Returns a random time to the next arrival of a Poisson process.
fn sample_arrival_gap(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}

fn generate_job(rng: &mut StdRng, plan: &LoadPlan, workspace: &LoadWorkspace) -> GeneratedJob {
    let (min_tasks, max_tasks) = workspace.job_size;
    let size = rng.random_range(min_tasks..=max_tasks);
    let (shortest, longest) = plan.task_duration;
    let mut job_longest = 0;
    let mut tasks = Vec::with_capacity(size);
    for _ in 0..size {
        let range = shortest.as_millis() as u64..=longest.as_millis() as u64;
        let duration_ms = rng.random_range(range);
        job_longest = job_longest.max(duration_ms);
        tasks.push(json!({ "duration_ms": duration_ms }));
    }
    GeneratedJob {
        request: JobRequest {
            service: plan.service.clone(),
            tasks,
            ..JobRequest::default()
        },
        longest: Duration::from_millis(job_longest),
    }
}
