//! Which jobs count as begun: those of which a target has started a task, not those with a task that is only assigned.

use cloverfold_lease::{
    Assignment, JobNumber, RunOutcome, RunRefusal, RunnerMessage, SessionId, StartedRun,
};

use crate::fixture::{
    CAPACITY, Fixture, drive, fixture_with_kept_jobs, job, kept_job, one_task_job, step,
    take_kept_assignments,
};

/// Returns a dispatcher with one target, whose runner reports starts.
fn fixture_with_start_reports() -> Fixture {
    let mut fixture = fixture_with_kept_jobs(1);
    fixture.dispatcher.set_reports_starts(1);
    fixture
}

/// Drives a kept job of one task and returns its number and its run.
fn drive_one_task(fixture: &mut Fixture) -> (JobNumber, (SessionId, Assignment)) {
    let number = drive(fixture, kept_job(one_task_job("kept"), 1));
    let (session, run) = take_kept_assignments(fixture).remove(0);
    (number, (session, run.assignment))
}

fn report_start(fixture: &mut Fixture, run: &(SessionId, Assignment)) {
    let started = StartedRun {
        task: run.1.task.clone(),
        run: run.1.run,
    };
    let message = RunnerMessage::Started(vec![started]);
    fixture.dispatcher.receive(run.0, message, fixture.now);
}

/// Guards against jobs that are left out of the count of waiting jobs as soon as a task is assigned.
#[test]
fn an_assigned_task_has_not_begun_before_its_start_is_reported() {
    let mut fixture = fixture_with_start_reports();
    let (number, run) = drive_one_task(&mut fixture);

    let begun_when_assigned = fixture.dispatcher.has_begun(number);
    report_start(&mut fixture, &run);

    assert!(!begun_when_assigned);
    assert!(fixture.dispatcher.has_begun(number));
}

/// Guards against jobs that count as begun for good after a start that the target has refused.
#[test]
fn a_refused_start_does_not_make_a_job_begun() {
    let mut fixture = fixture_with_start_reports();
    let (number, run) = drive_one_task(&mut fixture);

    fixture.report_end(&run, RunOutcome::NotStarted(RunRefusal::Unhealthy));

    assert!(!fixture.dispatcher.has_begun(number));
}

/// Guards against a begun job that counts as waiting again while it waits for its next run.
#[test]
fn a_job_stays_begun_after_its_run_is_lost() {
    let mut fixture = fixture_with_start_reports();
    let (number, run) = drive_one_task(&mut fixture);
    report_start(&mut fixture, &run);

    fixture.report_end(&run, RunOutcome::Lost);

    assert!(fixture.dispatcher.has_begun(number));
}

/// Guards against a late report of a run that is over, which says nothing about the present one.
#[test]
fn a_report_of_another_run_does_not_make_a_job_begun() {
    let mut fixture = fixture_with_start_reports();
    let (number, mut run) = drive_one_task(&mut fixture);

    run.1.run += 1;
    report_start(&mut fixture, &run);

    assert!(!fixture.dispatcher.has_begun(number));
}

/// Guards against a job with no known start whose session, with a run that may or may not have started, is lost.
#[test]
fn a_lost_session_does_not_make_a_job_begun() {
    let mut fixture = fixture_with_start_reports();
    let (number, _) = drive_one_task(&mut fixture);

    fixture.dispatcher.close_session(1, fixture.now);

    assert!(!fixture.dispatcher.has_begun(number));
}

/// Guards against runners of earlier builds, which do not report starts: their jobs would count as waiting until a run ends.
#[test]
fn an_assignment_to_a_runner_without_start_reports_counts_as_begun() {
    let mut fixture = fixture_with_kept_jobs(1);

    let (number, _) = drive_one_task(&mut fixture);

    assert!(fixture.dispatcher.has_begun(number));
}

/// Guards against open best-effort jobs that show as running while they only wait.
#[test]
fn an_open_best_effort_job_has_begun_once_a_start_is_reported() {
    let mut fixture = fixture_with_start_reports();
    fixture.submit(one_task_job("best-effort"));
    let run = fixture.take_assignments().remove(0);
    let has_begun = |fixture: &Fixture| fixture.dispatcher.has_named_begun("best-effort");

    let when_assigned = has_begun(&fixture);
    report_start(&mut fixture, &run);
    let when_started = has_begun(&fixture);
    fixture.report_end(&run, RunOutcome::Done);

    assert_eq!(when_assigned, Some(false));
    assert_eq!(when_started, Some(true));
    assert_eq!(has_begun(&fixture), None);
}

/// Guards against best-effort jobs that are left out of the count of waiting jobs before a task has started.
#[test]
fn a_best_effort_job_counts_as_queued_until_a_start_is_reported() {
    let mut fixture = fixture_with_start_reports();
    fixture.heartbeat(1, CAPACITY, 0);
    fixture.submit(job("best-effort", vec![step(2, vec![])]));
    let runs = fixture.take_assignments();

    let queued_when_assigned = fixture.dispatcher.count_queued(|_| true);
    report_start(&mut fixture, &runs[1]);

    assert_eq!(queued_when_assigned, 1);
    assert_eq!(fixture.dispatcher.count_queued(|_| true), 0);
}
