//! The platform's list of boxes as the scheduler knows it.
//!
//! Reading the list is expensive, so it is read only while a wave is open: before a box is selected, if the last reading is older than
//! [`MAX_LIST_AGE`]; and while a box is down, once its return is due and then every [`RETURN_POLL_INTERVAL`]. Failed readings are retried
//! with exponential backoff.
//!
//! A box counts as gone once it is missing from at least [`MIN_MISSING_READINGS`] successive readings over at least [`MIN_MISSING_TIME`].
//! The list lags, and a wave must not complete while a box that is still there has not begun its upkeep.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::ListedBox;
use crate::calls::retry_backoff;
use crate::wave::BoxName;

/// Maximum age of a reading from which a box is selected.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);
/// Interval between readings while the return of a box is due.
const RETURN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time for which a box must be missing to count as gone; twice the lag of the platform's list.
const MIN_MISSING_TIME: Duration = Duration::from_secs(6);
/// Minimum number of successive readings from which a box must be missing to count as gone.
const MIN_MISSING_READINGS: u32 = 3;

/// How long a box has been missing from the list.
#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Timestamp,
    readings: u32,
}

/// The list of the last complete reading, and the state of the next.
#[derive(Clone, Debug, Default)]
pub(crate) struct BoxList {
    pub(crate) boxes: BTreeMap<BoxName, ListedBox>,
    /// Start time of the last complete reading.
    started_at: Option<Timestamp>,
    missing: BTreeMap<BoxName, Missing>,
    is_in_flight: bool,
    failures: u32,
    next_reading_at: Timestamp,
}

impl BoxList {
    pub(crate) fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }

    pub(crate) fn is_fresh(&self, now: Timestamp) -> bool {
        self.started_at
            .is_some_and(|started| now <= started + MAX_LIST_AGE)
    }

    /// Returns whether the list must be read now. `return_due_at` is when the first box that is down is expected back.
    pub(crate) fn is_due(
        &self,
        is_selecting: bool,
        return_due_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        if self.is_in_flight || now < self.next_reading_at {
            return false;
        }
        let is_return_due = return_due_at.is_some_and(|due| {
            let interval = self
                .started_at
                .map(|started| started + RETURN_POLL_INTERVAL);
            now >= due && (self.started_at < Some(due) || interval <= Some(now))
        });
        is_return_due || (is_selecting && !self.is_fresh(now))
    }

    pub(crate) fn record_reading_start(&mut self) {
        self.is_in_flight = true;
    }

    /// Records a complete reading that started at `started_at`. `wave_boxes` are the boxes of open waves.
    pub(crate) fn record_reading<'a>(
        &mut self,
        boxes: Vec<ListedBox>,
        started_at: Timestamp,
        wave_boxes: impl Iterator<Item = &'a BoxName>,
    ) {
        self.is_in_flight = false;
        self.failures = 0;
        self.started_at = Some(started_at);
        let by_name = boxes
            .into_iter()
            .map(|listed| (listed.name.clone(), listed));
        self.boxes = by_name.collect();
        let missing_before = std::mem::take(&mut self.missing);
        for name in wave_boxes.filter(|name| !self.boxes.contains_key(*name)) {
            let missing = missing_before.get(name);
            let counted = Missing {
                since: missing.map_or(started_at, |missing| missing.since),
                readings: missing.map_or(0, |missing| missing.readings) + 1,
            };
            self.missing.insert(name.clone(), counted);
        }
    }

    pub(crate) fn record_reading_failure(&mut self, now: Timestamp, random: u64) {
        self.is_in_flight = false;
        self.failures += 1;
        self.next_reading_at = now + retry_backoff(self.failures, random);
    }

    /// Returns whether a box is missing from the last reading but does not count as gone yet.
    pub(crate) fn has_unconfirmed_missing(&self) -> bool {
        self.missing.keys().any(|name| !self.is_gone(name))
    }

    /// Returns whether a box counts as gone.
    pub(crate) fn is_gone(&self, name: &str) -> bool {
        let Some(missing) = self.missing.get(name) else {
            return false;
        };
        let is_long_enough = self
            .started_at
            .is_some_and(|started| started >= missing.since + MIN_MISSING_TIME);
        is_long_enough && missing.readings >= MIN_MISSING_READINGS
    }
}
