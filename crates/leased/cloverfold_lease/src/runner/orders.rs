//! Orders of a runner to its target.
//!
//! They are independent of the wire format, which the package that calls targets owns.
//!
//! Every order names the target and carries a fencing token. A target of another name refuses it, and so does an incarnation that has seen
//! a higher fencing token. Another incarnation under the same name executes it (`target_restart`).

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::TaskId;
use crate::runner::incarnation_id::IncarnationId;
use crate::timings::TargetTime;

/// Order to start a run, which also extends the lease.
///
/// A retry has the same deadline, and the target acknowledges a run that it already has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The addressed incarnation of the target; the call names only the target.
    pub incarnation: IncarnationId,
    /// Host and port of the target.
    pub address: String,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// The work description that the target executes; opaque here.
    pub spec: String,
    /// On the target's clock, in milliseconds: the target refuses to start the run after this, and extends its lease to it.
    pub deadline: TargetTime,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Timeout of the call.
    pub timeout: Duration,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The addressed incarnation of the target; the call names only the target.
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

/// Order to extend the lease, forget the ends up to a number, and list the running and ended runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// The addressed incarnation of the target; the call names only the target.
    pub incarnation: IncarnationId,
    /// Host and port of the target.
    pub address: String,
    /// New end of the lease on the target's clock, in milliseconds; `None` leaves the lease unchanged.
    pub deadline: Option<TargetTime>,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// Number of the newest acknowledged end; the target need not list it or earlier ones any more.
    pub last_acknowledged_end: u64,
    /// How long the target may hold the call open until a run ends (long polling).
    pub poll_timeout: Duration,
    /// Timeout of the call, including `poll_timeout`.
    pub timeout: Duration,
    /// When it was sent, on the runner's clock.
    pub sent_at: Timestamp,
}
