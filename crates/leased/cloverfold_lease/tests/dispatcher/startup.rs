//! Requests that arrive before an entry has a configuration and targets.

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Dispatcher, HealthLimits, JobAnswer, JobRefusal, STARTUP_PERIOD, Timings, configuration_timeout,
};

use crate::fixture::{CAPACITY, Fixture, at, ms, one_task_job};

/// Returns a dispatcher without targets at this time after the start of its process.
fn fixture_at(now: Timestamp) -> Fixture {
    let dispatcher = Dispatcher::new(Timings::default(), HealthLimits::default(), 3);
    let mut fixture = Fixture {
        dispatcher,
        now,
        current_run: None,
    };
    fixture.dispatcher.tick(now);
    fixture
}

#[test]
fn a_job_submitted_just_before_the_first_target_connects_is_served() {
    let mut fixture = fixture_at(at(20));
    fixture.submit(one_task_job("early"));
    assert!(fixture.take_answers().is_empty());

    fixture.now += ms(20);
    fixture.dispatcher.open_session(1, "runner-1", fixture.now);
    fixture.heartbeat(1, CAPACITY, 0);
    fixture.announce_target(1, &["a"]);

    assert_eq!(fixture.take_assignments().len(), 1);
}

#[test]
fn a_job_is_refused_if_no_target_connects_before_its_queue_deadline() {
    let mut fixture = fixture_at(at(20));
    let number = fixture.submit(one_task_job("early"));

    // The queue deadline is a quarter of the latency objective of 220 ms.
    fixture.advance(60, &[]);

    let refused = JobAnswer::refused(JobRefusal::NoTarget);
    assert_eq!(fixture.take_answers(), [(number, refused)]);
}

#[test]
fn after_startup_a_job_without_a_target_is_refused_at_once() {
    let mut fixture = fixture_at(Timestamp::ZERO + STARTUP_PERIOD);

    let number = fixture.submit(one_task_job("later"));

    let refused = JobAnswer::refused(JobRefusal::NoTarget);
    assert_eq!(fixture.take_answers(), [(number, refused)]);
}

#[test]
fn requests_wait_for_the_configuration_only_during_startup() {
    let last = Timestamp::ZERO + STARTUP_PERIOD - ms(1);

    assert!(configuration_timeout(last).is_some());
    assert_eq!(configuration_timeout(last + ms(1)), None);
}
