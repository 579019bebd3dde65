//! Reconciliation of the target's list with the runs of this runner.
//!
//! It finds ends, confirmed starts, progress, missing runs (`unlisted`) and orphans.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndOutcome, is_kept_run};

use crate::messages::{RunOutcome, TaskId};
use crate::runner::answers::{EndCause, EndedRun, ListedRun};
use crate::runner::run::Run;
use crate::runner::unlisted::{ListContext, outcome_of_unlisted_run};
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Processes the ends that the target lists; ends that were processed before are ignored.
    pub(super) fn record_ends(&mut self, ended: Vec<EndedRun>, now: Timestamp) {
        let listed_ends = ended.len();
        for end in ended {
            self.record_end(&end, now);
        }
        if let Some(target) = &mut self.target {
            target.held_ends.require_lapse_if_full(listed_ends);
        }
    }

    /// Processes one listed end: acknowledges it unless it is held, updates the target's performance, and removes the run.
    fn record_end(&mut self, end: &EndedRun, now: Timestamp) {
        let Some(target) = &mut self.target else {
            return;
        };
        let run = self.runs.get(&end.task);
        let run = run.filter(|run| run.number == end.run);
        if end.number <= target.last_processed_end {
            self.counts.skipped_ends += u64::from(run.is_some());
            return;
        }
        target.last_processed_end = end.number;
        let Some(run) = run else {
            if is_kept_run(end.run) && recorded_outcome(end.cause).is_some() {
                target.held_ends.hold_until_lapse(end.number);
            }
            return;
        };
        let recorded = recorded_outcome(end.cause).and_then(|outcome| run.task_end(end, outcome));
        if let Some(recorded) = recorded {
            target.held_ends.hold(end.number, recorded.clone());
            self.actions.push(RunnerAction::RecordEnd(recorded));
        }
        let outcome = outcome_of_end(end.cause);
        if outcome == RunOutcome::Done {
            target.performance.record_done();
            self.usual_speed_estimator
                .record_run(run.ran_for(now), run.estimate);
            if let Some(speed) = run.mean_speed(now) {
                target.performance.record_speed(run.sequence, speed, now);
            }
        }
        self.end_run(&end.task, outcome, now);
    }

    /// Reconciles the runs that the target lists with those of this runner.
    pub(super) fn reconcile_runs(
        &mut self,
        running: &[ListedRun],
        context: ListContext,
        now: Timestamp,
    ) {
        for listed in running {
            self.record_listed_run(listed, now);
        }
        self.end_unlisted_runs(running, context, now);
        self.stop_orphans(running);
    }

    /// Records a listed run: confirms its start and updates its progress.
    fn record_listed_run(&mut self, listed: &ListedRun, now: Timestamp) {
        let run = self.runs.get_mut(&listed.task);
        let Some(run) = run.filter(|run| run.number == listed.run) else {
            return;
        };
        if run.confirm_start(now) {
            self.counts.started += 1;
        }
        let Some(target) = &mut self.target else {
            return;
        };
        if run.progress.record(listed.progress, now) {
            target.performance.record_progress();
        }
        let speed = run
            .progress
            .measure_speed(listed.progress, run.estimate, now);
        if let Some(speed) = speed {
            target.performance.record_speed(run.sequence, speed, now);
        }
    }

    /// Ends the runs that the list leaves out, if that makes their end certain.
    fn end_unlisted_runs(&mut self, running: &[ListedRun], context: ListContext, now: Timestamp) {
        let is_listed = |task: &TaskId, run: &Run| {
            let is_same = |listed: &ListedRun| listed.run == run.number && listed.task == *task;
            running.iter().any(is_same)
        };
        let ended: Vec<(TaskId, RunOutcome)> = self
            .runs
            .iter()
            .filter(|(task, run)| !is_listed(task, run))
            .filter_map(|(task, run)| {
                let outcome = outcome_of_unlisted_run(&run.state, context)?;
                Some((task.clone(), outcome))
            })
            .collect();
        for (task, outcome) in ended {
            self.end_run(&task, outcome, now);
        }
    }

    /// Stops orphans: runs at the target that this runner does not know, from an earlier process or from a start that was executed late.
    ///
    /// While there are any, the target gets no work and its lease is not extended.
    fn stop_orphans(&mut self, running: &[ListedRun]) {
        let is_own = |listed: &ListedRun| {
            let run = self.runs.get(&listed.task);
            run.is_some_and(|run| run.number == listed.run)
        };
        let orphans: Vec<&ListedRun> = running.iter().filter(|listed| !is_own(listed)).collect();
        if let Some(target) = &mut self.target {
            target.has_only_own_runs = orphans.is_empty();
        }
        for orphan in orphans {
            self.counts.orphans += 1;
            self.send_stop(orphan.task.clone(), orphan.run);
        }
    }
}

/// Returns the outcome to record for a kept run; `None` if its end neither completes a task nor counts as an attempt.
fn recorded_outcome(cause: EndCause) -> Option<EndOutcome> {
    match cause {
        EndCause::Done => Some(EndOutcome::Done),
        EndCause::Failed => Some(EndOutcome::Failed),
        EndCause::Stopped | EndCause::Lapsed => None,
    }
}

/// Returns the outcome to report for a listed cause.
fn outcome_of_end(cause: EndCause) -> RunOutcome {
    match cause {
        EndCause::Done => RunOutcome::Done,
        EndCause::Failed => RunOutcome::Failed,
        EndCause::Stopped => RunOutcome::Stopped,
        EndCause::Lapsed => RunOutcome::Lost,
    }
}
