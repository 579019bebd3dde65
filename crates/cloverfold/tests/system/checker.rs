//! Checks the targets' journals and the callers' records for violations of the guarantees about starts and answers.

use std::collections::BTreeMap;

use cloverfold_load::JobAnswer;
use cloverfold_target::{Journal, SampleTask};
use serde_json::{Value, json};

/// What a caller knows of one job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Name of the job, which its tasks carry in their echo.
    pub job: String,
    pub tasks: usize,
    /// Whether its tasks may be repeated.
    pub is_repeatable: bool,
    /// Answers to all submissions of the job that were answered.
    pub answers: Vec<JobAnswer>,
}

/// Returns the echo that identifies a task of a job in a target's journal.
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

/// Describes every violation of the guarantees.
pub fn find_violations(records: &[JobRecord], journals: &[&Journal]) -> Vec<String> {
    let starts = count_starts(journals);
    let mut violations = Vec::new();
    for record in records {
        check_starts(record, &starts, &mut violations);
        for answer in &record.answers {
            check_answer(record, answer, &starts, &mut violations);
        }
        check_consistency(record, &mut violations);
    }
    violations
}

fn starts_of_task(record: &JobRecord, task: usize, starts: &BTreeMap<String, usize>) -> usize {
    let echo = make_echo(&record.job, task).to_string();
    starts.get(&echo).copied().unwrap_or(0)
}

fn check_starts(
    record: &JobRecord,
    starts: &BTreeMap<String, usize>,
    violations: &mut Vec<String>,
) {
    for task in 0..record.tasks {
        let count = starts_of_task(record, task, starts);
        if count > 1 && !record.is_repeatable {
            violations.push(format!("{} task {task} started {count} times", record.job));
        }
    }
}

fn check_answer(
    record: &JobRecord,
    answer: &JobAnswer,
    starts: &BTreeMap<String, usize>,
    violations: &mut Vec<String>,
) {
    let started = (0..record.tasks)
        .filter(|task| starts_of_task(record, *task, starts) > 0)
        .count();
    match answer.outcome.as_str() {
        "complete" => {
            check_results(record, answer, violations);
            if started < record.tasks {
                violations.push(format!("{} is complete with {started} starts", record.job));
            }
        }
        "not_run" => {
            if started > 0 && answer.error_code() != Some("key_conflict") {
                violations.push(format!("{} is not_run with {started} starts", record.job));
            }
            check_no_results(record, answer, violations);
        }
        _ => check_no_results(record, answer, violations),
    }
}

fn check_results(record: &JobRecord, answer: &JobAnswer, violations: &mut Vec<String>) {
    let results = answer.results.as_deref().unwrap_or_default();
    if results.len() != record.tasks {
        violations.push(format!("{} has {} results", record.job, results.len()));
    }
    for (task, result) in results.iter().enumerate() {
        if result["echo"] != make_echo(&record.job, task) {
            violations.push(format!(
                "{} task {task} has the result of another task",
                record.job
            ));
        }
    }
}

fn check_no_results(record: &JobRecord, answer: &JobAnswer, violations: &mut Vec<String>) {
    if answer.results.is_some() {
        violations.push(format!("{} has results but is not complete", record.job));
    }
}

/// Checks that the answers under one key do not contradict each other.
fn check_consistency(record: &JobRecord, violations: &mut Vec<String>) {
    let has_outcome = |outcome: &str| {
        record
            .answers
            .iter()
            .any(|answer| answer.outcome == outcome)
    };
    if has_outcome("complete") && has_outcome("not_run") {
        violations.push(format!("{} was both complete and not run", record.job));
    }
}
