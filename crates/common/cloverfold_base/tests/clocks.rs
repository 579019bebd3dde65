//! Detection of box suspensions from two clocks, and the clock of a process.

use std::time::Duration;

use cloverfold_base::{ClockOffset, ProcessClock, SuspensionDetector, Timestamp};
use proptest::prelude::*;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// An exact reading, with the boot clock ahead by `offset_ms`.
fn exact(offset_ms: u64) -> ClockOffset {
    imprecise(offset_ms, 0, 0)
}

/// An imprecise reading, interrupted for `before_ms` before and for `after_ms` after the boot clock was read.
fn imprecise(offset_ms: u64, before_ms: u64, after_ms: u64) -> ClockOffset {
    ClockOffset {
        lower_bound: ms(offset_ms).saturating_sub(ms(after_ms)),
        upper_bound: ms(offset_ms + before_ms),
    }
}

#[test]
fn a_suspension_is_reported_once_with_its_duration() {
    let mut detector = SuspensionDetector::new(exact(500));

    let detected = [500, 3_500, 3_500, 3_600].map(|offset| detector.observe(exact(offset)));

    assert_eq!(detected, [None, Some(ms(3_000)), None, Some(ms(100))]);
}

#[test]
fn a_suspension_hidden_by_an_imprecise_reading_shows_in_the_next() {
    let mut detector = SuspensionDetector::new(imprecise(0, 40, 0));

    let detected =
        [imprecise(20, 0, 30), exact(20), exact(70)].map(|offset| detector.observe(offset));

    assert_eq!(detected, [None, None, Some(ms(50))]);
}

#[test]
fn no_suspension_is_reported_while_the_box_is_awake() {
    let mut detector = SuspensionDetector::default();

    let detected = (0..10_000).find_map(|_| detector.poll());

    assert_eq!(detected, None);
}

#[test]
fn the_process_clock_starts_at_zero_and_is_monotonic() {
    let clock = ProcessClock::default();

    let readings: Vec<Timestamp> = (0..1_000).map(|_| clock.now()).collect();

    assert!(readings[0].since_start() < Duration::from_secs(60));
    assert!(readings.is_sorted());
}

proptest! {
    /// For any interruption of readings, the detected time never exceeds the true one, and in the end lacks at most one short suspension.
    #[test]
    fn reported_suspensions_match_the_true_total(
        steps in prop::collection::vec((0_u64..2_000, any::<bool>(), 0_u64..50, 0_u64..50), 1..60)
    ) {
        let mut detector = SuspensionDetector::new(exact(0));
        let (mut offset, mut detected) = (0, Duration::ZERO);
        for (span, is_suspended, before, after) in steps {
            offset += if is_suspended { span } else { 0 };
            detected += detector.observe(imprecise(offset, before, after)).unwrap_or_default();
            prop_assert!(detected <= ms(offset));
        }
        detected += detector.observe(exact(offset)).unwrap_or_default();
        prop_assert!(detected + ms(10) >= ms(offset), "{detected:?} of {offset} ms");
    }
}
