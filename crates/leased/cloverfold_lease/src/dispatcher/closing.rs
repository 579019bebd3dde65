//! Closing of jobs.
//!
//! A closed job may leave detached runs behind, which were told to stop but may not have ended. No task with the same ID is started before
//! the detached run has ended. `run_ends` and `sessions` remove detached runs.

use crate::dispatcher::Dispatcher;
use crate::dispatcher::actions::DispatcherAction;
use crate::dispatcher::answers::JobAnswer;
use crate::dispatcher::job::{JobNumber, TaskPhase, TaskPosition};
use crate::messages::{DispatcherMessage, SessionId};

/// A run of a closed job that may not have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DetachedRun {
    /// The run is assigned to a runner, which will report its end.
    Assigned {
        /// The session with the runner.
        session: SessionId,
        /// The run.
        run: u64,
    },
    /// The session was lost; the run has ended when the lost session is released.
    Uncertain,
}

impl DetachedRun {
    /// Returns the run that a task in this phase leaves behind when its job is closed, if any.
    fn from_phase(phase: TaskPhase) -> Option<Self> {
        match phase {
            TaskPhase::Assigned { session, run, .. } => Some(Self::Assigned { session, run }),
            TaskPhase::Uncertain => Some(Self::Uncertain),
            TaskPhase::Blocked | TaskPhase::Waiting | TaskPhase::Unrecorded | TaskPhase::Done => {
                None
            }
        }
    }
}

impl Dispatcher {
    /// Closes a job and answers its caller.
    pub(super) fn finish_job(&mut self, number: JobNumber, answer: JobAnswer) {
        self.close_job(number);
        self.answer(number, answer);
    }

    /// Asks the process to answer a submission.
    pub(super) fn answer(&mut self, number: JobNumber, answer: JobAnswer) {
        self.actions.push(DispatcherAction::Answer(number, answer));
    }

    /// Removes a job and withdraws its runs.
    pub(super) fn close_job(&mut self, number: JobNumber) {
        let task_count = self.jobs.get(&number).map_or(0, |job| job.tasks.len());
        for index in 0..task_count {
            self.withdraw_task(TaskPosition { job: number, index });
        }
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        self.waiting.remove(&job.queue_position(number));
        if self.open_jobs_by_name.get(&job.request.id) == Some(&number) {
            self.open_jobs_by_name.remove(&job.request.id);
        }
        for task in job.tasks {
            if let Some(run) = DetachedRun::from_phase(task.phase()) {
                self.detached_runs.insert(task.id, run);
            }
        }
    }

    /// Tells the runner of a task to stop its run. The task remains assigned until the runner reports the end of the run.
    pub(super) fn withdraw_task(&mut self, position: TaskPosition) {
        let Some(job) = self.jobs.get_mut(&position.job) else {
            return;
        };
        let Some((session, run)) = job.mark_withdrawn(position.index) else {
            return;
        };
        let message = DispatcherMessage::Withdraw {
            run,
            task: job.tasks[position.index].id.clone(),
        };
        self.counts.withdrawn += 1;
        self.actions.push(DispatcherAction::Send(session, message));
    }
}
