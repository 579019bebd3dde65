//! Queues jobs until the cell has slots for them.
//!
//! Owns the queue ([`JobQueue`], on the control thread). Relies on [`Membership`] for the slots of the cell, and on
//! [`cloverfold_claims_core::Admission`] for the decisions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use cloverfold_app::ThreadState;
use cloverfold_base::{UnixTime, unix_now};
use cloverfold_claims_core::{Admission, Flow, PlacementPolicy, ReasonCode, Ticket, TicketId};
use cloverfold_membership::{InFlightTask, Membership};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

/// Tasks of jobs that may wait at one coordinator. Chosen, not measured.
const WAITING_LIMIT: usize = 20_000;
/// How often queued jobs are looked at without any known change. Chosen, not measured.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// Queued jobs and the callers that wait for them.
#[derive(Default)]
pub(crate) struct JobQueue {
    admission: Admission,
    waiters: HashMap<TicketId, oneshot::Sender<Grant>>,
}

/// Slots for a job, given back as its tasks end.
pub(crate) struct Grant {
    /// One charge for each task; none when no guard accepts work.
    pub(crate) charges: Vec<InFlightTask>,
    /// Counts the job's tasks to its flow.
    pub(crate) flow_charge: FlowCharge,
}

/// The tasks of an admitted job, counted to its flow until dropped.
pub(crate) struct FlowCharge {
    queue: ThreadState<JobQueue>,
    flow: Flow,
    tasks: usize,
}

impl FlowCharge {
    /// Counts one task less.
    pub(crate) fn release_one(&mut self) {
        self.release(1);
    }

    fn release(&mut self, tasks: usize) {
        self.tasks = self.tasks.saturating_sub(tasks);
        let flow = self.flow.clone();
        self.queue
            .post(move |queue| queue.admission.record_ended(&flow, tasks));
    }
}

impl Drop for FlowCharge {
    fn drop(&mut self) {
        if self.tasks > 0 {
            self.release(self.tasks);
        }
    }
}

/// Admits jobs in fair order as slots come free.
#[derive(Clone)]
pub(crate) struct Admitter {
    queue: ThreadState<JobQueue>,
    membership: Membership,
    policy: PlacementPolicy,
    arrived: Arc<Notify>,
    /// Number of queued jobs, kept beside the queue so that an empty one costs no visit to the control thread.
    waiting: Arc<AtomicUsize>,
    next_ticket: Arc<AtomicU64>,
}

impl Admitter {
    pub(crate) fn new(
        queue: ThreadState<JobQueue>,
        membership: Membership,
        policy: PlacementPolicy,
    ) -> Self {
        Self {
            queue,
            membership,
            policy,
            arrived: Arc::default(),
            waiting: Arc::default(),
            next_ticket: Arc::default(),
        }
    }

    /// Waits for slots for a job, at most until its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`ReasonCode::QueueFull`] or [`ReasonCode::DeadlinePassed`]; nothing was started.
    pub(crate) async fn admit(
        &self,
        flow: Flow,
        weight: f64,
        tasks: usize,
        deadline: UnixTime,
    ) -> Result<Grant, ReasonCode> {
        let id = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let ticket = Ticket {
            id,
            flow,
            weight,
            tasks,
        };
        let mut rx = self.push(ticket).await?;
        self.arrived.notify_one();
        let remaining = deadline.saturating_sub(unix_now());
        if let Ok(Ok(grant)) = timeout(remaining, &mut rx).await {
            return Ok(grant);
        }
        self.withdraw(id).await;
        // The grant may have come between the deadline and the withdrawal.
        rx.try_recv().map_err(|_| ReasonCode::DeadlinePassed)
    }

    /// Queues a job; returns where its grant comes.
    async fn push(&self, ticket: Ticket) -> Result<oneshot::Receiver<Grant>, ReasonCode> {
        let (tx, rx) = oneshot::channel();
        let waiting = self.waiting.clone();
        let push = move |queue: &mut JobQueue| {
            let id = ticket.id;
            queue.admission.push(ticket, WAITING_LIMIT)?;
            waiting.fetch_add(1, Ordering::AcqRel);
            queue.waiters.insert(id, tx);
            Ok(rx)
        };
        self.queue.with(push).await
    }

    /// Removes a job from the queue, if it still waits.
    async fn withdraw(&self, id: TicketId) {
        let waiting = self.waiting.clone();
        let withdraw = move |queue: &mut JobQueue| {
            if queue.admission.cancel(id) {
                waiting.fetch_sub(1, Ordering::AcqRel);
            }
            queue.waiters.remove(&id);
        };
        self.queue.with(withdraw).await;
    }

    /// Admits jobs until the process ends. Only one task does, so that no slot is given twice.
    pub(crate) async fn run(self) {
        loop {
            tokio::select! {
                () = self.arrived.notified() => {}
                () = self.membership.wait_for_change() => {}
                () = tokio::time::sleep(IDLE_INTERVAL) => {}
            }
            while self.admit_one().await {}
        }
    }

    /// Admits the next job that may have slots now; returns whether there was one.
    async fn admit_one(&self) -> bool {
        if self.waiting.load(Ordering::Acquire) == 0 {
            return false;
        }
        let capacity = self.membership.count_capacity().await;
        let waiting = self.waiting.clone();
        let admit = move |queue: &mut JobQueue| {
            let ticket = queue.admission.admit_next(capacity)?;
            waiting.fetch_sub(1, Ordering::AcqRel);
            let waiter = queue.waiters.remove(&ticket.id);
            Some((ticket, waiter))
        };
        let Some((ticket, waiter)) = self.queue.with(admit).await else {
            return false;
        };
        let flow_charge = FlowCharge {
            queue: self.queue.clone(),
            flow: ticket.flow,
            tasks: ticket.tasks,
        };
        let charges = self.membership.place_tasks(self.policy, ticket.tasks).await;
        if let Some(waiter) = waiter {
            // A caller that has gone drops the grant, which gives the slots back.
            let _ = waiter.send(Grant {
                charges,
                flow_charge,
            });
        }
        true
    }
}
