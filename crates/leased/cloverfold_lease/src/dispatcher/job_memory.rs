//! How much memory an open job takes.

use std::mem::size_of;

use crate::dispatcher::job::{Job, Task};
use crate::request::{JobRequest, StepRequest};

/// Bytes that the allocator adds to a small allocation.
const ALLOCATION_OVERHEAD: usize = 16;
/// Bytes of the counts that are kept for each step.
const STEP_COUNTS_BYTES: usize = 32;

impl JobRequest {
    /// Returns the memory that the job takes while it is open, in bytes.
    pub fn open_bytes(&self) -> usize {
        let steps: usize = self.steps.iter().map(|step| self.step_bytes(step)).sum();
        size_of::<Job>() + self.id.len() + self.spec.len() + steps
    }

    /// Returns the memory of a step and its tasks.
    fn step_bytes(&self, step: &StepRequest) -> usize {
        let labels = [&step.required_label, &step.preferred_label];
        let label_bytes: usize = labels.into_iter().flatten().map(String::capacity).sum();
        let dependencies = step.depends_on.capacity() * size_of::<usize>();
        let task = size_of::<Task>() + self.id.len() + ALLOCATION_OVERHEAD;
        let tasks = step.count as usize * task;
        size_of::<StepRequest>() + STEP_COUNTS_BYTES + label_bytes + dependencies + tasks
    }
}
