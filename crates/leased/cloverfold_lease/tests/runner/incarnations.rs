//! Restarts of a target under the same name: state of the previous incarnation must not be applied to the next one.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::first_run_of;
use cloverfold_lease::{
    EndCause, EndedRun, IncarnationId, ListedRun, RegistrationVerdict, RenewalAnswer, RunOutcome,
    Runner, RunnerAction, StartAnswer, StartTimeMs, TargetRegistration, UnavailableReason,
};

use crate::fixture::{
    SESSION, answered_by, assign, at, echo, incarnation_id, list, listed_run, ms, ready_with,
    registered, registration, renew, start_run, stops, take_ends, take_starts, task,
};

/// Start time of the first incarnation.
const FIRST_START_TIME: StartTimeMs = 1_767_225_600_000;
/// Start time of the second incarnation.
const SECOND_START_TIME: StartTimeMs = FIRST_START_TIME + 5_000;
/// A sequence or end number far above those of the second incarnation.
const HIGH_NUMBER: u64 = 1_000;

/// Returns a registration of the first incarnation.
fn first_incarnation() -> TargetRegistration {
    TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(FIRST_START_TIME)),
        ..registration(1)
    }
}

/// Returns the first registration of the second incarnation.
fn second_incarnation() -> TargetRegistration {
    TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(SECOND_START_TIME)),
        clock: Some(10),
        sequence: 1,
        ..first_incarnation()
    }
}

/// Returns a registration of the first incarnation with a high sequence number.
fn late_first_incarnation() -> TargetRegistration {
    TargetRegistration {
        sequence: HIGH_NUMBER,
        ..first_incarnation()
    }
}

/// Returns a runner whose target has registered many times in its first incarnation.
fn runner_with_many_registrations() -> Runner {
    let mut runner = ready_with(first_incarnation());
    runner.register(late_first_incarnation(), at(101));
    runner
}

/// Returns a runner whose target has registered in its second incarnation and has answered a probe and a renewal with the new fencing
/// token.
fn in_second_incarnation() -> Runner {
    let mut runner = runner_with_many_registrations();
    runner.register(second_incarnation(), at(102));
    renew(
        &mut runner,
        at(103),
        answered_by(SECOND_START_TIME, list(20, vec![], &[])),
    );
    renew(
        &mut runner,
        at(105),
        answered_by(SECOND_START_TIME, list(22, vec![], &[])),
    );
    runner.take_actions();
    runner
}

/// Returns an answer of the second incarnation, see [`list`].
fn second_list(
    clock: u64,
    running: Vec<ListedRun>,
    ended: &[(u64, u32, EndCause)],
) -> RenewalAnswer {
    answered_by(SECOND_START_TIME, list(clock, running, ended))
}

fn assert_not_ready(runner: &Runner, reason: UnavailableReason) {
    assert_eq!(runner.find_unavailable_reason(), Some(reason));
}

#[test]
fn the_next_incarnation_is_used_although_its_sequence_restarts() {
    let runner = in_second_incarnation();

    assert!(runner.has_ready_target());
    assert_eq!(
        runner.target_incarnation_id(),
        Some(&incarnation_id("incarnation-1", Some(SECOND_START_TIME)))
    );
}

#[test]
fn the_next_incarnation_drains_although_its_sequence_restarts() {
    let mut runner = in_second_incarnation();

    let draining = TargetRegistration {
        is_draining: true,
        sequence: 2,
        ..second_incarnation()
    };
    let verdict = runner.register(draining, at(120));

    assert_eq!(verdict, RegistrationVerdict::Accepted);
    assert_not_ready(&runner, UnavailableReason::Draining);
}

#[test]
fn an_incarnation_that_registers_as_draining_gets_no_work() {
    let mut runner = runner_with_many_registrations();

    runner.register(
        TargetRegistration {
            is_draining: true,
            ..second_incarnation()
        },
        at(102),
    );
    renew(&mut runner, at(103), second_list(20, vec![], &[]));
    renew(&mut runner, at(105), second_list(22, vec![], &[]));

    assert_not_ready(&runner, UnavailableReason::Draining);
}

#[test]
fn draining_of_the_previous_incarnation_does_not_affect_the_next() {
    let mut runner = runner_with_many_registrations();
    runner.register(
        TargetRegistration {
            is_draining: true,
            ..late_first_incarnation()
        },
        at(101),
    );

    runner.register(second_incarnation(), at(102));
    renew(&mut runner, at(103), second_list(20, vec![], &[]));
    renew(&mut runner, at(105), second_list(22, vec![], &[]));

    assert!(runner.has_ready_target());
}

#[test]
fn a_late_registration_of_the_previous_incarnation_does_not_change_draining() {
    let mut runner = in_second_incarnation();
    let late = TargetRegistration {
        is_draining: true,
        sequence: HIGH_NUMBER + 1,
        ..first_incarnation()
    };

    let begins = runner.register(late.clone(), at(120));
    let is_ready = runner.has_ready_target();
    runner.register(
        TargetRegistration {
            is_draining: true,
            sequence: 2,
            ..second_incarnation()
        },
        at(130),
    );
    let ends = runner.register(
        TargetRegistration {
            is_draining: false,
            ..late
        },
        at(140),
    );

    assert_eq!(begins, RegistrationVerdict::IncarnationEnded);
    assert!(is_ready);
    assert_eq!(ends, RegistrationVerdict::IncarnationEnded);
    assert_not_ready(&runner, UnavailableReason::Draining);
}

#[test]
fn a_late_registration_of_an_unknown_incarnation_is_probed_and_then_ignored() {
    let mut runner = registered(second_incarnation(), at(90));
    renew(&mut runner, at(95), second_list(20, vec![], &[]));
    runner.open_session(SESSION, at(100));
    start_run(&mut runner, 1, at(110));

    let verdict = runner.register(late_first_incarnation(), at(120));
    renew(
        &mut runner,
        at(121),
        second_list(46, vec![listed_run(1, None)], &[]),
    );
    let again = runner.register(late_first_incarnation(), at(130));

    assert_eq!(verdict, RegistrationVerdict::Candidate);
    assert_eq!(again, RegistrationVerdict::IncarnationEnded);
    assert_eq!(take_ends(&mut runner), [], "the run goes on");
    assert!(runner.has_ready_target());
}

#[test]
fn start_times_may_decrease_when_the_wall_clock_is_set_back() {
    let mut runner = runner_with_many_registrations();
    let start_time = FIRST_START_TIME - 60_000;
    let with_earlier_start_time = TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(start_time)),
        ..second_incarnation()
    };

    runner.register(with_earlier_start_time, at(102));
    renew(
        &mut runner,
        at(103),
        answered_by(start_time, list(20, vec![], &[])),
    );
    renew(
        &mut runner,
        at(105),
        answered_by(start_time, list(22, vec![], &[])),
    );

    assert!(runner.has_ready_target());
    assert_eq!(
        runner.target_incarnation_id().unwrap().start_time,
        Some(start_time)
    );
}

#[test]
fn an_unregistered_incarnation_found_by_a_list_gets_no_work_until_it_registers() {
    let mut runner = ready_with(first_incarnation());
    renew(&mut runner, at(110), second_list(5, vec![], &[]));
    renew(&mut runner, at(115), second_list(10, vec![], &[]));
    let before = runner.find_unavailable_reason();

    runner.register(second_incarnation(), at(120));

    assert_eq!(before, Some(UnavailableReason::NoTarget));
    assert!(runner.has_ready_target());
}

#[test]
fn ends_of_the_next_incarnation_are_processed_although_their_numbers_restart() {
    let mut runner = ready_with(first_incarnation());
    start_run(&mut runner, 1, at(110));
    let many_ends = list(50_060, vec![], &[(HIGH_NUMBER, 1, EndCause::Done)]);
    renew(&mut runner, at(130), many_ends);
    runner.register(second_incarnation(), at(140));
    renew(&mut runner, at(141), second_list(20, vec![], &[]));
    renew(&mut runner, at(143), second_list(22, vec![], &[]));
    runner.take_actions();
    start_run(&mut runner, 2, at(150));

    renew(
        &mut runner,
        at(210),
        second_list(80, vec![], &[(1, 2, EndCause::Done)]),
    );

    assert_eq!(take_ends(&mut runner), [(2, RunOutcome::Done)]);
    assert_eq!(runner.counts().skipped_ends, 0);
    let next = runner.plan_renewal(at(220)).unwrap();
    assert_eq!(next.last_acknowledged_end, 1);
}

#[test]
fn no_end_is_acknowledged_after_an_unanswered_renewal() {
    let mut runner = ready_with(first_incarnation());
    start_run(&mut runner, 1, at(110));
    renew(
        &mut runner,
        at(130),
        list(50_050, vec![], &[(7, 1, EndCause::Done)]),
    );
    let before = runner.plan_renewal(at(140)).unwrap();

    runner.receive_renewal_answer(&before, RenewalAnswer::Unanswered, at(180));
    let unanswered = runner.plan_renewal(at(181)).unwrap();
    runner.receive_renewal_answer(&unanswered, list(50_100, vec![], &[]), at(185));
    let answered = runner.plan_renewal(at(186)).unwrap();

    assert_eq!(before.last_acknowledged_end, 7);
    assert_eq!(
        unanswered.last_acknowledged_end, 0,
        "the number may belong to another incarnation"
    );
    assert_eq!(answered.last_acknowledged_end, 7);
}

/// Returns a runner with a run at the first incarnation whose start may have reached the second, which a list at 130 ms reveals.
fn restarted_with_run() -> Runner {
    let mut runner = ready_with(first_incarnation());
    start_run(&mut runner, 1, at(110));
    runner.register(second_incarnation(), at(125));
    renew(
        &mut runner,
        at(130),
        second_list(20, vec![listed_run(1, None)], &[]),
    );
    runner
}

#[test]
fn an_earlier_run_is_over_only_when_the_next_incarnation_refuses_its_orders() {
    let mut runner = restarted_with_run();
    let found = runner.take_actions();
    let fencing = runner.plan_renewal(at(132)).unwrap();
    runner.receive_renewal_answer(
        &fencing,
        second_list(25, vec![listed_run(1, None)], &[]),
        at(133),
    );
    let while_listed = take_ends(&mut runner);

    renew(
        &mut runner,
        at(150),
        second_list(40, vec![], &[(1, 1, EndCause::Stopped)]),
    );

    assert_eq!(
        stops(&found),
        [1],
        "the run is stopped at the next incarnation"
    );
    assert!(fencing.fencing_token > 1_000);
    assert_eq!((fencing.deadline, fencing.last_acknowledged_end), (None, 0));
    assert_eq!(while_listed, [], "the next incarnation executes the run");
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Stopped)]);
}

#[test]
fn an_earlier_run_that_the_next_incarnation_does_not_list_is_lost() {
    let mut runner = restarted_with_run();
    let before = take_ends(&mut runner);

    renew(&mut runner, at(132), second_list(25, vec![], &[]));

    assert_eq!(before, [], "the start may still be in flight");
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn a_list_requested_with_the_old_token_ends_no_run() {
    let mut runner = ready_with(first_incarnation());
    start_run(&mut runner, 1, at(110));
    let old = runner.plan_renewal(at(120)).unwrap();
    runner.receive_renewal_answer(&old, second_list(20, vec![], &[]), at(130));

    runner.receive_renewal_answer(&old, second_list(21, vec![], &[]), at(131));

    assert_eq!(take_ends(&mut runner), []);
}

#[test]
fn an_earlier_run_that_the_next_incarnation_completes_is_done() {
    let mut runner = restarted_with_run();
    runner.take_actions();

    renew(
        &mut runner,
        at(132),
        second_list(25, vec![], &[(1, 1, EndCause::Done)]),
    );

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Done)]);
}

#[test]
fn a_late_answer_to_an_earlier_start_does_not_set_the_clock() {
    let mut runner = ready_with(first_incarnation());
    runner.receive(SESSION, assign(1, at(510)), at(110));
    let start = take_starts(&mut runner).remove(0);
    runner.register(second_incarnation(), at(125));
    renew(&mut runner, at(130), second_list(20, vec![], &[]));
    renew(&mut runner, at(132), second_list(22, vec![], &[]));

    runner.receive_start_answer(&start, StartAnswer::Started { clock: 50_040 }, at(140));

    let next = runner.plan_renewal(at(141)).unwrap();
    assert!(next.deadline.unwrap() < 1_000, "{:?}", next.deadline);
}

#[test]
fn waiting_runs_are_refused_and_nothing_starts_before_fencing() {
    let mut runner = ready_with(first_incarnation());
    start_run(&mut runner, 1, at(110));
    start_run(&mut runner, 2, at(111));
    runner.receive(SESSION, assign(3, at(510)), at(112));
    runner.register(second_incarnation(), at(125));
    runner.take_actions();

    renew(&mut runner, at(130), second_list(20, vec![], &[]));

    let ends = take_ends(&mut runner);
    assert!(
        matches!(ends[..], [(3, RunOutcome::NotStarted(_))]),
        "{ends:?}"
    );
    assert!(!runner.has_ready_target());
}

#[test]
fn a_lease_that_an_earlier_order_may_have_extended_must_lapse() {
    let mut runner = restarted_with_run();
    let keep_session = |runner: &mut Runner, now: Timestamp| {
        runner.receive(SESSION, echo(now), now);
        runner.tick(now);
    };
    runner.take_actions();

    for now in (150..1_200).step_by(50) {
        keep_session(&mut runner, at(now));
    }
    let within = take_ends(&mut runner);
    keep_session(&mut runner, at(1_210));

    assert_eq!(
        within,
        [],
        "an earlier order may have granted the longest lease at 131 ms"
    );
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn the_end_of_the_previous_incarnation_does_not_end_the_next() {
    let mut runner = in_second_incarnation();

    let timed = runner.unregister(
        &incarnation_id("incarnation-1", Some(FIRST_START_TIME)),
        at(120),
    );
    let untimed = runner.unregister(&incarnation_id("incarnation-1", None), at(121));

    assert!(!timed && !untimed);
    assert!(runner.has_ready_target());
}

#[test]
fn a_draining_incarnation_can_unregister_without_a_start_time() {
    let mut runner = in_second_incarnation();
    runner.register(
        TargetRegistration {
            is_draining: true,
            sequence: 2,
            ..second_incarnation()
        },
        at(120),
    );

    let is_accepted = runner.unregister(&incarnation_id("incarnation-1", None), at(130));

    assert!(is_accepted);
    assert_not_ready(&runner, UnavailableReason::NoTarget);
}

#[test]
fn a_registration_without_the_known_start_time_is_ignored() {
    let mut runner = in_second_incarnation();
    let foreign = TargetRegistration {
        incarnation: incarnation_id("incarnation-1", None),
        is_draining: true,
        sequence: HIGH_NUMBER,
        ..first_incarnation()
    };

    let verdict = runner.register(foreign, at(120));

    assert_eq!(verdict, RegistrationVerdict::MissingStartTime);
    assert!(runner.has_ready_target());
}

#[test]
fn a_target_without_start_times_is_one_incarnation_per_name() {
    let untimed = |sequence| TargetRegistration {
        incarnation: incarnation_id("incarnation-1", None),
        sequence,
        ..first_incarnation()
    };
    let mut runner = registered(untimed(5), at(90));
    renew(&mut runner, at(95), list(50_005, vec![], &[]));

    let older = runner.register(untimed(4), at(100));
    let newer = runner.register(untimed(6), at(110));

    assert_eq!(older, RegistrationVerdict::Outdated);
    assert_eq!(newer, RegistrationVerdict::Accepted);
    assert!(runner.has_ready_target());
}

#[test]
fn a_hold_for_upkeep_ends_with_the_held_incarnation() {
    let mut runner = ready_with(first_incarnation());
    runner.hold_target("incarnation-1", ms(5_000), at(101));
    assert!(runner.is_target_held());

    runner.register(second_incarnation(), at(102));
    renew(&mut runner, at(103), second_list(20, vec![], &[]));
    renew(&mut runner, at(105), second_list(22, vec![], &[]));

    assert!(!runner.is_target_held());
    assert!(runner.has_ready_target());
}

#[test]
fn a_restarted_runner_finds_the_live_incarnation_after_a_registration_of_the_dead_one() {
    let mut runner = registered(late_first_incarnation(), at(90));
    renew(&mut runner, at(91), second_list(20, vec![], &[]));
    renew(&mut runner, at(93), second_list(22, vec![], &[]));

    let live = runner.register(second_incarnation(), at(100));
    let dead = runner.register(late_first_incarnation(), at(110));

    assert_eq!(live, RegistrationVerdict::Accepted);
    assert_eq!(dead, RegistrationVerdict::IncarnationEnded);
    assert!(runner.has_ready_target());
}

#[test]
fn three_incarnations_in_a_row_are_adopted() {
    let mut runner = in_second_incarnation();
    let third = TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(SECOND_START_TIME + 1)),
        ..second_incarnation()
    };

    runner.register(third, at(200));
    renew(
        &mut runner,
        at(201),
        answered_by(SECOND_START_TIME + 1, list(20, vec![], &[])),
    );
    let fencing = runner.plan_renewal(at(203)).unwrap();
    runner.receive_renewal_answer(
        &fencing,
        answered_by(SECOND_START_TIME + 1, list(22, vec![], &[])),
        at(204),
    );

    assert!(runner.has_ready_target());
    assert_eq!(
        fencing.fencing_token, 1_002,
        "each incarnation increases it by one"
    );
}

#[test]
fn a_new_incarnation_is_reported() {
    let mut runner = runner_with_many_registrations();
    runner.register(second_incarnation(), at(102));
    runner.take_actions();

    renew(&mut runner, at(103), second_list(20, vec![], &[]));

    let actions = runner.take_actions();
    let is_report = |action: &&RunnerAction| {
        matches!(
            action,
            RunnerAction::ReportIncarnation {
                incarnation: IncarnationId {
                    start_time: Some(SECOND_START_TIME),
                    ..
                },
                is_alive: true
            }
        )
    };
    assert_eq!(actions.iter().filter(is_report).count(), 1);
}

#[test]
fn a_restarted_runner_waits_for_a_lease_granted_by_the_clock_of_another_incarnation() {
    let mut runner = registered(first_incarnation(), at(90));
    let done = EndedRun {
        number: 4,
        task: task(1),
        run: first_run_of(1),
        cause: EndCause::Done,
    };
    let unknown = RenewalAnswer::Listed {
        start_time: Some(FIRST_START_TIME),
        clock: 50_005,
        running: vec![],
        ended: vec![done],
    };

    renew(&mut runner, at(95), unknown);
    runner.tick(at(90 + 714));
    let held = runner.plan_renewal(at(90 + 714)).unwrap();
    runner.tick(at(90 + 1_071));
    let free = runner.plan_renewal(at(90 + 1_071)).unwrap();

    assert_eq!((held.deadline, held.last_acknowledged_end), (None, 3));
    assert_eq!(free.last_acknowledged_end, 4);
}
