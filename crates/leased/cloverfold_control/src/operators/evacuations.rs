//! Operators' calls to evacuate a data hall, to take it back, and to show what is evacuated.
//!
//! Decision: when an order is acknowledged. Rule: any control process checks the name and answers 400 or 404 with its fault, 400 also to
//! a call with a body; a valid order it submits to the leader every 250 ms, and acknowledges it once the order is applied here and was
//! taken, or the hall was as wanted already. An order that turns out to be based on an outdated state is made anew. If nothing is
//! decided within 2.5 s the answer is 503, and the order may still be taken later. Reason: every acknowledgement stands for a place in
//! the log, so that a process that lags behind acknowledges nothing that has been undone since (docs/design/10-evacuations.md).

use cloverfold_evacuation::{DataHall, HallChange, HallNameError, OrderOutcome};
use cloverfold_http::{Request, Response, json_response};
use http::StatusCode;
use serde_json::json;
use tokio::time::timeout;

use super::Operators;
use super::replies::{PROPOSAL_TIMEOUT, answer_unavailable};
use crate::state::ControlState;

impl Operators {
    /// Evacuates a data hall or takes it back, and answers once that is decided.
    pub(super) async fn change_hall(
        &self,
        hall: &DataHall,
        change: HallChange,
        request: &Request,
    ) -> Response {
        if let Err(fault) = self.halls.check(hall) {
            return refuse_order(hall, find_status(&fault), &fault.to_string());
        }
        if !request.body.is_empty() {
            let fault = "an order for a data hall has no body";
            return refuse_order(hall, StatusCode::BAD_REQUEST, fault);
        }
        let decided = timeout(PROPOSAL_TIMEOUT, self.decide_order(hall, change)).await;
        let is_taken = decided.is_ok();
        log::info!(hall = hall.as_str(), change = change.as_str(), is_taken; "an operator's order for a data hall");
        if is_taken {
            json_response(StatusCode::OK, "{}")
        } else {
            answer_unavailable("it is not known whether the order is taken; send it again\n")
        }
    }

    /// Shows the evacuations in force.
    pub(super) async fn get_evacuations(&self) -> Response {
        if !self.is_up_to_date().await {
            return answer_unavailable("the newest evacuations are not known here at present\n");
        }
        let body = self.state.lock().describe_evacuations().to_string();
        json_response(StatusCode::OK, body)
    }

    /// Submits an order until it is decided, and makes it anew while it is outdated.
    async fn decide_order(&self, hall: &DataHall, change: HallChange) {
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

fn find_status(fault: &HallNameError) -> StatusCode {
    match fault {
        HallNameError::Malformed => StatusCode::BAD_REQUEST,
        HallNameError::Unknown { .. } => StatusCode::NOT_FOUND,
    }
}

fn refuse_order(hall: &str, status: StatusCode, fault: &str) -> Response {
    log::warn!(hall, fault; "an order for a data hall is refused");
    let body = json!({ "faults": [fault] }).to_string();
    json_response(status, body)
}
