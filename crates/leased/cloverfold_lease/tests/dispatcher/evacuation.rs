//! Evacuated data halls: no task is assigned there, and waiting tasks are assigned in the other halls.

use std::collections::BTreeSet;

use cloverfold_lease::{
    DispatcherAction, JobAnswer, JobRefusal, RunOutcome, RunRefusal, SessionId,
};

use crate::fixture::{CAPACITY, Fixture, job, one_task_job, step};

/// Returns a fixture with sessions 1 and 2 in hall a, and 3 and 4 in hall b.
fn fixture_with_two_halls() -> Fixture {
    let mut fixture = Fixture::new(4);
    for (session, hall) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        fixture.dispatcher.set_data_hall(session, &hall.to_owned());
    }
    fixture
}

fn evacuate(fixture: &mut Fixture, halls: &[&str]) {
    let halls: BTreeSet<String> = halls.iter().map(|hall| (*hall).to_owned()).collect();
    fixture.dispatcher.set_evacuated_halls(&halls);
}

fn assigned_sessions(fixture: &mut Fixture) -> BTreeSet<SessionId> {
    let assigned = fixture.take_assignments().into_iter();
    assigned.map(|(session, _)| session).collect()
}

#[test]
fn nothing_is_assigned_in_an_evacuated_hall_even_if_its_runners_announce_targets() {
    let mut fixture = fixture_with_two_halls();

    evacuate(&mut fixture, &["a"]);
    fixture.announce_target(1, &["a"]);
    fixture.heartbeat(1, CAPACITY, 0);
    fixture.submit(job("wide", vec![step(12, vec![])]));

    assert_eq!(assigned_sessions(&mut fixture), [3, 4].into());
    assert_eq!(fixture.dispatcher.count_ready_targets(fixture.now), 2);
}

#[test]
fn a_run_refused_because_of_an_evacuation_is_assigned_elsewhere_at_once() {
    let mut fixture = fixture_with_two_halls();
    evacuate(&mut fixture, &["b"]);
    fixture.submit(one_task_job("job"));
    let first = fixture.take_assignments().remove(0);
    evacuate(&mut fixture, &["a"]);

    fixture.report_end(&first, RunOutcome::NotStarted(RunRefusal::Evacuated));

    let (session, assignment) = fixture.take_assignments().remove(0);
    assert!([3, 4].contains(&session), "{session}");
    assert_eq!(assignment.run, first.1.run + 1);
}

#[test]
fn jobs_are_refused_at_once_if_all_halls_are_evacuated() {
    let mut fixture = fixture_with_two_halls();
    evacuate(&mut fixture, &["a", "b"]);

    let number = fixture.submit(one_task_job("job"));

    let refused = JobAnswer::refused(JobRefusal::NoTarget);
    assert_eq!(fixture.take_answers(), [(number, refused)]);
}

#[test]
fn a_runner_that_connects_during_an_evacuation_is_excluded() {
    let mut fixture = fixture_with_two_halls();
    evacuate(&mut fixture, &["a"]);
    fixture.dispatcher.close_session(1, fixture.now);

    fixture.dispatcher.open_session(5, "runner-1", fixture.now);
    fixture.dispatcher.set_data_hall(5, &"a".to_owned());
    fixture.heartbeat(5, CAPACITY, 0);
    fixture.announce_target(5, &["a"]);
    fixture.submit(job("wide", vec![step(12, vec![])]));

    assert_eq!(assigned_sessions(&mut fixture), [3, 4].into());
}

#[test]
fn a_hall_receives_work_again_after_its_evacuation_ends() {
    let mut fixture = fixture_with_two_halls();
    evacuate(&mut fixture, &["a", "b"]);

    evacuate(&mut fixture, &["b"]);
    fixture.submit(one_task_job("job"));

    assert!(assigned_sessions(&mut fixture).is_subset(&[1, 2].into()));
}

#[test]
fn runs_in_an_evacuated_hall_are_not_withdrawn() {
    let mut fixture = fixture_with_two_halls();
    evacuate(&mut fixture, &["b"]);
    fixture.submit(one_task_job("job"));
    let run = fixture.take_assignments().remove(0);

    evacuate(&mut fixture, &["a"]);
    fixture.heartbeat(run.0, CAPACITY, 1);
    fixture.dispatcher.tick(fixture.now);

    assert_eq!(fixture.take_withdrawals(), []);
    fixture.report_end(&run, RunOutcome::Done);
    let actions = fixture.dispatcher.take_actions();
    let is_completed = |action: &DispatcherAction| {
        matches!(action, DispatcherAction::Answer(_, JobAnswer::Completed))
    };
    assert!(actions.iter().any(is_completed));
}
