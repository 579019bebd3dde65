//! What this process knows of the cell's guards.
//!
//! [`Membership`] owns the table of reports and of tasks in flight ([`GuardTable`], on the control thread). Relies on
//! [`crate::MembershipPlugin`]'s heartbeats, and on messages that carry reports, to keep it up to date.

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

/// A guard that has not reported for this long gets no new task. Chosen, not measured: four heartbeats
/// (docs/design/5-membership.md).
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_600);

/// A task that this process has at a place; dropped when the task has ended there.
pub struct InFlightTask {
    place: Placement,
    table: ThreadState<GuardTable>,
    changed: Arc<Notify>,
}

impl InFlightTask {
    /// Returns the place.
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

/// Shared knowledge of the cell's guards.
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

    /// Makes a fresh report of this guard; `None` in a process that is not a guard.
    pub fn local_report(&self) -> Option<GuardReport> {
        self.own.as_ref().map(|own| own.report())
    }

    /// Records reports, from heartbeats or from messages that carried them.
    ///
    /// The connection to a guard that has restarted is closed, since nothing answers on it.
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
                    network.forget_connection(address);
                    restarts.send_replace(());
                }
            }
        });
    }

    /// Runs a decision on the table, after recording this guard's present state in it.
    async fn with_table<R, F>(&self, decide: F) -> R
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
                decide(table, now)
            })
            .await
    }

    /// Lists what is known of every guard, this one freshly.
    pub async fn list_reports(&self) -> Vec<GuardReport> {
        self.with_table(|table, now| table.reports(now)).await
    }

    /// Lists the guards that accept work, with their load.
    pub async fn list_candidates(&self) -> Vec<Candidate> {
        self.with_table(|table, now| table.list_candidates(now, REPORT_TIMEOUT))
            .await
    }

    /// Counts the slots of the guards that accept work.
    pub async fn count_capacity(&self) -> Capacity {
        self.with_table(|table, now| table.count_capacity(now, REPORT_TIMEOUT))
            .await
    }

    /// Waits until a task of this process may have ended or a guard's state may have changed.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Places tasks by the cell's policy, one charge for each.
    pub async fn place_tasks(&self, policy: PlacementPolicy, count: usize) -> Vec<InFlightTask> {
        let place = move |table: &mut GuardTable, now| {
            table.place_tasks(policy, count, now, REPORT_TIMEOUT, random_below)
        };
        let places = self.with_table(place).await;
        let charge = |place| InFlightTask {
            place,
            table: self.table.clone(),
            changed: self.changed.clone(),
        };
        places.into_iter().map(charge).collect()
    }

    /// Counts a task that this process sends to a place, until the charge is dropped.
    pub fn track_in_flight(&self, place: Placement) -> InFlightTask {
        self.table
            .post(move |table| table.add_in_flight(place.guard));
        InFlightTask {
            place,
            table: self.table.clone(),
            changed: self.changed.clone(),
        }
    }

    /// Records that a guard could not be reached, so that it gets no new task until it makes a further report.
    pub fn suspect(&self, guard: GuardId) {
        let now = self.started.elapsed();
        self.table.post(move |table| table.suspect(guard, now));
    }

    /// Waits until a later incarnation of a place's guard is known.
    pub async fn wait_for_restart(&self, place: Placement) {
        let mut rx = self.restarts.subscribe();
        while !self.is_superseded(place).await {
            // The sender is part of `self`, so waiting cannot fail.
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

    /// Finds the guard that coordinates the cell's jobs now: the lead, or the next that accepts work.
    pub async fn find_acting_lead(&self) -> Option<GuardId> {
        let order = self.directory.lead_order.clone();
        self.with_table(move |table, now| table.find_lead(&order, now, REPORT_TIMEOUT))
            .await
    }

    /// Lists those of the given guards that accept work and have reported lately, in their order.
    pub async fn filter_usable(&self, guards: Vec<GuardId>) -> Vec<GuardId> {
        let candidates = self.list_candidates().await;
        let is_usable =
            |guard: &GuardId| candidates.iter().any(|one| one.placement.guard == *guard);
        guards.into_iter().filter(is_usable).collect()
    }
}
