//! Callers' requests: finds the queue and the call, and answers it.
//!
//! Owns the counts of answers; the jobs themselves are the state's. Relies on a [`JobProtocol`] to read requests, on the configuration in
//! force for the queues, and on the dispatcher within [`EntryState`] for every decision.

use std::sync::{Arc, MutexGuard};

use cloverfold_base::Timestamp;
use cloverfold_configuration::{Configuration, Route};
use cloverfold_http::{Request, Response, json_response, plain_response};
use cloverfold_lease::{JobRequest, RETRY_AFTER};
use cloverfold_leased_process::Shared;
use http::StatusCode;
use tokio::time::timeout;

use crate::metrics::EntryMetrics;
use crate::pending_counts::PendingCounts;
use crate::protocol::{JobProtocol, JobState, QueueCall};
use crate::responses::{job_state_response, no_such_job_response, refusal_response};
use crate::state::EntryState;

/// Answers callers.
pub(crate) struct Callers {
    state: Shared<EntryState>,
    pub(crate) protocol: Arc<dyn JobProtocol>,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) pending: PendingCounts,
}

impl Callers {
    pub(crate) fn new(state: Shared<EntryState>, protocol: Arc<dyn JobProtocol>) -> Self {
        Self {
            state,
            protocol,
            metrics: Arc::new(EntryMetrics::new()),
            pending: PendingCounts::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock()
    }

    /// Returns the present point in time on the clock of the process.
    pub(crate) fn now(&self) -> Timestamp {
        self.lock().now()
    }

    /// Answers one request.
    pub(crate) async fn answer(&self, request: Request) -> Response {
        match self.find_configuration().await {
            Some(configuration) => self.answer_with(&configuration, &request).await,
            None => {
                let path = request.uri.path();
                log::info!(path, cause = "NoConfiguration"; "a request is refused");
                refusal_response("no configuration is in force here\n", RETRY_AFTER)
            }
        }
    }

    /// Returns the configuration in force; a process that has just started waits for it for a moment.
    async fn find_configuration(&self) -> Option<Arc<Configuration>> {
        let told = {
            let state = self.lock();
            match state.configuration() {
                Some(configuration) => return Some(configuration),
                None => state.await_configuration(),
            }
        };
        let (wait, mut told) = told?;
        // Without one after the wait the request is refused.
        let _ = timeout(wait, told.wait_for(|&is_there| is_there)).await;
        self.lock().configuration()
    }

    /// Finds the queue and the call of a request and answers it.
    async fn answer_with(&self, configuration: &Configuration, request: &Request) -> Response {
        let path = request.uri.path();
        let Some(route) = configuration.find_route(request.host(), path) else {
            log::info!(host = request.host(), path, version = configuration.version; "no queue matches a request");
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

    /// Answers how far a job is: one that need not be kept while it is open here, a kept one until it is forgotten.
    async fn show(&self, id: &str, request: &Request) -> Response {
        if self.lock().is_open(id) {
            return job_state_response(self.protocol.as_ref(), JobState::Running);
        }
        if self.may_be_kept(id) {
            return self.show_kept(id, request).await;
        }
        no_such_job_response()
    }

    /// Cancels a job by its name.
    async fn cancel(&self, id: &str, request: &Request) -> Response {
        if self.lock().cancel_named(id) {
            return json_response(StatusCode::OK, "{}");
        }
        if self.may_be_kept(id) {
            return self.cancel_kept(id, request).await;
        }
        no_such_job_response()
    }

    /// Answers how many jobs of a queue have not begun: those that need not be kept of this entry, and all kept ones.
    async fn count(&self, route: &Route, request: &Request) -> Response {
        if self.lock().awaits_groups() {
            return refusal_response("not known: NoGroups\n", RETRY_AFTER);
        }
        let Some(kept) = self.count_kept(&route.name, request).await else {
            log::info!(route = route.name.as_str(); "a queue cannot be counted");
            return refusal_response("not known\n", RETRY_AFTER);
        };
        let is_in_queue = |job: &JobRequest| job.queue == route.name;
        let queued = self.lock().count_queued(is_in_queue);
        json_response(StatusCode::OK, self.protocol.write_count(queued + kept))
    }

    /// Returns whether a group may know a job of this name. Without a control process that keeps jobs there are none.
    fn may_be_kept(&self, id: &str) -> bool {
        let state = self.lock();
        let has_groups = state.group_count() > 0 || state.awaits_groups();
        has_groups && self.protocol.can_be_kept(id)
    }
}
