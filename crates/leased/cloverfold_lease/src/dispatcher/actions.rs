//! Actions that a dispatcher requests from its process.
//!
//! [`Dispatcher::take_actions`](crate::Dispatcher::take_actions) returns them, to be carried out in order.

use cloverfold_kept_jobs::{EndOutcome, TaskIndex};

use crate::dispatcher::answers::JobAnswer;
use crate::dispatcher::events::DispatcherEvent;
use crate::dispatcher::job::JobNumber;
use crate::messages::{DispatcherMessage, SessionId};

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherAction {
    /// Send a message to a runner.
    Send(SessionId, DispatcherMessage),
    /// Close the link of a session whose runner is silent.
    CloseSession(SessionId),
    /// Answer a submission.
    Answer(JobNumber, JobAnswer),
    /// Release a kept job to its group, which knows the recorded progress: the outcome of a run was lost with a session.
    ReleaseJob(JobNumber),
    /// Note the end of a run of a kept job.
    ObserveEnd {
        /// The job.
        job: JobNumber,
        /// Index of the task among all tasks of the job.
        task: TaskIndex,
        /// The run.
        run: u64,
        /// The outcome of the run.
        outcome: EndOutcome,
    },
    /// Log a decision for operators.
    Report(DispatcherEvent),
}
