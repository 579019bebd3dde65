//! What follows from stuck runs: they are stopped, and their target is paused.
//!
//! Carries out the verdicts of `progress` (one run) and `performance` (the target).
//! Owns no state besides the runner's; relies on those two, on `stops` and on `waiting`.

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal, TaskId};
use crate::runner::Runner;

impl Runner {
    /// Stops the runs that are stuck, and pauses the target if there are too many of them.
    ///
    /// A target of which no run was ever seen to advance is not judged: it may report no progress at all.
    pub(super) fn stop_stuck_runs(&mut self, now: Timestamp) {
        let target = self.target.as_ref();
        if !target.is_some_and(|target| target.performance.reports_progress()) {
            return;
        }
        for task in self.find_stuck_runs(now) {
            self.stop_stuck_run(&task, now);
            let target = self.target.as_mut();
            if target.is_some_and(|target| target.performance.record_stuck(now)) {
                self.begin_target_pause(now);
            }
        }
    }

    fn find_stuck_runs(&self, now: Timestamp) -> Vec<TaskId> {
        self.runs
            .iter()
            .filter(|(_, run)| run.is_running())
            .filter(|(_, run)| run.progress.is_stuck(run.estimate, now))
            .map(|(task, _)| task.clone())
            .collect()
    }

    /// Stops a run that is stuck; its end is reported as [`RunOutcome::Stuck`].
    fn stop_stuck_run(&mut self, task: &TaskId, now: Timestamp) {
        if let Some(run) = self.runs.get_mut(task) {
            run.is_stopped_as_stuck = true;
        }
        self.counts.stuck += 1;
        self.stop_run(task, RunOutcome::Stuck, now);
    }

    /// Gives back what waits and announces that the target accepts no work.
    fn begin_target_pause(&mut self, now: Timestamp) {
        self.counts.pauses += 1;
        self.give_back_waiting(RunRefusal::NoTarget, now);
        self.announce_target();
    }

    /// Offers the target again, in part, when its pause is over.
    pub(super) fn end_target_pause(&mut self, now: Timestamp) {
        let target = self.target.as_mut();
        if target.is_some_and(|target| target.performance.end_pause(now)) {
            self.announce_target();
        }
    }
}
