//! Orders of a runner to its target.
//!
//! Separates the decisions from the package that speaks to targets, which owns the wire format. Owns no state.
//!
//! Every order names the target that is meant and carries a fencing token; a target of another name refuses it, and so does an incarnation that has
//! seen a higher fencing token. Another incarnation under the same name carries it out (`succession`).

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::TaskId;
use crate::runner::incarnation_id::IncarnationId;
use crate::timings::TargetTime;

/// Order to start a run, which also extends the lease.
///
/// Sent again it has the same deadline, and the target acknowledges a run that it already has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The incarnation of the target that is meant; the target is called by its name alone.
    pub incarnation: IncarnationId,
    /// Host and port of the target.
    pub address: String,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// The work description that the target executes; opaque here.
    pub spec: String,
    /// On the target's clock, in milliseconds: it refuses to start later than this, and extends its lease to it.
    pub deadline: TargetTime,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// How many times this start was sent, this one included.
    pub attempt: u32,
    /// Timeout of the call.
    pub timeout: Duration,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The incarnation of the target that is meant; the target is called by its name alone.
    pub incarnation: IncarnationId,
    /// Host and port of the target.
    pub address: String,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// Timeout of the call.
    pub timeout: Duration,
}

/// Order to extend the lease, forget the ends up to a number, and list what runs and what has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// The incarnation of the target that is meant; the target is called by its name alone.
    pub incarnation: IncarnationId,
    /// Host and port of the target.
    pub address: String,
    /// New end of the lease on the target's clock, in milliseconds; none leaves it as it is.
    pub deadline: Option<TargetTime>,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// Number of the newest end that was processed; the target need not list it and earlier ones any more.
    pub last_acknowledged_end: u64,
    /// How long the target may wait for an end before it answers.
    pub wait: Duration,
    /// Timeout of the call, including `wait`.
    pub timeout: Duration,
    /// When it was sent, on the runner's clock.
    pub sent_at: Timestamp,
}
