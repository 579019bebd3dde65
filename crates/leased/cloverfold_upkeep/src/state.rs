//! The state that the control processes replicate.
//!
//! [`UpkeepState`] owns the waves, how far each box of them is, and the audit trail. It relies on the log: every control process applies
//! the same commands in the same order.
//!
//! Decision: what a command changes.
//!
//! | command | changes |
//! |---|---|
//! | `Order` | a wave with a new number; a known number changes nothing, whatever the order asks for |
//! | `Call` | a box that waits, was refused or was gone: it counts as down from here on |
//! | `Begun` | a box that has not begun yet |
//! | `Back` | a box that has begun |
//! | `Gone` | a box that is not back |
//! | `Refused` | a box that was called |
//!
//! Anything else leaves the state as it is, so that a command may be repeated. Reason: a leader repeats what it does not see applied.

use std::collections::BTreeMap;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::wave::{BoxName, UpkeepCommand, WaveNumber, WaveOrder};

/// Decisions that are kept of one wave: the first, and the latest of the others. Chosen, not measured.
const MAX_RECORDS: usize = 16;
/// Boxes, counted over all waves that are over, whose waves are kept so that a resent order is known; beyond that the waves with the
/// lowest numbers are dropped. Guards the size of a snapshot. Chosen, not measured.
const MAX_KEPT_BOXES: usize = 20_000;

/// How far a box is; one without a phase waits and was never called. The order of the variants is the format on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BoxPhase {
    /// A call may have been sent: its upkeep may have begun, or may still begin.
    Called,
    /// Its upkeep has begun; it is down until it is seen up again.
    Begun,
    /// It is up again.
    Back,
    /// It has left the installation.
    Gone,
    /// It was called and refused, and waits.
    Refused,
}

impl BoxPhase {
    /// Returns the name that log lines and operators' answers use; it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Called => "called",
            Self::Begun => "begun",
            Self::Back => "back",
            Self::Gone => "gone",
            Self::Refused => "refused",
        }
    }

    /// Returns whether the box is down, or may be, for its upkeep.
    pub fn is_down(self) -> bool {
        matches!(self, Self::Called | Self::Begun)
    }

    /// Returns whether the upkeep has begun, or the box needs none any more.
    fn has_begun(self) -> bool {
        matches!(self, Self::Begun | Self::Back | Self::Gone)
    }

    fn is_over(self) -> bool {
        matches!(self, Self::Back | Self::Gone)
    }
}

/// One wave. The order of the fields is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The order.
    pub order: WaveOrder,
    /// How far its boxes are.
    pub phases: BTreeMap<BoxName, BoxPhase>,
    /// The decisions on orders with its number, oldest first.
    records: Vec<WaveRecord>,
}

impl Wave {
    /// Returns whether every box that stays has begun its upkeep.
    pub fn is_completed(&self) -> bool {
        self.all(BoxPhase::has_begun)
    }

    /// Returns whether every box that stays is up again after its upkeep.
    pub fn is_over(&self) -> bool {
        self.all(BoxPhase::is_over)
    }

    /// Returns the boxes whose upkeep has not been called, or was refused.
    pub fn waiting(&self) -> impl Iterator<Item = &BoxName> {
        let is_waiting =
            |name: &&BoxName| matches!(self.phases.get(*name), None | Some(BoxPhase::Refused));
        self.order.boxes.iter().filter(is_waiting)
    }

    fn all(&self, holds: fn(BoxPhase) -> bool) -> bool {
        let mut boxes = self.order.boxes.iter();
        boxes.all(|name| self.phases.get(name).is_some_and(|phase| holds(*phase)))
    }
}

/// What became of an order. The order of the variants is the format on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveOutcome {
    /// The wave begins.
    Taken,
    /// The same order was taken before.
    Repeated,
    /// Another order has this number; nothing changes.
    Conflicting,
}

impl WaveOutcome {
    /// Returns the name that log lines and the audit trail use; it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "Taken",
            Self::Repeated => "Repeated",
            Self::Conflicting => "Conflicting",
        }
    }
}

/// One decision on an order. The order of the fields is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// The wave.
    pub wave: WaveNumber,
    /// What became of the order.
    pub outcome: WaveOutcome,
    /// How many boxes it named.
    pub boxes: u64,
    /// Place of the order in the log.
    pub index: u64,
    /// Name of the control process that received it.
    pub source: String,
    /// When it received it, by its wall clock.
    pub received_at: UnixTime,
}

/// All waves. The order of the fields is the format on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpkeepState {
    waves: BTreeMap<WaveNumber, Wave>,
}

impl UpkeepState {
    /// Returns whether no wave was ever ordered.
    pub fn is_empty(&self) -> bool {
        self.waves.is_empty()
    }

    /// Returns the waves by number.
    pub fn waves(&self) -> &BTreeMap<WaveNumber, Wave> {
        &self.waves
    }

    /// Returns the waves that are not over, by number.
    pub fn open_waves(&self) -> impl Iterator<Item = (WaveNumber, &Wave)> {
        let open = self.waves.iter().filter(|(_, wave)| !wave.is_over());
        open.map(|(number, wave)| (*number, wave))
    }

    /// Returns the decisions on orders of the waves that are kept, oldest first.
    pub fn audit(&self) -> Vec<&WaveRecord> {
        let waves = self.waves.values();
        let mut records: Vec<_> = waves.flat_map(|wave| &wave.records).collect();
        records.sort_by_key(|record| record.index);
        records
    }

    /// Returns what has become of an order, or would, as of this state; `None` if its number is not known.
    pub fn order_outcome(&self, order: &WaveOrder) -> Option<WaveOutcome> {
        let known = self.waves.get(&order.wave)?;
        if known.order.is_same_as(order) {
            Some(WaveOutcome::Repeated)
        } else {
            Some(WaveOutcome::Conflicting)
        }
    }

    /// Returns whether a box is down, or may be, for the upkeep of any wave.
    pub fn is_down(&self, name: &str) -> bool {
        let mut phases = self.waves.values().filter_map(|wave| wave.phases.get(name));
        phases.any(|phase| phase.is_down())
    }

    /// Applies the command at a place of the log; returns whether the state has changed.
    pub fn apply(&mut self, command: UpkeepCommand, index: u64) -> bool {
        match command {
            UpkeepCommand::Order(order) => self.apply_order(order, index) == WaveOutcome::Taken,
            UpkeepCommand::Call { wave, name } => self.change(wave, name, BoxPhase::Called),
            UpkeepCommand::Begun { wave, name } => self.change(wave, name, BoxPhase::Begun),
            UpkeepCommand::Back { wave, name } => self.change(wave, name, BoxPhase::Back),
            UpkeepCommand::Gone { wave, name } => self.change(wave, name, BoxPhase::Gone),
            UpkeepCommand::Refused { wave, name } => self.change(wave, name, BoxPhase::Refused),
        }
    }

    fn apply_order(&mut self, order: WaveOrder, index: u64) -> WaveOutcome {
        let outcome = self.order_outcome(&order).unwrap_or(WaveOutcome::Taken);
        let record = WaveRecord {
            wave: order.wave,
            outcome,
            boxes: order.boxes.len() as u64,
            index,
            source: order.source.clone(),
            received_at: order.received_at,
        };
        let wave = self.waves.entry(order.wave).or_insert_with(|| Wave {
            order,
            phases: BTreeMap::new(),
            records: Vec::new(),
        });
        if wave.records.len() == MAX_RECORDS {
            wave.records.remove(1);
        }
        wave.records.push(record);
        self.drop_oldest();
        outcome
    }

    fn change(&mut self, wave: WaveNumber, name: BoxName, to: BoxPhase) -> bool {
        let Some(wave) = self.waves.get_mut(&wave) else {
            return false;
        };
        let from = wave.phases.get(&name).copied();
        let is_change = wave.order.boxes.contains(&name) && may_change(from, to);
        if is_change {
            wave.phases.insert(name, to);
        }
        is_change
    }

    /// Drops the waves with the lowest numbers that are over while those keep too many boxes.
    fn drop_oldest(&mut self) {
        let over = self.waves.iter().filter(|(_, wave)| wave.is_over());
        let over: Vec<(WaveNumber, usize)> = over
            .map(|(number, wave)| (*number, wave.order.boxes.len()))
            .collect();
        let mut kept: usize = over.iter().map(|(_, boxes)| boxes).sum();
        for (number, boxes) in over {
            if kept <= MAX_KEPT_BOXES {
                return;
            }
            self.waves.remove(&number);
            kept -= boxes;
        }
    }
}

/// Returns whether a box may go from one phase to another.
fn may_change(from: Option<BoxPhase>, to: BoxPhase) -> bool {
    use BoxPhase::{Back, Begun, Called, Gone, Refused};
    match to {
        Called => matches!(from, None | Some(Refused | Gone)),
        Begun => matches!(from, None | Some(Called | Refused | Gone)),
        Back => from == Some(Begun),
        Gone => matches!(from, None | Some(Called | Begun | Refused)),
        Refused => from == Some(Called),
    }
}
