//! When a job may take slots.
//!
//! A coordinator that knows the load of its cell queues a job here, unclaimed, until slots are free for it. A queued
//! job has cost no message and can still be refused as `not_run`. Reasons: docs/design/3-lead-and-placement.md.
//!
//! Owns the queue and the number of admitted tasks of each flow. Relies on the caller for the cell's [`Capacity`].

use std::collections::HashMap;

use crate::fair_queue::{FairQueue, Flow};
use crate::outcome::ReasonCode;

/// A job waits for as many slots as it has tasks, but for no more than all slots divided by this.
///
/// Chosen, not measured; see docs/design/3-lead-and-placement.md.
const LARGEST_NEED_DIVISOR: usize = 8;

/// Number of a waiting job, unique in its process.
pub type TicketId = u64;

/// Slots of the cell as its coordinator knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots without a task.
    pub free: usize,
    /// All slots.
    pub total: usize,
    /// Tasks beyond the slots, which wait at the targets.
    pub backlog: usize,
}

/// A job that asks for slots.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Number of the job.
    pub id: TicketId,
    /// Workspace and service.
    pub flow: Flow,
    /// Weight of the flow, above 0.
    pub weight: f64,
    /// Number of tasks.
    pub tasks: usize,
}

/// The admitted tasks of a flow.
#[derive(Clone, Copy, Debug, Default)]
struct ActiveFlow {
    tasks: usize,
    weight: f64,
}

/// The waiting jobs of a coordinator, and the tasks of the admitted ones by flow.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    waiting: FairQueue<Ticket>,
    waiting_tasks: usize,
    weights: HashMap<Flow, f64>,
    active: HashMap<Flow, ActiveFlow>,
}

impl Admission {
    /// Returns the number of tasks of waiting jobs.
    pub fn waiting_tasks(&self) -> usize {
        self.waiting_tasks
    }

    /// Queues a job, unless `limit` tasks wait already.
    ///
    /// # Errors
    ///
    /// Returns [`ReasonCode::QueueFull`].
    pub fn push(&mut self, ticket: Ticket, limit: usize) -> Result<(), ReasonCode> {
        if self.waiting_tasks >= limit {
            return Err(ReasonCode::QueueFull);
        }
        self.waiting_tasks += ticket.tasks;
        self.weights.insert(ticket.flow.clone(), ticket.weight);
        let cost = ticket.tasks as f64;
        self.waiting
            .push(ticket.flow.clone(), ticket.weight, cost, ticket);
        Ok(())
    }

    /// Removes the next job that may have slots now from the queue, and counts its tasks as active.
    ///
    /// Jobs go in fair order as slots come free, and a larger job is not overtaken by smaller ones. While large
    /// jobs have a backlog at the targets, slots do not come free here; then a flow that has less than its
    /// share is let in all the same, since the queues there serve it before the backlog.
    pub fn admit_next(&mut self, capacity: Capacity) -> Option<Ticket> {
        let (_, first) = self.waiting.peek()?;
        let is_free = capacity.free >= limit_need(first.tasks, capacity.total);
        let ticket = if is_free {
            self.waiting.pop()
        } else if capacity.backlog == 0 {
            None
        } else {
            self.pop_below_share(capacity.total)
        }?;
        self.waiting_tasks -= ticket.tasks;
        let active = self.active.entry(ticket.flow.clone()).or_default();
        active.tasks += ticket.tasks;
        active.weight = ticket.weight;
        Some(ticket)
    }

    /// Removes the next job whose flow stays within its share of all slots with it.
    fn pop_below_share(&mut self, total: usize) -> Option<Ticket> {
        let shares = self.compute_shares(total);
        let active = &self.active;
        self.waiting.pop_where(|flow, ticket| {
            let has = active.get(flow).map_or(0, |one| one.tasks);
            // Every waiting flow has a share, so the default is never used.
            let share = shares.get(flow).copied().unwrap_or(0.0);
            (has + limit_need(ticket.tasks, total)) as f64 <= share
        })
    }

    /// Records that tasks of an admitted job no longer take slots.
    pub fn record_ended(&mut self, flow: &Flow, tasks: usize) {
        if let Some(active) = self.active.get_mut(flow) {
            active.tasks = active.tasks.saturating_sub(tasks);
            if active.tasks == 0 {
                self.active.remove(flow);
            }
        }
    }

    /// Removes a queued job; returns whether it was still waiting.
    pub fn cancel(&mut self, id: TicketId) -> bool {
        let taken = self.waiting.drain_where(|ticket| ticket.id == id);
        self.waiting_tasks -= taken.iter().map(|ticket| ticket.tasks).sum::<usize>();
        !taken.is_empty()
    }

    /// Divides all slots by weight among the flows that have or want some.
    fn compute_shares(&self, total: usize) -> HashMap<Flow, f64> {
        let mut weights: HashMap<Flow, f64> = self
            .active
            .iter()
            .map(|(flow, active)| (flow.clone(), active.weight))
            .collect();
        for flow in self.waiting.waiting_flows() {
            let weight = self.weights.get(flow).copied().unwrap_or(1.0);
            weights.insert(flow.clone(), weight);
        }
        let sum: f64 = weights.values().sum();
        let share = |weight: f64| total as f64 * weight / sum;
        weights
            .into_iter()
            .map(|(flow, weight)| (flow, share(weight)))
            .collect()
    }
}

/// Returns how many free slots a job with so many tasks waits for.
fn limit_need(tasks: usize, total: usize) -> usize {
    tasks.min((total / LARGEST_NEED_DIVISOR).max(1))
}
