//! Number of tasks of a job by phase, kept up to date so that no decision about a waiting job has to look at all its tasks.

use std::collections::BTreeMap;

use crate::dispatcher::job::TaskPhase;

/// Number of tasks of a job by phase.
#[derive(Clone, Debug)]
pub(super) struct PhaseCounts {
    /// Tasks that are blocked or waiting.
    idle: usize,
    done: usize,
    done_by_step: Vec<u32>,
    /// Waiting tasks by step; steps without any are omitted.
    waiting_by_step: BTreeMap<usize, u32>,
}

impl PhaseCounts {
    /// Returns the counts of a job without tasks.
    pub(super) fn new(steps: usize) -> Self {
        Self {
            idle: 0,
            done: 0,
            done_by_step: vec![0; steps],
            waiting_by_step: BTreeMap::new(),
        }
    }

    /// Counts a task of a step in its phase.
    pub(super) fn add(&mut self, step: usize, phase: TaskPhase) {
        match phase {
            TaskPhase::Blocked => self.idle += 1,
            TaskPhase::Waiting => {
                self.idle += 1;
                *self.waiting_by_step.entry(step).or_default() += 1;
            }
            TaskPhase::Done => {
                self.done += 1;
                self.done_by_step[step] += 1;
            }
            TaskPhase::Assigned { .. } | TaskPhase::Uncertain | TaskPhase::Unrecorded => {}
        }
    }

    /// Removes a task of a step that was counted in this phase.
    pub(super) fn remove(&mut self, step: usize, phase: TaskPhase) {
        match phase {
            TaskPhase::Blocked => self.idle -= 1,
            TaskPhase::Waiting => {
                self.idle -= 1;
                self.remove_waiting(step);
            }
            TaskPhase::Done => {
                self.done -= 1;
                self.done_by_step[step] -= 1;
            }
            TaskPhase::Assigned { .. } | TaskPhase::Uncertain | TaskPhase::Unrecorded => {}
        }
    }

    fn remove_waiting(&mut self, step: usize) {
        if let Some(waiting) = self.waiting_by_step.get_mut(&step) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting_by_step.remove(&step);
            }
        }
    }

    /// Returns the number of tasks that are blocked or waiting.
    pub(super) fn idle(&self) -> usize {
        self.idle
    }

    pub(super) fn done(&self) -> usize {
        self.done
    }

    pub(super) fn done_in_step(&self, step: usize) -> u32 {
        self.done_by_step[step]
    }

    pub(super) fn waiting_in_step(&self, step: usize) -> u32 {
        self.waiting_by_step.get(&step).copied().unwrap_or_default()
    }

    /// Returns the steps that have waiting tasks, in order.
    pub(super) fn waiting_steps(&self) -> impl Iterator<Item = usize> {
        self.waiting_by_step.keys().copied()
    }
}
