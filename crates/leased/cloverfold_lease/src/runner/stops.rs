//! Stops of runs: sending and repeats.
//!
//! Ends a run before it is done. Owns no state besides the runner's.
//! Relies on [`Run`](crate::runner::run::Run) for the states of a run. That a stop has had its effect is seen only in the target's list
//! (`unlisted`) or in an end that it reports; the answer to a stop is not used.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, TaskId};
use crate::runner::orders::StopOrder;
use crate::runner::run::{RunState, StopStep};
use crate::runner::{Runner, RunnerAction};

/// How long a stop may show no effect before it is sent again.
const STOP_REPEAT: Duration = Duration::from_millis(120);

impl Runner {
    /// Stops a run: gives back one that waits at once, and sends a stop for one that may run.
    ///
    /// A run that may run keeps its capacity and blocks its task until its end is certain, see [`Runner::end_run`].
    /// `outcome_if_never_started` is reported if it turns out that no start of it was carried out.
    pub(super) fn stop_run(
        &mut self,
        task: &TaskId,
        outcome_if_never_started: RunOutcome,
        now: Timestamp,
    ) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let number = run.number;
        match run.begin_stop(outcome_if_never_started, now) {
            StopStep::IsOver => self.end_run(task, outcome_if_never_started, now),
            StopStep::IsStopping => {}
            StopStep::SendStop => {
                self.counts.stopped += 1;
                self.send_stop(task.clone(), number);
            }
        }
    }

    /// Sends a stop of a run, whether or not the runner knows it; does nothing without a target.
    pub(super) fn send_stop(&mut self, task: TaskId, number: u64) {
        let Some(target) = &self.target else {
            return;
        };
        let order = StopOrder {
            incarnation: target.registration.incarnation.clone(),
            address: target.registration.address.clone(),
            task,
            run: number,
            fencing_token: target.fencing_token,
            timeout: self.timings.order_timeout,
        };
        self.counts.calls.stops += 1;
        self.actions.push(RunnerAction::Stop(order));
    }

    /// Sends stops again that have shown no effect for [`STOP_REPEAT`].
    pub(super) fn repeat_stops(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for (task, run) in &mut self.runs {
            if let RunState::Stopping(stop) = &mut run.state
                && now >= stop.last_sent_at + STOP_REPEAT
            {
                stop.last_sent_at = now;
                due.push((task.clone(), run.number));
            }
        }
        for (task, number) in due {
            self.send_stop(task, number);
        }
    }
}
