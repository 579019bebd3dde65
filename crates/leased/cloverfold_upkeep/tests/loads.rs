//! What a holder makes of the load of targets: idle boxes first, room left at a peak, and runs that are given time to end.

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

fn load(used: i64, told: Timestamp) -> TargetLoad {
    TargetLoad {
        capacity_milli: CAPACITY,
        free_milli: CAPACITY - used,
        is_empty: used == 0,
        at: told,
    }
}

/// Returns what guards told of targets of which so much is in use.
fn loads(used: &[i64], told: Timestamp) -> TargetLoads {
    let used = used.iter().enumerate();
    used.map(|(index, used)| (format!("target-{index}"), load(*used, told)))
        .collect()
}

/// Returns a wave over so many boxes, and its holder with their list.
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
    let mut holder = UpkeepScheduler::new(timings(), &state, at(0));
    holder.record_list(&state, (0..boxes).map(listed).collect(), at(0));
    (state, holder)
}

fn take(
    holder: &mut UpkeepScheduler,
    state: &UpkeepState,
    loads: &TargetLoads,
    evacuated: &[&str],
    now: Timestamp,
) -> Vec<SchedulerAction> {
    let evacuated: BTreeSet<String> = evacuated.iter().map(|hall| (*hall).to_owned()).collect();
    let moment = SchedulerInput {
        now,
        wall: now.since_start(),
        evacuated: &evacuated,
        loads,
    };
    holder.next_actions(state, &moment)
}

fn is_called(steps: &[SchedulerAction]) -> bool {
    let is_call = |step: &SchedulerAction| {
        matches!(step, SchedulerAction::Propose(UpkeepCommand::Call { .. }))
    };
    steps.iter().any(is_call)
}

#[test]
fn an_idle_box_goes_first_and_one_in_an_evacuated_hall_before_it() {
    let known = loads(&[4_000, 4_000, 0, 4_000], at(10));
    let (state, mut holder) = start(4, 600);
    let (other_state, mut other) = start(4, 600);

    take(&mut holder, &state, &known, &[], at(20));
    take(&mut other, &other_state, &known, &["hall-1"], at(20));

    assert_eq!(holder.wave_statuses()[&1].next, ["box-2"]);
    assert_eq!(other.wave_statuses()[&1].next, ["box-1"]);
}

#[test]
fn at_a_peak_a_wave_waits_while_it_can_catch_up_and_goes_on_when_it_cannot() {
    let busy = loads(&[12_000; 4], at(10));
    let (state, mut patient) = start(4, 600);
    let (short_state, mut short) = start(4, 20);

    take(&mut patient, &state, &busy, &[], at(20));
    take(&mut short, &short_state, &busy, &[], at(20));

    assert_eq!(patient.wave_statuses()[&1].waits, Some(WaitReason::NoRoom));
    assert_eq!(patient.wave_statuses()[&1].down, 0);
    assert_eq!(short.wave_statuses()[&1].down, 1);
    // The peak is over.
    let calm = loads(&[8_000; 4], at(1_000));
    take(&mut patient, &state, &calm, &[], at(1_010));
    assert_eq!(patient.wave_statuses()[&1].down, 1);
}

#[test]
fn what_was_told_long_ago_holds_nothing_back() {
    let old = loads(&[16_000; 4], at(10));
    let (state, mut holder) = start(4, 600);

    take(&mut holder, &state, &old, &[], at(4_000));

    assert_eq!(holder.wave_statuses()[&1].down, 1);
}

#[test]
fn a_held_box_is_called_once_it_is_empty_and_given_time_while_it_works() {
    let (state, mut holder) = start(1, 600);
    let nothing = BTreeMap::new();
    let works = |now| loads(&[4_000], now);

    take(&mut holder, &state, &nothing, &[], at(0));
    take(&mut holder, &state, &nothing, &[], at(0));
    // What was told before the hold was settled does not count.
    let steps = take(&mut holder, &state, &loads(&[0], at(50)), &[], at(60));
    assert!(!is_called(&steps));
    let steps = take(&mut holder, &state, &works(at(1_400)), &[], at(1_500));
    assert!(!is_called(&steps), "it is at work");
    let steps = take(&mut holder, &state, &loads(&[0], at(1_900)), &[], at(1_950));

    assert!(is_called(&steps));
}

#[test]
fn a_held_box_that_never_ends_its_work_is_called_all_the_same() {
    let (state, mut holder) = start(2, 600);
    let works = |now| loads(&[4_000, 4_000], now);
    take(&mut holder, &state, &works(at(0)), &[], at(0));

    take(&mut holder, &state, &works(at(3_900)), &[], at(3_900));
    let steps = take(&mut holder, &state, &works(at(4_600)), &[], at(4_600));

    assert!(is_called(&steps));
}

#[test]
fn a_held_box_of_which_nothing_is_told_is_called_after_the_usual_span() {
    let (state, mut holder) = start(1, 600);
    let nothing = BTreeMap::new();
    take(&mut holder, &state, &nothing, &[], at(0));

    let early = take(&mut holder, &state, &nothing, &[], at(900));
    let steps = take(&mut holder, &state, &nothing, &[], at(1_000));

    assert!(!is_called(&early));
    assert!(is_called(&steps));
}
