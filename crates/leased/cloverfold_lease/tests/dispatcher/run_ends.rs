//! What follows from the end of a run.

use std::time::Duration;

use cloverfold_lease::{JobAnswer, JobRefusal, JobRequest, RunOutcome, RunRefusal, StepRequest};

use crate::fixture::{CAPACITY, FULL, Fixture, job, one_task_job, step};

#[test]
fn a_job_is_complete_when_all_tasks_of_all_steps_are_done() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(job("a", vec![step(2, vec![]), step(1, vec![0])]));
    let first = fixture.assigned();
    assert_eq!(first.len(), 2, "the second step waits for the first");
    fixture.end(&first[0], RunOutcome::Done);
    assert!(fixture.assigned().is_empty());
    fixture.end(&first[1], RunOutcome::Done);
    let second = fixture.assigned();
    assert_eq!(second.len(), 1);

    fixture.end(&second[0], RunOutcome::Done);

    assert_eq!(fixture.answers(), [(number, JobAnswer::Completed)]);
}

#[test]
fn a_failed_run_is_tried_elsewhere_and_its_job_fails_after_the_attempts() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(one_task_job("a"));
    let first = fixture.assigned().remove(0);
    fixture.end(&first, RunOutcome::Failed);
    let second = fixture.assigned().remove(0);
    assert_ne!(second.0, first.0);
    assert!(second.1.run > first.1.run);

    fixture.end(&second, RunOutcome::Failed);

    assert_eq!(fixture.answers(), [(number, JobAnswer::Failed)]);
}

#[test]
fn a_run_that_stood_still_is_begun_elsewhere_and_is_no_failure_of_its_task() {
    let mut fixture = Fixture::new(2);
    fixture.submit(one_task_job("a"));
    let first = fixture.assigned().remove(0);

    fixture.end(&first, RunOutcome::Stuck);

    let second = fixture.assigned().remove(0);
    assert_ne!(second.0, first.0);
    assert!(second.1.run > first.1.run);
    assert!(fixture.answers().is_empty());
    assert_eq!(fixture.dispatcher.counts().failed, 0);
}

#[test]
fn a_stale_run_number_is_raised_far_enough() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("a"));
    let run = fixture.assigned().remove(0);

    fixture.end(&run, RunOutcome::NotStarted(RunRefusal::Stale));

    assert!(fixture.assigned()[0].1.run > run.1.run + 10);
}

#[test]
fn a_job_whose_only_run_was_given_back_is_refused_and_not_worked_on() {
    let mut fixture = Fixture::new(1);
    let number = fixture.submit(one_task_job("a"));
    let run = fixture.assigned().remove(0);
    fixture.pass(60, &[1]);
    assert!(fixture.answers().is_empty(), "it may be at work");

    fixture.end(&run, RunOutcome::NotStarted(RunRefusal::NoCapacity));
    fixture.heartbeat(1, FULL, u64::MAX);
    fixture.dispatcher.tick(fixture.now);

    let answers = fixture.answers();
    assert!(
        matches!(answers[..], [(n, JobAnswer::Refused { cause: JobRefusal::NoCapacity, .. })] if n == number),
        "{answers:?}"
    );
}

#[test]
fn a_job_that_comes_again_is_not_started_while_an_earlier_run_may_be_at_work() {
    let mut fixture = Fixture::new(1);
    let first = fixture.submit(one_task_job("same"));
    let run = fixture.assigned().remove(0);
    fixture.dispatcher.cancel(first);
    fixture.dispatcher.take_actions();

    fixture.submit(one_task_job("same"));

    assert!(fixture.assigned().is_empty());
    fixture.end(&run, RunOutcome::Stopped);
    assert_eq!(fixture.assigned().len(), 1);
}

#[test]
fn runs_without_an_estimate_that_are_done_speak_for_their_target() {
    let mut fixture = Fixture::new(1);
    let unestimated = StepRequest {
        estimate: Duration::ZERO,
        ..step(1, vec![])
    };
    let mut run_once = |id: &str, outcome: RunOutcome| {
        fixture.submit(JobRequest {
            max_attempts: 1,
            ..job(id, vec![unestimated.clone()])
        });
        let run = fixture.assigned().pop().unwrap();
        fixture.end(&run, outcome);
        fixture.dispatcher.take_actions();
    };

    // One failure in five: far below the share from which a target is paused.
    for round in 0..4 {
        run_once(&format!("failed-{round}"), RunOutcome::Failed);
        for index in 0..4 {
            run_once(&format!("done-{round}-{index}"), RunOutcome::Done);
        }
    }

    assert_eq!(fixture.dispatcher.counts().pauses, 0);
}

#[test]
fn runs_that_are_given_back_are_counted_by_reason() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("a"));
    let first = fixture.assigned().remove(0);
    fixture.end(&first, RunOutcome::NotStarted(RunRefusal::NoCapacity));
    fixture.heartbeat(1, CAPACITY, u64::MAX);
    let second = fixture.assigned().remove(0);

    fixture.end(&second, RunOutcome::NotStarted(RunRefusal::Stale));

    let refused_runs = fixture.dispatcher.counts().refused_runs;
    let counted: Vec<_> = refused_runs
        .iter()
        .filter(|(_, count)| *count > 0)
        .collect();
    assert_eq!(
        counted,
        [(RunRefusal::NoCapacity, 1), (RunRefusal::Stale, 1)]
    );
    assert_eq!(refused_runs.total(), 2);
}
