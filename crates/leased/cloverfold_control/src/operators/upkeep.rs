//! Operators' calls about waves of upkeep.
//!
//! Decision: when an order of a wave is acknowledged. Rule: any control process checks it. An order that cannot be read or carried out
//! gets 400 with every fault; one for a box that is not in the platform's list, if that can be read in [`LIST_TIMEOUT`], 404; one whose
//! number belongs to an order with other content, 409; any order where the settings name no interface of the platform, 404. Nothing of
//! these is stored. A valid order is submitted to the leader every 250 ms and acknowledged once it is applied here; a number that is
//! known with the same content is acknowledged at once. If nothing is decided within 2.5 s the answer is 503, and the order may still be
//! taken later. Reason: an acknowledged order stands in the log; an order that was taken is never refused, and one that cannot be
//! carried out is never acknowledged (docs/design/14-upkeep.md).
//!
//! Decision: when a wave is said to be completed. Rule: when every box that stays has begun its upkeep as of the state here; anything
//! else is answered only with the proof that the state here is the newest, otherwise 503.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverfold_http::{Request, Response, json_response};
use cloverfold_upkeep::{Wave, WaveNumber, WaveOrder, WaveOutcome, WaveRequest, WaveRequestError};
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::timeout;

use super::Operators;
use super::calls::CallFormat;
use super::replies::{PROPOSAL_TIMEOUT, answer_unavailable};
use crate::state::ControlState;
use crate::upkeep_caller::read_list;

/// How long an order waits for the list of boxes; without it, names are not checked. Chosen, not measured: operators go on to another
/// process after a second.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// An order as the product's own interface takes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WaveBody {
    wave: WaveNumber,
    boxes: BTreeSet<String>,
    span_ms: u64,
    most_down: u32,
}

impl Operators {
    /// Takes an order of a wave, and answers once that is decided.
    pub(super) async fn start_wave(&self, format: CallFormat, request: &Request) -> Response {
        let wave = match self.decode_wave(format, &request.body) {
            Ok(wave) => wave,
            // Its number is unknown, which is logged as 0.
            Err(fault) => return refuse_wave(0, &[fault]),
        };
        let number = wave.wave;
        let mut faults = wave.validate();
        if faults.is_empty() && self.upkeep.is_none() {
            faults.push(WaveRequestError::NotServed);
        }
        if !faults.is_empty() {
            return refuse_wave(number, &faults);
        }
        let order = self.state.lock().create_wave_order(wave);
        if let Some(name) = self.find_unknown_box(&order).await {
            return refuse_wave(number, &[WaveRequestError::UnknownBox(name)]);
        }
        let decided = timeout(PROPOSAL_TIMEOUT, self.decide_wave(&order)).await;
        match decided {
            Ok(WaveOutcome::Conflicting) => {
                refuse_wave(number, &[WaveRequestError::Conflicting(number)])
            }
            Ok(WaveOutcome::Taken | WaveOutcome::Repeated) => {
                log::info!(wave = number, is_taken = true; "an operator's order of a wave");
                json_response(StatusCode::OK, "{}")
            }
            Err(_elapsed) => {
                log::info!(wave = number, is_taken = false; "an operator's order of a wave");
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

    /// Returns a box of a new order that the platform does not list; `None` also if the list or the newest state is not known in time.
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
        // An order that was taken elsewhere is acknowledged again, also if the box has left since.
        let is_new = self.is_up_to_date().await && !is_known();
        is_new.then(|| unknown.clone())
    }

    /// Submits an order until its number is known here.
    async fn decide_wave(&self, order: &WaveOrder) -> WaveOutcome {
        let submit = |state: &mut ControlState| state.submit_wave(order);
        let find_outcome = |state: &ControlState| state.upkeep().order_outcome(order);
        self.submit_until_decided(submit, find_outcome).await
    }

    /// Answers whether a wave is completed.
    pub(super) async fn get_wave(&self, format: CallFormat, number: &str) -> Response {
        let Ok(number) = number.parse::<WaveNumber>() else {
            let fault = json!({ "faults": ["the number of a wave has digits alone"] });
            return json_response(StatusCode::BAD_REQUEST, fault.to_string());
        };
        let is_completed_here = {
            let state = self.state.lock();
            let wave = state.upkeep().waves().get(&number);
            wave.is_some_and(Wave::is_completed)
        };
        // A wave that is completed stays so.
        if !is_completed_here && !self.is_up_to_date().await {
            return answer_unavailable(
                "the newest state of the wave is not known here at present\n",
            );
        }
        let state = self.state.lock();
        let Some(wave) = state.upkeep().waves().get(&number) else {
            let fault = json!({ "faults": [format!("no wave {number}")] });
            return json_response(StatusCode::NOT_FOUND, fault.to_string());
        };
        let body = match format {
            CallFormat::Product => describe_wave(&state, number, wave).to_string(),
            CallFormat::Platform => self.interface.write_wave_state(wave.is_completed()),
        };
        json_response(StatusCode::OK, body)
    }

    /// Shows the waves.
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

/// Describes a wave: its order, how far its boxes are, and at the holder what is next and why it waits.
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
    if let Some(outlook) = state.outlook(number) {
        described["holder"] = json!({
            "down": outlook.down,
            "at_once": outlook.at_once,
            "next": outlook.next,
            "waits": outlook.waits.map(|reason| reason.as_str()),
            "late_ms": outlook.late_by.map(|late| late.as_millis() as u64),
        });
    }
    described
}

fn find_status(fault: &WaveRequestError) -> StatusCode {
    match fault {
        WaveRequestError::UnknownBox(_) | WaveRequestError::NotServed => StatusCode::NOT_FOUND,
        WaveRequestError::Conflicting(_) => StatusCode::CONFLICT,
        _ => StatusCode::BAD_REQUEST,
    }
}

fn refuse_wave(wave: WaveNumber, faults: &[WaveRequestError]) -> Response {
    let status = faults.first().map_or(StatusCode::BAD_REQUEST, find_status);
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    log::warn!(wave, faults = faults.join("; ").as_str(); "an order of a wave is refused");
    let body = json!({ "faults": faults }).to_string();
    json_response(status, body)
}
