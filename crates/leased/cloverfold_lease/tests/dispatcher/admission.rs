//! Jobs that are refused or given up for reasons other than the end of a run.

use std::time::Duration;

use cloverfold_lease::{
    DispatcherAction, DispatcherMessage, JobAnswer, JobRefusal, JobRequest, Resources, StepRequest,
};

use crate::fixture::{CAPACITY, Fixture, NO_FREE_CPU, job, long_step, ms, one_task_job, step};

#[test]
fn a_job_without_an_assignment_within_a_quarter_of_its_latency_objective_is_refused() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, 0);
    let number = fixture.submit(one_task_job("a"));

    // The latency objective is 1.6 x 100 + 60 = 220 ms; a quarter of it is 55 ms.
    fixture.advance(55, &[1]);

    let answers = fixture.take_answers();
    let [(answered, JobAnswer::Refused { cause, retry_after })] = answers[..] else {
        panic!("{answers:?}");
    };
    assert_eq!((answered, cause), (number, JobRefusal::NoCapacity));
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn in_a_standing_queue_a_job_is_refused_after_a_tenth_of_its_latency_objective() {
    let mut fixture = Fixture::new(1);
    fixture.report_free_capacity(1, Resources::default(), 1_000);
    fixture.submit(job("a", vec![long_step()]));

    // The latency objective is 1.6 x 1,000 + 60 = 1,660 ms.
    fixture.advance(160, &[1]);
    assert!(fixture.take_answers().is_empty(), "the deadline is a tenth");
    fixture.advance(40, &[1]);

    assert!(matches!(
        fixture.take_answers()[..],
        [(_, JobAnswer::Refused { .. })]
    ));
}

/// Returns a job with a latency objective of 1.6 x 200 + 60 = 380 ms.
fn job_of_200_ms(id: &str) -> JobRequest {
    let work = StepRequest {
        estimate: ms(200),
        ..step(1, vec![])
    };
    job(id, vec![work])
}

#[test]
fn a_job_of_a_recently_empty_queue_waits_for_a_quarter_of_its_latency_objective() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, 0);
    fixture.submit(job_of_200_ms("a"));

    fixture.advance(80, &[1]);
    assert!(fixture.take_answers().is_empty(), "a quarter is 95 ms");
    fixture.advance(20, &[1]);

    assert!(matches!(
        fixture.take_answers()[..],
        [(_, JobAnswer::Refused { .. })]
    ));
}

#[test]
fn a_job_of_a_queue_that_is_never_empty_is_refused_after_a_tenth_of_its_latency_objective() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, 0);
    for round in 0..6 {
        fixture.submit(job_of_200_ms(&format!("before-{round}")));
        fixture.advance(40, &[1]);
    }
    fixture.take_answers();
    let number = fixture.submit(job_of_200_ms("a"));

    // A tenth is 38 ms.
    fixture.advance(40, &[1]);

    let refused = fixture.take_answers();
    assert!(refused.iter().any(|(answered, _)| *answered == number));
}

#[test]
fn a_job_is_given_up_before_its_caller_times_out() {
    let mut fixture = Fixture::new(1);
    let with_timeout = JobRequest {
        caller_timeout: Some(ms(200)),
        ..one_task_job("a")
    };
    let number = fixture.submit(with_timeout);
    assert_eq!(fixture.take_assignments().len(), 1);

    fixture.advance(190, &[1]);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::GivenUp)]);
}

#[test]
fn a_refused_job_never_runs() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, 0);
    fixture.submit(one_task_job("a"));
    fixture.advance(80, &[1]);
    assert_eq!(fixture.take_answers().len(), 1);

    fixture.heartbeat(1, CAPACITY, 0);

    assert!(fixture.take_assignments().is_empty());
}

#[test]
fn without_a_target_a_job_is_refused_at_once() {
    let mut fixture = Fixture::new(0);
    let number = fixture.submit(one_task_job("a"));
    let answers = fixture.take_answers();
    assert!(matches!(
        answers[..],
        [(n, JobAnswer::Refused { cause: JobRefusal::NoTarget, .. })] if n == number
    ));
}

#[test]
fn while_draining_a_job_is_refused_at_once() {
    let mut fixture = Fixture::new(1);
    fixture.dispatcher.begin_draining();
    fixture.submit(one_task_job("b"));
    assert!(matches!(
        fixture.take_answers()[..],
        [(
            _,
            JobAnswer::Refused {
                cause: JobRefusal::Draining,
                ..
            }
        )]
    ));
}

#[test]
fn after_a_long_stall_jobs_are_given_up_before_anything_is_assigned() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, 0);
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
