//! Operator calls about configurations.
//!
//! Any control process validates a configuration and responds with 400 and all errors if it is invalid. It submits a valid one to the
//! leader every 250 ms and acknowledges it once that version or a higher one is committed, even if that was another configuration: no call
//! is rejected for its version, and the audit trail shows which configuration came into force. After 2.5 s it responds with 503; the
//! configuration may still come into force later. An acknowledged configuration is never lost, and repeated calls are idempotent.

use cloverfold_base::unix_now;
use cloverfold_configuration::{ConfigurationError, Proposal, StoredConfiguration};
use cloverfold_http::{Request, Response, json_response};
use http::StatusCode;
use serde_json::json;
use tokio::time::timeout;

use super::OperatorApi;
use super::replies::{PROPOSAL_RESEND_INTERVAL, PROPOSAL_TIMEOUT, answer_unavailable};

impl OperatorApi {
    /// Puts a configuration in force and responds once the outcome is known.
    pub(super) async fn put_configuration(&self, request: &Request) -> Response {
        let text = &request.body;
        let configuration = match self.interface.decode(text) {
            Ok(configuration) => configuration,
            // The version is unknown and logged as 0.
            Err(error) => return reject_configuration(0, &[error]),
        };
        let version = configuration.version;
        let errors = configuration.validate();
        if !errors.is_empty() {
            return reject_configuration(version, &errors);
        }
        let proposal = Proposal {
            configuration: StoredConfiguration {
                version,
                text: text.to_vec().into(),
            },
            source: self.name.clone(),
            received_at: unix_now(),
        };
        let committed = self.wait_until_committed(proposal);
        let is_taken = timeout(PROPOSAL_TIMEOUT, committed).await.is_ok();
        log::info!(version, is_taken; "an operator submitted a configuration");
        if is_taken {
            json_response(StatusCode::OK, "{}")
        } else {
            answer_unavailable(
                "it is not known whether the configuration is taken; send it again\n",
            )
        }
    }

    /// Submits the proposal to the leader repeatedly until that version or a higher one is committed.
    async fn wait_until_committed(&self, proposal: Proposal) {
        let mut committed = self.state.lock().subscribe_version();
        loop {
            if *committed.borrow_and_update() >= proposal.configuration.version {
                return;
            }
            self.state.lock().submit_proposal(&proposal);
            let change = committed.wait_for(|current| *current >= proposal.configuration.version);
            // The sender lives as long as the state, so completion in time means that the version was reached.
            if timeout(PROPOSAL_RESEND_INTERVAL, change).await.is_ok() {
                return;
            }
        }
    }

    pub(super) async fn get_configuration(&self) -> Response {
        if !self.is_up_to_date().await {
            return answer_unavailable("the newest configuration is not known here at present\n");
        }
        match self.state.lock().current_text() {
            Some(text) => json_response(StatusCode::OK, text),
            None => answer_unavailable("no configuration was taken yet\n"),
        }
    }
}

fn reject_configuration(version: u64, errors: &[ConfigurationError]) -> Response {
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    log::warn!(version, faults = errors.join("; ").as_str(); "rejected an invalid configuration");
    let body = json!({ "faults": errors }).to_string();
    json_response(StatusCode::BAD_REQUEST, body)
}
