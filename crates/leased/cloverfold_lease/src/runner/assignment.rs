//! Acceptance and withdrawal of assignments.
//!
//! An accepted assignment becomes a run that waits for capacity (`waiting`). A withdrawn one is stopped (`stops`, `ending`).

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{Assignment, KeptAssignment, RunOutcome, RunRefusal, SessionId, TaskId};
use crate::runner::Runner;
use crate::runner::ending::EndReport;
use crate::runner::run::{KeptRun, Run};
use crate::runner::target_incarnation::TargetIncarnation;

impl Runner {
    /// Accepts an assignment and starts it if it fits, or refuses it.
    pub(super) fn assign(
        &mut self,
        session: SessionId,
        assignment: Assignment,
        kept: Option<KeptRun>,
        now: Timestamp,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else {
            // The session is closed, so its dispatcher already considers the run ended.
            return;
        };
        state.assignments_seen += 1;
        if let Some(refusal) = self.find_refusal(session, &assignment, now) {
            self.refuse(session, assignment, refusal, now);
            return;
        }
        self.next_sequence += 1;
        let run = Run::new(session, self.next_sequence, &assignment, kept, now);
        self.runs.insert(assignment.task, run);
        self.start_waiting(now);
    }

    /// Accepts or refuses an assignment of a kept job.
    pub(super) fn assign_kept(&mut self, session: SessionId, kept: KeptAssignment, now: Timestamp) {
        let run = KeptRun {
            epoch: kept.epoch,
            index_in_job: kept.index_in_job,
        };
        self.assign(session, kept.assignment, Some(run), now);
    }

    /// Reports an assignment as refused.
    fn refuse(
        &mut self,
        session: SessionId,
        assignment: Assignment,
        refusal: RunRefusal,
        now: Timestamp,
    ) {
        self.counts.refused += 1;
        let report = EndReport {
            task: assignment.task,
            run: assignment.run,
            outcome: RunOutcome::NotStarted(refusal),
            ran: Duration::ZERO,
        };
        self.send_end(session, report, now);
    }

    /// Returns why an assignment is refused, if there is a reason; the first that applies.
    ///
    /// 1. `Expired`: its session has expired, or it arrives after the end of the session as the dispatcher knew it (runner's clock). The
    ///    dispatcher may already consider its runs here ended.
    /// 2. `Evacuated`: no task starts in the data hall.
    /// 3. `Draining` or `NoTarget`: the target accepts no work, see [`TargetIncarnation::find_unavailable_reason`].
    /// 4. `Draining`: this runner drains, or the target is held for upkeep.
    /// 5. `EarlierRunOpen`: the end of an earlier run of the task is not certain, and two runs of a task must not overlap.
    /// 6. `NoCapacity`: it exceeds the target's total capacity. A run that only exceeds the free capacity waits instead.
    fn find_refusal(
        &self,
        session: SessionId,
        assignment: &Assignment,
        now: Timestamp,
    ) -> Option<RunRefusal> {
        let is_valid = self
            .sessions
            .get(&session)
            .is_some_and(|s| !s.has_expired(now));
        if !is_valid || now > assignment.valid_until {
            return Some(RunRefusal::Expired);
        }
        if self.is_evacuated {
            return Some(RunRefusal::Evacuated);
        }
        let Some(target) = self.target.as_ref().filter(|target| target.accepts_work()) else {
            return Some(self.refusal_without_target());
        };
        if self.is_draining || self.is_target_held() {
            return Some(RunRefusal::Draining);
        }
        if self.runs.contains_key(&assignment.task) {
            return Some(RunRefusal::EarlierRunOpen);
        }
        let fits = target.capacity().covers(&assignment.demand);
        (!fits).then_some(RunRefusal::NoCapacity)
    }

    /// Returns `Draining` if the target drains, otherwise `NoTarget`.
    fn refusal_without_target(&self) -> RunRefusal {
        let is_draining = self
            .target
            .as_ref()
            .is_some_and(TargetIncarnation::is_draining);
        if is_draining {
            RunRefusal::Draining
        } else {
            RunRefusal::NoTarget
        }
    }

    /// Stops or refuses a run that this session assigned.
    pub(super) fn withdraw(&mut self, session: SessionId, task: &TaskId, run: u64, now: Timestamp) {
        let is_withdrawn_run = |known: &Run| known.number == run && known.session == Some(session);
        if self.runs.get(task).is_some_and(is_withdrawn_run) {
            self.stop_run(task, RunOutcome::NotStarted(RunRefusal::Withdrawn), now);
        }
    }
}
