//! What this process knows of the cell's guards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cloverfold_app::{ControlThread, Lifecycle, Phase, ThreadState};
use cloverfold_base::draw_below;
use cloverfold_claims_core::{
    Candidate, Capacity, GuardId, GuardPhase, GuardReport, GuardTable, Placement, PlacementPolicy,
};
use cloverfold_claims_settings::CellSettings;
use cloverfold_net::{Network, PeerAddress};
use tokio::sync::{Notify, watch};

/// A guard from which nothing was heard for this long gets no new task.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_600);

/// Where each guard of the cell is reached.
#[derive(Clone, Debug)]
pub struct Directory {
    lead_order: Vec<GuardId>,
    addresses: BTreeMap<GuardId, PeerAddress>,
}

impl Directory {
    /// Reads the addresses out of the cell's settings.
    pub fn new(cell: &CellSettings) -> Self {
        let addresses = cell.guards.iter().map(|place| {
            let address = PeerAddress {
                name: format!("guard-{}", place.id),
                address: place.address,
            };
            (place.id, address)
        });
        Self {
            lead_order: cell.list_lead_order(),
            addresses: addresses.collect(),
        }
    }

    /// Returns where a guard is reached.
    pub fn address_of(&self, guard: GuardId) -> Option<&PeerAddress> {
        self.addresses.get(&guard)
    }

    /// Lists the guards.
    pub fn guards(&self) -> impl Iterator<Item = GuardId> + '_ {
        self.addresses.keys().copied()
    }
}

/// State of this guard, kept up to date by the capabilities that run tasks and hold claims.
#[derive(Debug, Default)]
pub struct OwnState {
    is_whole: AtomicBool,
    running: AtomicU32,
    queued: AtomicU32,
}

impl OwnState {
    /// Notes whether this guard's memory of claims is whole.
    pub fn set_whole(&self, is_whole: bool) {
        self.is_whole.store(is_whole, Ordering::Relaxed);
    }

    /// Tells whether this guard's memory of claims is whole.
    pub fn is_whole(&self) -> bool {
        self.is_whole.load(Ordering::Relaxed)
    }

    /// Notes the present load.
    pub fn set(&self, running: usize, queued: usize) {
        self.running.store(running as u32, Ordering::Relaxed);
        self.queued.store(queued as u32, Ordering::Relaxed);
    }
}

/// The guard that this process is.
#[derive(Debug)]
pub(crate) struct OwnMember {
    pub(crate) placement: Placement,
    pub(crate) slots: u32,
    pub(crate) load: Arc<OwnState>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) sequence: AtomicU64,
}

/// A task that this process has at a place; dropped when the task has ended there.
pub struct Charge {
    place: Placement,
    table: ThreadState<GuardTable>,
    changed: Arc<Notify>,
}

impl Charge {
    /// Returns the place.
    pub fn place(&self) -> Placement {
        self.place
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let guard = self.place.guard;
        let changed = self.changed.clone();
        self.table.post(move |table| {
            table.discharge(guard);
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
    own: Option<Arc<OwnMember>>,
}

impl Membership {
    pub(crate) fn new(
        control: &ControlThread,
        network: Network,
        directory: Arc<Directory>,
        own: Option<Arc<OwnMember>>,
    ) -> Self {
        Self {
            started: Instant::now(),
            table: control.own(GuardTable::default()),
            network,
            directory,
            changed: Arc::default(),
            restarts: watch::Sender::new(()),
            own,
        }
    }

    /// Makes a fresh report of this guard; `None` in a process that is no guard.
    pub fn own_report(&self) -> Option<GuardReport> {
        let own = self.own.as_ref()?;
        let phase = match own.lifecycle.phase() {
            Phase::Serving => GuardPhase::Live,
            Phase::Draining | Phase::Stopped => GuardPhase::Leaving,
        };
        Some(GuardReport {
            placement: own.placement,
            sequence: own.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            phase,
            is_whole: own.load.is_whole(),
            running: own.load.running.load(Ordering::Relaxed),
            queued: own.load.queued.load(Ordering::Relaxed),
            slots: own.slots,
            age: Duration::ZERO,
        })
    }

    /// Takes in reports, from heartbeats or from messages that carried them.
    ///
    /// The connection to a guard that turns out to have restarted is forgotten, since nothing answers on it.
    pub fn absorb(&self, reports: impl IntoIterator<Item = GuardReport>) {
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
                if table.absorb(report, now)
                    && let Some(address) = directory.address_of(guard)
                {
                    network.forget_connection(address);
                    restarts.send_replace(());
                }
            }
        });
    }

    /// Decides on the table with this guard's present state in it.
    async fn look<R, F>(&self, decide: F) -> R
    where
        R: Send + 'static,
        F: FnOnce(&mut GuardTable, Duration) -> R + Send + 'static,
    {
        let own = self.own_report();
        let now = self.started.elapsed();
        self.table
            .with(move |table| {
                if let Some(own) = own {
                    table.absorb(own, now);
                }
                decide(table, now)
            })
            .await
    }

    /// Lists what is known of every guard, this one freshly.
    pub async fn list_reports(&self) -> Vec<GuardReport> {
        self.look(|table, now| table.reports(now)).await
    }

    /// Lists the guards that can take work, with their load.
    pub async fn list_candidates(&self) -> Vec<Candidate> {
        self.look(|table, now| table.list_candidates(now, SILENCE_LIMIT))
            .await
    }

    /// Counts the slots of the guards that can take work.
    pub async fn count_capacity(&self) -> Capacity {
        self.look(|table, now| table.count_capacity(now, SILENCE_LIMIT))
            .await
    }

    /// Waits until a task of this process may have ended or a guard's state may have changed.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Places tasks by the cell's policy, one charge for each.
    pub async fn place_tasks(&self, policy: PlacementPolicy, count: usize) -> Vec<Charge> {
        let place = move |table: &mut GuardTable, now| {
            table.place(policy, count, now, SILENCE_LIMIT, draw_below)
        };
        let places = self.look(place).await;
        let charge = |place| Charge {
            place,
            table: self.table.clone(),
            changed: self.changed.clone(),
        };
        places.into_iter().map(charge).collect()
    }

    /// Notes that this process sends a task to a place, until the charge is dropped.
    pub fn charge(&self, place: Placement) -> Charge {
        self.table.post(move |table| table.charge(place.guard));
        Charge {
            place,
            table: self.table.clone(),
            changed: self.changed.clone(),
        }
    }

    /// Notes that a guard could not be reached, so that it gets nothing new until it is heard again.
    pub fn suspect(&self, guard: GuardId) {
        self.table.post(move |table| table.suspect(guard));
    }

    /// Waits until a later life of a place's guard is known.
    pub async fn wait_for_restart(&self, place: Placement) {
        let mut rx = self.restarts.subscribe();
        while !self.is_superseded(place).await {
            // The sender lives as long as `self`.
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

    /// Finds the guard that coordinates the cell's jobs now: the lead, or the next that takes work.
    pub async fn find_acting_lead(&self) -> Option<GuardId> {
        let order = self.directory.lead_order.clone();
        self.look(move |table, now| table.find_lead(&order, now, SILENCE_LIMIT))
            .await
    }

    /// Lists the guards that take work and were heard of lately, among those given and in their order.
    pub async fn keep_usable(&self, guards: Vec<GuardId>) -> Vec<GuardId> {
        let candidates = self.list_candidates().await;
        let is_usable =
            |guard: &GuardId| candidates.iter().any(|one| one.placement.guard == *guard);
        guards.into_iter().filter(is_usable).collect()
    }
}
