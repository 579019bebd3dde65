//! What a holder knows of the platform's list, and when it reads it.
//!
//! Decision: when the list is read. Rule: while a wave is open, before a box is chosen if the last reading is older than
//! [`FRESH_FOR`]; and while a box is away, once its return is due and then every [`RETURN_INTERVAL`]. A reading that fails is repeated
//! after a pause that doubles. Never without an open wave. Inputs: the last reading, the failures since, whether boxes are awaited.
//! Reason: each reading has a price.
//!
//! Decision: when a box has left for good. Rule: it is missing from readings over [`GONE_AFTER`], three at least. Reason: the list lags,
//! and a wave must not be called completed while a box that stays has not begun.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::ListedBox;
use crate::calls::retry_backoff;
use crate::wave::BoxName;

/// For how long a reading is good enough to choose a box by. Chosen, not measured.
const FRESH_FOR: Duration = Duration::from_secs(5);
/// How often the list is read while a box is overdue. Chosen, not measured.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);
/// Over which span a box must be missing. Chosen, not measured: twice the lag of the platform's lists.
const GONE_AFTER: Duration = Duration::from_secs(6);
/// How many readings in a row must miss it. Chosen, not measured.
const GONE_READINGS: u32 = 3;

/// Since when a box is missing.
#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Timestamp,
    readings: u32,
}

/// The list as it was read last.
#[derive(Clone, Debug, Default)]
pub(crate) struct BoxList {
    pub(crate) boxes: BTreeMap<BoxName, ListedBox>,
    /// When the last complete reading began.
    began_at: Option<Timestamp>,
    missing: BTreeMap<BoxName, Missing>,
    is_under_way: bool,
    failures: u32,
    next_at: Timestamp,
}

impl BoxList {
    pub(crate) fn began_at(&self) -> Option<Timestamp> {
        self.began_at
    }

    pub(crate) fn is_fresh(&self, now: Timestamp) -> bool {
        self.began_at.is_some_and(|began| now <= began + FRESH_FOR)
    }

    /// Returns whether the list is to be read now. `return_due_at` is when the first box that is away is expected.
    pub(crate) fn is_due(
        &self,
        is_choosing: bool,
        return_due_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        if self.is_under_way || now < self.next_at {
            return false;
        }
        let is_return_due = return_due_at.is_some_and(|due| {
            let interval = self.began_at.map(|began| began + RETURN_INTERVAL);
            now >= due && (self.began_at < Some(due) || interval <= Some(now))
        });
        is_return_due || (is_choosing && !self.is_fresh(now))
    }

    pub(crate) fn begin_reading(&mut self) {
        self.is_under_way = true;
    }

    /// Takes over a complete reading that began at a time. `awaited` are the boxes of open waves.
    pub(crate) fn take<'a>(
        &mut self,
        boxes: Vec<ListedBox>,
        began_at: Timestamp,
        awaited: impl Iterator<Item = &'a BoxName>,
    ) {
        self.is_under_way = false;
        self.failures = 0;
        self.began_at = Some(began_at);
        let named = boxes
            .into_iter()
            .map(|listed| (listed.name.clone(), listed));
        self.boxes = named.collect();
        let before = std::mem::take(&mut self.missing);
        for name in awaited.filter(|name| !self.boxes.contains_key(*name)) {
            let missing = before.get(name);
            let counted = Missing {
                since: missing.map_or(began_at, |missing| missing.since),
                readings: missing.map_or(0, |missing| missing.readings) + 1,
            };
            self.missing.insert(name.clone(), counted);
        }
    }

    /// Records that a reading failed.
    pub(crate) fn fail(&mut self, now: Timestamp, random: u64) {
        self.is_under_way = false;
        self.failures += 1;
        self.next_at = now + retry_backoff(self.failures, random);
    }

    /// Returns whether any box is missing from the last reading, but not for long enough.
    pub(crate) fn has_doubtful(&self) -> bool {
        self.missing.keys().any(|name| !self.is_gone(name))
    }

    /// Returns whether a box has left for good.
    pub(crate) fn is_gone(&self, name: &str) -> bool {
        let Some(missing) = self.missing.get(name) else {
            return false;
        };
        let is_long = self
            .began_at
            .is_some_and(|began| began >= missing.since + GONE_AFTER);
        is_long && missing.readings >= GONE_READINGS
    }
}
