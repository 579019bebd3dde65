//! The state that the control processes replicate.
//!
//! [`EvacuationState`] owns the current evacuations and the audit trail. All control processes apply the same orders in log order.

use std::collections::{BTreeMap, VecDeque};

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::evacuated_halls::{DataHall, EvacuatedHalls, EvacuationRevision};
use crate::order::{EvacuationOrder, HallChange, OrderId, OrderOutcome, decide_outcome};

/// Maximum number of audit records; older ones are dropped.
const MAX_AUDIT_RECORDS: usize = 1_024;

/// A current evacuation. The order of the fields is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Name of the control process that received the order.
    pub source: String,
    /// When the control process received the order, by its wall clock.
    pub received_at: UnixTime,
    /// Log index of the order.
    pub index: u64,
}

/// Audit record of a decision on an order. The order of the fields is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// Identifier of the order.
    pub order: OrderId,
    /// The data hall.
    pub hall: DataHall,
    /// The requested change.
    pub change: HallChange,
    /// The outcome of the order.
    pub outcome: OrderOutcome,
    /// The revision after the decision.
    pub revision: EvacuationRevision,
    /// Log index of the order.
    pub index: u64,
    /// Name of the control process that received the order.
    pub source: String,
    /// When the control process received the order, by its wall clock.
    pub received_at: UnixTime,
}

/// The current evacuations and their audit trail. The order of the fields is part of the disk format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    revision: EvacuationRevision,
    in_force: BTreeMap<DataHall, Evacuation>,
    /// Revision of each hall's last change.
    changed_at: BTreeMap<DataHall, EvacuationRevision>,
    audit: VecDeque<EvacuationRecord>,
}

impl EvacuationState {
    /// Decodes a state. No bytes decode to the initial state, in which no order was given.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are not a valid state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(bytes)
    }

    /// Encodes the state. The initial state is encoded as no bytes.
    ///
    /// # Panics
    ///
    /// Never, since every state can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        if self.audit.is_empty() {
            return Vec::new();
        }
        postcard::to_stdvec(self).expect("a state in memory can be encoded")
    }

    /// Returns the revision, or 0 if no order has taken effect.
    pub fn revision(&self) -> EvacuationRevision {
        self.revision
    }

    /// Returns the current evacuations, by hall.
    pub fn in_force(&self) -> &BTreeMap<DataHall, Evacuation> {
        &self.in_force
    }

    /// Returns the audit records, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.audit.iter()
    }

    /// Returns the state that other processes receive.
    pub fn halls(&self) -> EvacuatedHalls {
        EvacuatedHalls {
            revision: self.revision,
            halls: self.in_force.keys().cloned().collect(),
        }
    }

    /// Returns the outcome of an order, or `None` if it is not applied or its audit record was dropped.
    pub fn find_outcome(&self, order: OrderId) -> Option<OrderOutcome> {
        let mut newest_first = self.audit.iter().rev();
        let record = newest_first.find(|record| record.order == order)?;
        Some(record.outcome)
    }

    /// Applies the order at a log index and records its outcome. An order that was applied before has no effect.
    pub fn apply(&mut self, order: EvacuationOrder, index: u64) -> OrderOutcome {
        if let Some(outcome) = self.find_outcome(order.id) {
            return outcome;
        }
        let is_evacuated = self.in_force.contains_key(&order.hall);
        let changed_at = self.changed_at.get(&order.hall).copied().unwrap_or(0);
        let outcome = decide_outcome(&order, is_evacuated, changed_at);
        if outcome == OrderOutcome::Taken {
            self.apply_change(&order, index);
        }
        self.add_audit_record(order, outcome, index);
        outcome
    }

    fn apply_change(&mut self, order: &EvacuationOrder, index: u64) {
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

    fn add_audit_record(&mut self, order: EvacuationOrder, outcome: OrderOutcome, index: u64) {
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
