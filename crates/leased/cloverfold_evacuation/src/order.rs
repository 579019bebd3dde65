//! Decision: what becomes of an order to evacuate a data hall or to take it back.
//!
//! | the hall | outcome |
//! |---|---|
//! | is as the order wants it | `Repeated`: nothing changes |
//! | is otherwise, and was changed after the revision that the order is based on | `Outdated`: nothing changes |
//! | is otherwise | `Taken` |
//!
//! Inputs: the order, the hall's state and last change, as of the order's place in the log.
//!
//! Reason: the order that was taken last holds. An order that was held up between processes must not undo a later one: it names the
//! revision that its receiver knew, and is outdated if the hall has changed since. Its receiver then submits it again with what it
//! knows by now, as long as the operator waits. An operator who sends an old order again after the opposite one was taken gives a new
//! order: the two cannot be told apart (docs/design/10-evacuations.md).

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::evacuated_halls::{DataHall, EvacuationRevision};

/// Number of an order, drawn at random by the control process that received it.
pub type OrderId = u64;

/// What an order wants. The order of the variants is the format on disk and on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HallChange {
    /// No task starts in the hall any more.
    Evacuate,
    /// Tasks start there again.
    TakeBack,
}

impl HallChange {
    /// Returns the name that log lines and the audit trail use; it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Evacuate => "Evacuate",
            Self::TakeBack => "TakeBack",
        }
    }
}

/// An order of an operator. The order of the fields is the format on disk and on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Its number.
    pub id: OrderId,
    /// The data hall.
    pub hall: DataHall,
    /// What is to become of it.
    pub change: HallChange,
    /// The revision that the receiving control process knew when it submitted the order.
    pub based_on: EvacuationRevision,
    /// Name of the control process that received it.
    pub source: String,
    /// When it received it, by its wall clock.
    pub received_at: UnixTime,
}

/// What became of an order. The order of the variants is the format on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The hall has changed.
    Taken,
    /// The hall was as wanted already.
    Repeated,
    /// The hall was changed after the order was submitted; nothing changes.
    Outdated,
}

impl OrderOutcome {
    /// Returns the name that log lines and the audit trail use; it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "Taken",
            Self::Repeated => "Repeated",
            Self::Outdated => "Outdated",
        }
    }
}

/// Returns what becomes of an order whose hall `is_evacuated` or not, and was `changed_at` a revision last, 0 if never.
pub(crate) fn judge_order(
    order: &EvacuationOrder,
    is_evacuated: bool,
    changed_at: EvacuationRevision,
) -> OrderOutcome {
    let is_as_wanted = is_evacuated == (order.change == HallChange::Evacuate);
    if is_as_wanted {
        OrderOutcome::Repeated
    } else if changed_at > order.based_on {
        OrderOutcome::Outdated
    } else {
        OrderOutcome::Taken
    }
}
