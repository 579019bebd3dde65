//! Stop orders: sending and retries.
//!
//! Only the target's list (`unlisted`) or a reported end shows that a stop took effect; the answer to a stop is not used.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, TaskId};
use crate::runner::orders::StopOrder;
use crate::runner::run::{RunState, StopStep};
use crate::runner::{Runner, RunnerAction};

/// Time without effect after which a stop is retried.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(120);

impl Runner {
    /// Stops a run: refuses it if it is still waiting, otherwise sends a stop.
    ///
    /// A run that may be running keeps its capacity and blocks its task until its end is certain, see [`Runner::end_run`].
    /// `outcome_if_never_started` is reported if it turns out that no start was executed.
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
            StopStep::EndNow => self.end_run(task, outcome_if_never_started, now),
            StopStep::AlreadyStopping => {}
            StopStep::SendStop => {
                self.counts.stopped += 1;
                self.send_stop(task.clone(), number);
            }
        }
    }

    /// Sends a stop, whether or not the runner knows the run; does nothing without a target.
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

    /// Retries stops without effect for [`STOP_RETRY_INTERVAL`].
    pub(super) fn retry_stops(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for (task, run) in &mut self.runs {
            if let RunState::Stopping(stop) = &mut run.state
                && now >= stop.last_sent_at + STOP_RETRY_INTERVAL
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
