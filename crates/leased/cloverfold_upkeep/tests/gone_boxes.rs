//! Boxes that are missing from the list, and answers that say that there is no such box.

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
    let holder = UpkeepScheduler::new(timings, &state, at(0));
    (state, holder)
}

/// Takes the holder's steps, and applies what it proposes.
fn take(
    holder: &mut UpkeepScheduler,
    state: &mut UpkeepState,
    now: Timestamp,
) -> Vec<SchedulerAction> {
    let (evacuated, loads) = (BTreeSet::new(), BTreeMap::new());
    let moment = SchedulerInput {
        now,
        wall: now.since_start(),
        evacuated: &evacuated,
        loads: &loads,
    };
    let steps = holder.next_actions(state, &moment);
    for step in &steps {
        if let SchedulerAction::Propose(command) = step {
            state.apply(command.clone(), 2);
        }
    }
    steps
}

fn is_gone(steps: &[SchedulerAction]) -> bool {
    let is_gone = |step: &SchedulerAction| {
        matches!(step, SchedulerAction::Propose(UpkeepCommand::Gone { .. }))
    };
    steps.iter().any(is_gone)
}

/// Reads a list with these boxes at a time.
fn read(holder: &mut UpkeepScheduler, state: &UpkeepState, names: &[&str], now: Timestamp) {
    let boxes = names.iter().map(|name| listed(name)).collect();
    holder.record_list(state, boxes, now);
}

#[test]
fn a_box_is_gone_when_it_is_missing_for_long_and_not_before() {
    let (mut state, mut holder) = start();

    for millis in [0, 3_000, 5_900] {
        read(&mut holder, &state, &["box-0"], at(millis));
        let steps = take(&mut holder, &mut state, at(millis + 10));
        assert!(!is_gone(&steps), "{millis}");
    }
    read(&mut holder, &state, &["box-0"], at(6_000));
    let steps = take(&mut holder, &mut state, at(6_010));

    assert!(is_gone(&steps));
}

#[test]
fn a_box_that_is_listed_again_is_missing_anew() {
    let (mut state, mut holder) = start();
    read(&mut holder, &state, &["box-0"], at(0));
    read(&mut holder, &state, &["box-0"], at(3_000));
    read(&mut holder, &state, &["box-0", "box-1"], at(4_000));

    read(&mut holder, &state, &["box-0"], at(7_000));

    let steps = take(&mut holder, &mut state, at(7_010));
    assert!(!is_gone(&steps));
}

#[test]
fn an_answer_that_there_is_no_such_box_makes_a_listed_one_wait() {
    let (mut state, mut holder) = start();
    let key = (1, "box-0".to_owned());
    read(&mut holder, &state, &["box-0", "box-1"], at(0));
    take(&mut holder, &mut state, at(0));
    take(&mut holder, &mut state, at(10));
    holder.record_applied(&key);
    let steps = take(&mut holder, &mut state, at(20));
    assert!(
        steps.contains(&SchedulerAction::Call(key.clone())),
        "{steps:?}"
    );

    holder.record_call_outcome(&key, CallOutcome::NoSuchBox, at(30), 1);
    let steps = take(&mut holder, &mut state, at(40));

    assert!(!is_gone(&steps));
    let refused = UpkeepCommand::Refused {
        wave: 1,
        name: key.1,
    };
    assert!(
        steps.contains(&SchedulerAction::Propose(refused)),
        "{steps:?}"
    );
    assert!(!state.waves()[&1].is_completed());
}
