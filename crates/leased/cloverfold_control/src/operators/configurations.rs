//! Operators' calls about configurations.
//!
//! Decision: when an operator's configuration is acknowledged. Rule: any control process checks it and answers 400 with every fault that
//! it has; a valid one it submits to the leader every 250 ms, and acknowledges it once a version as high is committed, also if that was
//! another configuration: no call is refused for its version, and the audit trail shows which one came into force. If none is committed
//! within 2.5 s the answer is 503, and the configuration may still come into force later. Reason: an acknowledged configuration is never
//! lost, and an operator who calls again with the same configuration does no harm (docs/design/7-control.md, "Proposals").

use cloverfold_base::unix_now;
use cloverfold_configuration::{ConfigurationError, Proposal, StoredConfiguration};
use cloverfold_http::{Request, Response, json_response};
use http::StatusCode;
use serde_json::json;
use tokio::time::timeout;

use super::Operators;
use super::replies::{PROPOSAL_RESEND_INTERVAL, PROPOSAL_TIMEOUT, answer_unavailable};

impl Operators {
    /// Brings a configuration into force, and answers once that is decided.
    pub(super) async fn put_configuration(&self, request: &Request) -> Response {
        let text = &request.body;
        let configuration = match self.interface.decode(text) {
            Ok(configuration) => configuration,
            // Its version is unknown, which is logged as 0.
            Err(fault) => return refuse_configuration(0, &[fault]),
        };
        let version = configuration.version;
        let faults = configuration.validate();
        if !faults.is_empty() {
            return refuse_configuration(version, &faults);
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
        log::info!(version, is_taken; "an operator's configuration");
        if is_taken {
            json_response(StatusCode::OK, "{}")
        } else {
            answer_unavailable(
                "it is not known whether the configuration is taken; send it again\n",
            )
        }
    }

    /// Submits the proposal to the leader again and again until a version as high is committed.
    async fn wait_until_committed(&self, proposal: Proposal) {
        let mut committed = self.state.lock().follow_version();
        loop {
            if *committed.borrow_and_update() >= proposal.configuration.version {
                return;
            }
            self.state.lock().submit_proposal(&proposal);
            let change = committed.wait_for(|current| *current >= proposal.configuration.version);
            // The sender lives as long as the state, so an outcome in time is a version as high.
            if timeout(PROPOSAL_RESEND_INTERVAL, change).await.is_ok() {
                return;
            }
        }
    }

    /// Shows the configuration in force.
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

fn refuse_configuration(version: u64, faults: &[ConfigurationError]) -> Response {
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    log::warn!(version, faults = faults.join("; ").as_str(); "an invalid configuration is refused");
    let body = json!({ "faults": faults }).to_string();
    json_response(StatusCode::BAD_REQUEST, body)
}
