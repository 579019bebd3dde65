//! Detection of runs that take too long.
//!
//! There are two rules, each a pure function of the expected duration of a run, its age and the slowness of its target:
//!
//! - A run is overdue if it takes far longer than expected and its progress is not visible. It is withdrawn, and a failure of its target is
//!   recorded. The expected duration is that on all targets or the usual one on this target, whichever is longer.
//! - A run is a straggler if its target is slow and the run would end earlier if it restarted on another. It is withdrawn if a target that
//!   is not slow can run its task now.
//!
//! Runs whose progress is visible are monitored by the runner of the target. A run that makes progress but exceeds its estimate would end
//! even later if it restarted, so it is not overdue.
//!
//! The slowness of targets comes from the reports of their runners.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::job::{TaskPhase, TaskPosition};
use crate::dispatcher::runner_session::RunnerSession;
use crate::messages::SessionId;

/// Weight of the newest run in the moving average [`DurationRatio`].
const RATIO_WEIGHT: f64 = 0.02;
/// Lower bound on the ratio of one run; a lower ratio reflects a wrong estimate rather than the targets.
const MIN_RUN_RATIO: f64 = 0.2;
/// Upper bound on the ratio of one run, like [`MIN_RUN_RATIO`].
const MAX_RUN_RATIO: f64 = 8.0;
/// Lower bound on the ratio in expected durations. The range is narrower than for a single run, which changes the average only slightly,
/// because this ratio directly decides whether runs are withdrawn.
const MIN_EXPECTED_RATIO: f64 = 0.5;
/// Upper bound on the ratio in expected durations, like [`MIN_EXPECTED_RATIO`].
const MAX_EXPECTED_RATIO: f64 = 4.0;

/// A run is overdue after its expected duration times this factor, plus [`OVERDUE_ALLOWANCE`].
const OVERDUE_FACTOR: f64 = 2.6;
/// Constant allowance for short runs.
const OVERDUE_ALLOWANCE: Duration = Duration::from_millis(120);

/// Slowness of a target, relative to all targets, from which its runs can be stragglers.
const STRAGGLER_SLOWNESS: f64 = 2.5;
/// A straggler needs longer for the rest of its run than this factor times a whole run on another target, plus [`RESTART_COST`].
const STRAGGLER_GAIN: f64 = 1.4;
/// Time to stop a run and start the next one.
const RESTART_COST: Duration = Duration::from_millis(60);

/// Moving average, over all targets, of the ratio of durations of completed runs to their estimates; initially 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DurationRatio(f64);

impl Default for DurationRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl DurationRatio {
    /// Returns the ratio.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// Records a completed run; runs without an estimate are ignored.
    pub(crate) fn record(&mut self, run_duration: Duration, estimate: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = run_duration.as_secs_f64() / estimate.as_secs_f64();
        let ratio = ratio.clamp(MIN_RUN_RATIO, MAX_RUN_RATIO);
        self.0 += RATIO_WEIGHT * (ratio - self.0);
    }

    /// Returns the expected duration of a run with this estimate.
    pub(crate) fn expected_duration(self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.0.clamp(MIN_EXPECTED_RATIO, MAX_EXPECTED_RATIO))
    }
}

/// Returns the usual duration of a run with this estimate on a target; zero if unknown.
fn usual_duration_at(runner: &RunnerSession, estimate: Duration) -> Duration {
    estimate * runner.usual_slowness_permille() / 1_000
}

/// Returns whether a run of this age is overdue.
fn is_overdue(expected: Duration, age: Duration) -> bool {
    age > expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_ALLOWANCE
}

/// Returns whether a run of this age is a straggler; `slowness` is that of its target relative to all targets.
fn is_straggler(expected: Duration, age: Duration, slowness: f64) -> bool {
    let remaining = expected.mul_f64(slowness).saturating_sub(age);
    slowness >= STRAGGLER_SLOWNESS && remaining > expected.mul_f64(STRAGGLER_GAIN) + RESTART_COST
}

/// In which way a run takes too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateRun {
    Overdue(SessionId),
    Straggler,
}

impl Dispatcher {
    /// Withdraws overdue runs and stragglers.
    pub(super) fn withdraw_late_runs(&mut self, now: Timestamp) {
        // Stragglers first: recording the failure of an overdue run may pause its target, which would then not be a candidate.
        let (overdue, stragglers): (Vec<_>, Vec<_>) = self
            .find_late_runs(now)
            .into_iter()
            .partition(|(_, late_run)| matches!(late_run, LateRun::Overdue(_)));
        for (task, _) in stragglers {
            self.withdraw_straggler(task, now);
        }
        for (task, late_run) in overdue {
            if let LateRun::Overdue(session) = late_run {
                self.withdraw_overdue(task, session, now);
            }
        }
    }

    /// Returns the runs that take too long.
    fn find_late_runs(&self, now: Timestamp) -> Vec<(TaskPosition, LateRun)> {
        let mut late_runs = Vec::new();
        for (number, job) in &self.jobs {
            for (index, task) in job.tasks.iter().enumerate() {
                let TaskPhase::Assigned {
                    session,
                    since,
                    is_withdrawn: false,
                    ..
                } = task.phase()
                else {
                    continue;
                };
                let age = now.saturating_duration_since(since);
                let estimate = job.estimate(task);
                if let Some(late_run) = self.classify_run(session, estimate, age) {
                    let position = TaskPosition {
                        job: *number,
                        index,
                    };
                    late_runs.push((position, late_run));
                }
            }
        }
        late_runs
    }

    /// Returns in which way a run with this estimate and age takes too long on a session's target, or `None` if it does not.
    fn classify_run(
        &self,
        session: SessionId,
        estimate: Duration,
        age: Duration,
    ) -> Option<LateRun> {
        let runner = self.sessions.get(&session)?;
        let expected = self.duration_ratio.expected_duration(estimate);
        let expected_here = usual_duration_at(runner, estimate).max(expected);
        if !runner.is_speed_known() && is_overdue(expected_here, age) {
            return Some(LateRun::Overdue(session));
        }
        let slowness = runner.relative_slowness(self.duration_ratio.value());
        is_straggler(expected, age, slowness).then_some(LateRun::Straggler)
    }

    /// Withdraws a straggler if a target that is not slow can run its task now.
    fn withdraw_straggler(&mut self, task: TaskPosition, now: Timestamp) {
        if self.has_faster_target(task, now) {
            self.counts.withdrawn_stragglers += 1;
            self.report_straggler(task, now);
            self.record_late_run(task);
            self.withdraw_task(task);
        }
    }

    /// Withdraws an overdue run and records a failure of its target.
    fn withdraw_overdue(&mut self, task: TaskPosition, session: SessionId, now: Timestamp) {
        self.counts.overdue += 1;
        self.report_overdue(task, session, now);
        self.record_failure(session, now);
        self.record_late_run(task);
        self.withdraw_task(task);
    }
}
