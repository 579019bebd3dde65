//! One run that a runner holds.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{Assignment, RunOutcome, SessionId};
use crate::resources::Resources;
use crate::runner::progress::ProgressWatch;
use crate::timings::TargetTime;

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// It waits for room.
    Waiting {
        /// After this it is given back.
        until: Timestamp,
    },
    /// Its start was sent and is not acknowledged.
    Starting {
        /// On the target's clock: a start carried out later is refused by the target.
        deadline: TargetTime,
        /// When the first start was sent.
        since: Timestamp,
        /// When the newest start was sent.
        sent_at: Timestamp,
        /// How many starts were sent.
        attempts: u32,
    },
    /// The target has acknowledged or shown it.
    Running {
        /// When it was acknowledged.
        since: Timestamp,
    },
    /// It must end; until it surely has, it keeps its room.
    Stopping {
        /// On the target's clock: a start that is still under way is refused after this.
        start_deadline: Option<TargetTime>,
        /// When the first stop was sent.
        ordered_at: Timestamp,
        /// When the newest stop was sent.
        sent_at: Timestamp,
        /// What to report if it turns out that it never ran.
        unstarted: RunOutcome,
    },
}

/// A run and for whom it is held.
#[derive(Clone, Debug)]
pub(crate) struct HeldTask {
    /// The session that wants to know its end; none once that session is over.
    pub(crate) session: Option<SessionId>,
    pub(crate) order: u64,
    pub(crate) run: u64,
    pub(crate) spec: String,
    pub(crate) demand: Resources,
    pub(crate) priority: u32,
    pub(crate) state: HeldState,
    pub(crate) started_at: Option<Timestamp>,
    pub(crate) estimate: Duration,
    pub(crate) progress: ProgressWatch,
    /// Whether it is being stopped because it stands still.
    pub(crate) is_stuck: bool,
}

impl HeldTask {
    pub(crate) fn new(
        session: SessionId,
        order: u64,
        assignment: &Assignment,
        now: Timestamp,
    ) -> Self {
        let wait = Duration::from_millis(u64::from(assignment.wait_ms));
        Self {
            session: Some(session),
            order,
            run: assignment.run,
            spec: assignment.spec.clone(),
            demand: assignment.demand,
            priority: assignment.priority,
            state: HeldState::Waiting { until: now + wait },
            started_at: None,
            estimate: Duration::from_millis(u64::from(assignment.estimate_ms)),
            progress: ProgressWatch::default(),
            is_stuck: false,
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, HeldState::Waiting { .. })
    }

    pub(crate) fn ran_for(&self, now: Timestamp) -> Duration {
        let span = self
            .started_at
            .map(|since| now.saturating_duration_since(since));
        span.unwrap_or_default()
    }
}
