//! Handling of HTTP requests: routes each to its queue and call, and responds.

use std::sync::{Arc, MutexGuard};

use cloverfold_base::Timestamp;
use cloverfold_configuration::{Configuration, Route};
use cloverfold_http::{Request, Response, json_response, plain_response};
use cloverfold_lease::{JobRequest, RETRY_AFTER};
use cloverfold_leased_process::{ProcessBudgets, Shared};
use http::StatusCode;
use tokio::time::timeout;

use crate::metrics::EntryMetrics;
use crate::pending_counts::PendingCounts;
use crate::protocol::{JobProtocol, QueueCall};
use crate::responses::{NoSuchJob, job_state_response, no_such_job_response, refusal_response};
use crate::state::EntryState;

/// Handles the requests of callers.
pub(crate) struct RequestHandler {
    state: Shared<EntryState>,
    pub(crate) protocol: Arc<dyn JobProtocol>,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) pending: PendingCounts,
}

impl RequestHandler {
    pub(crate) fn new(
        state: Shared<EntryState>,
        protocol: Arc<dyn JobProtocol>,
        budgets: ProcessBudgets,
    ) -> Self {
        Self {
            state,
            protocol,
            metrics: Arc::new(EntryMetrics::new(budgets)),
            pending: PendingCounts::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock()
    }

    /// Returns the current time on the clock of the process.
    pub(crate) fn now(&self) -> Timestamp {
        self.lock().now()
    }

    /// Handles one request.
    pub(crate) async fn handle(&self, request: Request) -> Response {
        match self.wait_for_configuration().await {
            Some(configuration) => self.handle_configured(&configuration, &request).await,
            None => {
                let path = request.uri.path();
                log::info!(path, cause = "NoConfiguration"; "request refused");
                refusal_response("no configuration is in force here\n", RETRY_AFTER)
            }
        }
    }

    /// Returns the configuration in force; a process that has just started waits for the first one.
    async fn wait_for_configuration(&self) -> Option<Arc<Configuration>> {
        let subscription = {
            let state = self.lock();
            match state.configuration() {
                Some(configuration) => return Some(configuration),
                None => state.subscribe_configuration(),
            }
        };
        let (wait, mut is_configured) = subscription?;
        // After a timeout there is still none, and the request is refused.
        let _ = timeout(wait, is_configured.wait_for(|&is_configured| is_configured)).await;
        self.lock().configuration()
    }

    /// Routes a request to its queue and call, and handles it.
    async fn handle_configured(
        &self,
        configuration: &Configuration,
        request: &Request,
    ) -> Response {
        let path = request.uri.path();
        let Some(route) = configuration.find_route(request.host(), path) else {
            log::info!(host = request.host(), path, version = configuration.version; "no queue matches the request");
            return plain_response(StatusCode::NOT_FOUND, "no such queue\n");
        };
        let rest = &path[route.path_prefix.len()..];
        match self.protocol.classify(&request.method, rest) {
            Some(QueueCall::Submit(id)) => self.submit(&id, route, request).await,
            Some(QueueCall::Show(id)) => self.show(&id, request).await,
            Some(QueueCall::Cancel(id)) => self.cancel(&id, request).await,
            Some(QueueCall::Count) => self.count(route, request).await,
            None => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    /// Responds with the state of a job: of a repeatable one while it is open here, of a kept one until its retention is over.
    async fn show(&self, id: &str, request: &Request) -> Response {
        let open = self.lock().open_job_state(id);
        if let Some(state) = open {
            return job_state_response(self.protocol.as_ref(), state);
        }
        if !self.protocol.can_be_kept(id) {
            return no_such_job_response(id, NoSuchJob::NotKept);
        }
        self.show_kept(id, request).await
    }

    /// Cancels a job by its ID.
    async fn cancel(&self, id: &str, request: &Request) -> Response {
        if self.lock().cancel_named(id) {
            return json_response(StatusCode::OK, "{}");
        }
        if !self.protocol.can_be_kept(id) {
            return no_such_job_response(id, NoSuchJob::NotKept);
        }
        self.cancel_kept(id, request).await
    }

    /// Responds with the number of jobs of a queue that have not started: the repeatable ones of this entry and all kept ones.
    async fn count(&self, route: &Route, request: &Request) -> Response {
        let Some(kept) = self.count_kept(&route.name, request).await else {
            log::info!(route = route.name.as_str(); "cannot count the jobs of the queue");
            return refusal_response("not known\n", RETRY_AFTER);
        };
        let is_in_queue = |job: &JobRequest| job.queue == route.name;
        let queued = self.lock().count_queued(is_in_queue);
        json_response(StatusCode::OK, self.protocol.write_count(queued + kept))
    }
}
