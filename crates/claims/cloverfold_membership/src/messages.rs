//! Membership messages.
//!
//! The postcard encoding depends on the order of fields.

use cloverfold_claims_core::GuardReport;
use cloverfold_net::Message;
use serde::{Deserialize, Serialize};

/// Sends the reports that the sender knows; the reply contains those that the receiver knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The newest known report of each guard.
    pub reports: Vec<GuardReport>,
}

impl Message for Heartbeat {
    const KIND: u16 = 1;
    const NAME: &'static str = "heartbeat";
    type Reply = Vec<GuardReport>;
}

/// Tells a guard to drain: it accepts no new work, finishes its tasks in flight, and exits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Leave;

impl Message for Leave {
    const KIND: u16 = 2;
    const NAME: &'static str = "leave";
    type Reply = ();
}
