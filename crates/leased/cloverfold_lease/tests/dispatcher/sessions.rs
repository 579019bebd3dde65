//! What becomes of tasks whose session is lost.

use cloverfold_lease::{JobAnswer, Timings};

use crate::fixture::{CAPACITY, Fixture, job, long_step, ms, one_task_job};

#[test]
fn runs_of_a_lost_session_wait_until_they_are_surely_over() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job("a", vec![long_step()]));
    let run = fixture.assigned().remove(0);
    let other = 3 - run.0;
    let echoed_at = fixture.now;
    fixture.dispatcher.close_session(run.0, fixture.now);
    let limit = Timings::default().run_end_bound();
    let live = |fixture: &mut Fixture| {
        fixture.now += ms(20);
        fixture.heartbeat(other, CAPACITY, u64::MAX);
        fixture.dispatcher.tick(fixture.now);
    };
    while fixture.now + ms(20) < echoed_at + limit {
        live(&mut fixture);
        assert!(
            fixture.assigned().is_empty(),
            "{:?} after the last echo",
            fixture.now.saturating_duration_since(echoed_at)
        );
    }

    live(&mut fixture);
    live(&mut fixture);

    assert_eq!(fixture.assigned().len(), 1);
}

#[test]
fn a_runner_that_offers_its_target_again_settles_its_lost_session() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("a"));
    fixture.assigned();
    fixture.dispatcher.close_session(1, fixture.now);
    fixture.dispatcher.open_session(9, "runner-1", fixture.now);
    fixture.heartbeat(9, CAPACITY, 0);
    assert!(fixture.assigned().is_empty());

    fixture.offer(9, &["a"]);

    assert_eq!(fixture.assigned().len(), 1);
}

#[test]
fn a_job_whose_session_was_lost_may_have_run_and_is_never_refused() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(job("a", vec![long_step()]));
    let run = fixture.assigned().remove(0);
    let other = 3 - run.0;
    fixture.dispatcher.close_session(run.0, fixture.now);

    // Its run is surely over after 1.3 s; no other target has free capacity, and its time is over after 9.8 s.
    fixture.pass(12_000, &[other]);

    assert_eq!(fixture.answers(), [(number, JobAnswer::GivenUp)]);
}
