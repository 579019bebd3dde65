//! Consequences of the end of a run.

use std::time::Duration;

use cloverfold_lease::{JobAnswer, JobRefusal, JobRequest, RunOutcome, RunRefusal, StepRequest};

use crate::fixture::{CAPACITY, Fixture, NO_FREE_CPU, job, one_task_job, step};

#[test]
fn a_job_is_completed_when_all_tasks_of_all_steps_are_done() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(job("a", vec![step(2, vec![]), step(1, vec![0])]));
    let first = fixture.take_assignments();
    assert_eq!(first.len(), 2, "the second step waits for the first");
    fixture.report_end(&first[0], RunOutcome::Done);
    assert!(fixture.take_assignments().is_empty());
    fixture.report_end(&first[1], RunOutcome::Done);
    let second = fixture.take_assignments();
    assert_eq!(second.len(), 1);

    fixture.report_end(&second[0], RunOutcome::Done);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Completed)]);
}

#[test]
fn a_failed_run_is_retried_on_another_target_and_its_job_fails_after_the_last_attempt() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(one_task_job("a"));
    let first = fixture.take_assignments().remove(0);
    fixture.report_end(&first, RunOutcome::Failed);
    let second = fixture.take_assignments().remove(0);
    assert_ne!(second.0, first.0);
    assert!(second.1.run > first.1.run);

    fixture.report_end(&second, RunOutcome::Failed);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Failed)]);
}

#[test]
fn a_stuck_run_is_retried_on_another_target_without_counting_a_failure() {
    let mut fixture = Fixture::new(2);
    fixture.submit(one_task_job("a"));
    let first = fixture.take_assignments().remove(0);

    fixture.report_end(&first, RunOutcome::Stuck);

    let second = fixture.take_assignments().remove(0);
    assert_ne!(second.0, first.0);
    assert!(second.1.run > first.1.run);
    assert!(fixture.take_answers().is_empty());
    assert_eq!(fixture.dispatcher.counts().failed, 0);
}

#[test]
fn a_stale_run_number_is_raised_by_more_than_ten() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("a"));
    let run = fixture.take_assignments().remove(0);

    fixture.report_end(&run, RunOutcome::NotStarted(RunRefusal::Stale));

    assert!(fixture.take_assignments()[0].1.run > run.1.run + 10);
}

#[test]
fn a_job_whose_only_run_was_not_started_is_refused_at_its_queue_deadline() {
    let mut fixture = Fixture::new(1);
    let number = fixture.submit(one_task_job("a"));
    let run = fixture.take_assignments().remove(0);
    fixture.advance(60, &[1]);
    assert!(
        fixture.take_answers().is_empty(),
        "the run may be in progress"
    );

    fixture.report_end(&run, RunOutcome::NotStarted(RunRefusal::NoCapacity));
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    fixture.dispatcher.tick(fixture.now);

    let answers = fixture.take_answers();
    assert!(
        matches!(answers[..], [(n, JobAnswer::Refused { cause: JobRefusal::NoCapacity, .. })] if n == number),
        "{answers:?}"
    );
}

#[test]
fn a_resubmitted_job_is_not_started_while_an_earlier_run_may_be_in_progress() {
    let mut fixture = Fixture::new(1);
    let first = fixture.submit(one_task_job("same"));
    let run = fixture.take_assignments().remove(0);
    fixture.dispatcher.cancel(first);
    fixture.dispatcher.take_actions();

    fixture.submit(one_task_job("same"));

    assert!(fixture.take_assignments().is_empty());
    fixture.report_end(&run, RunOutcome::Stopped);
    assert_eq!(fixture.take_assignments().len(), 1);
}

#[test]
fn completed_runs_without_an_estimate_improve_the_health_of_their_target() {
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
        let run = fixture.take_assignments().pop().unwrap();
        fixture.report_end(&run, outcome);
        fixture.dispatcher.take_actions();
    };

    // A failure rate of one in five is far below the threshold for a pause.
    for round in 0..4 {
        run_once(&format!("failed-{round}"), RunOutcome::Failed);
        for index in 0..4 {
            run_once(&format!("done-{round}-{index}"), RunOutcome::Done);
        }
    }

    assert_eq!(fixture.dispatcher.counts().pauses, 0);
}

#[test]
fn runs_that_are_not_started_are_counted_by_reason() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("a"));
    let first = fixture.take_assignments().remove(0);
    fixture.report_end(&first, RunOutcome::NotStarted(RunRefusal::NoCapacity));
    fixture.heartbeat(1, CAPACITY, u64::MAX);
    let second = fixture.take_assignments().remove(0);

    fixture.report_end(&second, RunOutcome::NotStarted(RunRefusal::Stale));

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
