//! Kept jobs of an entry: calls to groups on behalf of callers, and the jobs that it drives.
//!
//! Translates between the driver, which decides which jobs the entry drives, and the dispatcher, which decides where their tasks run.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CallAnswer, CallToken, DriverAction, EndOutcome, Epoch, GroupId, JobAssignment, JobId, NewJob,
    StopCause, TaskEnd, TaskIndex,
};
use cloverfold_lease::{JobAnswer, JobNumber, JobRefusal, JobRequest, KeptJob};
use cloverfold_peer::send_group_call;
use tokio::sync::oneshot;

use super::EntryState;
use crate::driven_jobs::DrivenJob;
use crate::event_log::{log_driving, log_stopped_driving, log_unreadable_job};
use crate::protocol::ParsedJob;
use crate::stored_job::StoredJob;

/// Channel for the reply of a group.
pub(crate) type GroupAnswer = oneshot::Receiver<CallAnswer>;

impl EntryState {
    /// Returns why this entry refuses to submit a kept job; `None` if it does not.
    pub(crate) fn find_kept_refusal(&self, request: &JobRequest) -> Option<JobRefusal> {
        self.dispatcher.find_kept_refusal(request, self.clock.now())
    }

    /// Submits a job to its group; continues even if the caller disconnects.
    pub(crate) fn submit_kept(&mut self, job: NewJob, timeout: Duration) -> GroupAnswer {
        let now = self.clock.now();
        let token = self.driver.submit(job, now + timeout, now);
        self.await_group(token)
    }

    /// Queries the state of a job.
    pub(crate) fn show_kept(&mut self, id: &str, timeout: Duration) -> GroupAnswer {
        let now = self.clock.now();
        let token = self.driver.show(id, now + timeout, now);
        self.await_group(token)
    }

    pub(crate) fn cancel_kept(&mut self, id: &str, timeout: Duration) -> GroupAnswer {
        let now = self.clock.now();
        let token = self.driver.cancel(id, now + timeout, now);
        self.await_group(token)
    }

    /// Queries every group for the number of jobs of a queue that have not started; `None` while the groups are unknown.
    pub(crate) fn count_kept(
        &mut self,
        queue: &str,
        timeout: Duration,
    ) -> Option<Vec<GroupAnswer>> {
        let now = self.clock.now();
        let groups: std::ops::Range<GroupId> = 0..self.driver.group_count()?;
        let answers = groups.map(|group| {
            let token = self.driver.count_pending(group, queue, now + timeout, now);
            self.await_group(token)
        });
        Some(answers.collect())
    }

    /// Returns whether this entry drives a kept job with this ID.
    pub(crate) fn is_driving(&self, id: &str) -> bool {
        self.driver.driven_epoch(id).is_some()
    }

    /// Returns the number of kept jobs that this entry drives, including those whose end is not confirmed.
    pub(crate) fn driven_jobs(&self) -> usize {
        self.driver.driven_count()
    }

    /// Returns the number of groups from which this entry has a valid lease.
    pub(crate) fn valid_leases(&self) -> usize {
        self.driver.valid_lease_count(self.clock.now())
    }

    /// Stops taking kept jobs and releases those without runs.
    pub(super) fn release_idle_jobs(&mut self) {
        self.driver.stop_taking_jobs();
        let unfinished = self.driver.unfinished_jobs();
        let idle = unfinished.into_iter().filter(|id| self.is_idle(id));
        let idle: Vec<(JobId, bool)> = idle.map(|id| (id, true)).collect();
        self.driver.release(&idle, self.clock.now());
        self.advance();
    }

    /// Releases all kept jobs, even those with runs.
    pub(crate) fn release_all_jobs(&mut self) {
        let unfinished = self.driver.unfinished_jobs();
        let jobs = unfinished.into_iter().map(|id| {
            let is_clean = self.is_idle(&id);
            (id, is_clean)
        });
        let jobs: Vec<(JobId, bool)> = jobs.collect();
        self.driver.release(&jobs, self.clock.now());
        self.advance();
    }

    /// Returns whether this entry drives no kept job and all releases are confirmed.
    pub(crate) fn has_released_jobs(&self) -> bool {
        self.driver.is_empty()
    }

    /// Returns whether a job certainly has no runs.
    fn is_idle(&self, id: &str) -> bool {
        let number = self.driven.number(id);
        let has_open = number.is_some_and(|number| self.dispatcher.has_open_runs(number));
        !has_open && !self.dispatcher.has_detached_runs(id)
    }

    fn await_group(&mut self, token: CallToken) -> GroupAnswer {
        let (tx, rx) = oneshot::channel();
        self.group_replies.insert(token, tx);
        self.advance();
        rx
    }

    /// Stops driving jobs whose lease has expired; must be called before anything that may start a run.
    pub(super) fn expire_driver_leases(&mut self, now: Timestamp) {
        self.driver.expire_leases(now);
        self.execute_driver_actions();
    }

    /// Reports started jobs to the driver and runs its due work.
    pub(super) fn tick_driver(&mut self, now: Timestamp) {
        let dispatcher = &self.dispatcher;
        for id in self
            .driven
            .take_started(|number| dispatcher.has_begun(number))
        {
            log::debug!(job = id.as_str(); "kept job has begun");
            self.driver.record_begun(&id);
        }
        self.driver.tick(now);
    }

    /// Executes the pending actions of the driver; returns whether there were any.
    pub(super) fn execute_driver_actions(&mut self) -> bool {
        let actions = self.driver.take_actions();
        let has_any = !actions.is_empty();
        for action in actions {
            match action {
                DriverAction::Send(route, call) => {
                    let token = call.token;
                    if !send_group_call(&self.links, &route, call) {
                        self.driver.record_send_failure(token, self.clock.now());
                    }
                }
                DriverAction::Drive(order) => self.drive(order),
                DriverAction::StopDriving { job, epoch, cause } => {
                    self.stop_driving(&job, epoch, cause);
                }
                DriverAction::Answer(token, answer) => {
                    if let Some(caller) = self.group_replies.remove(&token) {
                        // Fails if the caller has disconnected, which is harmless.
                        let _ = caller.send(answer);
                    }
                }
            }
        }
        has_any
    }

    /// Passes a job to the dispatcher. Releases a job that it cannot read, because another entry may run a later build that can.
    fn drive(&mut self, order: JobAssignment) {
        let now = self.clock.now();
        let request = match self.parse_stored_job(&order) {
            Ok(request) => request,
            Err(error) => {
                log_unreadable_job(&order, &error);
                self.driver.release(&[(order.job, true)], now);
                return;
            }
        };
        log_driving(&order);
        let job = DrivenJob {
            id: order.job,
            epoch: order.epoch,
        };
        let kept = KeptJob {
            request,
            epoch: order.epoch,
            progress: order.progress,
        };
        let number = self.dispatcher.drive(kept, now);
        self.driven.insert(number, job);
    }

    /// Parses a stored job with the current attributes of its queue.
    fn parse_stored_job(&self, order: &JobAssignment) -> Result<JobRequest, String> {
        let stored = StoredJob::decode(&order.body).map_err(|error| error.to_string())?;
        let configuration = self.configuration();
        let route = stored.route(configuration.as_deref());
        match self.protocol.parse_job(&order.job, &route, &stored.text) {
            Ok(ParsedJob::Kept(request)) => Ok(request),
            Ok(ParsedJob::Repeatable(_)) => Err("it need not be kept".into()),
            Ok(ParsedJob::Unsupported(what)) => Err(what.into()),
            Err(error) => Err(error.to_string()),
        }
    }

    fn stop_driving(&mut self, job: &JobId, epoch: Epoch, cause: StopCause) {
        log_stopped_driving(job, epoch, cause);
        if let Some(number) = self.driven.find(job, epoch) {
            self.driven.remove(number);
            self.dispatcher.stop_driving(number);
        }
    }

    /// Releases a job whose progress only its group knows.
    pub(super) fn release_job(&mut self, number: JobNumber) {
        if let Some(id) = self.driven.id(number) {
            let is_clean = self.is_idle(&id);
            self.driver.release(&[(id, is_clean)], self.clock.now());
        }
    }

    /// Reports the end of a run of a kept job to the driver.
    pub(super) fn observe_end(
        &mut self,
        number: JobNumber,
        task: TaskIndex,
        run: u64,
        outcome: EndOutcome,
    ) {
        if let Some(job) = self.driven.get(number) {
            self.driver.observe_end(TaskEnd {
                job: job.id.clone(),
                epoch: job.epoch,
                task,
                run,
                outcome,
            });
        }
    }

    /// Records that a kept job has ended at the dispatcher; returns whether `number` belongs to a kept job.
    pub(super) fn finish_kept(&mut self, number: JobNumber, answer: JobAnswer) -> bool {
        let Some(job) = self.driven.remove(number) else {
            return false;
        };
        let is_clean = !self.dispatcher.has_detached_runs(&job.id);
        let outcome = match answer {
            JobAnswer::Completed => "completed",
            _ => "failed",
        };
        log::debug!(job = job.id.as_str(), epoch = job.epoch, outcome; "kept job ended at its driver");
        let now = self.clock.now();
        self.driver
            .record_finished(&job.id, job.epoch, is_clean, now);
        true
    }
}
