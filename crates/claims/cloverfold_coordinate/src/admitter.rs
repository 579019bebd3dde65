//! Lets jobs wait until the cell has slots for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use cloverfold_app::ThreadState;
use cloverfold_base::{UnixTime, unix_now};
use cloverfold_claims_core::{Admission, Flow, PlacementPolicy, ReasonCode, Ticket, TicketId};
use cloverfold_membership::{Charge, Membership};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

/// Tasks of jobs that may wait at one coordinator.
const WAITING_LIMIT: usize = 20_000;
/// How often waiting jobs are looked at without any known change.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// Waiting jobs and those that wait for them.
#[derive(Default)]
pub(crate) struct WaitingRoom {
    admission: Admission,
    waiters: HashMap<TicketId, oneshot::Sender<Grant>>,
}

/// Slots for a job, given back as its tasks end.
pub(crate) struct Grant {
    /// One charge for each task; none when no guard can take work.
    pub(crate) charges: Vec<Charge>,
    /// Counts the job's tasks to its flow.
    pub(crate) hold: FlowHold,
}

/// The tasks of an admitted job, counted to its flow until dropped.
pub(crate) struct FlowHold {
    room: ThreadState<WaitingRoom>,
    flow: Flow,
    tasks: usize,
}

impl FlowHold {
    /// Counts one task less.
    pub(crate) fn release_one(&mut self) {
        self.release(1);
    }

    fn release(&mut self, tasks: usize) {
        self.tasks = self.tasks.saturating_sub(tasks);
        let flow = self.flow.clone();
        self.room
            .post(move |room| room.admission.record_ended(&flow, tasks));
    }
}

impl Drop for FlowHold {
    fn drop(&mut self) {
        if self.tasks > 0 {
            self.release(self.tasks);
        }
    }
}

/// Admits jobs in fair order as slots come free.
#[derive(Clone)]
pub(crate) struct Admitter {
    room: ThreadState<WaitingRoom>,
    membership: Membership,
    policy: PlacementPolicy,
    arrived: Arc<Notify>,
    /// Jobs that wait, kept beside the room so that an empty one costs no visit.
    waiting: Arc<AtomicUsize>,
    next_ticket: Arc<AtomicU64>,
}

impl Admitter {
    pub(crate) fn new(
        room: ThreadState<WaitingRoom>,
        membership: Membership,
        policy: PlacementPolicy,
    ) -> Self {
        Self {
            room,
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
    /// Says that too many jobs wait or that the deadline came first; nothing was started.
    pub(crate) async fn admit(
        &self,
        flow: Flow,
        weight: f64,
        tasks: usize,
        deadline: UnixTime,
    ) -> Result<Grant, ReasonCode> {
        let id = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (tx, mut rx) = oneshot::channel();
        let ticket = Ticket {
            id,
            flow,
            weight,
            tasks,
        };
        let waiting = self.waiting.clone();
        let push = move |room: &mut WaitingRoom| {
            room.admission.push(ticket, WAITING_LIMIT)?;
            waiting.fetch_add(1, Ordering::AcqRel);
            room.waiters.insert(id, tx);
            Ok(())
        };
        self.room.with(push).await?;
        self.arrived.notify_one();
        let remaining = deadline.saturating_sub(unix_now());
        if let Ok(Ok(grant)) = timeout(remaining, &mut rx).await {
            return Ok(grant);
        }
        let waiting = self.waiting.clone();
        let withdraw = move |room: &mut WaitingRoom| {
            if room.admission.withdraw(id) {
                waiting.fetch_sub(1, Ordering::AcqRel);
            }
            room.waiters.remove(&id);
        };
        self.room.with(withdraw).await;
        // The grant may have come between the deadline and the withdrawal.
        rx.try_recv().map_err(|_| ReasonCode::DeadlinePassed)
    }

    /// Admits jobs as long as the process lives; one task alone does, so that no slot is given twice.
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

    async fn admit_one(&self) -> bool {
        if self.waiting.load(Ordering::Acquire) == 0 {
            return false;
        }
        let capacity = self.membership.count_capacity().await;
        let waiting = self.waiting.clone();
        let admit = move |room: &mut WaitingRoom| {
            let ticket = room.admission.admit_next(capacity)?;
            waiting.fetch_sub(1, Ordering::AcqRel);
            let waiter = room.waiters.remove(&ticket.id);
            Some((ticket, waiter))
        };
        let Some((ticket, waiter)) = self.room.with(admit).await else {
            return false;
        };
        let hold = FlowHold {
            room: self.room.clone(),
            flow: ticket.flow,
            tasks: ticket.tasks,
        };
        let charges = self.membership.place_tasks(self.policy, ticket.tasks).await;
        if let Some(waiter) = waiter {
            // A caller that has gone drops the grant, which gives the slots back.
            let _ = waiter.send(Grant { charges, hold });
        }
        true
    }
}
