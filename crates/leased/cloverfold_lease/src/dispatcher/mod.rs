//! The dispatcher: the repeatable jobs of one entry, and where their tasks run.
//!
//! This file holds the state and the calls from outside. The rules are in the modules, one duty each:
//!
//! - `admission`: which jobs are refused or given up; `deadlines`: until when;
//! - `placement`: which target a task goes to;
//! - `run_ends`: what follows from the end of a run; `judging`: which runs take too long;
//! - `sessions`, `runner_session`: what is known of runners, and when the runs of a lost session are over;
//! - `closing`: what a closed job leaves behind; `reports`: what operators are told.
//!
//! Owns all jobs, tasks and sessions of the entry. Relies on the process to call [`Dispatcher::tick`], to carry out the
//! actions in order, and to pass on each message and each closed link.

mod admission;
mod answers;
mod closing;
mod deadlines;
mod job;
mod judging;
mod placement;
mod reports;
mod run_ends;
mod runner_session;
mod sessions;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cloverfold_base::Timestamp;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::health::HealthLimits;
use crate::messages::{Assignment, DispatcherMessage, SessionId, TaskId};
use crate::request::JobRequest;
use crate::timings::Timings;
pub use answers::{JobAnswer, JobRefusal, RETRY_AFTER};
pub use reports::{DispatcherEvent, TargetCounts};

use closing::DetachedRun;
use job::{Job, QueuePosition, Task, TaskPosition};
use judging::DurationRatio;
use runner_session::RunnerSession;
use sessions::LostSession;

/// Number of one submission within this process, from 1.
pub type JobNumber = u64;

/// What the process around a dispatcher has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherAction {
    /// Send a message to a runner.
    Send(SessionId, DispatcherMessage),
    /// Close the link of a session whose runner is silent.
    CloseSession(SessionId),
    /// Answer a submission.
    Answer(JobNumber, JobAnswer),
    /// Tell operators of a decision.
    Report(DispatcherEvent),
}

/// Counts since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounts {
    /// Runs assigned.
    pub assigned: u64,
    /// Runs given back without a start.
    pub given_back: u64,
    /// Runs that ended `failed`.
    pub failed: u64,
    /// Runs whose target or lease was lost.
    pub lost: u64,
    /// Runs that stood still at their target and were stopped there.
    pub stuck: u64,
    /// Runs withdrawn because they took far longer than expected.
    pub overdue: u64,
    /// Runs withdrawn from a slow target to be begun anew elsewhere.
    pub stragglers: u64,
    /// Runs withdrawn because their caller left or their job was given up.
    pub withdrawn: u64,
    /// Jobs given up because the process stood still.
    pub stalled: u64,
    /// Times a target was paused.
    pub pauses: u64,
}

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
    /// Open jobs by the caller's names for them.
    numbers: HashMap<String, JobNumber>,
    /// Jobs with waiting tasks, in the order in which they are served.
    waiting: BTreeSet<QueuePosition>,
    /// Runs of jobs that are closed; until they are over, no task of the same name is started.
    detached_runs: HashMap<TaskId, DetachedRun>,
    next_job: JobNumber,
    /// When the process last called; a long gap is a stall.
    last_call_at: Timestamp,
    first_run: u64,
    duration_ratio: DurationRatio,
    is_leaving: bool,
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
            numbers: HashMap::new(),
            waiting: BTreeSet::new(),
            detached_runs: HashMap::new(),
            next_job: 1,
            last_call_at: Timestamp::ZERO,
            first_run: 1,
            duration_ratio: DurationRatio::default(),
            is_leaving: false,
            counts: DispatcherCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Sets the number that the first run of a new task gets: above any that an earlier submission of the same job,
    /// here or elsewhere, can have used. It never falls.
    pub fn set_first_run(&mut self, first_run: u64) {
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
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Counts the open jobs that match and of which no task may have run.
    pub fn count_queued(&self, matches: impl Fn(&JobRequest) -> bool) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| !job.may_have_run() && matches(&job.request))
            .count()
    }

    /// Returns whether a job of this name is open.
    pub fn is_open(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    /// Counts the targets that accept work.
    pub fn ready_targets(&self, now: Timestamp) -> usize {
        let runners = self.sessions.values();
        runners.filter(|runner| runner.accepts_work(now)).count()
    }

    /// Refuses each further job; those that are open go on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Submits a job and returns its number; a job of the same name that is open is given up first, since its caller has turned
    /// to a new request.
    pub fn submit(&mut self, request: JobRequest, now: Timestamp) -> JobNumber {
        self.notice_stall(now);
        if let Some(&earlier) = self.numbers.get(&request.id) {
            self.finish_job(earlier, JobAnswer::GivenUp);
        }
        let number = self.next_job;
        self.next_job += 1;
        if let Some(cause) = self.find_refusal(&request, now) {
            self.refuse_at_once(number, &request.id, cause, now);
            return number;
        }
        self.numbers.insert(request.id.clone(), number);
        let job = Job::new(request, self.first_run, now);
        self.waiting.insert(job.queue_position(number));
        self.jobs.insert(number, job);
        self.place_waiting(now);
        number
    }

    /// Stops a job whose caller has left; it gets no answer.
    pub fn cancel(&mut self, number: JobNumber) {
        self.close_job(number);
    }

    /// Stops a job by its name; returns whether it was open.
    pub fn cancel_named(&mut self, id: &str) -> bool {
        let Some(&number) = self.numbers.get(id) else {
            return false;
        };
        self.finish_job(number, JobAnswer::GivenUp);
        true
    }

    /// Does what has fallen due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.notice_stall(now);
        self.close_silent_sessions(now);
        self.settle_expired_sessions(now);
        self.place_waiting(now);
        self.end_late_jobs(now);
        self.withdraw_late_runs(now);
    }

    fn task(&self, position: TaskPosition) -> Option<&Task> {
        self.jobs.get(&position.job)?.tasks.get(position.index)
    }

    fn task_mut(&mut self, position: TaskPosition) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&position.job)?;
        job.tasks.get_mut(position.index)
    }

    fn send_assignment(&mut self, session: SessionId, assignment: Assignment) {
        self.counts.assigned += 1;
        let message = DispatcherMessage::Assign(assignment);
        self.actions.push(DispatcherAction::Send(session, message));
    }
}
