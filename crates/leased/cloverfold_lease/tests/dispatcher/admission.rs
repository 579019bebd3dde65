//! When jobs are refused or given up without the end of a run.

use std::time::Duration;

use cloverfold_lease::{
    DispatcherAction, DispatcherMessage, JobAnswer, JobRefusal, JobRequest, Resources, StepRequest,
};

use crate::fixture::{CAPACITY, FULL, Fixture, job, long_step, ms, one_task_job, step};

#[test]
fn a_job_that_cannot_be_offered_in_a_quarter_of_its_objective_is_refused() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, 0);
    let number = fixture.submit(one_task_job("a"));

    // The objective is 1.6 x 100 + 60 = 220 ms; a quarter of it 55 ms.
    fixture.pass(55, &[1]);

    let answers = fixture.answers();
    let [(answered, JobAnswer::Refused { cause, retry_after })] = answers[..] else {
        panic!("{answers:?}");
    };
    assert_eq!((answered, cause), (number, JobRefusal::NoCapacity));
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn with_too_much_work_a_job_is_refused_after_a_tenth_of_its_objective() {
    let mut fixture = Fixture::new(1);
    fixture.report(1, Resources::default(), 1_000);
    fixture.submit(job("a", vec![long_step()]));

    // The objective is 1.6 x 1,000 + 60 = 1,660 ms.
    fixture.pass(160, &[1]);
    assert!(fixture.answers().is_empty(), "it may wait for a tenth");
    fixture.pass(40, &[1]);

    assert!(matches!(
        fixture.answers()[..],
        [(_, JobAnswer::Refused { .. })]
    ));
}

/// A job with an objective of 1.6 x 200 + 60 = 380 ms.
fn job_of_200_ms(id: &str) -> JobRequest {
    let work = StepRequest {
        estimate: ms(200),
        ..step(1, vec![])
    };
    job(id, vec![work])
}

#[test]
fn a_job_of_a_queue_that_was_empty_just_now_waits_for_a_quarter_of_its_objective() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, 0);
    fixture.submit(job_of_200_ms("a"));

    fixture.pass(80, &[1]);
    assert!(fixture.answers().is_empty(), "a quarter is 95 ms");
    fixture.pass(20, &[1]);

    assert!(matches!(
        fixture.answers()[..],
        [(_, JobAnswer::Refused { .. })]
    ));
}

#[test]
fn a_job_of_a_queue_that_is_never_empty_is_refused_after_a_tenth_of_its_objective() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, 0);
    for round in 0..6 {
        fixture.submit(job_of_200_ms(&format!("before-{round}")));
        fixture.pass(40, &[1]);
    }
    fixture.answers();
    let number = fixture.submit(job_of_200_ms("a"));

    // A tenth is 38 ms.
    fixture.pass(40, &[1]);

    let refused = fixture.answers();
    assert!(refused.iter().any(|(answered, _)| *answered == number));
}

#[test]
fn a_job_is_given_up_before_its_caller_leaves() {
    let mut fixture = Fixture::new(1);
    let patient = JobRequest {
        caller_timeout: Some(ms(200)),
        ..one_task_job("a")
    };
    let number = fixture.submit(patient);
    assert_eq!(fixture.assigned().len(), 1);

    fixture.pass(190, &[1]);

    assert_eq!(fixture.answers(), [(number, JobAnswer::GivenUp)]);
}

#[test]
fn a_refused_job_never_runs() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, 0);
    fixture.submit(one_task_job("a"));
    fixture.pass(80, &[1]);
    assert_eq!(fixture.answers().len(), 1);

    fixture.heartbeat(1, CAPACITY, 0);

    assert!(fixture.assigned().is_empty());
}

#[test]
fn without_a_target_a_job_is_refused_at_once() {
    let mut fixture = Fixture::new(0);
    let number = fixture.submit(one_task_job("a"));
    let answers = fixture.answers();
    assert!(matches!(
        answers[..],
        [(n, JobAnswer::Refused { cause: JobRefusal::NoTarget, .. })] if n == number
    ));
}

#[test]
fn while_leaving_a_job_is_refused_at_once() {
    let mut fixture = Fixture::new(1);
    fixture.dispatcher.start_draining();
    fixture.submit(one_task_job("b"));
    assert!(matches!(
        fixture.answers()[..],
        [(
            _,
            JobAnswer::Refused {
                cause: JobRefusal::Leaving,
                ..
            }
        )]
    ));
}

#[test]
fn a_process_that_stood_still_gives_up_its_jobs_before_it_starts_anything() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, 0);
    let number = fixture.submit(one_task_job("a"));
    fixture.dispatcher.take_actions();
    fixture.now += ms(900);

    fixture.heartbeat(1, CAPACITY, 0);

    let actions = fixture.dispatcher.take_actions();
    assert!(actions.contains(&DispatcherAction::Answer(number, JobAnswer::GivenUp)));
    let assigns = |action: &DispatcherAction| {
        matches!(
            action,
            DispatcherAction::Send(_, DispatcherMessage::Assign(_))
        )
    };
    assert!(!actions.iter().any(assigns));
}
