//! Kept jobs: how an entry's dispatcher begins and ends to drive one, and how they wait.
//!
//! A kept job is placed like any other (`placement`, `precedence`, `judging`) but has no queue deadline and is never given up, shed or
//! cancelled here: only its runs end it, or [`Dispatcher::stop_driving`], which its driver orders. Its runs are numbered from the epoch, so
//! that each run of a later driver is a later one, and go only to runners whose build records their ends.
//!
//! Decision: what follows when a session is lost with runs of a kept job. Rule: once they are over, the job is given back to its group
//! ([`DispatcherAction::HandBack`]), to be driven in another epoch.
//!
//! Inputs: the lost session.
//!
//! Reason: the runner may have recorded an end `Done` that this dispatcher has not heard of. A task that is done must not begin again;
//! an epoch begins with all that is recorded, and nothing of an earlier one is recorded after it. Found by the simulated world.
//!
//! Decision: which kept jobs are passed over in one pass over the queue. Rule: those of a service of which no target accepts work; those
//! whose next task is as large as one that found no target in this pass and no more urgent; all once [`MAX_TRIED`] have found none. None of them counts among the
//! jobs that best-effort work may overtake.
//!
//! Inputs: the waiting jobs in order, the targets.
//!
//! Reason: a kept job may wait for hours, and a few that fit nowhere must not hold up all others, nor may thousands be tried at each
//! message.
//!
//! Owns [`KeptJob`] and [`BlockedKeptJobs`].

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndOutcome, Epoch, TaskIndex, TaskProgress, first_run_of};

use crate::dispatcher::Dispatcher;
use crate::dispatcher::actions::DispatcherAction;
use crate::dispatcher::answers::JobAnswer;
use crate::dispatcher::job::{Job, JobNumber, Task, TaskPhase, TaskPosition};
use crate::messages::{RunOutcome, SessionId};
use crate::request::{JobRequest, StepRequest};

/// Kept jobs without a target that are tried in one pass. Four times as many as of best-effort jobs, since those that fit nowhere
/// stay.
const MAX_TRIED: usize = 16;

/// A kept job as its driver gives it to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptJob {
    /// What is to be run.
    pub request: JobRequest,
    /// The epoch in which this entry drives it.
    pub epoch: Epoch,
    /// What is recorded of its tasks; those without a recorded end are left out.
    pub progress: Vec<(TaskIndex, TaskProgress)>,
}

/// What a kept job asked for that found no target.
#[derive(Debug)]
struct BlockedShape {
    service: String,
    priority: u32,
    step: StepRequest,
}

impl BlockedShape {
    /// Returns whether a job that asks for this would find no target either: it is as large, and no more urgent.
    fn implies(&self, request: &JobRequest, step: &StepRequest) -> bool {
        self.service == request.service
            && self.priority <= request.priority
            && self.step.required_label == step.required_label
            && step.demand.covers(&self.step.demand)
    }
}

/// The kept jobs that found no target in one pass over the queue.
#[derive(Debug, Default)]
pub(super) struct BlockedKeptJobs {
    tried: usize,
    shapes: Vec<BlockedShape>,
}

impl BlockedKeptJobs {
    fn has(&self, request: &JobRequest, step: &StepRequest) -> bool {
        let mut shapes = self.shapes.iter();
        self.tried >= MAX_TRIED || shapes.any(|shape| shape.implies(request, step))
    }

    fn record(&mut self, request: &JobRequest, step: &StepRequest) {
        self.tried += 1;
        // A job that may not have two tasks at one target may be held up by its own tasks alone.
        if step.max_per_target.is_none() {
            self.shapes.push(BlockedShape {
                service: request.service.clone(),
                priority: request.priority,
                step: step.clone(),
            });
        }
    }
}

impl Dispatcher {
    /// Drives a kept job from now on, and returns its number. What is recorded as done is not run again, and recorded failures count.
    /// [`DispatcherAction::Answer`](crate::DispatcherAction::Answer) says that all of it has ended.
    pub fn drive(&mut self, kept: KeptJob, now: Timestamp) -> JobNumber {
        self.give_up_after_stall(now);
        if let Some(&earlier) = self.open_jobs_by_name.get(&kept.request.id) {
            self.finish_job(earlier, JobAnswer::GivenUp);
        }
        let number = self.next_job_number();
        let (queue, priority) = (&kept.request.queue, kept.request.priority);
        self.shares.record_submission(queue, priority, now);
        self.open_jobs_by_name
            .insert(kept.request.id.clone(), number);
        let job = resume(kept, now);
        if job.has_waiting() {
            self.waiting.insert(job.queue_position(number));
        }
        self.jobs.insert(number, job);
        self.kept_jobs += 1;
        self.place_waiting(now);
        number
    }

    /// Drives a kept job no more: its runs are withdrawn, and those that are not certainly over keep blocking the names of its tasks. Does
    /// nothing if it has ended.
    pub fn stop_driving(&mut self, number: JobNumber) {
        self.close_job(number);
    }

    /// A task of a kept job whose run was lost with its session is over, and may have been recorded as done: it is not run again in this
    /// epoch, and its job is given back.
    pub(super) fn hand_back(&mut self, position: TaskPosition) {
        if let Some(task) = self.task_mut(position) {
            task.phase = TaskPhase::Unrecorded;
            self.actions.push(DispatcherAction::HandBack(position.job));
        }
    }

    /// Tells the process of an end of a kept run that counts.
    pub(super) fn observe_kept_end(
        &mut self,
        position: TaskPosition,
        run: u64,
        outcome: RunOutcome,
    ) {
        let outcome = match outcome {
            RunOutcome::Done => EndOutcome::Done,
            RunOutcome::Failed => EndOutcome::Failed,
            _ => return,
        };
        if self.jobs.get(&position.job).is_some_and(Job::is_kept) {
            self.actions.push(DispatcherAction::ObserveEnd {
                job: position.job,
                task: position.index as TaskIndex,
                run,
                outcome,
            });
        }
    }

    /// Counts a run of a kept job that was ended as too slow or stuck.
    pub(super) fn record_late_run(&mut self, position: TaskPosition) {
        if let Some(job) = self.jobs.get_mut(&position.job) {
            job.record_late_run(position.index);
        }
    }

    /// Returns whether a run of a job may be at work; `false` for one that is closed.
    pub fn has_open_runs(&self, number: JobNumber) -> bool {
        let job = self.jobs.get(&number);
        let is_out = |task: &Task| {
            matches!(
                task.phase,
                TaskPhase::Assigned { .. } | TaskPhase::Uncertain
            )
        };
        job.is_some_and(|job| job.tasks.iter().any(is_out))
    }

    /// Returns whether a run of a closed job of this name may be at work.
    pub fn has_detached_runs(&self, id: &str) -> bool {
        self.detached_runs.keys().any(|task| task.job == id)
    }

    /// Returns whether a task of an open job runs, has run, or may yet do either.
    pub fn has_begun(&self, number: JobNumber) -> bool {
        self.jobs.get(&number).is_some_and(Job::may_have_run)
    }

    /// Records that the runner's build can read assignments of kept jobs.
    pub fn set_supports_kept_jobs(&mut self, session: SessionId) {
        if let Some(runner) = self.sessions.get_mut(&session) {
            runner.knows_kept_jobs = true;
        }
    }

    /// Returns whether a job is passed over in this pass: it is kept, and what is like it found no target.
    pub(super) fn is_blocked(
        &self,
        number: JobNumber,
        blocked: &BlockedKeptJobs,
        now: Timestamp,
    ) -> bool {
        if self.kept_jobs == 0 {
            return false;
        }
        let Some(job) = self.jobs.get(&number).filter(|job| job.is_kept()) else {
            return false;
        };
        let Some(step) = next_step(job) else {
            return false;
        };
        blocked.has(&job.request, step) || !self.has_target_of(&job.request.service, now)
    }

    /// Records that a job found no target; returns whether it is kept.
    pub(super) fn record_blocked(&self, number: JobNumber, blocked: &mut BlockedKeptJobs) -> bool {
        let Some(job) = self.jobs.get(&number).filter(|job| job.is_kept()) else {
            return false;
        };
        if let Some(step) = next_step(job) {
            blocked.record(&job.request, step);
        }
        true
    }

    /// Returns whether a target of a service accepts work.
    pub(super) fn has_target_of(&self, service: &str, now: Timestamp) -> bool {
        let mut runners = self.sessions.values();
        runners.any(|runner| runner.accepts_work(now) && runner.serves(service))
    }
}

/// Returns the step of the first task that waits.
fn next_step(job: &Job) -> Option<&StepRequest> {
    let waits = |task: &&Task| task.phase == TaskPhase::Waiting;
    let task = job.tasks.iter().find(waits)?;
    Some(job.step(task))
}

/// Makes a job of what is recorded of it.
fn resume(kept: KeptJob, now: Timestamp) -> Job {
    let first_run = first_run_of(kept.epoch);
    let mut job = Job::new(kept.request, false, first_run, now);
    job.epoch = Some(kept.epoch);
    job.has_run = !kept.progress.is_empty();
    for (index, progress) in kept.progress {
        let Some(task) = job.tasks.get_mut(index as usize) else {
            continue;
        };
        task.failures = progress.failures;
        if progress.is_done {
            task.phase = TaskPhase::Done;
        }
    }
    job.unblock_steps();
    job
}
