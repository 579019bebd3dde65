//! The state that the control processes replicate.
//!
//! [`EvacuationState`] owns the evacuations in force and the audit trail. It relies on the log: every control process applies the same
//! orders in the same order.

use std::collections::{BTreeMap, VecDeque};

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::evacuated_halls::{DataHall, EvacuatedHalls, EvacuationRevision};
use crate::order::{EvacuationOrder, HallChange, OrderId, OrderOutcome, judge_order};

/// Audit records that are kept; older ones are dropped. Chosen, not measured: evacuations are rare.
const MAX_AUDIT_RECORDS: usize = 1_024;

/// An evacuation in force. The order of the fields is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Name of the control process that received the order.
    pub source: String,
    /// When it received it, by its wall clock.
    pub received_at: UnixTime,
    /// Place of the order in the log.
    pub index: u64,
}

/// One decision on an order. The order of the fields is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// Number of the order.
    pub order: OrderId,
    /// The data hall.
    pub hall: DataHall,
    /// What the order wanted.
    pub change: HallChange,
    /// What became of it.
    pub outcome: OrderOutcome,
    /// The revision after it.
    pub revision: EvacuationRevision,
    /// Place of the order in the log.
    pub index: u64,
    /// Name of the control process that received it.
    pub source: String,
    /// When it received it, by its wall clock.
    pub received_at: UnixTime,
}

/// The evacuations in force and how they came about. The order of the fields is the format on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    revision: EvacuationRevision,
    in_force: BTreeMap<DataHall, Evacuation>,
    /// The revision of each hall's last change.
    changed_at: BTreeMap<DataHall, EvacuationRevision>,
    audit: VecDeque<EvacuationRecord>,
}

impl EvacuationState {
    /// Decodes a state; no bytes at all are the state of an installation without a single order.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are no state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(bytes)
    }

    /// Encodes the state; that of an installation without a single order takes no bytes.
    ///
    /// # Panics
    ///
    /// Never: every state can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        if self.audit.is_empty() {
            return Vec::new();
        }
        postcard::to_stdvec(self).expect("a state in memory can be encoded")
    }

    /// Returns the revision; 0 before the first order that was taken.
    pub fn revision(&self) -> EvacuationRevision {
        self.revision
    }

    /// Returns the evacuations in force, by hall.
    pub fn in_force(&self) -> &BTreeMap<DataHall, Evacuation> {
        &self.in_force
    }

    /// Returns the decisions, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.audit.iter()
    }

    /// Returns what other processes are told.
    pub fn halls(&self) -> EvacuatedHalls {
        EvacuatedHalls {
            revision: self.revision,
            halls: self.in_force.keys().cloned().collect(),
        }
    }

    /// Returns what became of an order; `None` while it is not applied, or after [`MAX_AUDIT_RECORDS`] further ones.
    pub fn find_outcome(&self, order: OrderId) -> Option<OrderOutcome> {
        let mut newest_first = self.audit.iter().rev();
        let record = newest_first.find(|record| record.order == order)?;
        Some(record.outcome)
    }

    /// Applies the order at a place of the log and records what became of it. One that was applied before changes nothing.
    pub fn apply(&mut self, order: EvacuationOrder, index: u64) -> OrderOutcome {
        if let Some(outcome) = self.find_outcome(order.id) {
            return outcome;
        }
        let is_evacuated = self.in_force.contains_key(&order.hall);
        let changed_at = self.changed_at.get(&order.hall).copied().unwrap_or(0);
        let outcome = judge_order(&order, is_evacuated, changed_at);
        if outcome == OrderOutcome::Taken {
            self.change_hall(&order, index);
        }
        self.record(order, outcome, index);
        outcome
    }

    fn change_hall(&mut self, order: &EvacuationOrder, index: u64) {
        self.revision += 1;
        self.changed_at.insert(order.hall.clone(), self.revision);
        match order.change {
            HallChange::Evacuate => {
                let evacuation = Evacuation {
                    source: order.source.clone(),
                    received_at: order.received_at,
                    index,
                };
                self.in_force.insert(order.hall.clone(), evacuation);
            }
            HallChange::TakeBack => {
                self.in_force.remove(&order.hall);
            }
        }
    }

    fn record(&mut self, order: EvacuationOrder, outcome: OrderOutcome, index: u64) {
        self.audit.push_back(EvacuationRecord {
            order: order.id,
            hall: order.hall,
            change: order.change,
            outcome,
            revision: self.revision,
            index,
            source: order.source,
            received_at: order.received_at,
        });
        if self.audit.len() > MAX_AUDIT_RECORDS {
            self.audit.pop_front();
        }
    }
}
