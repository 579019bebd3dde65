//! Stops stuck runs and pauses their target.
//!
//! `progress` detects stuck runs, and `performance` decides on the pause.

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal, TaskId};
use crate::runner::Runner;

impl Runner {
    /// Stops stuck runs, and pauses the target if there are too many of them.
    ///
    /// A target whose runs were never seen to advance is not checked, since it may not report progress.
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

    /// Stops a stuck run; its end is reported as [`RunOutcome::Stuck`].
    fn stop_stuck_run(&mut self, task: &TaskId, now: Timestamp) {
        if let Some(run) = self.runs.get_mut(task) {
            run.is_stopped_as_stuck = true;
        }
        self.counts.stuck += 1;
        self.stop_run(task, RunOutcome::Stuck, now);
    }

    /// Refuses waiting runs and announces that the target accepts no work.
    fn begin_target_pause(&mut self, now: Timestamp) {
        self.counts.pauses += 1;
        self.refuse_waiting(RunRefusal::NoTarget, now);
        self.announce_target();
    }

    /// Offers the target again, in part, after its pause.
    pub(super) fn end_target_pause(&mut self, now: Timestamp) {
        let target = self.target.as_mut();
        if target.is_some_and(|target| target.performance.end_pause(now)) {
            self.announce_target();
        }
    }
}
