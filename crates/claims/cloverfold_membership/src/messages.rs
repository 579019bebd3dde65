//! Messages between processes about the guards of their cell.
//!
//! Encoded with postcard, by the order of fields.

use cloverfold_claims_core::GuardReport;
use cloverfold_net::Message;
use serde::{Deserialize, Serialize};

/// What the sender knows of the cell's guards; answered with what the receiver knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The newest report of each guard that the sender knows.
    pub reports: Vec<GuardReport>,
}

impl Message for Heartbeat {
    const KIND: u16 = 1;
    const NAME: &'static str = "heartbeat";
    type Reply = Vec<GuardReport>;
}

/// Tells a guard to stop as planned: it accepts no new work, ends what is in flight, and exits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Leave;

impl Message for Leave {
    const KIND: u16 = 2;
    const NAME: &'static str = "leave";
    type Reply = ();
}
