//! Orders for waves: validation, repeated numbers, phase transitions, and the pace of a wave.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverfold_upkeep::{
    BoxPhase, MAX_BOXES, MAX_NAME_BYTES, MAX_NAMES_BYTES, UpkeepCommand, UpkeepState, WaveOrder,
    WaveOutcome, WaveRequest, WaveRequestError, plan_pace,
};

fn names(count: usize) -> BTreeSet<String> {
    (0..count).map(|index| format!("box-{index}")).collect()
}

fn request() -> WaveRequest {
    WaveRequest {
        wave: 1,
        boxes: names(2),
        span: Duration::from_secs(20),
        most_down: 1,
    }
}

fn order(wave: u64) -> WaveOrder {
    WaveOrder {
        wave,
        boxes: names(2),
        span: Duration::from_secs(20),
        most_down: 1,
        source: "control-a".into(),
        received_at: Duration::from_secs(1),
    }
}

fn apply_all(state: &mut UpkeepState, name: &str, commands: &[fn(u64, String) -> UpkeepCommand]) {
    for command in commands {
        state.apply(command(1, name.into()), 9);
    }
}

const CALL: fn(u64, String) -> UpkeepCommand = |wave, name| UpkeepCommand::Call { wave, name };
const BEGUN: fn(u64, String) -> UpkeepCommand = |wave, name| UpkeepCommand::Begun { wave, name };
const BACK: fn(u64, String) -> UpkeepCommand = |wave, name| UpkeepCommand::Back { wave, name };
const GONE: fn(u64, String) -> UpkeepCommand = |wave, name| UpkeepCommand::Gone { wave, name };
const REFUSED: fn(u64, String) -> UpkeepCommand =
    |wave, name| UpkeepCommand::Refused { wave, name };

#[test]
fn every_error_of_an_order_is_reported() {
    let valid = request();
    let empty = WaveRequest {
        wave: 0,
        boxes: BTreeSet::new(),
        span: Duration::ZERO,
        most_down: 0,
    };
    let with_name = |name: String| WaveRequest {
        boxes: [name].into(),
        ..request()
    };
    let many = WaveRequest {
        boxes: names(MAX_BOXES + 1),
        ..request()
    };

    assert_eq!(valid.validate(), []);
    let all = [
        WaveRequestError::NoNumber,
        WaveRequestError::NoBoxes,
        WaveRequestError::NoSpan,
        WaveRequestError::NoneDown,
    ];
    assert_eq!(empty.validate(), all);
    for name in ["", "a\nb", &"x".repeat(MAX_NAME_BYTES + 1)] {
        let errors = with_name(name.into()).validate();
        assert_eq!(errors, [WaveRequestError::MalformedName], "{name:?}");
    }
    let too_many = WaveRequestError::TooManyBoxes(MAX_BOXES + 1);
    assert_eq!(many.validate(), [too_many]);
    let long = (0..=MAX_NAMES_BYTES / 100).map(|index| format!("{index:0100}"));
    let long = WaveRequest {
        boxes: long.collect(),
        ..request()
    };
    assert!(matches!(
        long.validate()[..],
        [WaveRequestError::NamesTooLong(_)]
    ));
}

#[test]
fn the_first_order_with_a_number_wins_and_every_decision_is_recorded() {
    let mut state = UpkeepState::default();
    let mut other = order(1);
    other.most_down = 2;
    let mut again = order(1);
    again.source = "control-b".into();

    state.apply(UpkeepCommand::Order(order(1)), 1);
    state.apply(UpkeepCommand::Order(other.clone()), 2);
    state.apply(UpkeepCommand::Order(again.clone()), 3);

    assert_eq!(state.waves()[&1].order, order(1));
    assert_eq!(state.order_outcome(&again), Some(WaveOutcome::Repeated));
    assert_eq!(state.order_outcome(&other), Some(WaveOutcome::Conflicting));
    assert_eq!(state.order_outcome(&order(2)), None);
    let outcomes: Vec<_> = state.audit().iter().map(|record| record.outcome).collect();
    let expected = [
        WaveOutcome::Taken,
        WaveOutcome::Conflicting,
        WaveOutcome::Repeated,
    ];
    assert_eq!(outcomes, expected);
}

#[test]
fn a_wave_is_completed_once_all_boxes_have_begun_and_over_once_they_are_back() {
    let mut state = UpkeepState::default();
    state.apply(UpkeepCommand::Order(order(1)), 1);

    apply_all(&mut state, "box-0", &[CALL, BEGUN]);
    assert!(!state.waves()[&1].is_completed());
    apply_all(&mut state, "box-1", &[CALL, REFUSED]);
    assert!(!state.waves()[&1].is_completed());
    apply_all(&mut state, "box-1", &[GONE]);

    assert!(state.waves()[&1].is_completed());
    assert!(!state.waves()[&1].is_over());
    apply_all(&mut state, "box-0", &[BACK]);
    assert!(state.waves()[&1].is_over());
}

#[test]
fn a_repeated_or_late_command_has_no_effect() {
    let mut state = UpkeepState::default();
    state.apply(UpkeepCommand::Order(order(1)), 1);

    apply_all(&mut state, "box-0", &[BACK, REFUSED]);
    assert_eq!(state.waves()[&1].phases.get("box-0"), None);
    apply_all(&mut state, "box-0", &[CALL, BEGUN, CALL, REFUSED, BEGUN]);
    assert_eq!(state.waves()[&1].phases["box-0"], BoxPhase::Begun);
    assert!(state.is_down("box-0"));
    apply_all(&mut state, "box-0", &[BACK, CALL, BEGUN, GONE, REFUSED]);

    assert_eq!(state.waves()[&1].phases["box-0"], BoxPhase::Back);
    assert!(!state.is_down("box-0"));
    apply_all(&mut state, "another", &[CALL]);
    assert_eq!(state.waves()[&1].phases.get("another"), None);
}

#[test]
fn the_pace_is_the_slowest_that_fits_the_span_and_reports_delays() {
    let cycle = Duration::from_secs(4);
    let pace = |waiting, left_s| plan_pace(waiting, 3, cycle, Duration::from_secs(left_s));

    assert_eq!((pace(10, 600).at_once, pace(10, 600).late_by), (1, None));
    assert_eq!((pace(10, 30).at_once, pace(10, 30).late_by), (2, None));
    assert_eq!((pace(10, 12).at_once, pace(10, 12).late_by), (3, None));
    let late = pace(10, 10);
    assert_eq!(late.at_once, 3);
    assert_eq!(late.late_by, Some(Duration::from_secs(2)));
}
