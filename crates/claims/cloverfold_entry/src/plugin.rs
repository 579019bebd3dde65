//! Registers the callers' interface with an entry.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use cloverfold_app::{App, BuildError, Plugin};
use cloverfold_claims_settings::{CellSettings, EntrySettings};
use cloverfold_membership::{Directory, Membership};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use volo_http::request::Request;
use volo_http::server::route::{Router, get, post};

use crate::api::{Api, JOBS_PATH};
use crate::routing::JobRouting;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnswerLabel {
    outcome: &'static str,
}

/// Counts and times of answers to callers.
#[derive(Clone)]
pub(crate) struct EntryMetrics {
    answers: Family<AnswerLabel, Counter>,
    seconds: Histogram,
    pub(crate) in_flight: Gauge<i64>,
    pub(crate) reroutes: Counter,
}

impl EntryMetrics {
    fn register(app: &mut App) -> Self {
        let metrics = Self {
            answers: Family::default(),
            seconds: Histogram::new(exponential_buckets(0.005, 2.0, 14)),
            in_flight: Gauge::default(),
            reroutes: Counter::default(),
        };
        let registry = app.registry();
        registry.register(
            "answers",
            "Answers to callers, by outcome",
            metrics.answers.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from a request to its answer",
            metrics.seconds.clone(),
        );
        registry.register(
            "in_flight",
            "Requests that wait for their answer",
            metrics.in_flight.clone(),
        );
        registry.register(
            "reroutes",
            "Submissions sent to a further guard of their group",
            metrics.reroutes.clone(),
        );
        metrics
    }

    pub(crate) fn note_answer(&self, outcome: &'static str, elapsed: Duration) {
        self.answers.get_or_create(&AnswerLabel { outcome }).inc();
        self.seconds.observe(elapsed.as_secs_f64());
    }
}

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
        let api = Arc::new(Api {
            settings: app.resource::<EntrySettings>()?,
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
    let submitting = api.clone();
    let showing = api.clone();
    Router::new()
        .route(
            JOBS_PATH,
            post(move |req: Request| submitting.clone().submit_job(req)),
        )
        .route(
            format!("{JOBS_PATH}/{{key}}"),
            get(move |req: Request| showing.clone().show_job(req)),
        )
}
