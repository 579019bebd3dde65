//! Tests that the checker finds each kind of violation.

use cloverfold_load::JobAnswer;
use cloverfold_target::Journal;
use serde_json::{Value, json};

use crate::checker::{JobRecord, find_violations, make_echo};

fn answer(value: Value) -> JobAnswer {
    serde_json::from_value(value).unwrap()
}

fn complete(job: &str, tasks: usize) -> JobAnswer {
    let results: Vec<Value> = (0..tasks)
        .map(|task| json!({ "echo": make_echo(job, task) }))
        .collect();
    answer(json!({ "outcome": "complete", "results": results }))
}

fn record(answers: Vec<JobAnswer>) -> JobRecord {
    JobRecord {
        job: "job".into(),
        tasks: 2,
        is_repeatable: false,
        answers,
    }
}

fn journal(started_tasks: &[usize]) -> Journal {
    let journal = Journal::default();
    for task in started_tasks {
        let body = json!({ "echo": make_echo("job", *task) }).to_string();
        journal.record_start("any", body.as_bytes());
    }
    journal
}

#[test]
fn a_consistent_record_has_no_violations() {
    let records = [record(vec![complete("job", 2), complete("job", 2)])];

    let violations = find_violations(&records, &[&journal(&[0]), &journal(&[1])]);

    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn each_kind_of_violation_is_found() {
    let not_run = || answer(json!({ "outcome": "not_run" }));
    let partial = answer(json!({ "outcome": "failed", "results": [1] }));
    let cases = [
        (vec![], vec![0, 0], "started 2 times"),
        (vec![not_run()], vec![1], "is not_run with 1 starts"),
        (vec![complete("job", 2)], vec![0], "complete with 1 starts"),
        (vec![complete("job", 1)], vec![0, 1], "has 1 results"),
        (
            vec![complete("other", 2)],
            vec![0, 1],
            "the result of another task",
        ),
        (vec![partial], vec![], "has results but is not complete"),
        (
            vec![complete("job", 2), not_run()],
            vec![0, 1],
            "both complete and not run",
        ),
    ];
    for (answers, starts, expected) in cases {
        let violations = find_violations(&[record(answers)], &[&journal(&starts)]);

        assert!(
            violations
                .iter()
                .any(|violation| violation.contains(expected)),
            "{expected}: {violations:?}"
        );
    }
}
