//! A target that starts again under the name that it had: what its next life says counts, and what its life before said does not.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::first_run_of;
use cloverfold_lease::{
    EndCause, EndedRun, IncarnationId, ListedRun, RegistrationVerdict, RenewalAnswer, RunOutcome,
    Runner, RunnerAction, StartAnswer, StartTimeMs, TargetRegistration, UnavailableReason,
};

use crate::fixture::{
    SESSION, assign, at, echo, incarnation_id, list, ms, ready_with, registered, registration,
    renew, row, started, stops, take_ends, take_starts, task, told_by,
};

/// When the first life began.
const FIRST_BORN: StartTimeMs = 1_767_225_600_000;
/// When the second life began.
const SECOND_BORN: StartTimeMs = FIRST_BORN + 5_000;
/// Far above what the second life has reached.
const MANY: u64 = 1_000;

/// A registration of the first incarnation.
fn first_life() -> TargetRegistration {
    TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(FIRST_BORN)),
        ..registration(1)
    }
}

/// A registration of the second incarnation, the first that it sends.
fn second_life() -> TargetRegistration {
    TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(SECOND_BORN)),
        clock: Some(10),
        sequence: 1,
        ..first_life()
    }
}

/// A registration of the first incarnation, after many others.
fn aged() -> TargetRegistration {
    TargetRegistration {
        sequence: MANY,
        ..first_life()
    }
}

/// A runner whose target has registered often in its first life.
fn aged_target() -> Runner {
    let mut runner = ready_with(first_life());
    runner.register(aged(), at(101));
    runner
}

/// A runner whose target has registered in its second incarnation, was asked for it, and has answered twice: first by whom, then fenced.
fn in_second_life() -> Runner {
    let mut runner = aged_target();
    runner.register(second_life(), at(102));
    renew(
        &mut runner,
        at(103),
        told_by(SECOND_BORN, list(20, vec![], &[])),
    );
    renew(
        &mut runner,
        at(105),
        told_by(SECOND_BORN, list(22, vec![], &[])),
    );
    runner.take_actions();
    runner
}

fn listed(clock: u64, running: Vec<ListedRun>, ended: &[(u64, u32, EndCause)]) -> RenewalAnswer {
    told_by(SECOND_BORN, list(clock, running, ended))
}

fn assert_not_ready(runner: &Runner, reason: UnavailableReason) {
    assert_eq!(runner.find_unavailable_reason(), Some(reason));
}

#[test]
fn the_next_life_is_used_although_it_counts_anew() {
    let runner = in_second_life();

    assert!(runner.has_ready_target());
    assert_eq!(
        runner.target_incarnation_id(),
        Some(&incarnation_id("incarnation-1", Some(SECOND_BORN)))
    );
}

#[test]
fn the_next_life_drains_although_it_counts_anew() {
    let mut runner = in_second_life();

    let draining = TargetRegistration {
        is_draining: true,
        sequence: 2,
        ..second_life()
    };
    let verdict = runner.register(draining, at(120));

    assert_eq!(verdict, RegistrationVerdict::Accepted);
    assert_not_ready(&runner, UnavailableReason::Draining);
}

#[test]
fn a_next_life_whose_first_word_is_that_it_drains_gets_no_work() {
    let mut runner = aged_target();

    runner.register(
        TargetRegistration {
            is_draining: true,
            ..second_life()
        },
        at(102),
    );
    renew(&mut runner, at(103), listed(20, vec![], &[]));
    renew(&mut runner, at(105), listed(22, vec![], &[]));

    assert_not_ready(&runner, UnavailableReason::Draining);
}

#[test]
fn a_next_life_does_not_drain_because_the_one_before_did() {
    let mut runner = aged_target();
    runner.register(
        TargetRegistration {
            is_draining: true,
            ..aged()
        },
        at(101),
    );

    runner.register(second_life(), at(102));
    renew(&mut runner, at(103), listed(20, vec![], &[]));
    renew(&mut runner, at(105), listed(22, vec![], &[]));

    assert!(runner.has_ready_target());
}

#[test]
fn a_late_word_of_the_life_before_begins_and_ends_no_draining() {
    let mut runner = in_second_life();
    let late = TargetRegistration {
        is_draining: true,
        sequence: MANY + 1,
        ..first_life()
    };

    let begins = runner.register(late.clone(), at(120));
    let is_ready = runner.has_ready_target();
    runner.register(
        TargetRegistration {
            is_draining: true,
            sequence: 2,
            ..second_life()
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
fn a_late_word_of_a_life_that_this_process_never_knew_is_asked_after_and_changes_nothing() {
    let mut runner = registered(second_life(), at(90));
    renew(&mut runner, at(95), listed(20, vec![], &[]));
    runner.open_session(SESSION, at(100));
    started(&mut runner, 1, at(110));

    let verdict = runner.register(aged(), at(120));
    renew(&mut runner, at(121), listed(46, vec![row(1, None)], &[]));
    let again = runner.register(aged(), at(130));

    assert_eq!(verdict, RegistrationVerdict::Candidate);
    assert_eq!(again, RegistrationVerdict::IncarnationEnded);
    assert_eq!(take_ends(&mut runner), [], "the run goes on");
    assert!(runner.has_ready_target());
}

#[test]
fn the_order_of_births_does_not_matter_since_the_clock_may_be_put_back() {
    let mut runner = aged_target();
    let start_time = FIRST_BORN - 60_000;
    let earlier_by_its_clock = TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(start_time)),
        ..second_life()
    };

    runner.register(earlier_by_its_clock, at(102));
    renew(
        &mut runner,
        at(103),
        told_by(start_time, list(20, vec![], &[])),
    );
    renew(
        &mut runner,
        at(105),
        told_by(start_time, list(22, vec![], &[])),
    );

    assert!(runner.has_ready_target());
    assert_eq!(
        runner.target_incarnation_id().unwrap().start_time,
        Some(start_time)
    );
}

#[test]
fn a_list_shows_a_next_life_that_has_not_registered_and_it_gets_no_work_until_it_has() {
    let mut runner = ready_with(first_life());
    renew(&mut runner, at(110), listed(5, vec![], &[]));
    renew(&mut runner, at(115), listed(10, vec![], &[]));
    let before = runner.find_unavailable_reason();

    runner.register(second_life(), at(120));

    assert_eq!(before, Some(UnavailableReason::NoTarget));
    assert!(runner.has_ready_target());
}

#[test]
fn ends_of_the_next_life_count_although_their_numbers_begin_anew() {
    let mut runner = ready_with(first_life());
    started(&mut runner, 1, at(110));
    let many_ends = list(50_060, vec![], &[(MANY, 1, EndCause::Done)]);
    renew(&mut runner, at(130), many_ends);
    runner.register(second_life(), at(140));
    renew(&mut runner, at(141), listed(20, vec![], &[]));
    renew(&mut runner, at(143), listed(22, vec![], &[]));
    runner.take_actions();
    started(&mut runner, 2, at(150));

    renew(
        &mut runner,
        at(210),
        listed(80, vec![], &[(1, 2, EndCause::Done)]),
    );

    assert_eq!(take_ends(&mut runner), [(2, RunOutcome::Done)]);
    assert_eq!(runner.counts().skipped_ends, 0);
    let next = runner.plan_renewal(at(220)).unwrap();
    assert_eq!(next.last_acknowledged_end, 1);
}

#[test]
fn no_end_is_acknowledged_to_a_target_that_has_left_a_renewal_unanswered() {
    let mut runner = ready_with(first_life());
    started(&mut runner, 1, at(110));
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
        "it may be another life's number"
    );
    assert_eq!(answered.last_acknowledged_end, 7);
}

/// A runner with a run under way at the first incarnation, whose start may have reached the second: the list that shows the second comes at
/// 130 ms.
fn found_with_run() -> Runner {
    let mut runner = ready_with(first_life());
    started(&mut runner, 1, at(110));
    runner.register(second_life(), at(125));
    renew(&mut runner, at(130), listed(20, vec![row(1, None)], &[]));
    runner
}

#[test]
fn a_run_of_the_life_before_is_over_only_when_the_next_life_refuses_its_orders() {
    let mut runner = found_with_run();
    let found = runner.take_actions();
    let fence = runner.plan_renewal(at(132)).unwrap();
    runner.receive_renewal_answer(&fence, listed(25, vec![row(1, None)], &[]), at(133));
    let while_listed = take_ends(&mut runner);

    renew(
        &mut runner,
        at(150),
        listed(40, vec![], &[(1, 1, EndCause::Stopped)]),
    );

    assert_eq!(stops(&found), [1], "it is stopped at the next life");
    assert!(fence.fencing_token > 1_000);
    assert_eq!((fence.deadline, fence.last_acknowledged_end), (None, 0));
    assert_eq!(while_listed, [], "the next life runs it");
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Stopped)]);
}

#[test]
fn a_run_of_the_life_before_that_the_next_does_not_list_is_lost() {
    let mut runner = found_with_run();
    let before = take_ends(&mut runner);

    renew(&mut runner, at(132), listed(25, vec![], &[]));

    assert_eq!(before, [], "its start may still be under way");
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn a_list_that_was_asked_for_with_the_old_token_proves_nothing() {
    let mut runner = ready_with(first_life());
    started(&mut runner, 1, at(110));
    let old = runner.plan_renewal(at(120)).unwrap();
    runner.receive_renewal_answer(&old, listed(20, vec![], &[]), at(130));

    runner.receive_renewal_answer(&old, listed(21, vec![], &[]), at(131));

    assert_eq!(take_ends(&mut runner), []);
}

#[test]
fn a_run_of_the_life_before_that_the_next_one_has_done_is_done() {
    let mut runner = found_with_run();
    runner.take_actions();

    renew(
        &mut runner,
        at(132),
        listed(25, vec![], &[(1, 1, EndCause::Done)]),
    );

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Done)]);
}

#[test]
fn a_late_answer_to_a_start_of_the_life_before_tells_nothing_of_the_next_ones_clock() {
    let mut runner = ready_with(first_life());
    runner.receive(SESSION, assign(1, at(510)), at(110));
    let start = take_starts(&mut runner).remove(0);
    runner.register(second_life(), at(125));
    renew(&mut runner, at(130), listed(20, vec![], &[]));
    renew(&mut runner, at(132), listed(22, vec![], &[]));

    runner.receive_start_answer(&start, StartAnswer::Started { clock: 50_040 }, at(140));

    let next = runner.plan_renewal(at(141)).unwrap();
    assert!(next.deadline.unwrap() < 1_000, "{:?}", next.deadline);
}

#[test]
fn waiting_runs_are_given_back_and_nothing_is_started_before_the_fence() {
    let mut runner = ready_with(first_life());
    started(&mut runner, 1, at(110));
    started(&mut runner, 2, at(111));
    runner.receive(SESSION, assign(3, at(510)), at(112));
    runner.register(second_life(), at(125));
    runner.take_actions();

    renew(&mut runner, at(130), listed(20, vec![], &[]));

    let ends = take_ends(&mut runner);
    assert!(
        matches!(ends[..], [(3, RunOutcome::NotStarted(_))]),
        "{ends:?}"
    );
    assert!(!runner.has_ready_target());
}

#[test]
fn a_lease_that_an_order_to_the_life_before_may_have_extended_is_waited_out() {
    let mut runner = found_with_run();
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

    assert_eq!(within, [], "it may have got the longest lease at 131 ms");
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn the_end_of_the_life_before_does_not_end_the_next() {
    let mut runner = in_second_life();

    let named = runner.unregister(&incarnation_id("incarnation-1", Some(FIRST_BORN)), at(120));
    let unnamed = runner.unregister(&incarnation_id("incarnation-1", None), at(121));

    assert!(!named && !unnamed);
    assert!(runner.has_ready_target());
}

#[test]
fn a_draining_life_ends_by_a_word_that_leaves_its_start_out() {
    let mut runner = in_second_life();
    runner.register(
        TargetRegistration {
            is_draining: true,
            sequence: 2,
            ..second_life()
        },
        at(120),
    );

    let is_taken = runner.unregister(&incarnation_id("incarnation-1", None), at(130));

    assert!(is_taken);
    assert_not_ready(&runner, UnavailableReason::NoTarget);
}

#[test]
fn a_registration_that_leaves_its_start_out_changes_nothing_of_a_target_that_tells() {
    let mut runner = in_second_life();
    let foreign = TargetRegistration {
        incarnation: incarnation_id("incarnation-1", None),
        is_draining: true,
        sequence: MANY,
        ..first_life()
    };

    let verdict = runner.register(foreign, at(120));

    assert_eq!(verdict, RegistrationVerdict::MissingStartTime);
    assert!(runner.has_ready_target());
}

#[test]
fn a_target_that_never_tells_its_start_is_one_life_by_its_name() {
    let silent = |sequence| TargetRegistration {
        incarnation: incarnation_id("incarnation-1", None),
        sequence,
        ..first_life()
    };
    let mut runner = registered(silent(5), at(90));
    renew(&mut runner, at(95), list(50_005, vec![], &[]));

    let older = runner.register(silent(4), at(100));
    let newer = runner.register(silent(6), at(110));

    assert_eq!(older, RegistrationVerdict::Outdated);
    assert_eq!(newer, RegistrationVerdict::Accepted);
    assert!(runner.has_ready_target());
}

#[test]
fn a_hold_for_upkeep_ends_with_the_life_that_is_held() {
    let mut runner = ready_with(first_life());
    runner.hold_target("incarnation-1", ms(5_000), at(101));
    assert!(runner.is_held());

    runner.register(second_life(), at(102));
    renew(&mut runner, at(103), listed(20, vec![], &[]));
    renew(&mut runner, at(105), listed(22, vec![], &[]));

    assert!(!runner.is_held());
    assert!(runner.has_ready_target());
}

#[test]
fn a_restarted_runner_that_hears_of_the_dead_life_first_finds_the_living_one() {
    let mut runner = registered(aged(), at(90));
    renew(&mut runner, at(91), listed(20, vec![], &[]));
    renew(&mut runner, at(93), listed(22, vec![], &[]));

    let living = runner.register(second_life(), at(100));
    let dead = runner.register(aged(), at(110));

    assert_eq!(living, RegistrationVerdict::Accepted);
    assert_eq!(dead, RegistrationVerdict::IncarnationEnded);
    assert!(runner.has_ready_target());
}

#[test]
fn three_lives_in_a_row_are_followed() {
    let mut runner = in_second_life();
    let third = TargetRegistration {
        incarnation: incarnation_id("incarnation-1", Some(SECOND_BORN + 1)),
        ..second_life()
    };

    runner.register(third, at(200));
    renew(
        &mut runner,
        at(201),
        told_by(SECOND_BORN + 1, list(20, vec![], &[])),
    );
    let fence = runner.plan_renewal(at(203)).unwrap();
    runner.receive_renewal_answer(
        &fence,
        told_by(SECOND_BORN + 1, list(22, vec![], &[])),
        at(204),
    );

    assert!(runner.has_ready_target());
    assert_eq!(fence.fencing_token, 1_002, "one more with each life");
}

#[test]
fn a_next_life_is_reported() {
    let mut runner = aged_target();
    runner.register(second_life(), at(102));
    runner.take_actions();

    renew(&mut runner, at(103), listed(20, vec![], &[]));

    let actions = runner.take_actions();
    let is_report = |action: &&RunnerAction| {
        matches!(
            action,
            RunnerAction::ReportIncarnation {
                incarnation: IncarnationId {
                    start_time: Some(SECOND_BORN),
                    ..
                },
                is_alive: true
            }
        )
    };
    assert_eq!(actions.iter().filter(is_report).count(), 1);
}

#[test]
fn a_restarted_runner_waits_out_the_lease_that_an_order_by_another_incarnations_clock_may_have_given()
 {
    let mut runner = registered(first_life(), at(90));
    let done = EndedRun {
        number: 4,
        task: task(1),
        run: first_run_of(1),
        cause: EndCause::Done,
    };
    let unknown = RenewalAnswer::Listed {
        start_time: Some(FIRST_BORN),
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
