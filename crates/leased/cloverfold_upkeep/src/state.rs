//! The state that the control processes replicate.
//!
//! [`UpkeepState`] owns the waves, the phases of their boxes and the audit trail. All control processes apply the same commands in log
//! order.
//!
//! | command | applies to |
//! |---|---|
//! | `Order` | a new wave number; an order with a known number changes no wave |
//! | `Call` | a box that waits, was refused or was gone; it counts as down from then on |
//! | `Begun` | a box whose upkeep has not begun |
//! | `Back` | a box whose upkeep has begun |
//! | `Gone` | a box that is not back |
//! | `Refused` | a box that was called |
//!
//! Any other command has no effect. Commands are idempotent, so the leader may repeat one that it has not seen applied.

use std::collections::BTreeMap;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::wave::{BoxName, UpkeepCommand, WaveNumber, WaveOrder};

/// Maximum number of audit records of a wave. The first record and the newest of the others are retained.
const MAX_RECORDS_PER_WAVE: usize = 16;
/// Maximum total number of boxes in retained finished waves. Finished waves are retained to recognize resent orders; above this number,
/// those with the lowest numbers are dropped to bound the size of a snapshot.
const MAX_RETAINED_BOXES: usize = 20_000;

/// Phase of a box. A box without a phase waits and was never called. The order of the variants is part of the disk format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BoxPhase {
    /// A call may have been sent, so the upkeep may have begun or may still begin.
    Called,
    /// The upkeep has begun. The box counts as down until the list shows it up again.
    Begun,
    /// The box is up again.
    Back,
    /// The box has left the installation.
    Gone,
    /// The calls for the box were refused, and it waits.
    Refused,
}

impl BoxPhase {
    /// Returns the stable name used in log lines and answers to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Called => "called",
            Self::Begun => "begun",
            Self::Back => "back",
            Self::Gone => "gone",
            Self::Refused => "refused",
        }
    }

    /// Returns whether the box is or may be down for its upkeep.
    pub fn is_down(self) -> bool {
        matches!(self, Self::Called | Self::Begun)
    }

    /// Returns whether the upkeep has begun or is no longer needed.
    fn has_begun(self) -> bool {
        matches!(self, Self::Begun | Self::Back | Self::Gone)
    }

    fn is_over(self) -> bool {
        matches!(self, Self::Back | Self::Gone)
    }
}

/// A wave. The order of the fields is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The order.
    pub order: WaveOrder,
    /// Phases of its boxes.
    pub phases: BTreeMap<BoxName, BoxPhase>,
    /// Decisions on orders with the wave's number, oldest first.
    records: Vec<WaveRecord>,
}

impl Wave {
    /// Returns whether the upkeep of every box has begun. Boxes that are gone are ignored.
    pub fn is_completed(&self) -> bool {
        self.all_boxes(BoxPhase::has_begun)
    }

    /// Returns whether every box is up again after its upkeep. Boxes that are gone are ignored.
    pub fn is_over(&self) -> bool {
        self.all_boxes(BoxPhase::is_over)
    }

    /// Returns the boxes that were not called for upkeep, or whose calls were refused.
    pub fn waiting(&self) -> impl Iterator<Item = &BoxName> {
        let is_waiting =
            |name: &&BoxName| matches!(self.phases.get(*name), None | Some(BoxPhase::Refused));
        self.order.boxes.iter().filter(is_waiting)
    }

    fn all_boxes(&self, predicate: fn(BoxPhase) -> bool) -> bool {
        let mut boxes = self.order.boxes.iter();
        boxes.all(|name| self.phases.get(name).is_some_and(|phase| predicate(*phase)))
    }
}

/// The decision on an order. The order of the variants is part of the disk format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveOutcome {
    /// The order is accepted and the wave starts.
    Taken,
    /// The same order was accepted before.
    Repeated,
    /// A different order has this number; the state does not change.
    Conflicting,
}

impl WaveOutcome {
    /// Returns the stable name used in log lines and the audit trail.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "Taken",
            Self::Repeated => "Repeated",
            Self::Conflicting => "Conflicting",
        }
    }
}

/// Audit record of a decision on an order. The order of the fields is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// The wave.
    pub wave: WaveNumber,
    /// The decision.
    pub outcome: WaveOutcome,
    /// Number of boxes in the order.
    pub boxes: u64,
    /// Log index of the order.
    pub index: u64,
    /// Name of the control process that received the order.
    pub source: String,
    /// When the control process received the order, by its wall clock.
    pub received_at: UnixTime,
}

/// All waves. The order of the fields is part of the disk format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpkeepState {
    waves: BTreeMap<WaveNumber, Wave>,
}

impl UpkeepState {
    /// Returns whether there is no wave.
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

    /// Returns the audit records of the retained waves, oldest first.
    pub fn audit(&self) -> Vec<&WaveRecord> {
        let waves = self.waves.values();
        let mut records: Vec<_> = waves.flat_map(|wave| &wave.records).collect();
        records.sort_by_key(|record| record.index);
        records
    }

    /// Returns the decision on an order with a known number; `None` if the number is unknown.
    pub fn order_outcome(&self, order: &WaveOrder) -> Option<WaveOutcome> {
        let known = self.waves.get(&order.wave)?;
        if known.order.has_same_content(order) {
            Some(WaveOutcome::Repeated)
        } else {
            Some(WaveOutcome::Conflicting)
        }
    }

    /// Returns whether a box is or may be down for the upkeep of any wave.
    pub fn is_down(&self, name: &str) -> bool {
        let mut phases = self.waves.values().filter_map(|wave| wave.phases.get(name));
        phases.any(|phase| phase.is_down())
    }

    /// Applies the command at a log index. Returns whether it had an effect other than an audit record.
    pub fn apply(&mut self, command: UpkeepCommand, index: u64) -> bool {
        match command {
            UpkeepCommand::Order(order) => self.apply_order(order, index) == WaveOutcome::Taken,
            UpkeepCommand::Call { wave, name } => self.set_phase(wave, name, BoxPhase::Called),
            UpkeepCommand::Begun { wave, name } => self.set_phase(wave, name, BoxPhase::Begun),
            UpkeepCommand::Back { wave, name } => self.set_phase(wave, name, BoxPhase::Back),
            UpkeepCommand::Gone { wave, name } => self.set_phase(wave, name, BoxPhase::Gone),
            UpkeepCommand::Refused { wave, name } => self.set_phase(wave, name, BoxPhase::Refused),
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
        if wave.records.len() == MAX_RECORDS_PER_WAVE {
            wave.records.remove(1);
        }
        wave.records.push(record);
        self.drop_finished_waves();
        outcome
    }

    fn set_phase(&mut self, wave: WaveNumber, name: BoxName, to: BoxPhase) -> bool {
        let Some(wave) = self.waves.get_mut(&wave) else {
            return false;
        };
        let from = wave.phases.get(&name).copied();
        let is_valid = wave.order.boxes.contains(&name) && is_valid_transition(from, to);
        if is_valid {
            wave.phases.insert(name, to);
        }
        is_valid
    }

    /// Drops finished waves, lowest numbers first, while they have more than [`MAX_RETAINED_BOXES`] boxes.
    fn drop_finished_waves(&mut self) {
        let finished = self.waves.iter().filter(|(_, wave)| wave.is_over());
        let finished: Vec<(WaveNumber, usize)> = finished
            .map(|(number, wave)| (*number, wave.order.boxes.len()))
            .collect();
        let mut retained: usize = finished.iter().map(|(_, boxes)| boxes).sum();
        for (number, boxes) in finished {
            if retained <= MAX_RETAINED_BOXES {
                return;
            }
            self.waves.remove(&number);
            retained -= boxes;
        }
    }
}

/// Returns whether a phase transition is valid.
fn is_valid_transition(from: Option<BoxPhase>, to: BoxPhase) -> bool {
    use BoxPhase::{Back, Begun, Called, Gone, Refused};
    match to {
        Called => matches!(from, None | Some(Refused | Gone)),
        Begun => matches!(from, None | Some(Called | Refused | Gone)),
        Back => from == Some(Begun),
        Gone => matches!(from, None | Some(Called | Begun | Refused)),
        Refused => from == Some(Called),
    }
}
