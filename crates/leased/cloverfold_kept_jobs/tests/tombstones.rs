//! Cancellations of jobs that are not stored: they hold for submissions that arrive later.

#![allow(clippy::unwrap_used)]

use cloverfold_kept_jobs::{
    CancelOutcome, CommandOutcome, JobCommand, JobSubmission, JobTable, MAX_ENDED_JOBS,
    MAX_TOMBSTONES, SubmitOutcome, TerminalState,
};

fn submission(id: &str) -> JobSubmission {
    JobSubmission {
        id: id.into(),
        queue: "queue".into(),
        digest: [1; 16],
        body: vec![2],
        tasks: 1,
        max_attempts: 3,
        driver: 4,
    }
}

fn submit(table: &mut JobTable, id: &str) -> SubmitOutcome {
    match table.apply(JobCommand::Submit(submission(id))) {
        CommandOutcome::Submit(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

/// Cancels a job as a leader does; `None` if the cancellation is refused.
fn cancel(table: &mut JobTable, id: &str) -> Option<CancelOutcome> {
    let commands = table.plan_cancellation(&id.to_owned())?;
    let outcomes = commands.into_iter().map(|command| table.apply(command));
    match outcomes.last()? {
        CommandOutcome::Cancel(outcome) => Some(outcome),
        other => panic!("{other:?}"),
    }
}

fn state(table: &JobTable, id: &str) -> Option<TerminalState> {
    let ended = table.ended(id).filter(|ended| !ended.is_tombstone());
    ended.map(|ended| ended.how)
}

/// Guards against a submission that runs although its cancellation, which arrived first, was acknowledged.
#[test]
fn a_submission_after_its_cancellation_does_not_run() {
    let mut table = JobTable::default();

    let cancelled = cancel(&mut table, "a");
    let shown = state(&table, "a");
    let submitted = submit(&mut table, "a");
    let again = submit(&mut table, "a");

    assert_eq!(cancelled, Some(CancelOutcome::Unknown));
    assert_eq!(shown, None, "nobody has submitted it");
    assert_eq!([submitted, again], [SubmitOutcome::Known; 2]);
    assert_eq!(state(&table, "a"), Some(TerminalState::Cancelled));
    assert!(table.open().is_empty());
}

/// Guards against tombstones that a snapshot or a restart loses.
#[test]
fn a_tombstone_survives_encoding() {
    let mut table = JobTable::default();
    cancel(&mut table, "a");

    let mut restored = JobTable::decode(&table.encode()).unwrap();

    assert_eq!(restored.tombstone_count(), 1);
    assert_eq!(submit(&mut restored, "a"), SubmitOutcome::Known);
    assert_eq!(restored.tombstone_count(), 0);
}

/// Guards against a tombstone in place of a job whose submission the leader had not applied when it planned the cancellation.
#[test]
fn a_tombstone_has_no_effect_on_a_stored_job() {
    let mut table = JobTable::default();
    let planned = table.plan_cancellation(&"a".to_owned()).unwrap();
    submit(&mut table, "a");

    let outcomes: Vec<CommandOutcome> = planned
        .into_iter()
        .map(|command| table.apply(command))
        .collect();

    let expected = CommandOutcome::Cancel(CancelOutcome::Cancelled);
    assert_eq!(outcomes.last(), Some(&expected));
    assert_eq!(state(&table, "a"), Some(TerminalState::Cancelled));
    assert_eq!(table.tombstone_count(), 0);
}

/// Guards against tombstones that stay for ever.
#[test]
fn a_tombstone_expires_like_an_ended_job() {
    let mut table = JobTable::default();
    cancel(&mut table, "a");

    table.apply(JobCommand::Expire(table.last_end()));

    assert_eq!((table.tombstone_count(), table.ended_count()), (0, 0));
    assert_eq!(submit(&mut table, "a"), SubmitOutcome::Accepted(1));
}

/// Guards against a flood of cancellations that fills the table, or that drops what was acknowledged before.
#[test]
fn with_too_many_tombstones_further_cancellations_are_refused_and_submissions_are_not() {
    let mut table = JobTable::default();
    for number in 0..MAX_TOMBSTONES {
        let outcome = cancel(&mut table, &format!("unknown-{number}"));
        assert_eq!(outcome, Some(CancelOutcome::Unknown));
    }

    let refused = cancel(&mut table, "unknown-more");
    let repeated = cancel(&mut table, "unknown-0");
    let accepted = submit(&mut table, "a");
    let cancelled = cancel(&mut table, "a");

    assert_eq!(refused, None);
    assert_eq!(repeated, Some(CancelOutcome::Unknown));
    assert_eq!(accepted, SubmitOutcome::Accepted(1));
    assert_eq!(cancelled, Some(CancelOutcome::Cancelled));
    assert_eq!(submit(&mut table, "unknown-0"), SubmitOutcome::Known);
    const { assert!(MAX_TOMBSTONES <= MAX_ENDED_JOBS / 4) };
}
