//! One run of a task and the states that it passes through.
//!
//! Models how far a run has come at the target, as far as the runner knows it.
//! Owns the state of one run, the session that gets the report of its end, and its progress.
//! Relies on [`ProgressTracker`]; every point in time comes from the caller.
//!
//! ```text
//! Waiting ──begin_start──> Starting ──confirm_start──> Running
//!                             │                           │
//!                             └───────begin_stop──────────┤
//!                                                         v
//!                                                      Stopping
//! ```
//!
//! From each state a run can end; then it is removed by `Runner::end_run`. Once a start was sent that requires that the run certainly
//! neither runs nor can start any more. Until then it counts against the target's capacity.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndOutcome, Epoch, TaskEnd, TaskIndex};

use crate::messages::{Assignment, RunOutcome, SessionId};
use crate::resources::Resources;
use crate::runner::answers::EndedRun;
use crate::runner::progress::ProgressTracker;
use crate::timings::TargetTime;

/// Starts of one run that are sent at most; then the runner waits until the deadline of the start has passed.
pub(super) const MAX_START_ATTEMPTS: u32 = 6;

/// A start that was sent and is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingStart {
    /// On the target's clock: the target refuses a start that it carries out later.
    pub(super) deadline: TargetTime,
    /// When the first start was sent.
    pub(super) first_sent_at: Timestamp,
    /// When the newest start was sent.
    pub(super) last_sent_at: Timestamp,
    /// How many starts were sent.
    pub(super) attempts: u32,
}

/// What shows that a run whose stop was sent neither runs nor can start any more, besides its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndProof {
    /// It was known to run: a list leaves it out that was asked for after the stop.
    ListedAfterStop,
    /// A start may be under way: a list leaves it out that was made after this on the target's clock, when the target refuses that start.
    StartExpired(TargetTime),
    /// It was started in an earlier incarnation of the target: a list leaves it out that was asked for with this fencing token or a higher one.
    IncarnationFenced(u64),
}

/// A stop that was sent; the run keeps its capacity until its end is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingStop {
    /// What has to be seen before the run counts as over.
    pub(super) proof: EndProof,
    /// When the first stop was sent.
    pub(super) first_sent_at: Timestamp,
    /// When the newest stop was sent.
    pub(super) last_sent_at: Timestamp,
    /// What to report if it turns out that the run never started.
    pub(super) outcome_if_never_started: RunOutcome,
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// It waits for free capacity; nothing was sent to the target.
    Waiting {
        /// After this it is given back.
        until: Timestamp,
    },
    /// Its start was sent and is not acknowledged.
    Starting(PendingStart),
    /// The target has acknowledged the start or listed the run.
    Running {
        /// When the runner learned it.
        confirmed_at: Timestamp,
    },
    /// A stop was sent.
    Stopping(PendingStop),
}

/// What has to be done to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopStep {
    /// Nothing was sent for it yet: it is over.
    IsOver,
    /// A stop has to be sent now.
    SendStop,
    /// A stop was sent before; the first reason stands.
    IsStopping,
}

/// One run of a task and for whom it is executed.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The session that gets the report of its end; none once that session is over.
    pub(super) session: Option<SessionId>,
    /// Order of arrival in this process.
    pub(super) sequence: u64,
    /// The dispatcher's number of the run.
    pub(super) number: u64,
    pub(super) spec: String,
    pub(super) demand: Resources,
    /// 0 is served first.
    pub(super) priority: u32,
    pub(super) state: RunState,
    /// When the first start was sent, once the target has confirmed it.
    started_at: Option<Timestamp>,
    /// Expected duration, from the assignment.
    pub(super) estimate: Duration,
    pub(super) progress: ProgressTracker,
    /// Whether it is being stopped because it makes no progress.
    pub(super) is_stopped_as_stuck: bool,
    /// `None` for a run of a job that need not be kept.
    pub(super) kept: Option<KeptRun>,
}

/// What is recorded of a run of a kept job besides its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeptRun {
    /// The epoch of the driver that assigned it.
    pub(super) epoch: Epoch,
    /// Place of its task among all tasks of the job.
    pub(super) index_in_job: TaskIndex,
}

impl Run {
    /// Returns a run that waits for capacity, until the wait that its assignment allows is over.
    pub(super) fn new(
        session: SessionId,
        sequence: u64,
        assignment: &Assignment,
        kept: Option<KeptRun>,
        now: Timestamp,
    ) -> Self {
        let wait = Duration::from_millis(u64::from(assignment.wait_ms));
        Self {
            session: Some(session),
            sequence,
            number: assignment.run,
            spec: assignment.spec.clone(),
            demand: assignment.demand,
            priority: assignment.priority,
            state: RunState::Waiting { until: now + wait },
            started_at: None,
            estimate: Duration::from_millis(u64::from(assignment.estimate_ms)),
            progress: ProgressTracker::default(),
            is_stopped_as_stuck: false,
            kept,
        }
    }

    /// Returns what is to be recorded of its end; `None` if it need not be kept.
    pub(super) fn task_end(&self, end: &EndedRun, outcome: EndOutcome) -> Option<TaskEnd> {
        let kept = self.kept?;
        Some(TaskEnd {
            job: end.task.job.clone(),
            epoch: kept.epoch,
            task: kept.index_in_job,
            run: end.run,
            outcome,
        })
    }

    /// Returns whether it is kept and its stop has shown no effect for so long.
    pub(super) fn resists_stop(&self, grace: Duration, now: Timestamp) -> bool {
        let is_late = |stop: &PendingStop| now >= stop.first_sent_at + grace;
        self.kept.is_some() && matches!(&self.state, RunState::Stopping(stop) if is_late(stop))
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, RunState::Waiting { .. })
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, RunState::Running { .. })
    }

    /// Returns whether it has waited for capacity as long as its assignment allows.
    pub(super) fn has_waited_too_long(&self, now: Timestamp) -> bool {
        matches!(self.state, RunState::Waiting { until } if now > until)
    }

    /// Returns the start that was sent and is not acknowledged.
    pub(super) fn pending_start(&self) -> Option<PendingStart> {
        match self.state {
            RunState::Starting(start) => Some(start),
            _ => None,
        }
    }

    /// Returns how long ago the first start was sent; zero for a run that was not confirmed to run.
    pub(super) fn ran_for(&self, now: Timestamp) -> Duration {
        let span = self
            .started_at
            .map(|since| now.saturating_duration_since(since));
        span.unwrap_or_default()
    }

    /// Returns the speed of a run that is done now, where 1 is as fast as estimated; none if either duration is unknown.
    pub(super) fn mean_speed(&self, now: Timestamp) -> Option<f64> {
        let ran = self.ran_for(now);
        if ran.is_zero() || self.estimate.is_zero() {
            return None;
        }
        Some(self.estimate.as_secs_f64() / ran.as_secs_f64())
    }

    /// Waiting -> Starting: the first start is sent now.
    pub(super) fn begin_start(&mut self, deadline: TargetTime, now: Timestamp) {
        self.state = RunState::Starting(PendingStart {
            deadline,
            first_sent_at: now,
            last_sent_at: now,
            attempts: 1,
        });
    }

    /// Starting -> Starting: the same start is sent again, with the same deadline. Returns the start to send, none if the attempts
    /// are used up or no start is pending.
    pub(super) fn repeat_start(&mut self, now: Timestamp) -> Option<PendingStart> {
        let RunState::Starting(start) = &mut self.state else {
            return None;
        };
        if start.attempts >= MAX_START_ATTEMPTS {
            return None;
        }
        start.attempts += 1;
        start.last_sent_at = now;
        Some(*start)
    }

    /// Starting -> Starting with a new deadline. Correct only when the one start that was sent is known to have had no effect.
    pub(super) fn replace_start(
        &mut self,
        deadline: TargetTime,
        now: Timestamp,
    ) -> Option<PendingStart> {
        let RunState::Starting(start) = &mut self.state else {
            return None;
        };
        start.deadline = deadline;
        start.attempts += 1;
        start.last_sent_at = now;
        Some(*start)
    }

    /// Starting -> Running: the target has acknowledged the start or listed the run. Returns whether this was news.
    pub(super) fn confirm_start(&mut self, now: Timestamp) -> bool {
        let RunState::Starting(start) = self.state else {
            return false;
        };
        self.state = RunState::Running { confirmed_at: now };
        self.started_at = Some(start.first_sent_at);
        true
    }

    /// Starting or Running -> Stopping. A waiting run stays as it is, since it is over without a stop.
    pub(super) fn begin_stop(
        &mut self,
        outcome_if_never_started: RunOutcome,
        now: Timestamp,
    ) -> StopStep {
        let proof = match self.state {
            RunState::Waiting { .. } => return StopStep::IsOver,
            RunState::Stopping(_) => return StopStep::IsStopping,
            RunState::Starting(start) => EndProof::StartExpired(start.deadline),
            RunState::Running { .. } => EndProof::ListedAfterStop,
        };
        self.state = RunState::Stopping(PendingStop {
            proof,
            first_sent_at: now,
            last_sent_at: now,
            outcome_if_never_started,
        });
        StopStep::SendStop
    }

    /// Any state in which it was started -> Stopping: the incarnation of the target is over in which it was, and another one may have taken its
    /// start. `fencing_token` is above those of its orders.
    pub(super) fn outlive_incarnation(&mut self, fencing_token: u64, now: Timestamp) {
        self.state = RunState::Stopping(PendingStop {
            proof: EndProof::IncarnationFenced(fencing_token),
            first_sent_at: now,
            last_sent_at: now,
            outcome_if_never_started: RunOutcome::Lost,
        });
    }
}
