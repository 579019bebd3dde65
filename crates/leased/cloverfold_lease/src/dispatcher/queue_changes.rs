//! Changes of queues while their jobs are open.
//!
//! The service and the priority of a queue belong to the configuration in force, so a change applies to all its open jobs, kept and
//! repeatable, started or not. Runs that are already assigned continue; only later assignments go to the new service. The jobs of a removed
//! queue retain the last attributes.
//!
//! The latency objective and the maximum number of attempts are those at submission: the deadlines of a job were derived from the one, and
//! its group counts failures against the other.

use std::collections::HashMap;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::job::{Job, JobNumber};

/// Attributes of a queue that its open jobs follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueAttributes {
    /// Service whose targets execute its jobs.
    pub service: String,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

impl QueueAttributes {
    /// Returns whether a job has these attributes already.
    fn match_job(&self, job: &Job) -> bool {
        job.request.service == self.service && job.request.priority == self.priority
    }
}

impl Dispatcher {
    /// Applies the current attributes of all queues, by name, to their open jobs; returns the number of jobs that changed.
    pub fn update_queues(
        &mut self,
        queues: &HashMap<String, QueueAttributes>,
        now: Timestamp,
    ) -> usize {
        self.give_up_after_stall(now);
        self.shares
            .update_priorities(|queue| queues.get(queue).map(|attributes| attributes.priority));
        let changed: Vec<(JobNumber, &QueueAttributes)> = self
            .jobs
            .iter()
            .filter_map(|(number, job)| {
                let attributes = queues.get(&job.request.queue)?;
                (!attributes.match_job(job)).then_some((*number, attributes))
            })
            .collect();
        let count = changed.len();
        for (number, attributes) in changed {
            self.change_job(number, attributes);
        }
        if count > 0 {
            self.place_unless_catching_up(now);
        }
        count
    }

    /// Changes the service and the priority of an open job, and with the priority its position in the queue.
    fn change_job(&mut self, number: JobNumber, attributes: &QueueAttributes) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let is_waiting = self.waiting.remove(&job.queue_position(number));
        job.request.service.clone_from(&attributes.service);
        job.request.priority = attributes.priority;
        if is_waiting {
            self.waiting.insert(job.queue_position(number));
        }
    }
}
