//! What a runner asks of the process around it.
//!
//! Separates the decisions, which do no I/O, from the guard process, which does. Owns nothing. Relies on the messages and on the orders to the target.

use cloverfold_kept_jobs::TaskEnd;

use crate::messages::{RunnerMessage, SessionId};
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::orders::{StartOrder, StopOrder};

/// One thing that the process around a runner has to do, in the order in which they are returned.
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
    /// Record the end of a kept run; [`Runner::receive_end_decision`](crate::Runner::receive_end_decision) takes the decision.
    RecordEnd(TaskEnd),
    /// Renew the lease at once instead of waiting for the next regular renewal.
    RenewNow,
    /// Log that an incarnation beside the known target was asked for, and whether it lives.
    ReportIncarnation {
        /// Which one.
        incarnation: IncarnationId,
        /// Whether it lives and is the target now; otherwise it is ignored from now on.
        is_living: bool,
    },
}
