//! Handling of target loads: idle boxes go first, a pool keeps capacity at peak load, and running work gets time to end.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_upkeep::{
    BoxStatus, ListedBox, SchedulerAction, SchedulerInput, SchedulerTimings, TargetLoad,
    TargetLoads, UpkeepCommand, UpkeepScheduler, UpkeepState, WaitReason, WaveOrder,
};

const CAPACITY: i64 = 16_000;

fn timings() -> SchedulerTimings {
    SchedulerTimings {
        maintenance: Duration::from_secs(2),
        takeover_delay: Duration::from_secs(5),
        list_lag: Duration::from_secs(3),
        drain_time: Duration::from_secs(1),
        call_spacing: Duration::from_millis(20),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(millis))
}

fn listed(index: usize) -> ListedBox {
    ListedBox {
        name: format!("box-{index}"),
        status: BoxStatus::Up,
        pool: "send".into(),
        hall: format!("hall-{}", index % 2),
        labels: Vec::new(),
        target: Some(format!("target-{index}")),
    }
}

fn load(used: i64, reported_at: Timestamp) -> TargetLoad {
    TargetLoad {
        capacity_milli: CAPACITY,
        free_milli: CAPACITY - used,
        is_empty: used == 0,
        at: reported_at,
    }
}

/// Returns load reports of targets with this much capacity in use.
fn loads(used: &[i64], reported_at: Timestamp) -> TargetLoads {
    let used = used.iter().enumerate();
    used.map(|(index, used)| (format!("target-{index}"), load(*used, reported_at)))
        .collect()
}

/// Returns the state with a wave over `boxes` boxes, and a scheduler that has read their list.
fn start(boxes: usize, span_s: u64) -> (UpkeepState, UpkeepScheduler) {
    let mut state = UpkeepState::default();
    let order = WaveOrder {
        wave: 1,
        boxes: (0..boxes).map(|index| format!("box-{index}")).collect(),
        span: Duration::from_secs(span_s),
        most_down: 1,
        source: "control-a".into(),
        received_at: Duration::ZERO,
    };
    state.apply(UpkeepCommand::Order(order), 1);
    let mut scheduler = UpkeepScheduler::new(timings(), &state, at(0));
    scheduler.record_list(&state, (0..boxes).map(listed).collect(), at(0));
    (state, scheduler)
}

fn step(
    scheduler: &mut UpkeepScheduler,
    state: &UpkeepState,
    loads: &TargetLoads,
    evacuated: &[&str],
    now: Timestamp,
) -> Vec<SchedulerAction> {
    let evacuated: BTreeSet<String> = evacuated.iter().map(|hall| (*hall).to_owned()).collect();
    let input = SchedulerInput {
        now,
        wall: now.since_start(),
        evacuated: &evacuated,
        loads,
    };
    scheduler.next_actions(state, &input)
}

fn is_called(actions: &[SchedulerAction]) -> bool {
    let is_call = |action: &SchedulerAction| {
        matches!(action, SchedulerAction::Propose(UpkeepCommand::Call { .. }))
    };
    actions.iter().any(is_call)
}

#[test]
fn an_idle_box_goes_first_unless_one_is_in_an_evacuated_hall() {
    let reports = loads(&[4_000, 4_000, 0, 4_000], at(10));
    let (state, mut scheduler) = start(4, 600);
    let (other_state, mut other) = start(4, 600);

    step(&mut scheduler, &state, &reports, &[], at(20));
    step(&mut other, &other_state, &reports, &["hall-1"], at(20));

    assert_eq!(scheduler.wave_statuses()[&1].draining, ["box-2"]);
    assert_eq!(other.wave_statuses()[&1].draining, ["box-1"]);
}

#[test]
fn at_peak_load_a_wave_waits_only_while_it_can_finish_in_time() {
    let busy = loads(&[12_000; 4], at(10));
    let (state, mut long_wave) = start(4, 600);
    let (short_state, mut short_wave) = start(4, 20);

    step(&mut long_wave, &state, &busy, &[], at(20));
    step(&mut short_wave, &short_state, &busy, &[], at(20));

    assert_eq!(
        long_wave.wave_statuses()[&1].wait_reason,
        Some(WaitReason::NoRoom)
    );
    assert_eq!(long_wave.wave_statuses()[&1].unavailable, 0);
    assert_eq!(short_wave.wave_statuses()[&1].unavailable, 1);
    // The load has dropped.
    let light = loads(&[8_000; 4], at(1_000));
    step(&mut long_wave, &state, &light, &[], at(1_010));
    assert_eq!(long_wave.wave_statuses()[&1].unavailable, 1);
}

#[test]
fn an_outdated_load_report_does_not_delay_a_wave() {
    let old = loads(&[16_000; 4], at(10));
    let (state, mut scheduler) = start(4, 600);

    step(&mut scheduler, &state, &old, &[], at(4_000));

    assert_eq!(scheduler.wave_statuses()[&1].unavailable, 1);
}

#[test]
fn a_held_box_is_called_once_idle_and_gets_more_time_while_busy() {
    let (state, mut scheduler) = start(1, 600);
    let no_loads = BTreeMap::new();
    let busy_loads = |now| loads(&[4_000], now);

    step(&mut scheduler, &state, &no_loads, &[], at(0));
    step(&mut scheduler, &state, &no_loads, &[], at(0));
    // A report from before the hold took effect does not count.
    let actions = step(&mut scheduler, &state, &loads(&[0], at(50)), &[], at(60));
    assert!(!is_called(&actions));
    let actions = step(
        &mut scheduler,
        &state,
        &busy_loads(at(1_400)),
        &[],
        at(1_500),
    );
    assert!(!is_called(&actions), "the target is busy");
    let actions = step(
        &mut scheduler,
        &state,
        &loads(&[0], at(1_900)),
        &[],
        at(1_950),
    );

    assert!(is_called(&actions));
}

#[test]
fn a_held_box_that_stays_busy_is_called_after_the_longest_drain_time() {
    let (state, mut scheduler) = start(2, 600);
    let busy_loads = |now| loads(&[4_000, 4_000], now);
    step(&mut scheduler, &state, &busy_loads(at(0)), &[], at(0));

    step(
        &mut scheduler,
        &state,
        &busy_loads(at(3_900)),
        &[],
        at(3_900),
    );
    let actions = step(
        &mut scheduler,
        &state,
        &busy_loads(at(4_600)),
        &[],
        at(4_600),
    );

    assert!(is_called(&actions));
}

#[test]
fn a_held_box_without_load_reports_is_called_after_the_drain_time() {
    let (state, mut scheduler) = start(1, 600);
    let no_loads = BTreeMap::new();
    step(&mut scheduler, &state, &no_loads, &[], at(0));

    let early = step(&mut scheduler, &state, &no_loads, &[], at(900));
    let actions = step(&mut scheduler, &state, &no_loads, &[], at(1_000));

    assert!(!is_called(&early));
    assert!(is_called(&actions));
}
