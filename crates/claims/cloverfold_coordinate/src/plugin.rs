//! Plugin that adds the coordinator to a guard: its handlers, background tasks and drain step.

use std::sync::{Arc, Mutex};

use cloverfold_app::{App, BuildError, Plugin};
use cloverfold_claim::Claims;
use cloverfold_claims_core::RetryBudget;
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::{Directory, Membership};
use cloverfold_net::{Peer, PeerRole};

use crate::admitter::{Admitter, JobQueue};
use crate::coordinator::Coordinator;
use crate::job_context::JobContext;
use crate::jobs::Jobs;
use crate::messages::{Query, Submit};
use crate::metrics::CoordinateMetrics;

/// Retries that one success earns.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Retries that the budget can accumulate.
const RETRY_CAPACITY: f64 = 20.0;

/// Adds [`Coordinator`]; needs [`Claims`], [`Membership`], [`Directory`] and [`CellSettings`].
pub struct CoordinatePlugin;

impl Plugin for CoordinatePlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let context = build_context(app)?;
        app.add_task(context.admitter.clone().run());
        let coordinator = Coordinator {
            context: Arc::new(context),
            lifecycle: app.lifecycle(),
            jobs: app.control().manage(Jobs::default()),
        };
        app.insert_resource(coordinator.clone());
        register_handlers(app, &coordinator);
        app.add_drain_step(coordinator.clone().drain());
        app.add_task(coordinator.purge());
        Ok(())
    }
}

fn build_context(app: &mut App) -> Result<JobContext, BuildError> {
    let metrics = CoordinateMetrics::register(app);
    let membership = (*app.resource::<Membership>()?).clone();
    let cell = app.resource::<CellSettings>()?;
    let queue = app.control().manage(JobQueue::default());
    Ok(JobContext {
        admitter: Admitter::new(queue, membership.clone(), cell.placement),
        claims: (*app.resource::<Claims>()?).clone(),
        membership,
        directory: app.resource::<Directory>()?,
        network: app.network(),
        cell,
        retry_budget: Mutex::new(RetryBudget::new(RETRIES_PER_SUCCESS, RETRY_CAPACITY)),
        metrics,
    })
}

fn register_handlers(app: &mut App, coordinator: &Coordinator) {
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
}
