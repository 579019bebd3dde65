//! Boxes that are missing from the list, and answers that a box does not exist.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_upkeep::{
    BoxStatus, CallOutcome, ListedBox, SchedulerAction, SchedulerInput, SchedulerTimings,
    UpkeepCommand, UpkeepScheduler, UpkeepState, WaveOrder,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(millis))
}

fn listed(name: &str) -> ListedBox {
    ListedBox {
        name: name.into(),
        status: BoxStatus::Up,
        pool: "send".into(),
        hall: "hall-a".into(),
        labels: Vec::new(),
        target: None,
    }
}

fn start() -> (UpkeepState, UpkeepScheduler) {
    let mut state = UpkeepState::default();
    let order = WaveOrder {
        wave: 1,
        boxes: ["box-0".to_owned(), "box-1".to_owned()].into(),
        span: Duration::from_secs(600),
        most_down: 1,
        source: "control-a".into(),
        received_at: Duration::ZERO,
    };
    state.apply(UpkeepCommand::Order(order), 1);
    let timings = SchedulerTimings {
        maintenance: Duration::from_secs(2),
        takeover_delay: Duration::from_secs(5),
        list_lag: Duration::from_secs(3),
        drain_time: Duration::from_secs(1),
        call_spacing: Duration::from_millis(20),
    };
    let scheduler = UpkeepScheduler::new(timings, &state, at(0));
    (state, scheduler)
}

/// Runs a scheduling step, applies the proposed commands and returns the actions.
fn step(
    scheduler: &mut UpkeepScheduler,
    state: &mut UpkeepState,
    now: Timestamp,
) -> Vec<SchedulerAction> {
    let (evacuated, loads) = (BTreeSet::new(), BTreeMap::new());
    let input = SchedulerInput {
        now,
        wall: now.since_start(),
        evacuated: &evacuated,
        loads: &loads,
    };
    let actions = scheduler.next_actions(state, &input);
    for action in &actions {
        if let SchedulerAction::Propose(command) = action {
            state.apply(command.clone(), 2);
        }
    }
    actions
}

fn is_gone(actions: &[SchedulerAction]) -> bool {
    let is_gone = |action: &SchedulerAction| {
        matches!(action, SchedulerAction::Propose(UpkeepCommand::Gone { .. }))
    };
    actions.iter().any(is_gone)
}

/// Records a reading of the list with these boxes at `now`.
fn record_list(
    scheduler: &mut UpkeepScheduler,
    state: &UpkeepState,
    names: &[&str],
    now: Timestamp,
) {
    let boxes = names.iter().map(|name| listed(name)).collect();
    scheduler.record_list(state, boxes, now);
}

#[test]
fn a_box_is_gone_only_after_it_was_missing_long_enough() {
    let (mut state, mut scheduler) = start();

    for millis in [0, 3_000, 5_900] {
        record_list(&mut scheduler, &state, &["box-0"], at(millis));
        let actions = step(&mut scheduler, &mut state, at(millis + 10));
        assert!(!is_gone(&actions), "{millis}");
    }
    record_list(&mut scheduler, &state, &["box-0"], at(6_000));
    let actions = step(&mut scheduler, &mut state, at(6_010));

    assert!(is_gone(&actions));
}

#[test]
fn a_box_that_is_listed_again_restarts_the_count() {
    let (mut state, mut scheduler) = start();
    record_list(&mut scheduler, &state, &["box-0"], at(0));
    record_list(&mut scheduler, &state, &["box-0"], at(3_000));
    record_list(&mut scheduler, &state, &["box-0", "box-1"], at(4_000));

    record_list(&mut scheduler, &state, &["box-0"], at(7_000));

    let actions = step(&mut scheduler, &mut state, at(7_010));
    assert!(!is_gone(&actions));
}

#[test]
fn a_listed_box_waits_after_a_no_such_box_answer() {
    let (mut state, mut scheduler) = start();
    let key = (1, "box-0".to_owned());
    record_list(&mut scheduler, &state, &["box-0", "box-1"], at(0));
    step(&mut scheduler, &mut state, at(0));
    step(&mut scheduler, &mut state, at(10));
    scheduler.record_applied(&key);
    let actions = step(&mut scheduler, &mut state, at(20));
    assert!(
        actions.contains(&SchedulerAction::Call(key.clone())),
        "{actions:?}"
    );

    scheduler.record_call_outcome(&key, CallOutcome::NoSuchBox, at(30), 1);
    let actions = step(&mut scheduler, &mut state, at(40));

    assert!(!is_gone(&actions));
    let refused = UpkeepCommand::Refused {
        wave: 1,
        name: key.1,
    };
    assert!(
        actions.contains(&SchedulerAction::Propose(refused)),
        "{actions:?}"
    );
    assert!(!state.waves()[&1].is_completed());
}
