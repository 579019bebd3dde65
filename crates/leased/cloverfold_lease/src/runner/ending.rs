//! Ends of runs and their reports to dispatchers.
//!
//! No other module removes a run.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal, RunnerMessage, SessionId, TaskId};
use crate::runner::run::Run;
use crate::runner::{Runner, RunnerAction};

/// Report of the end of a run to its dispatcher.
pub(super) struct EndReport {
    pub(super) task: TaskId,
    /// Number of the run, assigned by the dispatcher.
    pub(super) run: u64,
    pub(super) outcome: RunOutcome,
    /// Time since the first start was sent; zero if it never ran.
    pub(super) ran: Duration,
}

impl Runner {
    /// Removes a run whose end is certain and reports the end to its dispatcher.
    ///
    /// The caller must ensure that the run is not running and can no longer start, since the dispatcher may then start the task elsewhere.
    /// That is certain when
    ///
    /// - no start was sent, or the only start was refused;
    /// - the target reported the end;
    /// - the target's list leaves the run out, under the conditions of `outcome_of_unlisted_run`;
    /// - the target's incarnation has ended, or every lease that it may have has lapsed.
    pub(super) fn end_run(&mut self, task: &TaskId, outcome: RunOutcome, now: Timestamp) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let outcome = reported_outcome(&run, outcome);
        self.count_end(outcome);
        let Some(session) = run.session else {
            // No session waits for this end, but it may have been the last leftover run that blocked the announcement.
            self.announce_target();
            return;
        };
        let report = EndReport {
            task: task.clone(),
            run: run.number,
            outcome,
            ran: run.ran_for(now),
        };
        self.send_end(session, report, now);
    }

    fn count_end(&mut self, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Lost => self.counts.lost += 1,
            RunOutcome::NotStarted(_) => self.counts.refused += 1,
            RunOutcome::Done | RunOutcome::Failed | RunOutcome::Stopped | RunOutcome::Stuck => {}
        }
    }

    /// Ends every run because the target's incarnation has ended or its lease has lapsed.
    pub(super) fn end_all_runs(&mut self, now: Timestamp) {
        let tasks: Vec<TaskId> = self.runs.keys().cloned().collect();
        for task in tasks {
            let outcome = if self.runs[&task].is_waiting() {
                RunOutcome::NotStarted(RunRefusal::NoTarget)
            } else {
                RunOutcome::Lost
            };
            self.end_run(&task, outcome, now);
        }
    }

    /// Reports an end to a dispatcher, together with the current free capacity.
    pub(super) fn send_end(&mut self, session: SessionId, report: EndReport, now: Timestamp) {
        let free_capacity = self.free_capacity_for(session, now);
        let message = RunnerMessage::Ended {
            task: report.task,
            run: report.run,
            outcome: report.outcome,
            // A u32 covers 49 days in milliseconds.
            ran_ms: report.ran.as_millis() as u32,
            free_capacity,
        };
        self.actions.push(RunnerAction::Send(session, message));
    }
}

/// Returns the outcome to report: a run that was stopped because it was stuck is reported as `Stuck`, not as `Stopped`.
fn reported_outcome(run: &Run, outcome: RunOutcome) -> RunOutcome {
    match outcome {
        RunOutcome::Stopped if run.is_stopped_as_stuck => RunOutcome::Stuck,
        other => other,
    }
}
