//! What becomes of requests that come before an entry has what it needs.

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Dispatcher, HealthLimits, JobAnswer, JobRefusal, STARTUP_PERIOD, Timings, configuration_timeout,
};

use crate::fixture::{CAPACITY, Fixture, at, ms, one_task_job};

/// A dispatcher without a target so long after the start of its process.
fn fixture_at(now: Timestamp) -> Fixture {
    let dispatcher = Dispatcher::new(Timings::default(), HealthLimits::default(), 3);
    let mut fixture = Fixture {
        dispatcher,
        now,
        run: None,
    };
    fixture.dispatcher.tick(now);
    fixture
}

#[test]
fn a_job_that_comes_just_before_the_first_target_is_served() {
    let mut fixture = fixture_at(at(20));
    fixture.submit(one_task_job("early"));
    assert!(fixture.answers().is_empty());

    fixture.now += ms(20);
    fixture.dispatcher.open_session(1, "runner-1", fixture.now);
    fixture.heartbeat(1, CAPACITY, 0);
    fixture.offer(1, &["a"]);

    assert_eq!(fixture.assigned().len(), 1);
}

#[test]
fn a_job_is_refused_for_want_of_a_target_when_none_comes_in_time() {
    let mut fixture = fixture_at(at(20));
    let number = fixture.submit(one_task_job("early"));

    // A quarter of its objective of 220 ms.
    fixture.pass(60, &[]);

    let refused = JobAnswer::refused(JobRefusal::NoTarget);
    assert_eq!(fixture.answers(), [(number, refused)]);
}

#[test]
fn a_job_without_a_target_is_refused_at_once_when_the_start_is_over() {
    let mut fixture = fixture_at(Timestamp::ZERO + STARTUP_PERIOD);

    let number = fixture.submit(one_task_job("later"));

    let refused = JobAnswer::refused(JobRefusal::NoTarget);
    assert_eq!(fixture.answers(), [(number, refused)]);
}

#[test]
fn only_a_process_that_has_just_started_lets_requests_wait_for_its_configuration() {
    let last = Timestamp::ZERO + STARTUP_PERIOD - ms(1);

    assert!(configuration_timeout(last).is_some());
    assert_eq!(configuration_timeout(last + ms(1)), None);
}
