//! Orders of operators and the commands in the log.
//!
//! They are encoded with postcard: the order of fields and variants must not change.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

/// Number that the operator gives to a wave.
pub type WaveNumber = u64;
/// Name of a box, which its upkeep does not change.
pub type BoxName = String;

/// An operator's order for a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveOrder {
    /// Number of the wave.
    pub wave: WaveNumber,
    /// The boxes of the wave.
    pub boxes: BTreeSet<BoxName>,
    /// Time within which the upkeep of all boxes must begin.
    pub span: Duration,
    /// How many boxes may be down at once.
    pub most_down: u32,
    /// Name of the control process that received the order.
    pub source: String,
    /// When the control process received the order, by its wall clock.
    pub received_at: UnixTime,
}

impl WaveOrder {
    /// Returns whether another order requests the same. The receiver and the time of receipt are ignored.
    pub fn has_same_content(&self, other: &Self) -> bool {
        let parameters = |order: &Self| (order.wave, order.span, order.most_down);
        parameters(self) == parameters(other) && self.boxes == other.boxes
    }
}

/// A change to the state. The order of the variants is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpkeepCommand {
    /// Start a wave.
    Order(WaveOrder),
    /// An upkeep call for a box is about to be sent and may take effect from now on.
    Call {
        /// The wave.
        wave: WaveNumber,
        /// The box.
        name: BoxName,
    },
    /// The upkeep of a box has begun, according to the answer to a call or to the list.
    Begun {
        /// The wave.
        wave: WaveNumber,
        /// The box.
        name: BoxName,
    },
    /// A box is up again after its upkeep.
    Back {
        /// The wave.
        wave: WaveNumber,
        /// The box.
        name: BoxName,
    },
    /// A box has left the installation for good.
    Gone {
        /// The wave.
        wave: WaveNumber,
        /// The box.
        name: BoxName,
    },
    /// The upkeep calls for a box were refused, and none can still take effect. The box is called again later.
    Refused {
        /// The wave.
        wave: WaveNumber,
        /// The box.
        name: BoxName,
    },
}

/// Tells a guard to stop offering its target for a while. The hold expires unless the message is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHold {
    /// Incarnation of the target to hold.
    pub incarnation: String,
    /// Duration of the hold from the arrival of the message, in milliseconds; 0 ends the hold.
    pub for_ms: u32,
}
