//! Requests for targets that kept jobs need and the entry does not see.

use cloverfold_lease::{JobRequest, Resources, RunOutcome, SessionId, StepRequest, TargetNeed};

use crate::fixture::{
    CAPACITY, Fixture, drive, fixture_with_kept_jobs, job, kept_job, ms, one_task_job, step,
    take_kept_assignments,
};

const SESSION: SessionId = 1;

/// Returns a step of one task that requires this label.
fn labeled_step(label: &str, depends_on: Vec<usize>) -> StepRequest {
    StepRequest {
        required_label: Some(label.into()),
        ..step(1, depends_on)
    }
}

fn labeled_job(id: &str, label: &str) -> JobRequest {
    job(id, vec![labeled_step(label, vec![])])
}

fn need(label: Option<&str>) -> TargetNeed {
    TargetNeed {
        service: "service".into(),
        label: label.map(Into::into),
    }
}

/// Advances the time, during which the runner sends heartbeats and its target is empty.
fn advance(fixture: &mut Fixture, duration_ms: u64) {
    let until = fixture.now + ms(duration_ms);
    while fixture.now < until {
        fixture.now += ms(20);
        fixture.heartbeat(SESSION, CAPACITY, u64::MAX);
        fixture.dispatcher.tick(fixture.now);
    }
}

fn requested(fixture: &Fixture) -> Vec<TargetNeed> {
    let requested = fixture.dispatcher.requested_targets();
    requested.iter().cloned().collect()
}

/// Guards against kept jobs that wait for a target which no one connects to their entry.
#[test]
fn a_target_that_a_kept_job_lacks_is_requested() {
    let mut fixture = fixture_with_kept_jobs(1);
    drive(&mut fixture, kept_job(labeled_job("a", "rare"), 1));
    advance(&mut fixture, 400);
    assert_eq!(requested(&fixture), [], "it may be restarting");

    advance(&mut fixture, 400);

    assert_eq!(requested(&fixture), [need(Some("rare"))]);
}

/// Guards against a wait that begins only when the turn of the step has come.
#[test]
fn targets_of_later_steps_are_requested_in_advance() {
    let mut fixture = fixture_with_kept_jobs(1);
    let steps = vec![step(1, vec![]), labeled_step("rare", vec![0])];
    drive(&mut fixture, kept_job(job("a", steps), 1));

    advance(&mut fixture, 800);

    assert_eq!(requested(&fixture), [need(Some("rare"))]);
}

/// Guards against targets that are disconnected, and requested again, as soon as they are there.
#[test]
fn a_need_is_requested_until_no_job_has_it() {
    let mut fixture = fixture_with_kept_jobs(1);
    drive(&mut fixture, kept_job(labeled_job("a", "rare"), 1));
    advance(&mut fixture, 800);
    fixture.announce_target(SESSION, &["rare"]);
    let run = take_kept_assignments(&mut fixture).remove(0);
    advance(&mut fixture, 100);
    assert_eq!(requested(&fixture), [need(Some("rare"))]);

    fixture.report_end(&(run.0, run.1.assignment), RunOutcome::Done);
    advance(&mut fixture, 400);

    assert_eq!(requested(&fixture), []);
}

/// Guards against targets with the label that are too small for the job.
#[test]
fn a_target_that_is_too_small_does_not_meet_a_need() {
    let mut fixture = fixture_with_kept_jobs(1);
    let large = StepRequest {
        demand: Resources {
            memory_mb: 2 * CAPACITY.memory_mb,
            ..CAPACITY
        },
        ..step(1, vec![])
    };
    drive(&mut fixture, kept_job(job("a", vec![large]), 1));

    advance(&mut fixture, 800);

    assert_eq!(requested(&fixture), [need(None)]);
}

/// Guards against requests whose size grows with the waiting jobs.
#[test]
fn many_jobs_with_one_need_make_one_request() {
    let mut fixture = fixture_with_kept_jobs(1);
    for number in 0..300 {
        let id = format!("job-{number}");
        drive(&mut fixture, kept_job(labeled_job(&id, "rare"), 1));
    }

    advance(&mut fixture, 800);

    assert_eq!(requested(&fixture), [need(Some("rare"))]);
}

/// Guards against requests for jobs that are refused anyway, and for needs that a visible target meets.
#[test]
fn nothing_is_requested_for_repeatable_jobs_or_for_visible_targets() {
    let mut fixture = fixture_with_kept_jobs(1);
    drive(&mut fixture, kept_job(one_task_job("a"), 1));
    fixture.submit(labeled_job("b", "rare"));

    advance(&mut fixture, 800);

    assert_eq!(requested(&fixture), []);
}
