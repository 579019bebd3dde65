//! Overdue runs on boxes that are usually slower or faster than others.

use cloverfold_lease::{RunnerMessage, SessionId, UsualSpeed};

use crate::fixture::{Fixture, one_task_job};

/// Reports the usual speed of the target of a runner.
fn report_usual_speed(fixture: &mut Fixture, session: SessionId, slowness_permille: u32) {
    let speed = UsualSpeed {
        slowness_permille,
        runs: 100,
    };
    let message = RunnerMessage::UsualSpeed(speed);
    fixture.dispatcher.receive(session, message, fixture.now);
}

/// Returns a fixture with one target of this usual slowness and a run with an estimate of 100 ms whose progress is not visible.
fn fixture_with_run(slowness_permille: u32) -> Fixture {
    let mut fixture = Fixture::new(1);
    report_usual_speed(&mut fixture, 1, slowness_permille);
    fixture.submit(one_task_job("a"));
    assert_eq!(fixture.take_assignments().len(), 1);
    fixture
}

#[test]
fn a_run_on_a_usually_slow_box_is_overdue_later() {
    let mut fixture = fixture_with_run(2_000);

    // On other boxes the run is overdue after 2.6 * 100 ms + 120 ms.
    fixture.advance(420, &[1]);

    assert!(fixture.take_withdrawals().is_empty());
    assert_eq!(fixture.dispatcher.counts().pauses, 0);
}

#[test]
fn a_run_on_a_usually_slow_box_is_overdue_eventually() {
    let mut fixture = fixture_with_run(2_000);

    // 2.6 * 200 ms + 120 ms.
    fixture.advance(660, &[1]);

    assert_eq!(fixture.dispatcher.counts().overdue, 1);
}

#[test]
fn a_usually_fast_box_does_not_shorten_the_expected_duration() {
    let mut fixture = fixture_with_run(500);

    fixture.advance(380, &[1]);
    assert!(
        fixture.take_withdrawals().is_empty(),
        "2.6 times 100 ms plus 120 ms"
    );
    fixture.advance(40, &[1]);

    assert_eq!(fixture.take_withdrawals(), [1]);
}
