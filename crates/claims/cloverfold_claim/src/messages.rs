//! Messages between replicas, and from an operator to a replica.
//!
//! Encoded with postcard, by the order of fields and variants.

use cloverfold_claims_core::{
    ClaimRequest, GuardReport, Placement, RecoveryPage, RecoveryState, ReplicaReply, Submission,
    SubmissionKey,
};
use cloverfold_net::Message;
use serde::{Deserialize, Serialize};

/// A request to one replica of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimCall {
    /// Which submission it concerns.
    pub submission: Submission,
    /// What is asked.
    pub request: ClaimRequest,
    /// The sender's newest report, sent along to save a message.
    pub guard_report: Option<GuardReport>,
}

/// A replica's reply with the report of its guard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The reply.
    pub reply: ReplicaReply,
    /// The newest report of the replica's guard.
    pub guard_report: Option<GuardReport>,
}

impl Message for ClaimCall {
    const KIND: u16 = 10;
    const NAME: &'static str = "claim";
    type Reply = ClaimAnswer;
}

/// Asks for the records that a restarted guard shares with the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoverCall {
    /// The asking guard in its new incarnation.
    pub asking: Placement,
    /// The last key of the page before.
    pub after: Option<SubmissionKey>,
}

impl Message for RecoverCall {
    const KIND: u16 = 11;
    const NAME: &'static str = "recover";
    type Reply = RecoveryPage;
}

/// Asks a replica for its standing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoveryStateCall;

/// The standing of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryStateReport {
    /// The replica in its present incarnation.
    pub own: Placement,
    /// Its standing.
    pub standing: RecoveryState,
    /// Number of records it holds.
    pub records: u64,
}

impl Message for RecoveryStateCall {
    const KIND: u16 = 12;
    const NAME: &'static str = "standing";
    type Reply = RecoveryStateReport;
}

/// Declares the named incarnations to be the first of their guards.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BootstrapCall {
    /// The guards with their incarnations.
    pub incarnations: Vec<Placement>,
}

impl Message for BootstrapCall {
    const KIND: u16 = 13;
    const NAME: &'static str = "found";
    /// Whether the replica is whole afterwards.
    type Reply = bool;
}
