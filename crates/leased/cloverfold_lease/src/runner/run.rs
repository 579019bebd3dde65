//! One run of a task and its state machine.
//!
//! ```text
//! Waiting ──begin_start──> Starting ──confirm_start──> Running
//!                             │                           │
//!                             └───────begin_stop──────────┤
//!                                                         v
//!                                                      Stopping
//! ```
//!
//! A run can end in each state; `Runner::end_run` then removes it. Once a start was sent, the end requires certainty that the run neither
//! runs nor can still start. Until then the run counts against the target's capacity.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndOutcome, Epoch, TaskEnd, TaskIndex};

use crate::messages::{Assignment, RunOutcome, SessionId};
use crate::resources::Resources;
use crate::runner::answers::EndedRun;
use crate::runner::progress::ProgressTracker;
use crate::timings::TargetTime;

/// Maximum number of starts sent for one run; after that the runner waits for the deadline of the start.
pub(super) const MAX_START_ATTEMPTS: u32 = 6;

/// A start that was sent and is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingStart {
    /// On the target's clock: the target refuses to start the run after this.
    pub(super) deadline: TargetTime,
    /// When the first start was sent.
    pub(super) first_sent_at: Timestamp,
    /// When the newest start was sent.
    pub(super) last_sent_at: Timestamp,
    /// Number of starts sent.
    pub(super) attempts: u32,
}

/// What proves, besides a reported end, that a run whose stop was sent neither runs nor can still start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndProof {
    /// The run was confirmed: a list requested after the stop leaves it out.
    ListedAfterStop,
    /// A start may be in flight: a list made after this deadline on the target's clock leaves the run out; by then the target refuses the
    /// start.
    StartExpired(TargetTime),
    /// It was started in an earlier incarnation of the target: a list requested with at least this fencing token leaves it out.
    IncarnationFenced(u64),
}

/// A stop that was sent; the run keeps its capacity until its end is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingStop {
    /// What proves the end of the run.
    pub(super) proof: EndProof,
    /// When the first stop was sent.
    pub(super) first_sent_at: Timestamp,
    /// When the newest stop was sent.
    pub(super) last_sent_at: Timestamp,
    /// The outcome to report if the run turns out never to have started.
    pub(super) outcome_if_never_started: RunOutcome,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// It waits for free capacity; nothing was sent to the target.
    Waiting {
        /// It is refused after this.
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

/// The next step to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopStep {
    /// End the run at once: nothing was sent to the target.
    EndNow,
    /// Send a stop.
    SendStop,
    /// Nothing: a stop was already sent, and its outcome stands.
    AlreadyStopping,
}

/// One run of a task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The session to which its end is reported; `None` once that session has ended.
    pub(super) session: Option<SessionId>,
    /// Order of arrival in this process.
    pub(super) sequence: u64,
    /// Number of the run, assigned by the dispatcher.
    pub(super) number: u64,
    pub(super) spec: String,
    pub(super) demand: Resources,
    /// 0 is the highest.
    pub(super) priority: u32,
    pub(super) state: RunState,
    /// When the first start was sent, once the target has confirmed the run.
    started_at: Option<Timestamp>,
    /// Whether its start was reported to its dispatcher.
    is_start_reported: bool,
    /// Expected duration, from the assignment.
    pub(super) estimate: Duration,
    pub(super) progress: ProgressTracker,
    /// Whether it is stopped because it makes no progress.
    pub(super) is_stopped_as_stuck: bool,
    /// `None` for a run of a best-effort job.
    pub(super) kept: Option<KeptRun>,
}

/// What is recorded of a run of a kept job besides its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeptRun {
    /// Epoch in which the dispatcher that assigned it drives the job.
    pub(super) epoch: Epoch,
    /// Index of its task among all tasks of the job.
    pub(super) index_in_job: TaskIndex,
}

impl Run {
    /// Returns a run that waits for capacity, at most as long as its assignment allows.
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
            is_start_reported: false,
            estimate: Duration::from_millis(u64::from(assignment.estimate_ms)),
            progress: ProgressTracker::default(),
            is_stopped_as_stuck: false,
            kept,
        }
    }

    /// Returns the end to record; `None` for a run of a best-effort job.
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

    /// Returns whether it is a kept run whose stop was sent at least `grace` ago.
    pub(super) fn is_stop_overdue(&self, grace: Duration, now: Timestamp) -> bool {
        let is_late = |stop: &PendingStop| now >= stop.first_sent_at + grace;
        self.kept.is_some() && matches!(&self.state, RunState::Stopping(stop) if is_late(stop))
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, RunState::Waiting { .. })
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, RunState::Running { .. })
    }

    /// Returns whether it has waited for capacity for longer than its assignment allows.
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

    /// Returns whether its start is confirmed and was not reported yet, and marks it as reported.
    pub(super) fn take_unreported_start(&mut self) -> bool {
        if self.started_at.is_none() {
            return false;
        }
        !std::mem::replace(&mut self.is_start_reported, true)
    }

    /// Returns the time since the first start was sent; zero for a run that was not confirmed.
    pub(super) fn ran_for(&self, now: Timestamp) -> Duration {
        let span = self
            .started_at
            .map(|since| now.saturating_duration_since(since));
        span.unwrap_or_default()
    }

    /// Returns the mean speed of a run that ends now, where 1 is as fast as estimated; `None` if either duration is unknown.
    pub(super) fn mean_speed(&self, now: Timestamp) -> Option<f64> {
        let ran = self.ran_for(now);
        if ran.is_zero() || self.estimate.is_zero() {
            return None;
        }
        Some(self.estimate.as_secs_f64() / ran.as_secs_f64())
    }

    /// Waiting -> Starting: records the first start.
    pub(super) fn begin_start(&mut self, deadline: TargetTime, now: Timestamp) {
        self.state = RunState::Starting(PendingStart {
            deadline,
            first_sent_at: now,
            last_sent_at: now,
            attempts: 1,
        });
    }

    /// Starting -> Starting: records a retry with the same deadline. Returns the start to send; `None` if the attempts are used up or no
    /// start is pending.
    pub(super) fn retry_start(&mut self, now: Timestamp) -> Option<PendingStart> {
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

    /// Starting -> Starting with a new deadline. Correct only if the one start that was sent is known to have had no effect.
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

    /// Starting -> Running: the target acknowledged the start or listed the run. Returns whether the state changed.
    pub(super) fn confirm_start(&mut self, now: Timestamp) -> bool {
        let RunState::Starting(start) = self.state else {
            return false;
        };
        self.state = RunState::Running { confirmed_at: now };
        self.started_at = Some(start.first_sent_at);
        true
    }

    /// Starting or Running -> Stopping. A waiting run stays as it is, since it needs no stop.
    pub(super) fn begin_stop(
        &mut self,
        outcome_if_never_started: RunOutcome,
        now: Timestamp,
    ) -> StopStep {
        let proof = match self.state {
            RunState::Waiting { .. } => return StopStep::EndNow,
            RunState::Stopping(_) => return StopStep::AlreadyStopping,
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

    /// Any started state -> Stopping, when the target has restarted: the new incarnation may have received the start. `fencing_token` is
    /// above those of the run's orders.
    pub(super) fn await_fencing(&mut self, fencing_token: u64, now: Timestamp) {
        self.state = RunState::Stopping(PendingStop {
            proof: EndProof::IncarnationFenced(fencing_token),
            first_sent_at: now,
            last_sent_at: now,
            outcome_if_never_started: RunOutcome::Lost,
        });
    }
}
