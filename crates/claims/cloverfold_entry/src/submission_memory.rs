//! Memory of the submissions that an entry receives or has in flight.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_http::{
    BodyError, BudgetLimits, Connection, ConnectionBudget, HeldMemory, NoMemory, Phase, read_body,
};
use http_body_util::BodyExt;
use tokio::time::timeout;

/// Memory of a submission apart from its body, in bytes.
const SUBMISSION_BYTES: usize = 8 * 1024;

/// Why the body of a submission was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    Body(BodyError),
    TooSlow,
}

impl From<NoMemory> for ReadError {
    fn from(_: NoMemory) -> Self {
        Self::Body(BodyError::NoMemory)
    }
}

/// A submission whose body is read; its memory is held until it is dropped.
pub(crate) struct ReceivedSubmission {
    pub(crate) body: Bytes,
    /// Memory of the tasks, which are copied from the body.
    _tasks: HeldMemory,
    _connection: Arc<Connection>,
}

/// The budget of all submissions of an entry.
#[derive(Clone, Debug)]
pub(crate) struct SubmissionMemory {
    budget: ConnectionBudget,
}

impl SubmissionMemory {
    /// Creates the budget of at most `in_flight` submissions.
    pub(crate) fn new(in_flight: usize, bytes: usize) -> Self {
        let limits = BudgetLimits {
            connections: in_flight,
            bytes,
        };
        Self {
            budget: ConnectionBudget::new("http_address", limits),
        }
    }

    /// Reads the body of a submission; gives it up if it makes no progress while others need the memory.
    pub(crate) async fn receive(
        &self,
        body: volo_http::body::Body,
        max_bytes: usize,
        read_timeout: Duration,
    ) -> Result<ReceivedSubmission, ReadError> {
        let connection = Arc::new(self.budget.open(SUBMISSION_BYTES).await?);
        connection.enter(Phase::Receiving);
        let reporter = connection.clone();
        let body = body.map_frame(move |frame| {
            reporter.record_received(frame.data_ref().map_or(0, Bytes::len));
            frame
        });
        let body = Box::pin(body);
        let reading = timeout(read_timeout, read_body(body, max_bytes, &connection));
        let body = tokio::select! {
            read = reading => match read {
                Ok(read) => read.map_err(ReadError::Body)?,
                Err(_) => return Err(ReadError::TooSlow),
            },
            () = connection.wait_closed() => return Err(NoMemory.into()),
        };
        connection.begin_handling()?;
        let tasks = connection.hold(body.len()).await?;
        Ok(ReceivedSubmission {
            body,
            _tasks: tasks,
            _connection: connection,
        })
    }
}
