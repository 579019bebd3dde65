//! The dispatcher: the repeatable jobs of one entry, and where their tasks run.
//!
//! This file holds the state and the calls from outside. The rules are in the modules, one duty each:
//!
//! - `admission`: which jobs are refused or given up; `deadlines`, `standing_queues`: until when;
//! - `precedence`, `shares`, `returned_callers`: in which order waiting jobs are served;
//! - `placement`, `headroom`: which target a task goes to; `evacuation`: in which data halls none is;
//! - `run_ends`: what follows from the end of a run; `judging`: which runs take too long;
//! - `sessions`, `runner_session`: what is known of runners, and when the runs of a lost session are over;
//! - `closing`: what a closed job leaves behind; `reports`: the decisions that are logged.
//!
//! The types between them are in `job`, `answers`, `actions`, `events` and `counts`.
//!
//! Owns all jobs, tasks and sessions of the entry. Relies on the process to call [`Dispatcher::tick`], to carry out the
//! actions in order, and to pass on each message and each closed link.

mod actions;
mod admission;
mod answers;
mod closing;
mod counts;
mod deadlines;
mod evacuation;
mod events;
mod headroom;
mod job;
mod judging;
mod kept_admission;
mod kept_jobs;
mod own_stall;
mod placement;
mod precedence;
mod reports;
mod returned_callers;
mod run_ends;
mod runner_session;
mod sessions;
mod shares;
mod standing_queues;

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
pub use kept_jobs::KeptJob;

use closing::DetachedRun;
use job::{Job, QueuePosition, Task, TaskPosition};
use judging::DurationRatio;
use returned_callers::ReturnedCallers;
use runner_session::RunnerSession;
use sessions::LostSession;
use shares::QueueShares;
use standing_queues::StandingQueues;

/// Coordinates the repeatable jobs that one entry accepted.
#[derive(Debug)]
pub struct Dispatcher {
    timings: Timings,
    health_limits: HealthLimits,
    rng: SmallRng,
    sessions: BTreeMap<SessionId, RunnerSession>,
    /// Sessions that ended with runs whose end is not known.
    lost_sessions: Vec<LostSession>,
    jobs: BTreeMap<JobNumber, Job>,
    /// How many of them are kept: without any, nothing is looked up for them.
    kept_jobs: usize,
    /// Numbers of the open jobs, by the caller's names for them.
    open_jobs_by_name: HashMap<String, JobNumber>,
    /// Jobs with waiting tasks; `precedence` has the order in which they are served.
    waiting: BTreeSet<QueuePosition>,
    /// Runs of jobs that are closed; until they are over, no task of the same name is started.
    detached_runs: HashMap<TaskId, DetachedRun>,
    next_job: JobNumber,
    /// When the process last called; a long gap is a stall.
    last_call_at: Timestamp,
    catch_up: CatchUp,
    /// Number of the first run of a new task.
    first_run: u64,
    duration_ratio: DurationRatio,
    shares: QueueShares,
    standing_queues: StandingQueues,
    returned_callers: ReturnedCallers,
    is_draining: bool,
    evacuated_halls: BTreeSet<DataHall>,
    counts: DispatcherCounts,
    actions: Vec<DispatcherAction>,
}

impl Dispatcher {
    /// Returns a dispatcher without jobs or sessions. Its choices follow from `seed`.
    pub fn new(timings: Timings, health_limits: HealthLimits, seed: u64) -> Self {
        Self {
            timings,
            health_limits,
            rng: SmallRng::seed_from_u64(seed),
            sessions: BTreeMap::new(),
            lost_sessions: Vec::new(),
            jobs: BTreeMap::new(),
            kept_jobs: 0,
            open_jobs_by_name: HashMap::new(),
            waiting: BTreeSet::new(),
            detached_runs: HashMap::new(),
            next_job: 1,
            last_call_at: Timestamp::ZERO,
            catch_up: CatchUp::default(),
            first_run: 1,
            duration_ratio: DurationRatio::default(),
            shares: QueueShares::default(),
            standing_queues: StandingQueues::default(),
            returned_callers: ReturnedCallers::new(timings.resend_interval),
            is_draining: false,
            evacuated_halls: BTreeSet::new(),
            counts: DispatcherCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Sets the number that the first run of a new task gets: above any that an earlier submission of the same job,
    /// here or elsewhere, can have used. It never falls.
    pub fn raise_first_run(&mut self, first_run: u64) {
        self.first_run = self.first_run.max(first_run);
    }

    /// Takes what has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<DispatcherAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> DispatcherCounts {
        self.counts
    }

    /// Returns how many jobs are open.
    pub fn count_open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Counts the open jobs that match, need not be kept, and of which no task may have run.
    pub fn count_queued(&self, matches: impl Fn(&JobRequest) -> bool) -> usize {
        let jobs = self.jobs.values().filter(|job| !job.is_kept());
        jobs.filter(|job| !job.may_have_run() && matches(&job.request))
            .count()
    }

    /// Returns whether a job of this name is open that need not be kept.
    pub fn is_open(&self, id: &str) -> bool {
        self.find_repeatable(id).is_some()
    }

    /// Returns the open job of this name that need not be kept.
    fn find_repeatable(&self, id: &str) -> Option<JobNumber> {
        let number = *self.open_jobs_by_name.get(id)?;
        let job = self.jobs.get(&number)?;
        (!job.is_kept()).then_some(number)
    }

    /// Counts the targets that accept work.
    pub fn count_ready_targets(&self, now: Timestamp) -> usize {
        let runners = self.sessions.values();
        runners.filter(|runner| runner.accepts_work(now)).count()
    }

    /// Refuses each further job; those that are open go on.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Submits a job and returns its number; a job of the same name that is open is given up first, since its caller has turned
    /// to a new request. One that is kept goes on, and the new one is given up.
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
        let is_late = self.comes_late(&request);
        let job = Job::new(request, is_late, self.first_run, now);
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

    /// Closes a job whose caller has disconnected; it gets no answer.
    pub fn cancel(&mut self, number: JobNumber) {
        self.close_job(number);
    }

    /// Gives up a job by its name; returns whether it was open. A kept one is cancelled by its group alone.
    pub fn cancel_named(&mut self, id: &str) -> bool {
        let Some(number) = self.find_repeatable(id) else {
            return false;
        };
        self.finish_job(number, JobAnswer::GivenUp);
        true
    }

    /// Does what has fallen due; call it every few tens of milliseconds. A gap above [`JOB_STALL_LIMIT`](crate::JOB_STALL_LIMIT) ends all open
    /// jobs that need not be kept.
    pub fn tick(&mut self, now: Timestamp) {
        self.give_up_after_stall(now);
        self.close_silent_sessions(now);
        self.release_expired_lost_sessions(now);
        self.place_waiting(now);
        if !self.catch_up.is_active(now) {
            self.end_late_jobs(now);
            self.withdraw_late_runs(now);
        }
    }

    /// Returns a task; `None` once its job is closed.
    fn task(&self, position: TaskPosition) -> Option<&Task> {
        self.jobs.get(&position.job)?.tasks.get(position.index)
    }

    fn task_mut(&mut self, position: TaskPosition) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&position.job)?;
        job.tasks.get_mut(position.index)
    }

    /// Counts an assignment and sends it to a runner, with the place of its task in the job if that is kept.
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
