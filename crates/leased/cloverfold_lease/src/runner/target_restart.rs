//! Handles a restart of the target under the same name.
//!
//! An order names the target and not its incarnation, so the new incarnation may have executed, or may still execute, orders to the
//! previous one. Its clock starts again, so the deadlines of those orders do not bind it.
//!
//! | of the previous incarnation | behaviour |
//! |---|---|
//! | waiting runs | refused |
//! | started runs | stopped; ended once a list that was requested with a higher fencing token leaves them out |
//! | its lease | lapsed at most one longest lease and a stop after the new incarnation has answered with the higher token |
//! | registration and end numbers, clock, draining, responsiveness, pauses, speeds, a hold for upkeep | discarded |
//!
//! From the higher token on, the new incarnation refuses orders to the previous one. The bound on the lease is
//! [`Timings::max_lease`](crate::Timings::max_lease) on a slow clock plus [`Timings::stop_timeout`](crate::Timings::stop_timeout).
//!
//! This assumes that a target refuses fencing tokens below the highest that its incarnation has seen. After an unanswered renewal no end is
//! acknowledged (`TargetIncarnation::acknowledged_end`), since the next answer may come from a new incarnation, in which the same number
//! means another end.

use cloverfold_base::Timestamp;

use crate::messages::{RunRefusal, TaskId};
use crate::runner::answers::TargetRegistration;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Replaces the target by another incarnation under the same name; `registration` is its registration, if it has sent one.
    pub(super) fn adopt_restarted_target(
        &mut self,
        incarnation: IncarnationId,
        registration: Option<TargetRegistration>,
        now: Timestamp,
    ) {
        let Some(predecessor) = self.target.take() else {
            return;
        };
        self.next_sequence += 1;
        let target =
            predecessor.next_incarnation(incarnation, registration, self.next_sequence, now);
        if target.is_registered {
            self.usual_speed_estimator
                .record_target(&target.registration);
        }
        self.target = Some(target);
        self.record_ended_incarnation(predecessor.registration.incarnation);
        self.refuse_waiting(RunRefusal::NoTarget, now);
        self.stop_predecessor_runs(now);
        self.announce_target();
        self.actions.push(RunnerAction::RenewNow);
    }

    /// Stops all runs that were started in the previous incarnation.
    fn stop_predecessor_runs(&mut self, now: Timestamp) {
        let Some(target) = &self.target else {
            return;
        };
        let fencing_token = target.fencing_token;
        let mut stopped: Vec<(TaskId, u64)> = Vec::new();
        for (task, run) in &mut self.runs {
            run.await_fencing(fencing_token, now);
            stopped.push((task.clone(), run.number));
        }
        for (task, number) in stopped {
            self.send_stop(task, number);
        }
    }
}
