//! Plugin that adds the HTTP API for callers to an entry: its routes and drain step.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use cloverfold_app::{App, BuildError, Plugin};
use cloverfold_claims_settings::{CellSettings, EntrySettings};
use cloverfold_membership::{Directory, Membership};
use volo_http::request::Request;
use volo_http::server::route::{Router, get, post};

use crate::api::{Api, JOBS_PATH};
use crate::metrics::EntryMetrics;
use crate::routing::JobRouting;
use crate::submission_memory::SubmissionMemory;

/// Serves callers; needs [`CellSettings`], [`EntrySettings`], [`Membership`] and [`Directory`].
pub struct EntryPlugin;

impl Plugin for EntryPlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let cell = app.resource::<CellSettings>()?;
        let metrics = EntryMetrics::register(app);
        let routing = JobRouting {
            cell: cell.build_cell(),
            directory: app.resource::<Directory>()?,
            membership: (*app.resource::<Membership>()?).clone(),
            network: app.network(),
            metrics: metrics.clone(),
        };
        let settings = app.resource::<EntrySettings>()?;
        let api = Arc::new(Api {
            memory: SubmissionMemory::new(settings.in_flight, settings.submission_memory()),
            settings,
            cell,
            routing,
            lifecycle: app.lifecycle(),
            in_flight: AtomicUsize::new(0),
            metrics,
        });
        app.add_http_routes(build_routes(&api));
        app.add_drain_step(api.drain());
        Ok(())
    }
}

fn build_routes(api: &Arc<Api>) -> Router {
    let submit_api = api.clone();
    let show_api = api.clone();
    Router::new()
        .route(
            JOBS_PATH,
            post(move |req: Request| submit_api.clone().submit_job(req)),
        )
        .route(
            format!("{JOBS_PATH}/{{key}}"),
            get(move |req: Request| show_api.clone().show_job(req)),
        )
}
