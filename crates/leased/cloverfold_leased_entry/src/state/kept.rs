//! Kept jobs at an entry: callers' calls to the groups, and the jobs that it drives.
//!
//! Translates between the driver, which decides what is driven, and the dispatcher, which decides where. Changes the driver, the dispatcher
//! and the pairs of their names in [`EntryState`], and owns the channels on which callers wait for groups.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CallAnswer, CallToken, DriverAction, EndOutcome, Epoch, GroupId, JobAssignment, JobId, NewJob,
    StopCause, TaskEnd, TaskIndex,
};
use cloverfold_lease::{JobAnswer, JobNumber, JobRefusal, JobRequest, KeptJob};
use cloverfold_peer::{has_group_link, send_group_call};
use tokio::sync::oneshot;

use super::EntryState;
use crate::driven_jobs::DrivenJob;
use crate::event_log::{log_driven, log_not_driven, log_undrivable};
use crate::kept_body::KeptBody;
use crate::protocol::ParsedJob;

/// Where the answer of a group comes.
pub(crate) type GroupAnswer = oneshot::Receiver<CallAnswer>;

impl EntryState {
    /// Returns why a kept job is not submitted, if there is a reason.
    pub(crate) fn find_kept_refusal(&self, request: &JobRequest) -> Option<JobRefusal> {
        self.dispatcher.find_kept_refusal(request, self.clock.now())
    }

    /// Submits a job to its group; its caller's disconnect changes nothing.
    pub(crate) fn submit_kept(&mut self, job: NewJob, limit: Duration) -> GroupAnswer {
        let now = self.clock.now();
        let token = self.driver.submit(job, now + limit, now);
        self.await_group(token)
    }

    /// Asks how far a job is.
    pub(crate) fn show_kept(&mut self, id: &str, limit: Duration) -> GroupAnswer {
        let now = self.clock.now();
        let token = self.driver.show(id, now + limit, now);
        self.await_group(token)
    }

    /// Cancels a job.
    pub(crate) fn cancel_kept(&mut self, id: &str, limit: Duration) -> GroupAnswer {
        let now = self.clock.now();
        let token = self.driver.cancel(id, now + limit, now);
        self.await_group(token)
    }

    /// Asks every group how many jobs of a queue have not begun.
    pub(crate) fn count_kept(&mut self, queue: &str, limit: Duration) -> Vec<GroupAnswer> {
        let now = self.clock.now();
        let groups: std::ops::Range<GroupId> = 0..self.driver.group_count();
        groups
            .map(|group| {
                let token = self.driver.count_pending(group, queue, now + limit, now);
                self.await_group(token)
            })
            .collect()
    }

    /// Returns how many groups there are; 0 while that is not known.
    pub(crate) fn group_count(&self) -> u32 {
        self.driver.group_count()
    }

    /// Returns whether jobs may be kept though this entry does not know the groups yet.
    pub(crate) fn awaits_groups(&self) -> bool {
        self.driver.group_count() == 0 && has_group_link(&self.links)
    }

    /// Returns whether a kept job of this name is driven here.
    pub(crate) fn drives(&self, id: &str) -> bool {
        self.driver.driven_epoch(id).is_some()
    }

    /// Returns how many kept jobs are driven here, those included whose end is not confirmed.
    pub(crate) fn driven_jobs(&self) -> usize {
        self.driver.driven_count()
    }

    /// Returns how many groups this entry has a lease of.
    pub(crate) fn valid_leases(&self) -> usize {
        self.driver.valid_lease_count(self.clock.now())
    }

    /// Takes no further kept job, and hands on those of which nothing runs.
    pub(super) fn hand_on_idle_jobs(&mut self) {
        self.driver.stop_taking_jobs();
        let unfinished = self.driver.unfinished_jobs();
        let idle = unfinished.into_iter().filter(|id| self.is_idle(id));
        let idle: Vec<(JobId, bool)> = idle.map(|id| (id, true)).collect();
        self.driver.release(&idle, self.clock.now());
        self.advance();
    }

    /// Hands on all kept jobs, whether anything of them runs or not.
    pub(crate) fn hand_on_all_jobs(&mut self) {
        let unfinished = self.driver.unfinished_jobs();
        let jobs = unfinished.into_iter().map(|id| {
            let is_clean = self.is_idle(&id);
            (id, is_clean)
        });
        let jobs: Vec<(JobId, bool)> = jobs.collect();
        self.driver.release(&jobs, self.clock.now());
        self.advance();
    }

    /// Returns whether no kept job is driven here and all that were handed on have arrived.
    pub(crate) fn has_handed_on(&self) -> bool {
        self.driver.is_empty()
    }

    /// Returns whether no run of a job may be at work.
    fn is_idle(&self, id: &str) -> bool {
        let number = self.driven.number(id);
        let has_open = number.is_some_and(|number| self.dispatcher.has_open_runs(number));
        !has_open && !self.dispatcher.has_detached_runs(id)
    }

    fn await_group(&mut self, token: CallToken) -> GroupAnswer {
        let (tx, rx) = oneshot::channel();
        self.group_callers.insert(token, tx);
        self.advance();
        rx
    }

    /// Drives nothing whose lease has lapsed; called before anything else may begin a run.
    pub(super) fn check_driver_leases(&mut self, now: Timestamp) {
        self.driver.expire_leases(now);
        self.carry_out_driver();
    }

    /// Does what of kept jobs has fallen due.
    pub(super) fn tick_driver(&mut self, now: Timestamp) {
        let dispatcher = &self.dispatcher;
        for id in self
            .driven
            .take_begun(|number| dispatcher.has_begun(number))
        {
            self.driver.record_begun(&id);
        }
        self.driver.tick(now);
    }

    /// Carries out what the driver has decided on; returns whether there was anything.
    pub(super) fn carry_out_driver(&mut self) -> bool {
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
                    if let Some(caller) = self.group_callers.remove(&token) {
                        // Harmless: a caller that has disconnected needs no answer.
                        let _ = caller.send(answer);
                    }
                }
            }
        }
        has_any
    }

    /// Gives a job to the dispatcher; one that cannot be read is handed on, to an entry that may be of a later build.
    fn drive(&mut self, order: JobAssignment) {
        let now = self.clock.now();
        let request = match self.read_kept(&order) {
            Ok(request) => request,
            Err(fault) => {
                log_undrivable(&order, &fault);
                self.driver.release(&[(order.job, true)], now);
                return;
            }
        };
        log_driven(&order);
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

    /// Reads a stored job with the queue as it is now.
    fn read_kept(&self, order: &JobAssignment) -> Result<JobRequest, String> {
        let body = KeptBody::decode(&order.body).map_err(|fault| fault.to_string())?;
        let configuration = self.configuration();
        let route = body.route(configuration.as_deref());
        match self.protocol.parse_job(&order.job, &route, &body.text) {
            Ok(ParsedJob::Kept(request)) => Ok(request),
            Ok(ParsedJob::Repeatable(_)) => Err("it need not be kept".into()),
            Ok(ParsedJob::Unsupported(what)) => Err(what.into()),
            Err(fault) => Err(fault.to_string()),
        }
    }

    fn stop_driving(&mut self, job: &JobId, epoch: Epoch, cause: StopCause) {
        log_not_driven(job, epoch, cause);
        if let Some(number) = self.driven.find(job, epoch) {
            self.driven.remove(number);
            self.dispatcher.stop_driving(number);
        }
    }

    /// Gives a job back whose progress only its group knows.
    pub(super) fn hand_back(&mut self, number: JobNumber) {
        if let Some(id) = self.driven.id(number) {
            let is_clean = self.is_idle(&id);
            self.driver.release(&[(id, is_clean)], self.clock.now());
        }
    }

    /// Takes note of the end of a run of a kept job.
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

    /// Records that all of a kept job has ended here; returns whether it is one.
    pub(super) fn finish_kept(&mut self, number: JobNumber, answer: JobAnswer) -> bool {
        let Some(job) = self.driven.remove(number) else {
            return false;
        };
        let is_clean = !self.dispatcher.has_detached_runs(&job.id);
        let outcome = match answer {
            JobAnswer::Completed => "completed",
            _ => "failed",
        };
        log::debug!(job = job.id.as_str(), epoch = job.epoch, outcome; "a kept job has ended here");
        let now = self.clock.now();
        self.driver
            .record_finished(&job.id, job.epoch, is_clean, now);
        true
    }
}
