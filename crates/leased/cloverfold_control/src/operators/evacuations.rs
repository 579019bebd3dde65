//! Operator calls about evacuations of data halls.
//!
//! Any control process validates the name of the hall and responds with 400 or 404 if it is invalid or unknown, and with 400 to a request
//! with a body. It submits a valid order to the leader every 250 ms and acknowledges it once it has applied the order and the hall is in
//! the requested state. It replaces an order that was based on an outdated state with a new one. After 2.5 s it responds with 503; the
//! order may still take effect later. Every acknowledgement corresponds to a position in the log, so that a lagging process never
//! acknowledges a state that was reverted since.

use cloverfold_evacuation::{DataHall, HallChange, HallNameError, OrderOutcome};
use cloverfold_http::{Request, Response, json_response};
use http::StatusCode;
use serde_json::json;
use tokio::time::timeout;

use super::OperatorApi;
use super::replies::{PROPOSAL_TIMEOUT, answer_unavailable};
use crate::state::ControlState;

impl OperatorApi {
    /// Evacuates a data hall or ends its evacuation, and responds once the outcome is known.
    pub(super) async fn change_hall(
        &self,
        hall: &DataHall,
        change: HallChange,
        request: &Request,
    ) -> Response {
        if let Err(error) = self.halls.check(hall) {
            return reject_order(hall, error_status(&error), &error.to_string());
        }
        if !request.body.is_empty() {
            let error = "an order for a data hall has no body";
            return reject_order(hall, StatusCode::BAD_REQUEST, error);
        }
        let decided = timeout(
            PROPOSAL_TIMEOUT,
            self.submit_order_until_decided(hall, change),
        )
        .await;
        let is_taken = decided.is_ok();
        log::info!(hall = hall.as_str(), change = change.as_str(), is_taken; "an operator submitted an evacuation order");
        if is_taken {
            json_response(StatusCode::OK, "{}")
        } else {
            answer_unavailable("it is not known whether the order is taken; send it again\n")
        }
    }

    pub(super) async fn get_evacuations(&self) -> Response {
        if !self.is_up_to_date().await {
            return answer_unavailable("the newest evacuations are not known here at present\n");
        }
        let body = self.state.lock().describe_evacuations().to_string();
        json_response(StatusCode::OK, body)
    }

    /// Submits an order until it is decided; replaces it with a new one if it was outdated.
    async fn submit_order_until_decided(&self, hall: &DataHall, change: HallChange) {
        loop {
            let order = self.state.lock().create_order(hall, change);
            let submit = |state: &mut ControlState| state.submit_order(&order);
            let find_outcome = |state: &ControlState| state.order_outcome(order.id);
            match self.submit_until_decided(submit, find_outcome).await {
                OrderOutcome::Taken | OrderOutcome::Repeated => return,
                OrderOutcome::Outdated => {}
            }
        }
    }
}

fn error_status(error: &HallNameError) -> StatusCode {
    match error {
        HallNameError::Malformed => StatusCode::BAD_REQUEST,
        HallNameError::Unknown { .. } => StatusCode::NOT_FOUND,
    }
}

fn reject_order(hall: &str, status: StatusCode, fault: &str) -> Response {
    log::warn!(hall, fault; "rejected an evacuation order");
    let body = json!({ "faults": [fault] }).to_string();
    json_response(status, body)
}
