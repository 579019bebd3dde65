//! One run that a runner holds.

use std::time::Duration;

use crate::messages::{Assignment, RunOutcome, SessionId};
use crate::resources::Resources;
use crate::runner::progress::ProgressTracker;
use crate::timings::{Moment, TargetTime};

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It waits for room.
    Waiting {
        /// After this it is given back.
        until: Moment,
    },
    /// Its start was sent and is not acknowledged.
    Starting {
        /// On the target's clock: a start carried out later is refused by the target.
        deadline: TargetTime,
        /// When the first start was sent.
        since: Moment,
        /// When the newest start was sent.
        sent_at: Moment,
        /// How many starts were sent.
        attempts: u32,
    },
    /// The target has acknowledged or shown it.
    Running {
        /// When it was acknowledged.
        since: Moment,
    },
    /// It must end; until it surely has, it keeps its room.
    Stopping {
        /// On the target's clock: a start that is still under way is refused after this.
        start_deadline: Option<TargetTime>,
        /// When the first stop was sent.
        ordered_at: Moment,
        /// When the newest stop was sent.
        sent_at: Moment,
        /// What to report if it turns out that it never ran.
        outcome_if_never_started: RunOutcome,
    },
}

/// A run and for whom it is held.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The session that wants to know its end; none once that session is over.
    pub(crate) session: Option<SessionId>,
    pub(crate) sequence: u64,
    pub(crate) run: u64,
    pub(crate) spec: String,
    pub(crate) demand: Resources,
    pub(crate) priority: u32,
    pub(crate) state: RunState,
    pub(crate) started_at: Option<Moment>,
    pub(crate) estimate: Duration,
    pub(crate) progress: ProgressTracker,
    /// Whether it is being stopped because it stands still.
    pub(crate) is_stopped_as_stuck: bool,
}

impl Run {
    pub(crate) fn new(
        session: SessionId,
        sequence: u64,
        assignment: &Assignment,
        now: Moment,
    ) -> Self {
        let wait = Duration::from_millis(u64::from(assignment.wait_ms));
        Self {
            session: Some(session),
            sequence,
            run: assignment.run,
            spec: assignment.spec.clone(),
            demand: assignment.demand,
            priority: assignment.priority,
            state: RunState::Waiting { until: now + wait },
            started_at: None,
            estimate: Duration::from_millis(u64::from(assignment.estimate_ms)),
            progress: ProgressTracker::default(),
            is_stopped_as_stuck: false,
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, RunState::Waiting { .. })
    }

    pub(crate) fn ran_for(&self, now: Moment) -> Duration {
        let span = self.started_at.map(|since| now.saturating_sub(since));
        span.unwrap_or_default()
    }
}
