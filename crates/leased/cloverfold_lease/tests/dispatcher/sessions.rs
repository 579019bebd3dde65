//! Tasks whose session was lost.

use cloverfold_lease::{JobAnswer, Timings};

use crate::fixture::{CAPACITY, Fixture, job, long_step, ms, one_task_job};

#[test]
fn tasks_of_a_lost_session_wait_until_their_runs_have_certainly_ended() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job("a", vec![long_step()]));
    let run = fixture.take_assignments().remove(0);
    let other = 3 - run.0;
    let echoed_at = fixture.now;
    fixture.dispatcher.close_session(run.0, fixture.now);
    let limit = Timings::default().run_end_bound();
    let advance_with_heartbeat = |fixture: &mut Fixture| {
        fixture.now += ms(20);
        fixture.heartbeat(other, CAPACITY, u64::MAX);
        fixture.dispatcher.tick(fixture.now);
    };
    while fixture.now + ms(20) < echoed_at + limit {
        advance_with_heartbeat(&mut fixture);
        assert!(
            fixture.take_assignments().is_empty(),
            "{:?} after the last echo",
            fixture.now.saturating_duration_since(echoed_at)
        );
    }

    advance_with_heartbeat(&mut fixture);
    advance_with_heartbeat(&mut fixture);

    assert_eq!(fixture.take_assignments().len(), 1);
}

#[test]
fn announcing_a_target_again_releases_the_lost_session() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("a"));
    fixture.take_assignments();
    fixture.dispatcher.close_session(1, fixture.now);
    fixture.dispatcher.open_session(9, "runner-1", fixture.now);
    fixture.heartbeat(9, CAPACITY, 0);
    assert!(fixture.take_assignments().is_empty());

    fixture.announce_target(9, &["a"]);

    assert_eq!(fixture.take_assignments().len(), 1);
}

#[test]
fn a_job_whose_session_was_lost_may_have_run_and_is_never_refused() {
    let mut fixture = Fixture::new(2);
    let number = fixture.submit(job("a", vec![long_step()]));
    let run = fixture.take_assignments().remove(0);
    let other = 3 - run.0;
    fixture.dispatcher.close_session(run.0, fixture.now);

    // The run has certainly ended after 1.3 s. No other target has free capacity, and the job expires after 9.8 s.
    fixture.advance(12_000, &[other]);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::GivenUp)]);
}
