//! This process's view of the cell's guards.
//!
//! Heartbeats and other messages with reports update the [`GuardTable`], which is on the control thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverfold_app::{ControlThread, ThreadState};
use cloverfold_base::random_below;
use cloverfold_claims_core::{
    Candidate, Capacity, GuardId, GuardReport, GuardTable, Placement, PlacementPolicy,
};
use cloverfold_net::Network;
use tokio::sync::{Notify, watch};

use crate::directory::Directory;
use crate::local_state::LocalGuard;

/// A guard that has not reported for this long gets no new task; four heartbeat intervals.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Counts a task as in flight at its placement until it is dropped.
pub struct InFlightTask {
    place: Placement,
    table: ThreadState<GuardTable>,
    changed: Arc<Notify>,
}

impl InFlightTask {
    /// Returns the placement of the task.
    pub fn placement(&self) -> Placement {
        self.place
    }
}

impl Drop for InFlightTask {
    fn drop(&mut self) {
        let guard = self.place.guard;
        let changed = self.changed.clone();
        self.table.post(move |table| {
            table.remove_in_flight(guard);
            changed.notify_one();
        });
    }
}

/// Shared handle to the state of the cell's guards.
#[derive(Clone)]
pub struct Membership {
    started: Instant,
    table: ThreadState<GuardTable>,
    network: Network,
    directory: Arc<Directory>,
    changed: Arc<Notify>,
    restarts: watch::Sender<()>,
    own: Option<Arc<LocalGuard>>,
}

impl Membership {
    pub(crate) fn new(
        control: &ControlThread,
        network: Network,
        directory: Arc<Directory>,
        own: Option<Arc<LocalGuard>>,
    ) -> Self {
        Self {
            started: Instant::now(),
            table: control.manage(GuardTable::default()),
            network,
            directory,
            changed: Arc::default(),
            restarts: watch::Sender::new(()),
            own,
        }
    }

    /// Returns a new report of this guard, or `None` in a process that is not a guard.
    pub fn local_report(&self) -> Option<GuardReport> {
        self.own.as_ref().map(|own| own.report())
    }

    /// Records reports from heartbeats and other messages.
    ///
    /// Closes the connection to a guard that has restarted, because its old process no longer answers.
    pub fn record_reports(&self, reports: impl IntoIterator<Item = GuardReport>) {
        let reports: Vec<GuardReport> = reports.into_iter().collect();
        if reports.is_empty() {
            return;
        }
        let now = self.started.elapsed();
        let network = self.network.clone();
        let directory = self.directory.clone();
        let changed = self.changed.clone();
        let restarts = self.restarts.clone();
        self.table.post(move |table| {
            changed.notify_one();
            for report in reports {
                let guard = report.placement.guard;
                if table.record_report(report, now)
                    && let Some(address) = directory.address_of(guard)
                {
                    network.close_connection(address);
                    restarts.send_replace(());
                }
            }
        });
    }

    /// Records a new report of this guard and runs a closure on the table.
    async fn with_table<R, F>(&self, f: F) -> R
    where
        R: Send + 'static,
        F: FnOnce(&mut GuardTable, Duration) -> R + Send + 'static,
    {
        let own = self.local_report();
        let now = self.started.elapsed();
        self.table
            .with(move |table| {
                if let Some(own) = own {
                    table.record_report(own, now);
                }
                f(table, now)
            })
            .await
    }

    /// Returns the newest report of every guard.
    pub async fn list_reports(&self) -> Vec<GuardReport> {
        self.with_table(|table, now| table.reports(now)).await
    }

    /// Returns the guards that accept work, with their load.
    pub async fn list_candidates(&self) -> Vec<Candidate> {
        self.with_table(|table, now| table.list_candidates(now, REPORT_TIMEOUT))
            .await
    }

    /// Returns the slots of the guards that accept work.
    pub async fn count_capacity(&self) -> Capacity {
        self.with_table(|table, now| table.count_capacity(now, REPORT_TIMEOUT))
            .await
    }

    /// Waits until a task of this process has ended or reports have arrived.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Places tasks with the given policy and counts them as in flight.
    pub async fn place_tasks(&self, policy: PlacementPolicy, count: usize) -> Vec<InFlightTask> {
        let place = move |table: &mut GuardTable, now| {
            table.place_tasks(policy, count, now, REPORT_TIMEOUT, random_below)
        };
        let placements = self.with_table(place).await;
        let track = |place| InFlightTask {
            place,
            table: self.table.clone(),
            changed: self.changed.clone(),
        };
        placements.into_iter().map(track).collect()
    }

    /// Counts a task as in flight at a placement until the returned value is dropped.
    pub fn track_in_flight(&self, place: Placement) -> InFlightTask {
        self.table
            .post(move |table| table.add_in_flight(place.guard));
        InFlightTask {
            place,
            table: self.table.clone(),
            changed: self.changed.clone(),
        }
    }

    /// Marks an unreachable guard as suspected; it gets no new task until it makes a new report.
    pub fn suspect(&self, guard: GuardId) {
        let now = self.started.elapsed();
        self.table.post(move |table| table.suspect(guard, now));
    }

    /// Waits until a later incarnation of the placement's guard is known.
    pub async fn wait_for_restart(&self, place: Placement) {
        let mut rx = self.restarts.subscribe();
        while !self.is_superseded(place).await {
            // `self` keeps the sender alive, so this cannot fail.
            let _ = rx.changed().await;
        }
    }

    async fn is_superseded(&self, place: Placement) -> bool {
        let find = move |table: &mut GuardTable| {
            let report = table.report_of(place.guard);
            report.is_some_and(|report| report.placement.incarnation > place.incarnation)
        };
        self.table.with(find).await
    }

    /// Returns the acting lead: the first guard in the lead order that accepts work and has complete claim records.
    pub async fn find_acting_lead(&self) -> Option<GuardId> {
        let order = self.directory.lead_order.clone();
        self.with_table(move |table, now| table.find_lead(&order, now, REPORT_TIMEOUT))
            .await
    }

    /// Returns those of the given guards that accept work, in the given order.
    pub async fn filter_usable(&self, guards: Vec<GuardId>) -> Vec<GuardId> {
        let candidates = self.list_candidates().await;
        let is_usable =
            |guard: &GuardId| candidates.iter().any(|peer| peer.placement.guard == *guard);
        guards.into_iter().filter(is_usable).collect()
    }
}
