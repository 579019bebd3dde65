//! Decision: what becomes of the runs when the target is found to have started again under the name that it had.
//!
//! An order names the target and not its incarnation, so the new one may have carried out, or may yet carry out, what was sent to the one
//! before. Its clock begins anew, so the deadlines of those orders bind nothing there.
//!
//! | of the incarnation before | rule |
//! |---|---|
//! | runs that wait | given back |
//! | runs that were started | stopped; over once a list leaves them out that was asked for with a higher fencing token than theirs: from then on the new incarnation refuses the orders to the one before |
//! | its lease | over [`Timings::max_lease`](crate::Timings::max_lease) and a stop after the new incarnation has answered with the higher token |
//! | numbers of registrations and ends, clock, draining, silence, pauses, speeds, a hold for upkeep | forgotten |
//!
//! Inputs: the runs and the fencing token of the incarnation before. No constant.
//!
//! Owns no state besides the runner's. Relies on a target that refuses fencing tokens below the highest that its incarnation has seen, and
//! on no end being acknowledged to a target that has left a renewal unanswered (`TargetIncarnation::acknowledged_end`): it may be a new
//! incarnation, in which that number means another end.

use cloverfold_base::Timestamp;

use crate::messages::{RunRefusal, TaskId};
use crate::runner::answers::TargetRegistration;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Follows the target into another incarnation under the same name; `registration` is that one's, if it has registered.
    pub(super) fn follow_target(
        &mut self,
        incarnation: IncarnationId,
        registration: Option<TargetRegistration>,
        now: Timestamp,
    ) {
        let Some(before) = self.target.take() else {
            return;
        };
        self.next_sequence += 1;
        let target = before.succeed(incarnation, registration, self.next_sequence, now);
        if target.is_registered {
            self.usual_speeds.record_target(&target.registration);
        }
        self.target = Some(target);
        self.remember_as_ended(before.registration.incarnation);
        self.give_back_waiting(RunRefusal::NoTarget, now);
        self.stop_earlier_runs(now);
        self.announce_target();
        self.actions.push(RunnerAction::RenewNow);
    }

    /// Stops all that was started in the incarnation before.
    fn stop_earlier_runs(&mut self, now: Timestamp) {
        let Some(target) = &self.target else {
            return;
        };
        let fencing_token = target.fencing_token;
        let mut stopped: Vec<(TaskId, u64)> = Vec::new();
        for (task, run) in &mut self.runs {
            run.outlive_incarnation(fencing_token, now);
            stopped.push((task.clone(), run.number));
        }
        for (task, number) in stopped {
            self.send_stop(task, number);
        }
    }
}
