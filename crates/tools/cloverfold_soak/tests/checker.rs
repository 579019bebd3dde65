//! The checker detects each violated guarantee and reports nothing for a valid history.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_soak::checker::{Bounds, Guarantee, find_violations};
use cloverfold_soak::records::{
    Attempt, ConfigurationOrder, ConfigurationRead, Disturbance, Drain, Elapsed, HallAction,
    HallOrder, HallRead, History, OrderAnswer, Outcome, PlannedStop, Probe, Process, Run, RunEnd,
    Scope, UnexpectedExit,
};

const JOB: &str = "00000001";
/// Start time of the first events, in seconds; longer after the start than any bound.
const EARLY: f64 = 10.0;

fn at(seconds: f64) -> Elapsed {
    Duration::from_secs_f64(seconds)
}

fn run(target: usize, from: f64, until: f64, how: RunEnd) -> Run {
    Run {
        job: JOB.into(),
        task: 0,
        number: 1,
        target,
        incarnation: 1,
        started_at: at(from),
        is_late: false,
        end: Some((at(until), how)),
    }
}

fn attempt(from: f64, until: f64, outcome: Outcome) -> Attempt {
    Attempt {
        job: JOB.into(),
        tasks: 1,
        max_failures: 3,
        entry: 0,
        sent_at: at(from),
        outcome: Some((at(until), outcome)),
    }
}

fn configuration(version: u64, from: f64, until: f64, answer: OrderAnswer) -> ConfigurationOrder {
    ConfigurationOrder {
        version,
        is_valid: true,
        sent_at: at(from),
        answer: Some((at(until), answer)),
    }
}

fn read(version: u64, asked: f64) -> ConfigurationRead {
    ConfigurationRead {
        control: 1,
        requested_at: at(asked),
        version,
        is_as_sent: true,
    }
}

fn probe(version: u64, asked: f64, is_known: bool) -> Probe {
    Probe {
        entry: 0,
        incarnation: 1,
        requested_at: at(asked),
        answered_at: at(asked + 0.01),
        version,
        last_version: version + 7,
        is_known,
    }
}

fn hall_order(action: HallAction, from: f64, until: f64) -> HallOrder {
    HallOrder {
        hall: "hall-a".into(),
        action,
        sent_at: at(from),
        acknowledged_at: Some(at(until)),
    }
}

fn hall_read(asked: f64, halls: &[&str]) -> HallRead {
    HallRead {
        control: 0,
        requested_at: at(asked),
        answered_at: at(asked + 0.01),
        halls: halls.iter().map(|hall| (*hall).to_owned()).collect(),
    }
}

fn disturbance(scope: Scope, is_planned: bool, from: f64, until: f64) -> Disturbance {
    Disturbance {
        scope,
        is_planned,
        from: at(from),
        until: Some(at(until)),
    }
}

/// Returns an empty history of one minute.
fn empty_minute() -> History {
    History {
        now: at(60.0),
        target_halls: vec!["hall-a".into(), "hall-b".into()],
        ..History::default()
    }
}

fn find(history: &History) -> Vec<Guarantee> {
    let violations = find_violations(history, &Bounds::default());
    violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

#[test]
fn valid_history_has_no_violations() {
    let history = History {
        runs: vec![
            run(0, EARLY, 10.2, RunEnd::Lapsed),
            run(1, 10.2, 10.4, RunEnd::Done),
        ],
        attempts: vec![attempt(EARLY, 10.5, Outcome::Completed)],
        configuration_orders: vec![configuration(2, EARLY, 11.0, OrderAnswer::Acknowledged)],
        configuration_reads: vec![read(2, 12.0)],
        probes: vec![probe(2, 20.0, true)],
        ..empty_minute()
    };

    assert_eq!(find(&history), []);
}

#[test]
fn overlapping_runs_of_a_task_are_detected() {
    let history = History {
        runs: vec![
            run(0, EARLY, 10.5, RunEnd::Done),
            run(1, 10.4, 10.9, RunEnd::Done),
        ],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::OneRunAtOnce]);
}

#[test]
fn run_without_end_overlaps_all_later_runs() {
    let endless = Run {
        end: None,
        ..run(0, EARLY, 0.0, RunEnd::Done)
    };
    let history = History {
        runs: vec![
            endless,
            run(1, 20.0, 20.1, RunEnd::Done),
            run(1, 30.0, 30.1, RunEnd::Done),
        ],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::OneRunAtOnce; 2]);
}

#[test]
fn runs_of_different_tasks_may_overlap() {
    let other = Run {
        task: 1,
        ..run(1, EARLY, 10.5, RunEnd::Done)
    };
    let history = History {
        runs: vec![run(0, EARLY, 10.5, RunEnd::Done), other],
        ..empty_minute()
    };

    assert_eq!(find(&history), []);
}

#[test]
fn completed_answer_before_all_tasks_are_done_is_detected() {
    let two_tasks = Attempt {
        tasks: 2,
        ..attempt(EARLY, 10.5, Outcome::Completed)
    };
    let history = History {
        runs: vec![run(0, EARLY, 10.2, RunEnd::Done)],
        attempts: vec![two_tasks],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::WholeAnswer]);
}

#[test]
fn answer_of_another_job_is_detected() {
    let other = Attempt {
        job: "00000002".into(),
        ..attempt(EARLY, 10.5, Outcome::Completed)
    };
    let history = History {
        runs: vec![run(0, EARLY, 10.2, RunEnd::Done)],
        attempts: vec![other],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::WholeAnswer]);
}

#[test]
fn failed_answer_without_enough_failed_runs_is_detected() {
    let failed = |from: f64| run(0, from, from + 0.1, RunEnd::Failed);
    let history = |runs| History {
        runs,
        attempts: vec![attempt(EARLY, 12.0, Outcome::Failed)],
        ..empty_minute()
    };

    let twice = history(vec![failed(10.1), failed(10.3)]);
    let three_times = history(vec![failed(10.1), failed(10.3), failed(10.5)]);

    assert_eq!(find(&twice), [Guarantee::TrueFailure]);
    assert_eq!(find(&three_times), []);
}

#[test]
fn answer_outside_the_protocol_is_detected() {
    let history = History {
        attempts: vec![attempt(EARLY, 10.5, Outcome::ProtocolViolation)],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::KnownAnswer]);
}

#[test]
fn refused_job_that_has_run_is_detected() {
    let history = History {
        runs: vec![run(0, 10.2, 10.4, RunEnd::Done)],
        attempts: vec![
            attempt(EARLY, 10.1, Outcome::Refused),
            attempt(10.2, 10.3, Outcome::Refused),
        ],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::TrueRefusal]);
}

#[test]
fn refused_job_may_run_for_an_unanswered_attempt() {
    let history = History {
        runs: vec![run(0, 11.2, 11.4, RunEnd::Done)],
        attempts: vec![
            attempt(EARLY, 10.1, Outcome::Refused),
            attempt(11.1, 11.3, Outcome::ConnectionLost),
        ],
        ..empty_minute()
    };

    assert_eq!(find(&history), []);
}

fn draining(started: f64, disturbances: Vec<Disturbance>) -> History {
    History {
        runs: vec![run(0, started, started + 0.1, RunEnd::Done)],
        drains: vec![Drain {
            target: 0,
            incarnation: 1,
            acknowledged_at: at(20.0),
        }],
        disturbances,
        ..empty_minute()
    }
}

#[test]
fn run_at_draining_target_is_detected_after_the_bound() {
    assert_eq!(find(&draining(22.1, vec![])), [Guarantee::NoWorkForLeaving]);
    assert_eq!(find(&draining(21.9, vec![])), []);
}

#[test]
fn run_at_draining_target_is_allowed_while_its_guard_is_disturbed() {
    let guard = Scope::Processes(vec![Process::Guard(0)]);
    let near = vec![disturbance(guard.clone(), false, 20.5, 21.0)];
    let far = vec![disturbance(guard, false, 5.0, 6.0)];

    assert_eq!(find(&draining(22.1, near)), []);
    assert_eq!(find(&draining(22.1, far)), [Guarantee::NoWorkForLeaving]);
}

fn stopped(process: Process) -> History {
    History {
        stops: vec![PlannedStop {
            process,
            requested_at: at(20.0),
            exited_at: Some(at(23.0)),
        }],
        disturbances: vec![disturbance(
            Scope::Processes(vec![process]),
            true,
            20.0,
            24.0,
        )],
        ..empty_minute()
    }
}

#[test]
fn request_interrupted_by_planned_stop_is_detected() {
    let history = |sent, broke| History {
        attempts: vec![attempt(sent, broke, Outcome::ConnectionLost)],
        ..stopped(Process::Entry(0))
    };

    assert_eq!(find(&history(20.5, 21.0)), [Guarantee::StopCutsNothing]);
    // The entry may not have read the request.
    assert_eq!(find(&history(20.5, 20.6)), []);
}

#[test]
fn request_with_a_started_run_counts_as_read() {
    let history = History {
        runs: vec![run(0, 20.55, 20.58, RunEnd::Done)],
        attempts: vec![attempt(20.5, 20.6, Outcome::ConnectionLost)],
        ..stopped(Process::Entry(0))
    };

    assert_eq!(find(&history), [Guarantee::StopCutsNothing]);
}

#[test]
fn interruption_near_a_fault_is_not_attributed_to_the_stop() {
    let mut history = History {
        attempts: vec![attempt(20.5, 21.0, Outcome::ConnectionLost)],
        ..stopped(Process::Entry(0))
    };
    history
        .disturbances
        .push(disturbance(Scope::Target(1), false, 18.0, 18.5));

    assert_eq!(find(&history), []);
}

#[test]
fn run_that_lapses_during_planned_stop_is_detected() {
    let history = |how| History {
        runs: vec![run(0, 19.9, 20.7, how)],
        ..stopped(Process::Guard(0))
    };

    assert_eq!(find(&history(RunEnd::Lapsed)), [Guarantee::StopCutsNothing]);
    assert_eq!(find(&history(RunEnd::Done)), []);
}

#[test]
fn run_abandoned_by_stopped_guard_is_detected() {
    let history = |until| History {
        runs: vec![run(0, 22.9, until, RunEnd::Done)],
        ..stopped(Process::Guard(0))
    };

    assert_eq!(find(&history(23.2)), [Guarantee::StopCutsNothing]);
    assert_eq!(find(&history(22.99)), []);
}

#[test]
fn guard_may_abandon_a_run_after_its_drain_timeout() {
    let mut history = History {
        runs: vec![run(0, 19.0, 40.0, RunEnd::Done)],
        ..stopped(Process::Guard(0))
    };
    history.stops[0].exited_at = Some(at(25.5));

    assert_eq!(find(&history), []);
}

#[test]
fn unexpected_exit_is_detected() {
    let history = History {
        unexpected_exits: vec![UnexpectedExit {
            process: Process::Control(1),
            at: at(EARLY),
        }],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::NoOwnEnd]);
}

#[test]
fn wrong_answers_to_configurations_are_detected() {
    let refused = configuration(2, EARLY, 11.0, OrderAnswer::Refused);
    let acknowledged = ConfigurationOrder {
        is_valid: false,
        ..configuration(3, EARLY, 12.0, OrderAnswer::Acknowledged)
    };
    let history = History {
        configuration_orders: vec![refused, acknowledged],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::RightVerdict; 2]);
}

#[test]
fn stale_configuration_read_is_detected() {
    let history = |asked| History {
        configuration_orders: vec![
            configuration(2, EARLY, 11.0, OrderAnswer::Acknowledged),
            configuration(5, 12.0, 13.0, OrderAnswer::Acknowledged),
        ],
        configuration_reads: vec![read(2, asked)],
        ..empty_minute()
    };

    assert_eq!(find(&history(13.1)), [Guarantee::NewestIsRead]);
    assert_eq!(find(&history(12.9)), []);
}

#[test]
fn configuration_that_was_never_sent_is_detected() {
    let other = ConfigurationRead {
        is_as_sent: false,
        ..read(2, EARLY)
    };
    let history = History {
        configuration_reads: vec![other],
        ..empty_minute()
    };

    assert_eq!(find(&history), [Guarantee::ShownAsSent]);
}

fn probed(asked: f64, disturbances: Vec<Disturbance>) -> History {
    History {
        configuration_orders: vec![configuration(2, EARLY, 11.0, OrderAnswer::Acknowledged)],
        probes: vec![probe(2, asked, false)],
        disturbances,
        ..empty_minute()
    }
}

#[test]
fn acknowledged_configuration_not_in_force_is_detected_after_the_bound() {
    assert_eq!(find(&probed(13.1, vec![])), [Guarantee::InForceInTime]);
    assert_eq!(find(&probed(12.9, vec![])), []);
}

#[test]
fn disturbed_entry_may_have_an_older_configuration() {
    let entry = Scope::Processes(vec![Process::Entry(0)]);
    let control = Scope::Processes(vec![Process::Control(2)]);
    let other = Scope::Processes(vec![Process::Entry(1)]);

    let of_scope = |scope| find(&probed(13.1, vec![disturbance(scope, false, 12.0, 12.5)]));

    assert_eq!(of_scope(entry), []);
    assert_eq!(of_scope(control), []);
    assert_eq!(of_scope(other), [Guarantee::InForceInTime]);
}

#[test]
fn configuration_revert_is_detected_even_when_disturbed() {
    let history = |incarnation| History {
        probes: vec![
            probe(2, EARLY, true),
            Probe {
                incarnation,
                ..probe(2, 11.0, false)
            },
        ],
        disturbances: vec![disturbance(Scope::All, false, EARLY, 12.0)],
        ..empty_minute()
    };

    assert_eq!(find(&history(1)), [Guarantee::NeverReverts]);
    // A new incarnation of the process may start with an older configuration.
    assert_eq!(find(&history(2)), []);
}

#[test]
fn queue_removed_by_a_later_version_is_not_checked() {
    let mut history = probed(13.1, vec![]);
    let later = configuration(10, 12.0, 14.0, OrderAnswer::Unknown);
    history.configuration_orders.push(later);

    assert_eq!(find(&history), []);
}

fn evacuated(started: f64) -> History {
    History {
        runs: vec![run(0, started, started + 0.1, RunEnd::Done)],
        hall_orders: vec![
            hall_order(HallAction::Evacuate, 20.0, 20.5),
            hall_order(HallAction::TakeBack, 30.0, 30.5),
        ],
        ..empty_minute()
    }
}

#[test]
fn start_in_evacuated_hall_is_detected_after_the_bound() {
    assert_eq!(find(&evacuated(22.6)), [Guarantee::HallStaysEmpty]);
    assert_eq!(find(&evacuated(22.4)), []);
    assert_eq!(find(&evacuated(30.1)), []);
}

#[test]
fn start_in_another_hall_is_allowed_during_evacuation() {
    let mut history = evacuated(22.6);
    history.runs[0].target = 1;

    assert_eq!(find(&history), []);
}

#[test]
fn evacuation_list_that_contradicts_an_order_is_detected() {
    let listed = |asked, halls: &[&str]| History {
        runs: vec![],
        hall_reads: vec![hall_read(asked, halls)],
        ..evacuated(0.0)
    };

    assert_eq!(find(&listed(21.0, &[])), [Guarantee::HallsAsOrdered]);
    assert_eq!(
        find(&listed(31.0, &["hall-a"])),
        [Guarantee::HallsAsOrdered]
    );
    assert_eq!(find(&listed(30.2, &["hall-a"])), []);
    assert_eq!(find(&listed(21.0, &["hall-a"])), []);
}

fn after_last_fault(outcome: Outcome) -> History {
    let sends = (0..8).map(|number| attempt(40.0 + f64::from(number), 50.0, outcome));
    History {
        is_over: true,
        attempts: sends.collect(),
        runs: vec![run(0, 40.0, 40.1, RunEnd::Done)],
        disturbances: vec![disturbance(Scope::All, false, 20.0, 25.0)],
        ..empty_minute()
    }
}

#[test]
fn missing_recovery_after_the_last_fault_is_detected() {
    let unavailable = after_last_fault(Outcome::TimedOut);
    let recovered = after_last_fault(Outcome::Completed);

    assert_eq!(find(&unavailable), [Guarantee::ServiceIsBack]);
    assert_eq!(find(&recovered), []);
}

#[test]
fn disturbance_without_end_is_detected() {
    let mut history = after_last_fault(Outcome::Completed);
    history.disturbances[0].until = None;

    assert_eq!(find(&history), [Guarantee::ServiceIsBack]);
}

#[test]
fn acknowledged_configuration_that_is_never_read_is_detected() {
    let mut history = after_last_fault(Outcome::Completed);
    let order = configuration(2, EARLY, 11.0, OrderAnswer::Acknowledged);
    history.configuration_orders.push(order);

    assert_eq!(find(&history), [Guarantee::AcknowledgedSurvives]);
    history.configuration_reads.push(read(2, 50.0));
    assert_eq!(find(&history), []);
}
