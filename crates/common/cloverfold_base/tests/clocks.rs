//! Clocks: suspensions of the box are noticed from two clocks, and a process counts their time.

use std::time::Duration;

use cloverfold_base::{ClockOffset, ProcessClock, SuspensionDetector, Timestamp};
use proptest::prelude::*;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A reading that is exact, with the boot clock ahead by so many milliseconds.
fn exact(lead_ms: u64) -> ClockOffset {
    blurred(lead_ms, 0, 0)
}

/// A reading that was interrupted before and after the boot clock was read.
fn blurred(lead_ms: u64, before_ms: u64, after_ms: u64) -> ClockOffset {
    ClockOffset {
        lower_bound: ms(lead_ms).saturating_sub(ms(after_ms)),
        upper_bound: ms(lead_ms + before_ms),
    }
}

#[test]
fn a_suspension_is_noticed_once_with_its_length() {
    let mut watch = SuspensionDetector::new(exact(500));

    let noticed = [500, 3_500, 3_500, 3_600].map(|lead| watch.observe(exact(lead)));

    assert_eq!(noticed, [None, Some(ms(3_000)), None, Some(ms(100))]);
}

#[test]
fn what_is_too_short_for_one_reading_is_noticed_with_the_next() {
    let mut watch = SuspensionDetector::new(blurred(0, 40, 0));

    let noticed = [blurred(20, 0, 30), exact(20), exact(70)].map(|lead| watch.observe(lead));

    assert_eq!(noticed, [None, None, Some(ms(50))]);
}

#[test]
fn a_process_on_a_box_that_is_awake_notices_no_suspension() {
    let mut watch = SuspensionDetector::default();

    let noticed = (0..10_000).find_map(|_| watch.poll());

    assert_eq!(noticed, None);
}

#[test]
fn the_clock_of_a_process_begins_at_zero_and_never_goes_back() {
    let clock = ProcessClock::default();

    let readings: Vec<Timestamp> = (0..1_000).map(|_| clock.now()).collect();

    assert!(readings[0].since_start() < Duration::from_secs(60));
    assert!(readings.is_sorted());
}

proptest! {
    /// However readings are interrupted, nothing is noticed that was not there, and in the end nothing is missing but what is too short.
    #[test]
    fn noticed_suspensions_add_up_to_no_more_than_there_was(
        steps in prop::collection::vec((0_u64..2_000, any::<bool>(), 0_u64..50, 0_u64..50), 1..60)
    ) {
        let mut watch = SuspensionDetector::new(exact(0));
        let (mut lead, mut noticed) = (0, Duration::ZERO);
        for (span, is_suspended, before, after) in steps {
            lead += if is_suspended { span } else { 0 };
            noticed += watch.observe(blurred(lead, before, after)).unwrap_or_default();
            prop_assert!(noticed <= ms(lead));
        }
        noticed += watch.observe(exact(lead)).unwrap_or_default();
        prop_assert!(noticed + ms(10) >= ms(lead), "{noticed:?} of {lead} ms");
    }
}
