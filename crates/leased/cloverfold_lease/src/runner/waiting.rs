//! The queue of waiting runs and the accounting of the target's capacity.

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal, TaskId};
use crate::resources::Resources;
use crate::runner::Runner;
use crate::runner::counts::ProcessorUse;
use crate::runner::run::Run;
use crate::runner::target_incarnation::TargetIncarnation;

impl Runner {
    /// Starts waiting runs by priority, then by arrival, while they fit.
    ///
    /// The first that does not fit blocks those behind it, so that small runs do not starve a large one.
    pub(super) fn start_waiting(&mut self, now: Timestamp) {
        if !self.has_ready_target() {
            return;
        }
        let mut free = self.free_now();
        for task in self.waiting_in_order() {
            let demand = self.runs[&task].demand;
            if !free.covers(&demand) {
                break;
            }
            free = free.minus(&demand);
            self.start_run(&task, now);
        }
    }

    /// Refuses the runs that have waited as long as their assignment allows
    /// ([`Assignment::wait_ms`](crate::Assignment::wait_ms), set by the dispatcher).
    pub(super) fn expire_waiting(&mut self, now: Timestamp) {
        let expired: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.has_waited_too_long(now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in expired {
            self.end_run(&task, RunOutcome::NotStarted(RunRefusal::NoCapacity), now);
        }
    }

    /// Refuses all waiting runs because the target accepts no more work.
    pub(super) fn refuse_waiting(&mut self, refusal: RunRefusal, now: Timestamp) {
        for task in self.waiting_in_order() {
            self.end_run(&task, RunOutcome::NotStarted(refusal), now);
        }
    }

    /// Returns the capacity left once all waiting runs have started; negative if they exceed it.
    pub(super) fn free_after_waiting(&self) -> Resources {
        let demands = self.runs.values().map(|run| run.demand);
        self.capacity_minus(demands)
    }

    /// Returns the current use of the target's processors.
    pub fn processor_use(&self) -> ProcessorUse {
        let target = self.target.as_ref();
        let registered = target.map_or(0, |target| target.capacity().cpu_milli);
        let ready = target.filter(|_| self.has_ready_target());
        let offered = ready.map_or(0, |target| target.offered_capacity().cpu_milli);
        let sum = |is_counted: fn(&Run) -> bool| {
            let counted = self.runs.values().filter(|run| is_counted(run));
            counted.map(|run| run.demand.cpu_milli).sum()
        };
        ProcessorUse {
            offered,
            held_back: registered - offered,
            running: sum(|run| !run.is_waiting()),
            waiting: sum(Run::is_waiting),
        }
    }

    /// Returns the capacity left for the next start.
    fn free_now(&self) -> Resources {
        let busy = self.runs.values().filter(|run| !run.is_waiting());
        self.capacity_minus(busy.map(|run| run.demand))
    }

    /// Returns the offered capacity minus these demands; negative if they exceed it.
    fn capacity_minus(&self, demands: impl Iterator<Item = Resources>) -> Resources {
        let capacity = self
            .target
            .as_ref()
            .map(TargetIncarnation::offered_capacity);
        // Without a target nothing is free.
        demands.fold(capacity.unwrap_or_default(), |free, demand| {
            free.minus(&demand)
        })
    }

    /// Returns the waiting runs by priority, then by arrival.
    fn waiting_in_order(&self) -> Vec<TaskId> {
        let is_waiting = |(_, run): &(&TaskId, &Run)| run.is_waiting();
        let mut waiting: Vec<(&TaskId, &Run)> = self.runs.iter().filter(is_waiting).collect();
        waiting.sort_by_key(|(_, run)| (run.priority, run.sequence));
        waiting.into_iter().map(|(task, _)| task.clone()).collect()
    }
}
