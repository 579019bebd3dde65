//! Admission control: queues jobs until the cell has free slots for them.
//!
//! A queued job has no claim yet, so it needs no messages and can still be refused as `not_run`. The caller provides the
//! cell's [`Capacity`].

use std::collections::HashMap;

use crate::fair_queue::{FairQueue, Flow};
use crate::outcome::ReasonCode;

/// A job waits for as many free slots as it has tasks, but for at most the total divided by this.
const REQUIRED_SLOTS_DIVISOR: usize = 8;

/// Identifier of a queued job, unique in its process.
pub type TicketId = u64;

/// Slots of the cell, as this coordinator knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots without a task.
    pub free: usize,
    /// All slots.
    pub total: usize,
    /// Tasks that wait for a slot at the guards.
    pub backlog: usize,
}

/// A queued job.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Identifier of the job.
    pub id: TicketId,
    /// Workspace and service of the job.
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

/// The queued jobs of a coordinator, and the number of admitted tasks of each flow.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    waiting: FairQueue<Ticket>,
    waiting_tasks: usize,
    weights: HashMap<Flow, f64>,
    active: HashMap<Flow, ActiveFlow>,
}

impl Admission {
    /// Returns the number of tasks of queued jobs.
    pub fn waiting_tasks(&self) -> usize {
        self.waiting_tasks
    }

    /// Queues a job, unless `limit` tasks are queued already.
    ///
    /// # Errors
    ///
    /// Returns [`ReasonCode::QueueFull`] at the limit.
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

    /// Removes the next job that can be admitted and counts its tasks as active.
    ///
    /// Jobs are admitted in fair order as slots become free, so small jobs do not overtake a large one. While guards
    /// have a backlog, no slots become free; a job of a flow below its share is then admitted anyway, because the
    /// guards' fair queues serve it before the backlog.
    pub fn admit_next(&mut self, capacity: Capacity) -> Option<Ticket> {
        let (_, first) = self.waiting.peek()?;
        let is_free = capacity.free >= required_slots(first.tasks, capacity.total);
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

    /// Removes the next job that keeps its flow within its share of all slots.
    fn pop_below_share(&mut self, total: usize) -> Option<Ticket> {
        let shares = self.compute_shares(total);
        let active = &self.active;
        self.waiting.pop_where(|flow, ticket| {
            let active_tasks = active.get(flow).map_or(0, |active| active.tasks);
            // Every queued flow has a share, so the default is never used.
            let share = shares.get(flow).copied().unwrap_or(0.0);
            (active_tasks + required_slots(ticket.tasks, total)) as f64 <= share
        })
    }

    /// Records that tasks of an admitted job ended and no longer use slots.
    pub fn record_ended(&mut self, flow: &Flow, tasks: usize) {
        if let Some(active) = self.active.get_mut(flow) {
            active.tasks = active.tasks.saturating_sub(tasks);
            if active.tasks == 0 {
                self.active.remove(flow);
            }
        }
    }

    /// Removes a queued job; returns whether it was still queued.
    pub fn cancel(&mut self, id: TicketId) -> bool {
        let removed = self.waiting.drain_where(|ticket| ticket.id == id);
        self.waiting_tasks -= removed.iter().map(|ticket| ticket.tasks).sum::<usize>();
        !removed.is_empty()
    }

    /// Divides all slots by weight among the flows with active or queued tasks.
    fn compute_shares(&self, total: usize) -> HashMap<Flow, f64> {
        let mut weights: HashMap<Flow, f64> = self
            .active
            .iter()
            .map(|(flow, active)| (flow.clone(), active.weight))
            .collect();
        for flow in self.waiting.backlogged_flows() {
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

/// Returns how many free slots a job with `tasks` tasks waits for.
fn required_slots(tasks: usize, total: usize) -> usize {
    tasks.min((total / REQUIRED_SLOTS_DIVISOR).max(1))
}
