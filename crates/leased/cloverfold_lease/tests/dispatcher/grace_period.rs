//! Jobs that continue after their grace period.

use cloverfold_lease::{JobAnswer, JobRequest, Resources, RunOutcome};

use crate::fixture::{CAPACITY, Fixture, NO_FREE_CPU, job, ms, one_task_job, step};

/// Returns a job whose grace period is three times its latency objective for twice its work, 1,140 ms, and whose caller waits longer.
fn job_with_long_timeout(id: &str) -> JobRequest {
    JobRequest {
        caller_timeout: Some(ms(2_000)),
        ..one_task_job(id)
    }
}

/// Advances the time, during which runners 1 and 2 are alive and report this free capacity.
fn advance(fixture: &mut Fixture, duration_ms: u64, free: Resources) {
    let until = fixture.now + ms(duration_ms);
    while fixture.now < until {
        fixture.now += ms(20);
        for session in [1, 2] {
            fixture.heartbeat(session, free, u64::MAX);
            fixture.report_free_capacity(session, free, 1_000);
        }
        fixture.dispatcher.tick(fixture.now);
    }
}

// Guards against giving up a job with a run in progress while its caller still waits.
#[test]
fn a_run_in_progress_may_complete_its_job_until_the_caller_timeout() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(job_with_long_timeout("a"));
    let run = fixture.take_assignments().remove(0);

    advance(&mut fixture, 1_700, CAPACITY);
    let early = fixture.take_answers();
    fixture.report_end(&run, RunOutcome::Done);

    assert_eq!(early, []);
    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Completed)]);
}

// Guards against giving up a job with a lost task although its caller still waits and another target is free.
#[test]
fn a_lost_task_is_retried_after_the_grace_period_if_there_is_capacity() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_with_long_timeout("a"));
    let run = fixture.take_assignments().remove(0);
    advance(&mut fixture, 1_300, CAPACITY);
    fixture.dispatcher.take_actions();

    fixture.report_end(&run, RunOutcome::Lost);

    assert_eq!(fixture.take_assignments().len(), 1);
}

// Guards against late work that delays other jobs, and against callers that learn too late that their job is given up.
#[test]
fn after_its_grace_period_a_job_is_given_up_as_soon_as_a_task_waits() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(job_with_long_timeout("a"));
    let run = fixture.take_assignments().remove(0);
    advance(&mut fixture, 1_300, NO_FREE_CPU);

    fixture.report_end_with_free(&run, RunOutcome::Lost, NO_FREE_CPU);
    fixture.dispatcher.tick(fixture.now);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::GivenUp)]);
}

// Guards against assigning capacity to a job past its grace period before one that can still be on time.
#[test]
fn a_job_past_its_grace_period_is_served_after_all_others() {
    let mut fixture = Fixture::new(1);
    fixture.submit(JobRequest {
        caller_timeout: Some(ms(2_000)),
        ..job("old", vec![step(4, vec![])])
    });
    let runs = fixture.take_assignments();
    for _ in 0..65 {
        fixture.now += ms(20);
        fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
        fixture.report_free_capacity(1, NO_FREE_CPU, 1_000);
        fixture.dispatcher.tick(fixture.now);
    }
    fixture.submit(one_task_job("new"));
    fixture.take_assignments();

    fixture.report_end_with_free(&runs[0], RunOutcome::Lost, CAPACITY);

    let assigned = fixture.take_assignments();
    assert_eq!(assigned[0].1.task.job, "new");
}

#[test]
fn without_a_caller_timeout_a_job_is_given_up_at_the_end_of_its_grace_period() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(one_task_job("a"));
    fixture.take_assignments();

    advance(&mut fixture, 1_160, CAPACITY);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::GivenUp)]);
}
