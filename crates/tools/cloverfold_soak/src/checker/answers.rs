//! Checks that answers match the runs of their job, and that refused jobs have not run.

use std::collections::{HashMap, HashSet};

use super::{Guarantee, Violation};
use crate::records::{Attempt, Elapsed, History, Outcome, Run, RunEnd};

pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.job).or_default().push(run);
    }
    let runs_of = |job: &str| runs.get(job).map_or(&[][..], Vec::as_slice);
    let answered = history.attempts.iter().filter_map(|attempt| {
        let (at, outcome) = attempt.outcome?;
        check_answer(attempt, at, outcome, runs_of(&attempt.job))
    });
    answered.chain(check_refusals(history, &runs)).collect()
}

fn check_answer(
    attempt: &Attempt,
    at: Elapsed,
    outcome: Outcome,
    runs: &[&Run],
) -> Option<Violation> {
    let job = &attempt.job;
    match outcome {
        Outcome::Completed => {
            let unfinished = find_unfinished_task(attempt, at, runs)?;
            let description = format!(
                "job {job} is answered as completed, but its task {unfinished} is not done"
            );
            Some(Violation::new(Guarantee::WholeAnswer, at, description))
        }
        Outcome::Failed if !has_exhausted_failures(attempt, at, runs) => {
            let description = format!(
                "job {job} is answered as failed, but none of its tasks has failed {} times since it was sent",
                attempt.max_failures
            );
            Some(Violation::new(Guarantee::TrueFailure, at, description))
        }
        Outcome::ProtocolViolation => {
            let description = format!("job {job} has an answer outside the protocol");
            Some(Violation::new(Guarantee::KnownAnswer, at, description))
        }
        _ => None,
    }
}

/// Returns a task without a run that ended as done by `at`.
fn find_unfinished_task(attempt: &Attempt, at: Elapsed, runs: &[&Run]) -> Option<u32> {
    let is_done = |run: &&&Run| matches!(run.end, Some((end, RunEnd::Done)) if end <= at);
    let done: HashSet<u32> = runs.iter().filter(is_done).map(|run| run.task).collect();
    (0..attempt.tasks).find(|task| !done.contains(task))
}

/// Returns whether a task has reached its failure limit with runs that started after this attempt was sent.
fn has_exhausted_failures(attempt: &Attempt, at: Elapsed, runs: &[&Run]) -> bool {
    (0..attempt.tasks).any(|task| {
        let failures = runs.iter().filter(|run| {
            let is_failure = matches!(run.end, Some((end, RunEnd::Failed)) if end <= at);
            run.task == task && is_failure && run.started_at >= attempt.sent_at
        });
        failures.count() >= attempt.max_failures as usize
    })
}

/// Finds jobs that have run although every attempt was refused.
fn check_refusals<'a>(
    history: &'a History,
    runs: &'a HashMap<&str, Vec<&Run>>,
) -> impl Iterator<Item = Violation> + 'a {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.job).or_default().push(attempt);
    }
    let is_refused = |attempt: &&Attempt| matches!(attempt.outcome, Some((_, Outcome::Refused)));
    attempts.into_iter().filter_map(move |(job, attempts)| {
        if !attempts.iter().all(is_refused) {
            return None;
        }
        let run = runs.get(job)?.first()?;
        let description = format!(
            "job {job} was refused in all {} attempts, but its task {} started at target {}",
            attempts.len(),
            run.task,
            run.target
        );
        Some(Violation::new(
            Guarantee::TrueRefusal,
            run.started_at,
            description,
        ))
    })
}
