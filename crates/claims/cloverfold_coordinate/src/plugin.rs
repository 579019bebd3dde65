//! Registers the coordinator with a guard.

use std::sync::{Arc, Mutex};

use cloverfold_app::{App, BuildError, Plugin};
use cloverfold_claim::Claims;
use cloverfold_claims_core::{Outcome, RetryBudget};
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::{Directory, Membership};
use cloverfold_net::{Peer, PeerRole};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::admitter::{Admitter, WaitingRoom};
use crate::coordinator::{Coordinator, Inner};
use crate::jobs::Jobs;
use crate::messages::{Query, Submit};

/// Retries that one success pays for.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up.
const RETRY_CAPACITY: f64 = 20.0;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    outcome: &'static str,
}

/// Counts of jobs and of messages beyond the first for a task.
#[derive(Clone, Default)]
pub(crate) struct CoordinateMetrics {
    jobs: Family<OutcomeLabel, Counter>,
    pub(crate) repeated_assigns: Counter,
    pub(crate) moves: Counter,
    pub(crate) releases: Counter,
    pub(crate) retries: Counter,
}

impl CoordinateMetrics {
    pub(crate) fn count_job(&self, outcome: &Outcome) {
        let outcome = outcome.kind();
        self.jobs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    fn register(&self, app: &mut App) {
        let registry = app.registry();
        registry.register("jobs", "Jobs answered, by outcome", self.jobs.clone());
        registry.register(
            "repeated_assigns",
            "Assignments sent again after a lost connection",
            self.repeated_assigns.clone(),
        );
        registry.register(
            "task_moves",
            "Assignments of tasks that another guard had passed on",
            self.moves.clone(),
        );
        registry.register(
            "releases",
            "Tasks asked back before their start",
            self.releases.clone(),
        );
        registry.register(
            "task_retries",
            "Tasks started again because their customer allows it",
            self.retries.clone(),
        );
    }
}

/// Adds [`Coordinator`]; needs [`Claims`], [`Membership`], [`Directory`] and [`CellSettings`].
pub struct CoordinatePlugin;

impl Plugin for CoordinatePlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let metrics = CoordinateMetrics::default();
        metrics.register(app);
        let membership = (*app.resource::<Membership>()?).clone();
        let policy = app.resource::<CellSettings>()?.placement;
        let room = app.control().own(WaitingRoom::default());
        let admitter = Admitter::new(room, membership.clone(), policy);
        app.add_task(admitter.clone().run());
        let coordinator = Coordinator {
            inner: Arc::new(Inner {
                admitter,
                claims: (*app.resource::<Claims>()?).clone(),
                membership,
                directory: app.resource::<Directory>()?,
                network: app.network(),
                cell: app.resource::<CellSettings>()?,
                lifecycle: app.lifecycle(),
                jobs: app.control().own(Jobs::default()),
                retry_budget: Mutex::new(RetryBudget::new(RETRY_SHARE, RETRY_CAPACITY)),
                metrics,
            }),
        };
        app.insert_resource(coordinator.clone());
        let served = coordinator.clone();
        app.router()
            .register(&[PeerRole::Entry], move |_peer: Peer, submit: Submit| {
                served.clone().handle_submit(submit)
            });
        let served = coordinator.clone();
        app.router()
            .register(&[PeerRole::Entry], move |_peer: Peer, query: Query| {
                served.clone().handle_query(query)
            });
        app.add_drain_step(coordinator.clone().drain());
        app.add_task(coordinator.collect());
        Ok(())
    }
}
