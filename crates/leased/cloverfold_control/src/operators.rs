//! What operators ask over HTTP.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cloverfold_base::unix_now;
use cloverfold_configuration::{
    AuditRecord, ConfigurationFault, ConfigurationFormat, Proposal, StoredConfiguration,
};
use cloverfold_http::{Request, Response, json_response, plain_response};
use http::{HeaderValue, Method, StatusCode};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::state::ControlState;

/// How long an order may take until it is left without a clear answer.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How often an order is given to the leader again, whoever that is then.
const PROPOSAL_RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// How long a read may take to be proved.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Hold the configuration in the body.
    PutConfiguration,
    /// Show the configuration that holds.
    GetConfiguration,
    /// Show the decisions on configurations.
    GetAudit,
    /// Show how this process stands.
    GetStatus,
}

/// How operators' calls are written beside the product's own (`/v1/configuration`, `/v1/audit`, `/v1/status`).
pub trait OperatorInterface: ConfigurationFormat {
    /// Tells what a request asks; `None` if nothing that this process knows.
    fn classify(&self, method: &Method, path: &str) -> Option<OperatorCall>;
}

/// Answers operators.
pub(crate) struct Operators {
    state: Arc<Mutex<ControlState>>,
    interface: Arc<dyn OperatorInterface>,
    name: String,
}

impl Operators {
    pub(crate) fn new(
        state: Arc<Mutex<ControlState>>,
        interface: Arc<dyn OperatorInterface>,
        name: String,
    ) -> Self {
        Self {
            state,
            interface,
            name,
        }
    }

    /// Answers one request.
    pub(crate) async fn answer(&self, request: Request) -> Response {
        let path = request.uri.path();
        let own = classify_own(&request.method, path);
        match own.or_else(|| self.interface.classify(&request.method, path)) {
            Some(OperatorCall::PutConfiguration) => self.put(&request).await,
            Some(OperatorCall::GetConfiguration) => self.get().await,
            Some(OperatorCall::GetAudit) => self.show_audit(),
            Some(OperatorCall::GetStatus) => self.show_status(),
            None => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn put(&self, request: &Request) -> Response {
        let text = &request.body;
        let configuration = match self.interface.decode(text) {
            Ok(configuration) => configuration,
            Err(fault) => return self.refuse(0, &[fault]),
        };
        let faults = configuration.find_faults();
        if !faults.is_empty() {
            return self.refuse(configuration.version, &faults);
        }
        let proposal = Proposal {
            configuration: StoredConfiguration {
                version: configuration.version,
                text: text.to_vec().into(),
            },
            source: self.name.clone(),
            received_at: unix_now(),
        };
        let version = configuration.version;
        let taking = self.wait_until_committed(proposal);
        let is_taken = timeout(PROPOSAL_TIMEOUT, taking).await.is_ok();
        log::info!(version, is_taken; "an operator's configuration");
        if is_taken {
            json_response(StatusCode::OK, "{}")
        } else {
            try_elsewhere("it is not known whether the configuration is taken; send it again\n")
        }
    }

    fn refuse(&self, version: u64, faults: &[ConfigurationFault]) -> Response {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        log::warn!(version, faults = faults.join("; ").as_str(); "an invalid configuration is refused");
        let body = json!({ "faults": faults }).to_string();
        json_response(StatusCode::BAD_REQUEST, body)
    }

    /// Gives the proposal to the leader until a version as high is committed.
    async fn wait_until_committed(&self, proposal: Proposal) {
        let mut committed = self.lock().follow_version();
        loop {
            if *committed.borrow_and_update() >= proposal.configuration.version {
                return;
            }
            self.lock().submit_proposal(&proposal);
            let change = committed.wait_for(|held| *held >= proposal.configuration.version);
            // The sender lives as long as the state.
            if timeout(PROPOSAL_RESEND_INTERVAL, change).await.is_ok() {
                return;
            }
        }
    }

    async fn get(&self) -> Response {
        match timeout(READ_TIMEOUT, self.read_newest()).await {
            Ok(Some(text)) => json_response(StatusCode::OK, text),
            Ok(None) => try_elsewhere("no configuration was taken yet\n"),
            Err(_) => try_elsewhere("the newest configuration is not known here at present\n"),
        }
    }

    /// Proves the newest version again and again until that succeeds.
    async fn read_newest(&self) -> Option<Vec<u8>> {
        const PAUSE: Duration = Duration::from_millis(40);
        loop {
            let proof = self.lock().begin_read();
            // A read that is given up counts as failed.
            if let Ok(Some(index)) = proof.await {
                let mut applied = self.lock().follow_applied();
                // The sender lives as long as the state.
                let _ = applied.wait_for(|held| *held >= index).await;
                return self.lock().current_text();
            }
            sleep(PAUSE).await;
        }
    }

    fn show_audit(&self) -> Response {
        let records: Vec<serde_json::Value> = self.lock().audit().iter().map(describe).collect();
        json_response(StatusCode::OK, json!({ "audit": records }).to_string())
    }

    fn show_status(&self) -> Response {
        let body = self.lock().describe().to_string();
        json_response(StatusCode::OK, body)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The product's own calls.
fn classify_own(method: &Method, path: &str) -> Option<OperatorCall> {
    match (method, path) {
        (&Method::PUT, "/v1/configuration") => Some(OperatorCall::PutConfiguration),
        (&Method::GET, "/v1/configuration") => Some(OperatorCall::GetConfiguration),
        (&Method::GET, "/v1/audit") => Some(OperatorCall::GetAudit),
        (&Method::GET, "/v1/status") => Some(OperatorCall::GetStatus),
        _ => None,
    }
}

fn describe(record: &AuditRecord) -> serde_json::Value {
    let digest: String = record
        .digest
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    json!({
        "version": record.version,
        "held_before": record.held_before,
        "outcome": record.outcome.as_str().to_lowercase(),
        "source": record.source,
        "unix_ms": record.received_at.as_millis() as u64,
        "digest": digest,
        "bytes": record.lengths.0,
        "bytes_before": record.lengths.1,
    })
}

fn try_elsewhere(text: &str) -> Response {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let soon = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, soon);
    response
}
