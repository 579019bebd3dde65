//! Messages between replicas, and from an operator to a replica.
//!
//! The postcard encoding depends on the order of fields and variants.

use cloverfold_claims_core::{
    ClaimRequest, GuardReport, Placement, RecoveryPage, RecoveryState, ReplicaReply, Submission,
    SubmissionKey,
};
use cloverfold_net::Message;
use serde::{Deserialize, Serialize};

/// A request to one replica of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimCall {
    /// The submission.
    pub submission: Submission,
    /// The request.
    pub request: ClaimRequest,
    /// The sender's newest report, included to save a message.
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

/// Requests a page of the records that the receiver shares with a restarted guard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoverCall {
    /// The requesting guard and its new incarnation.
    pub asking: Placement,
    /// The last key of the previous page.
    pub after: Option<SubmissionKey>,
}

impl Message for RecoverCall {
    const KIND: u16 = 11;
    const NAME: &'static str = "recover";
    type Reply = RecoveryPage;
}

/// Requests the recovery state of a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoveryStateCall;

/// Recovery state of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryStateReport {
    /// The replica and its current incarnation.
    pub own: Placement,
    /// Its recovery state.
    pub standing: RecoveryState,
    /// Number of its records.
    pub records: u64,
}

impl Message for RecoveryStateCall {
    const KIND: u16 = 12;
    const NAME: &'static str = "standing";
    type Reply = RecoveryStateReport;
}

/// Declares that these incarnations are the first of their guards.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BootstrapCall {
    /// The guards with their incarnations.
    pub incarnations: Vec<Placement>,
}

impl Message for BootstrapCall {
    const KIND: u16 = 13;
    const NAME: &'static str = "found";
    /// Whether the replica's records are complete afterwards.
    type Reply = bool;
}
