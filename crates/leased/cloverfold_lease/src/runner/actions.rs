//! Actions that a runner returns to its process.
//!
//! The runner does no I/O; the guard process carries the actions out.

use cloverfold_kept_jobs::TaskEnd;

use crate::messages::{RunnerMessage, SessionId};
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::orders::{StartOrder, StopOrder};

/// One action for the process to carry out, in the order in which the actions are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunnerAction {
    /// Send a message to the dispatcher of a session.
    Send(SessionId, RunnerMessage),
    /// Close the link of an expired session; the peer may open a new one.
    CloseSession(SessionId),
    /// Send a start to the target.
    Start(StartOrder),
    /// Send a stop to the target.
    Stop(StopOrder),
    /// Record the end of a kept run; the decision goes to [`Runner::receive_end_decision`](crate::Runner::receive_end_decision).
    RecordEnd(TaskEnd),
    /// Renew the lease immediately instead of waiting out the pause.
    RenewNow,
    /// Log the result of probing an incarnation other than the known target.
    ReportIncarnation {
        /// The probed incarnation.
        incarnation: IncarnationId,
        /// Whether it is alive and has become the target; otherwise it is ignored from now on.
        is_alive: bool,
    },
}
