//! The dispatcher of an entry: accepts jobs and assigns their tasks to targets.
//!
//! There are two kinds of jobs:
//!
//! - A *repeatable* (best-effort) job belongs to the caller that submitted it. It may be refused or given up, and its caller may submit it
//!   again.
//! - A *kept* (durable) job is stored by a group of control processes. It is never given up here; the dispatcher drives it on behalf of its
//!   group until all its tasks have ended or it is told to stop.
//!
//! This module holds the state and the public interface. The rules are in the submodules:
//!
//! - `admission`, `kept_admission`: which jobs are refused or given up; `deadlines`, `standing_queues`: when;
//! - `precedence`, `shares`, `resubmissions`: the order in which waiting jobs are served;
//! - `placement`, `headroom`: which target a task is assigned to; `wait_causes`, `placement_pass`, `target_index`: which jobs need no search;
//!   `evacuation`: which data halls are excluded;
//! - `run_ends`: what follows from the end of a run; `late_runs`: which runs take too long;
//! - `sessions`, `runner_session`: what is known of runners, and when the runs of a lost session have ended;
//! - `stall_recovery`: which timeouts are suspended after a stall of this process;
//! - `kept_jobs`: what is specific to kept jobs; `target_needs`: which targets they need that this entry does not see;
//!   `queue_changes`: open jobs follow the configuration in force;
//! - `closing`: how jobs are closed, and runs that continue after that; `reports`: decisions to be logged; `waiting_jobs`: why jobs wait.
//!
//! The process calls [`Dispatcher::tick`] regularly, carries out the actions in order, and passes on every message and every closed link.

mod actions;
mod admission;
mod answers;
mod backlog;
mod closing;
mod counts;
mod deadlines;
mod evacuation;
mod events;
mod headroom;
mod job;
mod job_memory;
mod kept_admission;
mod kept_jobs;
mod late_runs;
mod phase_counts;
mod placement;
mod placement_pass;
mod precedence;
mod queue_changes;
mod reports;
mod resubmissions;
mod run_ends;
mod runner_session;
mod sessions;
mod shares;
mod stall_recovery;
mod standing_queues;
mod target_index;
mod target_needs;
mod wait_causes;
mod waiting_jobs;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cloverfold_base::Timestamp;
use cloverfold_evacuation::DataHall;
use cloverfold_kept_jobs::{Epoch, TaskIndex};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::health::HealthLimits;
use crate::messages::{Assignment, DispatcherMessage, KeptAssignment, SessionId, TaskId};
use crate::request::JobRequest;
use crate::stall::CatchUp;
use crate::timings::Timings;
pub use actions::DispatcherAction;
pub use answers::{JobAnswer, JobRefusal, RETRY_AFTER};
pub use counts::{DispatcherCounts, RefusedRunCounts};
pub use events::{DispatcherEvent, TargetCounts};
pub use job::JobNumber;
pub use kept_admission::MAX_KEPT_BYTES;
pub use kept_jobs::KeptJob;
pub use queue_changes::QueueAttributes;
pub use waiting_jobs::WaitingJobs;

use closing::DetachedRun;
use job::{Job, QueuePosition, Task, TaskPosition};
use late_runs::DurationRatio;
use resubmissions::ResubmissionDetector;
use runner_session::RunnerSession;
use sessions::LostSession;
use shares::QueueShares;
use standing_queues::StandingQueues;
use target_index::TargetIndex;
use target_needs::TargetNeeds;
use waiting_jobs::WaitingJobsReport;

/// Coordinates the jobs of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    timings: Timings,
    health_limits: HealthLimits,
    rng: SmallRng,
    sessions: BTreeMap<SessionId, RunnerSession>,
    targets: TargetIndex,
    /// Closed sessions whose runs may not have ended yet.
    lost_sessions: Vec<LostSession>,
    jobs: BTreeMap<JobNumber, Job>,
    /// Open jobs by the name that the caller chose.
    open_jobs_by_name: HashMap<String, JobNumber>,
    /// Jobs with waiting tasks; `precedence` determines the order in which they are served.
    waiting: BTreeSet<QueuePosition>,
    waiting_jobs: WaitingJobsReport,
    target_needs: TargetNeeds,
    /// Runs of closed jobs; a task with the same ID is not started before the run has ended.
    detached_runs: HashMap<TaskId, DetachedRun>,
    next_job: JobNumber,
    /// Time of the latest call; a long gap indicates a stall.
    last_call_at: Timestamp,
    catch_up: CatchUp,
    /// Run number with which a new task starts.
    first_run: u64,
    duration_ratio: DurationRatio,
    shares: QueueShares,
    standing_queues: StandingQueues,
    resubmissions: ResubmissionDetector,
    is_draining: bool,
    evacuated_halls: BTreeSet<DataHall>,
    counts: DispatcherCounts,
    actions: Vec<DispatcherAction>,
}

impl Dispatcher {
    /// Returns a dispatcher without jobs or sessions. `seed` determines its random choices.
    pub fn new(timings: Timings, health_limits: HealthLimits, seed: u64) -> Self {
        Self {
            timings,
            health_limits,
            rng: SmallRng::seed_from_u64(seed),
            sessions: BTreeMap::new(),
            targets: TargetIndex::default(),
            lost_sessions: Vec::new(),
            jobs: BTreeMap::new(),
            open_jobs_by_name: HashMap::new(),
            waiting: BTreeSet::new(),
            waiting_jobs: WaitingJobsReport::default(),
            target_needs: TargetNeeds::default(),
            detached_runs: HashMap::new(),
            next_job: 1,
            last_call_at: Timestamp::ZERO,
            catch_up: CatchUp::default(),
            first_run: 1,
            duration_ratio: DurationRatio::default(),
            shares: QueueShares::default(),
            standing_queues: StandingQueues::default(),
            resubmissions: ResubmissionDetector::new(timings.resend_interval),
            is_draining: false,
            evacuated_halls: BTreeSet::new(),
            counts: DispatcherCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Raises the run number with which new tasks start; a lower number has no effect.
    ///
    /// The number must be higher than any that an earlier submission of the same job used, at this or another entry.
    pub fn raise_first_run(&mut self, first_run: u64) {
        self.first_run = self.first_run.max(first_run);
    }

    /// Returns the actions that have accumulated since the previous call.
    pub fn take_actions(&mut self) -> Vec<DispatcherAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counts since the process started.
    pub fn counts(&self) -> DispatcherCounts {
        self.counts
    }

    /// Returns the number of open jobs.
    pub fn count_open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Counts the matching open repeatable jobs of which no task is known to have started.
    pub fn count_queued(&self, matches: impl Fn(&JobRequest) -> bool) -> usize {
        let jobs = self.jobs.values().filter(|job| !job.is_kept());
        jobs.filter(|job| !job.has_begun && matches(&job.request))
            .count()
    }

    /// Returns whether any task of the open repeatable job with this name is known to have started; `None` if none is open.
    pub fn has_named_begun(&self, id: &str) -> Option<bool> {
        let job = self.jobs.get(&self.find_repeatable(id)?)?;
        Some(job.has_begun)
    }

    /// Returns the open repeatable job with this name.
    fn find_repeatable(&self, id: &str) -> Option<JobNumber> {
        let number = *self.open_jobs_by_name.get(id)?;
        let job = self.jobs.get(&number)?;
        (!job.is_kept()).then_some(number)
    }

    /// Returns the number of targets that accept work.
    pub fn count_ready_targets(&self, now: Timestamp) -> usize {
        let runners = self.sessions.values();
        runners.filter(|runner| runner.accepts_work(now)).count()
    }

    /// Refuses all further jobs; open jobs continue.
    pub fn begin_draining(&mut self) {
        self.is_draining = true;
    }

    /// Submits a job and returns its number.
    ///
    /// An open repeatable job with the same name is given up first, since its caller has replaced it by this submission. If the open job is
    /// kept, it continues and the new job is given up.
    pub fn submit(&mut self, request: JobRequest, now: Timestamp) -> JobNumber {
        self.give_up_after_stall(now);
        let number = self.next_job_number();
        if let Some(&earlier) = self.open_jobs_by_name.get(&request.id) {
            if self.jobs.get(&earlier).is_some_and(Job::is_kept) {
                self.answer(number, JobAnswer::GivenUp);
                return number;
            }
            self.finish_job(earlier, JobAnswer::GivenUp);
        }
        if let Some(cause) = self.find_refusal(&request, now) {
            self.refuse_at_once(number, &request.id, cause, now);
            return number;
        }
        let (queue, priority) = (&request.queue, request.priority);
        self.shares.record_submission(queue, priority, now);
        self.open_jobs_by_name.insert(request.id.clone(), number);
        let is_late_resubmission = self.detect_late_resubmission(&request);
        let job = Job::new(request, is_late_resubmission, self.first_run, now);
        self.waiting.insert(job.queue_position(number));
        self.jobs.insert(number, job);
        self.place_unless_catching_up(now);
        number
    }

    fn next_job_number(&mut self) -> JobNumber {
        let number = self.next_job;
        self.next_job += 1;
        number
    }

    /// Closes a job whose caller has disconnected, without an answer.
    pub fn cancel(&mut self, number: JobNumber) {
        self.close_job(number);
    }

    /// Gives up the repeatable job with this name; returns whether one was open. Only its group can cancel a kept job.
    pub fn cancel_named(&mut self, id: &str) -> bool {
        let Some(number) = self.find_repeatable(id) else {
            return false;
        };
        self.finish_job(number, JobAnswer::GivenUp);
        true
    }

    /// Performs all work that is due; must be called every few tens of milliseconds.
    ///
    /// After a gap of more than [`JOB_STALL_LIMIT`](crate::JOB_STALL_LIMIT), all open repeatable jobs are given up.
    pub fn tick(&mut self, now: Timestamp) {
        self.give_up_after_stall(now);
        self.close_silent_sessions(now);
        self.release_expired_lost_sessions(now);
        self.place_waiting(now);
        self.report_waiting_jobs(now);
        self.update_target_needs(now);
        if !self.catch_up.is_active(now) {
            self.end_expired_jobs(now);
            self.withdraw_late_runs(now);
        }
    }

    /// Returns a task, or `None` if its job is closed.
    fn task(&self, position: TaskPosition) -> Option<&Task> {
        self.jobs.get(&position.job)?.tasks.get(position.index)
    }

    fn task_mut(&mut self, position: TaskPosition) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&position.job)?;
        job.tasks.get_mut(position.index)
    }

    /// Sends an assignment to a runner; `kept` is the epoch and the index of the task in its job if the job is kept.
    fn send_assignment(
        &mut self,
        session: SessionId,
        assignment: Assignment,
        kept: Option<(Epoch, TaskIndex)>,
    ) {
        self.counts.assigned += 1;
        let message = match kept {
            Some((epoch, index_in_job)) => DispatcherMessage::AssignKept(KeptAssignment {
                assignment,
                epoch,
                index_in_job,
            }),
            None => DispatcherMessage::Assign(assignment),
        };
        self.actions.push(DispatcherAction::Send(session, message));
    }
}
