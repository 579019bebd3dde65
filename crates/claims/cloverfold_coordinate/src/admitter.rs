//! Queues jobs until [`cloverfold_claims_core::Admission`] admits them.
//!
//! The queue ([`JobQueue`]) is on the control thread; [`Membership`] provides the free slots of the cell.

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

/// Tasks of jobs that may be queued at one coordinator.
const QUEUED_TASKS_LIMIT: usize = 20_000;
/// How often admission is retried without a notification.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Queued jobs and the callers that wait for them.
#[derive(Default)]
pub(crate) struct JobQueue {
    admission: Admission,
    waiters: HashMap<TicketId, oneshot::Sender<Grant>>,
}

/// Slots of an admitted job.
pub(crate) struct Grant {
    /// The placed tasks; empty when no guard accepts work.
    pub(crate) in_flight: Vec<InFlightTask>,
    /// The job's tasks in its flow.
    pub(crate) flow_usage: FlowUsage,
}

/// Counts the tasks of an admitted job in its flow until it is dropped.
pub(crate) struct FlowUsage {
    queue: ThreadState<JobQueue>,
    flow: Flow,
    tasks: usize,
}

impl FlowUsage {
    /// Releases one ended task.
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

impl Drop for FlowUsage {
    fn drop(&mut self) {
        if self.tasks > 0 {
            self.release(self.tasks);
        }
    }
}

/// Admits jobs in fair order as slots become free.
#[derive(Clone)]
pub(crate) struct Admitter {
    queue: ThreadState<JobQueue>,
    membership: Membership,
    policy: PlacementPolicy,
    job_queued: Arc<Notify>,
    /// Number of queued jobs, so that an empty queue needs no call to the control thread.
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
            job_queued: Arc::default(),
            waiting: Arc::default(),
            next_ticket: Arc::default(),
        }
    }

    /// Waits until a job is admitted or its deadline passes.
    ///
    /// # Errors
    ///
    /// Returns [`ReasonCode::QueueFull`] or [`ReasonCode::DeadlinePassed`].
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
        self.job_queued.notify_one();
        let remaining = deadline.saturating_sub(unix_now());
        if let Ok(Ok(grant)) = timeout(remaining, &mut rx).await {
            return Ok(grant);
        }
        self.cancel(id).await;
        // The grant may have arrived between the deadline and the cancellation.
        rx.try_recv().map_err(|_| ReasonCode::DeadlinePassed)
    }

    /// Queues a job; returns the receiver of its grant.
    async fn push(&self, ticket: Ticket) -> Result<oneshot::Receiver<Grant>, ReasonCode> {
        let (tx, rx) = oneshot::channel();
        let waiting = self.waiting.clone();
        let push = move |queue: &mut JobQueue| {
            let id = ticket.id;
            queue.admission.push(ticket, QUEUED_TASKS_LIMIT)?;
            waiting.fetch_add(1, Ordering::AcqRel);
            queue.waiters.insert(id, tx);
            Ok(rx)
        };
        self.queue.with(push).await
    }

    /// Removes a job from the queue, if it is still queued.
    async fn cancel(&self, id: TicketId) {
        let waiting = self.waiting.clone();
        let cancel = move |queue: &mut JobQueue| {
            if queue.admission.cancel(id) {
                waiting.fetch_sub(1, Ordering::AcqRel);
            }
            queue.waiters.remove(&id);
        };
        self.queue.with(cancel).await;
    }

    /// Admits jobs until the process ends. Only one async task runs this, so that no slot is granted twice.
    pub(crate) async fn run(self) {
        loop {
            tokio::select! {
                () = self.job_queued.notified() => {}
                () = self.membership.wait_for_change() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
            while self.admit_one().await {}
        }
    }

    /// Admits the next job, if there is one for the free slots; returns whether it did.
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
        let flow_usage = FlowUsage {
            queue: self.queue.clone(),
            flow: ticket.flow,
            tasks: ticket.tasks,
        };
        let in_flight = self.membership.place_tasks(self.policy, ticket.tasks).await;
        if let Some(waiter) = waiter {
            // If the caller is gone, the grant is dropped, which frees the slots.
            let _ = waiter.send(Grant {
                in_flight,
                flow_usage,
            });
        }
        true
    }
}
