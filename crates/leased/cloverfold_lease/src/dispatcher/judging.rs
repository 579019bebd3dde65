//! Which runs take too long where they are.
//!
//! Two rules, each a pure function of the expected duration of a run, its age and the slowness of its target:
//!
//! - a run is **overdue** if it takes far longer than expected where nobody sees its progress; it is withdrawn, and its target gets the
//!   blame. What is expected is what runs take on all targets, or at this one by its nature if that is more;
//! - a run is a **straggler** if its target is slow and it would be over sooner if it restarted elsewhere; it is moved, if a target that
//!   is not slow has free capacity.
//!
//! Runs whose progress is seen are judged by the runner beside the target: a run that advances is late because its estimate was wrong,
//! and begun anew it would end later still. Withdrawing those as well cost 0.006 +- 0.001 of the worth on five days with trouble of
//! one site, three seeds each, without processor time, most of it of the jobs with the longest tasks (docs/LARGE.md, round 3).
//!
//! Owns the ratio of durations to estimates ([`DurationRatio`]). Relies on the slowness that runners report.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::job::{TaskPhase, TaskPosition};
use crate::dispatcher::runner_session::RunnerSession;
use crate::messages::SessionId;

/// Weight of the newest run in the ratio of durations to estimates.
const RATIO_WEIGHT: f64 = 0.02;
/// Lowest ratio of one run that counts: one further off reflects a wrong estimate rather than the targets.
const LOWEST_RUN_RATIO: f64 = 0.2;
/// Highest ratio of one run that counts, as [`LOWEST_RUN_RATIO`].
const HIGHEST_RUN_RATIO: f64 = 8.0;
/// Lowest ratio that the expected duration of a run is calculated with: narrower than the bounds of one run, which move the mean
/// only a little, since this one decides on a run at once.
const LOWEST_EXPECTED_RATIO: f64 = 0.5;
/// Highest ratio that the expected duration of a run is calculated with, as [`LOWEST_EXPECTED_RATIO`].
const HIGHEST_EXPECTED_RATIO: f64 = 4.0;

/// A run whose progress is not seen is overdue after this many times its expected duration and [`OVERDUE_ALLOWANCE`].
const OVERDUE_FACTOR: f64 = 2.6;
/// Time allowed on top of [`OVERDUE_FACTOR`], for short runs.
const OVERDUE_ALLOWANCE: Duration = Duration::from_millis(120);

/// Slowness of a target, against all others, from which its runs may restart elsewhere.
const STRAGGLER_SLOWNESS: f64 = 2.5;
/// What is left of a run must be longer than a whole run elsewhere by this factor, and by [`RESTART_COST`]. As
/// [`STRAGGLER_SLOWNESS`].
const STRAGGLER_GAIN: f64 = 1.4;
/// What the stop and the new start of a run take.
const RESTART_COST: Duration = Duration::from_millis(60);

/// Durations of ended runs against their estimates: a moving mean over all targets, 1 at first.
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

    /// Records a run that is done; one without an estimate is ignored.
    pub(crate) fn record(&mut self, ran: Duration, estimate: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
        let ratio = ratio.clamp(LOWEST_RUN_RATIO, HIGHEST_RUN_RATIO);
        self.0 += RATIO_WEIGHT * (ratio - self.0);
    }

    /// Returns how long a run with this estimate should take.
    pub(crate) fn expected_duration(self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.0.clamp(LOWEST_EXPECTED_RATIO, HIGHEST_EXPECTED_RATIO))
    }
}

/// Returns how long a run with this estimate should take at a target by the target's nature; zero while that is not known.
fn expected_at(runner: &RunnerSession, estimate: Duration) -> Duration {
    estimate * runner.usual_slowness_permille() / 1_000
}

/// Returns whether a run of this age has taken far too long.
fn is_overdue(expected: Duration, age: Duration) -> bool {
    age > expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_ALLOWANCE
}

/// Returns whether a run of this age would be over sooner if it restarted elsewhere; `slowness` is that of its target against all.
fn is_straggler(expected: Duration, age: Duration, slowness: f64) -> bool {
    let left = expected.mul_f64(slowness).saturating_sub(age);
    slowness >= STRAGGLER_SLOWNESS && left > expected.mul_f64(STRAGGLER_GAIN) + RESTART_COST
}

/// What becomes of a run that takes too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Overdue(SessionId),
    Straggler,
}

impl Dispatcher {
    /// Withdraws the runs that are overdue, and those that end sooner elsewhere.
    pub(super) fn withdraw_late_runs(&mut self, now: Timestamp) {
        // Stragglers first: a target that has just been blamed would count as paused.
        let (overdue, stragglers): (Vec<_>, Vec<_>) = self
            .judge_runs(now)
            .into_iter()
            .partition(|(_, verdict)| matches!(verdict, Verdict::Overdue(_)));
        for (task, _) in stragglers {
            self.move_straggler(task, now);
        }
        for (task, verdict) in overdue {
            if let Verdict::Overdue(session) = verdict {
                self.withdraw_overdue(task, session, now);
            }
        }
    }

    /// Lists the runs that take too long, with what follows.
    fn judge_runs(&self, now: Timestamp) -> Vec<(TaskPosition, Verdict)> {
        let mut verdicts = Vec::new();
        for (number, job) in &self.jobs {
            for (index, task) in job.tasks.iter().enumerate() {
                let TaskPhase::Assigned {
                    session,
                    since,
                    is_withdrawn: false,
                    ..
                } = task.phase
                else {
                    continue;
                };
                let age = now.saturating_duration_since(since);
                let estimate = job.estimate(task);
                if let Some(verdict) = self.judge_run(session, estimate, age) {
                    let position = TaskPosition {
                        job: *number,
                        index,
                    };
                    verdicts.push((position, verdict));
                }
            }
        }
        verdicts
    }

    /// Returns whether a run of this estimate and age takes too long at a session's target, and in which way.
    fn judge_run(&self, session: SessionId, estimate: Duration, age: Duration) -> Option<Verdict> {
        let runner = self.sessions.get(&session)?;
        let expected = self.duration_ratio.expected_duration(estimate);
        let expected_here = expected_at(runner, estimate).max(expected);
        if !runner.is_speed_known() && is_overdue(expected_here, age) {
            return Some(Verdict::Overdue(session));
        }
        let slowness = runner.slowness_against(self.duration_ratio.value());
        is_straggler(expected, age, slowness).then_some(Verdict::Straggler)
    }

    /// Withdraws a straggler if a target that is not slow could run its task now.
    fn move_straggler(&mut self, task: TaskPosition, now: Timestamp) {
        if self.has_faster_target(task, now) {
            self.counts.withdrawn_stragglers += 1;
            self.report_moved(task, now);
            self.record_late_run(task);
            self.withdraw_task(task);
        }
    }

    /// Withdraws an overdue run and counts it against its target.
    fn withdraw_overdue(&mut self, task: TaskPosition, session: SessionId, now: Timestamp) {
        self.counts.overdue += 1;
        self.report_overdue(task, session, now);
        self.record_failure(session, now);
        self.record_late_run(task);
        self.withdraw_task(task);
    }
}
