//! Operator calls about waves of upkeep.
//!
//! Any control process validates an order. The responses to an order that is not stored are:
//!
//! - 400 with all errors if the order is malformed or cannot be carried out;
//! - 404 if it names a box that is not in the platform's list, provided that the list can be read within [`LIST_TIMEOUT`], or if the
//!   settings name no platform interface;
//! - 409 if its number belongs to an order with different content.
//!
//! The process submits a valid order to the leader every 250 ms and acknowledges it once it has applied the order; it acknowledges a known
//! number with the same content immediately. After 2.5 s it responds with 503; the order may still take effect later. An accepted order is
//! never rejected afterwards, and an order that cannot be carried out is never acknowledged.
//!
//! A wave is reported as completed once every box that stays has begun its upkeep according to the local state. Any other state is reported
//! only after a read barrier, otherwise the response is 503.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverfold_http::{Request, Response, json_response};
use cloverfold_upkeep::{Wave, WaveNumber, WaveOrder, WaveOutcome, WaveRequest, WaveRequestError};
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::timeout;

use super::OperatorApi;
use super::calls::CallFormat;
use super::replies::{PROPOSAL_TIMEOUT, answer_unavailable};
use crate::state::ControlState;
use crate::upkeep_caller::read_list;

/// How long an order waits for the list of boxes; without the list, names are not checked. Well below the second after which operators try
/// another process.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// The body of an order in the product's own format.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WaveBody {
    wave: WaveNumber,
    boxes: BTreeSet<String>,
    span_ms: u64,
    most_down: u32,
}

impl OperatorApi {
    /// Starts a wave and responds once the outcome is known.
    pub(super) async fn start_wave(&self, format: CallFormat, request: &Request) -> Response {
        let wave = match self.decode_wave(format, &request.body) {
            Ok(wave) => wave,
            // The number is unknown and logged as 0.
            Err(error) => return reject_wave(0, &[error]),
        };
        let number = wave.wave;
        let mut errors = wave.validate();
        if errors.is_empty() && self.upkeep.is_none() {
            errors.push(WaveRequestError::NotServed);
        }
        if !errors.is_empty() {
            return reject_wave(number, &errors);
        }
        let order = self.state.lock().create_wave_order(wave);
        if let Some(name) = self.find_unknown_box(&order).await {
            return reject_wave(number, &[WaveRequestError::UnknownBox(name)]);
        }
        let decided = timeout(PROPOSAL_TIMEOUT, self.submit_wave_until_decided(&order)).await;
        match decided {
            Ok(WaveOutcome::Conflicting) => {
                reject_wave(number, &[WaveRequestError::Conflicting(number)])
            }
            Ok(WaveOutcome::Taken | WaveOutcome::Repeated) => {
                log::info!(wave = number, is_taken = true; "an operator ordered a wave of upkeep");
                json_response(StatusCode::OK, "{}")
            }
            Err(_elapsed) => {
                log::info!(wave = number, is_taken = false; "an operator ordered a wave of upkeep");
                answer_unavailable("it is not known whether the order is taken; send it again\n")
            }
        }
    }

    fn decode_wave(
        &self,
        format: CallFormat,
        body: &[u8],
    ) -> Result<WaveRequest, WaveRequestError> {
        if format == CallFormat::Platform {
            return self.interface.decode_wave(body);
        }
        let body: WaveBody =
            serde_json::from_slice(body).map_err(|cause| WaveRequestError::Unreadable {
                field: "body".into(),
                cause: cause.to_string(),
            })?;
        Ok(WaveRequest {
            wave: body.wave,
            boxes: body.boxes,
            span: Duration::from_millis(body.span_ms),
            most_down: body.most_down,
        })
    }

    /// Returns a box of a new order that is missing from the platform's list; `None` also if the list or the read barrier times out.
    async fn find_unknown_box(&self, order: &WaveOrder) -> Option<String> {
        let is_known = || self.state.lock().upkeep().order_outcome(order).is_some();
        if is_known() {
            return None;
        }
        let settings = self.upkeep.as_ref()?;
        let list = read_list(&*self.interface, settings);
        let listed = timeout(LIST_TIMEOUT, list).await.ok()?.ok()?;
        let listed: BTreeSet<&str> = listed.iter().map(|listed| listed.name.as_str()).collect();
        let mut boxes = order.boxes.iter();
        let unknown = boxes.find(|name| !listed.contains(name.as_str()))?;
        // An order that another process already accepted is acknowledged again, even if the box has been removed since.
        let is_new = self.is_up_to_date().await && !is_known();
        is_new.then(|| unknown.clone())
    }

    /// Submits an order repeatedly until its outcome is known.
    async fn submit_wave_until_decided(&self, order: &WaveOrder) -> WaveOutcome {
        let submit = |state: &mut ControlState| state.submit_wave(order);
        let find_outcome = |state: &ControlState| state.upkeep().order_outcome(order);
        self.submit_until_decided(submit, find_outcome).await
    }

    /// Responds with the state of a wave.
    pub(super) async fn get_wave(&self, format: CallFormat, number: &str) -> Response {
        let Ok(number) = number.parse::<WaveNumber>() else {
            let body = json!({ "faults": ["the number of a wave has digits alone"] });
            return json_response(StatusCode::BAD_REQUEST, body.to_string());
        };
        let is_completed_here = {
            let state = self.state.lock();
            let wave = state.upkeep().waves().get(&number);
            wave.is_some_and(Wave::is_completed)
        };
        // A completed wave stays completed, so no read barrier is needed.
        if !is_completed_here && !self.is_up_to_date().await {
            return answer_unavailable(
                "the newest state of the wave is not known here at present\n",
            );
        }
        let state = self.state.lock();
        let Some(wave) = state.upkeep().waves().get(&number) else {
            let body = json!({ "faults": [format!("no wave {number}")] });
            return json_response(StatusCode::NOT_FOUND, body.to_string());
        };
        let body = match format {
            CallFormat::Product => describe_wave(&state, number, wave).to_string(),
            CallFormat::Platform => self.interface.write_wave_state(wave.is_completed()),
        };
        json_response(StatusCode::OK, body)
    }

    pub(super) async fn list_waves(&self) -> Response {
        if !self.is_up_to_date().await {
            return answer_unavailable("the newest waves are not known here at present\n");
        }
        let state = self.state.lock();
        let waves = state.upkeep().waves().iter();
        let waves: Vec<Value> = waves
            .map(|(number, wave)| describe_wave(&state, *number, wave))
            .collect();
        json_response(StatusCode::OK, json!({ "waves": waves }).to_string())
    }
}

/// Describes a wave: its order, the phases of its boxes and, on the process that runs the scheduler, the next box and the reason for
/// waiting.
fn describe_wave(state: &ControlState, number: WaveNumber, wave: &Wave) -> Value {
    let phases = wave.phases.iter();
    let phases: Vec<Value> = phases
        .map(|(name, phase)| json!({ "box": name, "phase": phase.as_str() }))
        .collect();
    let mut described = json!({
        "wave": number,
        "state": if wave.is_completed() { "completed" } else { "running" },
        "boxes": wave.order.boxes.len(),
        "waiting": wave.waiting().count(),
        "span_ms": wave.order.span.as_millis() as u64,
        "most_down": wave.order.most_down,
        "source": wave.order.source,
        "unix_ms": wave.order.received_at.as_millis() as u64,
        "phases": phases,
    });
    if let Some(status) = state.wave_status(number) {
        described["holder"] = json!({
            "down": status.unavailable,
            "at_once": status.at_once,
            "next": status.draining,
            "waits": status.wait_reason.map(|reason| reason.as_str()),
            "late_ms": status.late_by.map(|late| late.as_millis() as u64),
        });
    }
    described
}

fn error_status(error: &WaveRequestError) -> StatusCode {
    match error {
        WaveRequestError::UnknownBox(_) | WaveRequestError::NotServed => StatusCode::NOT_FOUND,
        WaveRequestError::Conflicting(_) => StatusCode::CONFLICT,
        _ => StatusCode::BAD_REQUEST,
    }
}

fn reject_wave(wave: WaveNumber, errors: &[WaveRequestError]) -> Response {
    let status = errors.first().map_or(StatusCode::BAD_REQUEST, error_status);
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    log::warn!(wave, faults = errors.join("; ").as_str(); "rejected an order of a wave");
    let body = json!({ "faults": errors }).to_string();
    json_response(status, body)
}
