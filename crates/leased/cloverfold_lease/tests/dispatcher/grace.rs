//! What becomes of jobs that take many times as long as they should.

use cloverfold_lease::{JobAnswer, JobRequest, RunOutcome};

use crate::fixture::{CAPACITY, FULL, Fixture, job, ms, one_task_job, step};

/// The job's grace ends after three times its objective for twice its work: 1,140 ms. Its caller waits for longer.
fn patient_job(id: &str) -> JobRequest {
    JobRequest {
        caller_timeout: Some(ms(2_000)),
        ..one_task_job(id)
    }
}

/// Lets time pass in which runners 1 and 2 live and have this much free.
fn pass(fixture: &mut Fixture, span: u64, free: cloverfold_lease::Resources) {
    let until = fixture.now + ms(span);
    while fixture.now < until {
        fixture.now += ms(20);
        for session in [1, 2] {
            fixture.heartbeat(session, free, u64::MAX);
            fixture.report(session, free, 1_000);
        }
        fixture.dispatcher.tick(fixture.now);
    }
}

// A caller with time left was told that its job is given up while the run was still at work.
#[test]
fn a_run_at_work_is_waited_for_as_long_as_its_caller_waits() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(patient_job("a"));
    let run = fixture.assigned().remove(0);

    pass(&mut fixture, 1_700, CAPACITY);
    let early = fixture.answers();
    fixture.end(&run, RunOutcome::Done);

    assert_eq!(early, []);
    assert_eq!(fixture.answers(), [(number, JobAnswer::Completed)]);
}

// A task that was lost with a dark target was given up although its caller waited and another target was free.
#[test]
fn a_task_that_is_lost_after_the_grace_of_its_job_is_begun_again_where_there_is_room() {
    let mut fixture = Fixture::new(2);
    fixture.submit(patient_job("a"));
    let run = fixture.assigned().remove(0);
    pass(&mut fixture, 1_300, CAPACITY);
    fixture.dispatcher.take_actions();

    fixture.end(&run, RunOutcome::Lost);

    assert_eq!(fixture.assigned().len(), 1);
}

// Work that few callers can use must not hold up the others, and its callers must hear of it at once.
#[test]
fn a_job_is_given_up_as_soon_as_a_task_finds_no_room_after_its_grace() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(patient_job("a"));
    let run = fixture.assigned().remove(0);
    pass(&mut fixture, 1_300, FULL);

    fixture.end_with_free(&run, RunOutcome::Lost, FULL);
    fixture.dispatcher.tick(fixture.now);

    assert_eq!(fixture.answers(), [(number, JobAnswer::GivenUp)]);
}

// A job that still can be in time finds the place, not one whose grace is over.
#[test]
fn a_job_after_its_grace_waits_behind_all_others() {
    let mut fixture = Fixture::new(1);
    fixture.submit(JobRequest {
        caller_timeout: Some(ms(2_000)),
        ..job("old", vec![step(4, vec![])])
    });
    let runs = fixture.assigned();
    for _ in 0..65 {
        fixture.now += ms(20);
        fixture.heartbeat(1, FULL, u64::MAX);
        fixture.report(1, FULL, 1_000);
        fixture.dispatcher.tick(fixture.now);
    }
    fixture.submit(one_task_job("new"));
    fixture.assigned();

    fixture.end_with_free(&runs[0], RunOutcome::Lost, CAPACITY);

    let assigned = fixture.assigned();
    assert_eq!(assigned[0].1.task.job, "new");
}

// A caller that does not say how long it waits is answered at the end of the grace.
#[test]
fn without_a_deadline_of_its_caller_a_job_is_given_up_with_its_grace() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(one_task_job("a"));
    fixture.assigned();

    pass(&mut fixture, 1_160, CAPACITY);

    assert_eq!(fixture.answers(), [(number, JobAnswer::GivenUp)]);
}
