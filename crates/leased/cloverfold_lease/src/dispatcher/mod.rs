//! The dispatcher: repeatable jobs of one entry, and where their tasks run.

mod ending;
mod events;
mod job;
mod outcomes;
mod placing;
mod targets;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::health::HealthLimits;
use crate::messages::{Assignment, DispatcherMessage, SessionId, TaskId};
use crate::request::JobRequest;
use crate::stall::JOB_STALL;
use crate::timings::Timings;
pub use events::DispatcherEvent;

use job::{Job, TaskPhase};
use targets::{LostSession, TargetView};

/// Number of one submission within this process.
pub type JobNumber = u64;

/// Why a job was refused; it has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobRefusal {
    /// No target had room in time.
    NoRoom,
    /// No target of the service is known.
    NoTarget,
    /// The process is stopping.
    Leaving,
    /// The process stood still and can't tell how old the request is.
    Stalled,
}

impl JobRefusal {
    /// Returns the name by which logs and answers call it; it is part of the outside interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "NoRoom",
            Self::NoTarget => "NoTarget",
            Self::Leaving => "Leaving",
            Self::Stalled => "Stalled",
        }
    }
}

/// The one answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Nothing has run and nothing will.
    Refused {
        /// Why.
        cause: JobRefusal,
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// Parts may have run; the rest was given up.
    GivenUp,
}

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

/// A run whose job is closed and that is not surely over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndingRun {
    /// A runner will report its end.
    At {
        /// The session with the runner.
        session: SessionId,
        /// The run.
        run: u64,
    },
    /// The session is lost; the run is over when the session is settled.
    Uncertain,
}

/// Coordinates the repeatable jobs that one entry took.
#[derive(Debug)]
pub struct Dispatcher {
    timings: Timings,
    health_limits: HealthLimits,
    rng: SmallRng,
    targets: BTreeMap<SessionId, TargetView>,
    /// Sessions that ended with runs whose end is not known.
    lost_sessions: Vec<LostSession>,
    jobs: BTreeMap<JobNumber, Job>,
    numbers: HashMap<String, JobNumber>,
    /// Jobs with waiting tasks, in the order in which they are served.
    waiting: BTreeSet<(u32, JobNumber)>,
    /// Runs of jobs that are closed; until they are over, no task of the same name is started.
    ending: HashMap<TaskId, EndingRun>,
    next_job: JobNumber,
    active_at: Timestamp,
    first_run: u64,
    /// Duration of ended runs against their estimates, over all targets.
    usual_ratio: f64,
    is_leaving: bool,
    counts: DispatcherCounts,
    actions: Vec<DispatcherAction>,
}

impl Dispatcher {
    /// Begins a life of a dispatcher. Its choices follow from `seed`.
    pub fn new(timings: Timings, health_limits: HealthLimits, seed: u64) -> Self {
        Self {
            timings,
            health_limits,
            rng: SmallRng::seed_from_u64(seed),
            targets: BTreeMap::new(),
            lost_sessions: Vec::new(),
            jobs: BTreeMap::new(),
            numbers: HashMap::new(),
            waiting: BTreeSet::new(),
            ending: HashMap::new(),
            next_job: 1,
            active_at: Timestamp::ZERO,
            first_run: 1,
            usual_ratio: 1.0,
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

    /// Counts the open jobs of a service's queue of which no task has begun.
    pub fn count_queued(&self, is_meant: impl Fn(&JobRequest) -> bool) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| !job.may_have_run() && is_meant(&job.request))
            .count()
    }

    /// Says whether a job of this name is open.
    pub fn is_open(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    /// Counts the targets that take work.
    pub fn ready_targets(&self, now: Timestamp) -> usize {
        let views = self.targets.values();
        views.filter(|view| view.takes_work(now)).count()
    }

    /// Takes no new job; those that are open go on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Takes a job and returns its number; a job of the same name that is open is given up first, since its caller has turned
    /// to a new request.
    pub fn submit(&mut self, request: JobRequest, now: Timestamp) -> JobNumber {
        self.notice_stall(now);
        if let Some(&earlier) = self.numbers.get(&request.id) {
            self.give_up(earlier, JobAnswer::GivenUp);
        }
        let number = self.next_job;
        self.next_job += 1;
        let refusal = self.find_refusal(&request, now);
        if let Some(cause) = refusal {
            self.report_refusal(&request.id, cause, Duration::ZERO, now);
            self.answer(number, refuse(cause));
            return number;
        }
        self.numbers.insert(request.id.clone(), number);
        let job = Job::new(request, self.first_run, now);
        self.waiting.insert((job.request.priority, number));
        self.jobs.insert(number, job);
        self.place_waiting(now);
        number
    }

    /// Stops a job whose caller has left.
    pub fn cancel(&mut self, number: JobNumber) {
        if self.jobs.contains_key(&number) {
            self.close_job(number);
        }
    }

    /// Stops a job by its name; returns whether it was open.
    pub fn cancel_named(&mut self, id: &str) -> bool {
        let Some(&number) = self.numbers.get(id) else {
            return false;
        };
        self.give_up(number, JobAnswer::GivenUp);
        true
    }

    /// Does what has fallen due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.notice_stall(now);
        self.close_silent_sessions(now);
        self.settle_lost_sessions(now);
        self.place_waiting(now);
        self.end_hopeless_jobs(now);
        self.withdraw_overdue_runs(now);
    }

    /// Gives up all open jobs after the process stood still: a caller may have left meanwhile and asked elsewhere, and nothing
    /// may be started for it any more.
    pub(crate) fn notice_stall(&mut self, now: Timestamp) {
        let gap = now.saturating_duration_since(self.active_at);
        self.active_at = now;
        if gap <= JOB_STALL {
            return;
        }
        let open: Vec<JobNumber> = self.jobs.keys().copied().collect();
        for number in open {
            self.counts.stalled += 1;
            self.give_up(number, JobAnswer::GivenUp);
        }
    }

    fn find_refusal(&self, request: &JobRequest, now: Timestamp) -> Option<JobRefusal> {
        if self.is_leaving {
            return Some(JobRefusal::Leaving);
        }
        let serves = |view: &TargetView| view.takes_work(now) && view.serves(&request.service);
        if !self.targets.values().any(serves) {
            return Some(JobRefusal::NoTarget);
        }
        None
    }

    fn send_assignment(&mut self, session: SessionId, assignment: Assignment) {
        self.counts.assigned += 1;
        let message = DispatcherMessage::Assign(assignment);
        self.actions.push(DispatcherAction::Send(session, message));
    }
}

fn refuse(cause: JobRefusal) -> JobAnswer {
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    JobAnswer::Refused {
        cause,
        retry_after: RETRY_AFTER,
    }
}
