//! Reads the targets' journals and the callers' records and tests every promise about starts and answers.

use std::collections::BTreeMap;

use cloverfold_load::JobAnswer;
use cloverfold_target::{Journal, SampleTask};
use serde_json::{Value, json};

/// What a caller knows of one job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Name that the job's tasks carry as their echo.
    pub job: String,
    /// Number of tasks.
    pub tasks: usize,
    /// Whether its tasks may be repeated.
    pub is_repeatable: bool,
    /// Answers, one for each submission that got one.
    pub answers: Vec<JobAnswer>,
}

/// The echo by which a task of a job is known at the target.
pub fn make_echo(job: &str, task: usize) -> Value {
    json!({ "job": job, "task": task })
}

/// Counts starts by echo over all journals.
pub fn count_starts(journals: &[&Journal]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for journal in journals {
        for start in journal.list_starts() {
            let echo = serde_json::from_slice::<SampleTask>(&start.body)
                .map(|task| task.echo.to_string())
                .unwrap_or_default();
            *counts.entry(echo).or_default() += 1;
        }
    }
    counts
}

/// Lists every broken promise in words.
pub fn find_broken_promises(records: &[JobRecord], journals: &[&Journal]) -> Vec<String> {
    let starts = count_starts(journals);
    let mut broken = Vec::new();
    for record in records {
        check_starts(record, &starts, &mut broken);
        for answer in &record.answers {
            check_answer(record, answer, &starts, &mut broken);
        }
        check_consistency(record, &mut broken);
    }
    broken
}

fn starts_of(record: &JobRecord, task: usize, starts: &BTreeMap<String, usize>) -> usize {
    let echo = make_echo(&record.job, task).to_string();
    starts.get(&echo).copied().unwrap_or(0)
}

fn check_starts(record: &JobRecord, starts: &BTreeMap<String, usize>, broken: &mut Vec<String>) {
    for task in 0..record.tasks {
        let count = starts_of(record, task, starts);
        if count > 1 && !record.is_repeatable {
            broken.push(format!("{} task {task} started {count} times", record.job));
        }
    }
}

fn check_answer(
    record: &JobRecord,
    answer: &JobAnswer,
    starts: &BTreeMap<String, usize>,
    broken: &mut Vec<String>,
) {
    let started = (0..record.tasks)
        .filter(|task| starts_of(record, *task, starts) > 0)
        .count();
    match answer.outcome.as_str() {
        "complete" => {
            check_results(record, answer, broken);
            if started < record.tasks {
                broken.push(format!("{} is complete with {started} starts", record.job));
            }
        }
        "not_run" => {
            if started > 0 && answer.error_code() != Some("key_conflict") {
                broken.push(format!("{} was not run with {started} starts", record.job));
            }
            check_no_results(record, answer, broken);
        }
        _ => check_no_results(record, answer, broken),
    }
}

fn check_results(record: &JobRecord, answer: &JobAnswer, broken: &mut Vec<String>) {
    let results = answer.results.as_deref().unwrap_or_default();
    if results.len() != record.tasks {
        broken.push(format!("{} has {} results", record.job, results.len()));
    }
    for (task, result) in results.iter().enumerate() {
        if result["echo"] != make_echo(&record.job, task) {
            broken.push(format!("{} task {task} has another's result", record.job));
        }
    }
}

fn check_no_results(record: &JobRecord, answer: &JobAnswer, broken: &mut Vec<String>) {
    if answer.results.is_some() {
        broken.push(format!("{} is partial", record.job));
    }
}

/// The answers under one key must not contradict each other.
fn check_consistency(record: &JobRecord, broken: &mut Vec<String>) {
    let has = |outcome: &str| record.answers.iter().any(|one| one.outcome == outcome);
    if has("complete") && has("not_run") {
        broken.push(format!("{} was both complete and not run", record.job));
    }
}
