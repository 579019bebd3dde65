//! The audit trail of configurations, evacuation orders and waves of upkeep, as shown to operators.

use cloverfold_configuration::AuditRecord;
use cloverfold_evacuation::EvacuationRecord;
use cloverfold_http::{Response, json_response};
use cloverfold_upkeep::WaveRecord;
use http::StatusCode;
use serde_json::{Value, json};

use super::OperatorApi;

impl OperatorApi {
    pub(super) fn show_audit(&self) -> Response {
        let state = self.state.lock();
        let records: Vec<Value> = state.audit().iter().map(describe_proposal).collect();
        let mut body = json!({ "audit": records });
        let orders: Vec<Value> = state
            .evacuations()
            .audit()
            .map(describe_evacuation_order)
            .collect();
        // Absent before the first order, as in older builds without evacuations.
        if !orders.is_empty() {
            body["evacuations"] = json!(orders);
        }
        let waves: Vec<Value> = state
            .upkeep()
            .audit()
            .into_iter()
            .map(describe_wave_order)
            .collect();
        if !waves.is_empty() {
            body["waves"] = json!(waves);
        }
        json_response(StatusCode::OK, body.to_string())
    }
}

fn describe_proposal(record: &AuditRecord) -> Value {
    let digest: String = record
        .digest
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    json!({
        "version": record.version,
        "held_before": record.version_before,
        "outcome": record.outcome.as_str().to_lowercase(),
        "source": record.source,
        "unix_ms": record.received_at.as_millis() as u64,
        "digest": digest,
        "bytes": record.text_len,
        "bytes_before": record.text_len_before,
    })
}

fn describe_evacuation_order(record: &EvacuationRecord) -> Value {
    json!({
        "hall": record.hall,
        "change": record.change.as_str(),
        "outcome": record.outcome.as_str().to_lowercase(),
        "revision": record.revision,
        "index": record.index,
        "source": record.source,
        "unix_ms": record.received_at.as_millis() as u64,
    })
}

fn describe_wave_order(record: &WaveRecord) -> Value {
    json!({
        "wave": record.wave,
        "outcome": record.outcome.as_str().to_lowercase(),
        "boxes": record.boxes,
        "index": record.index,
        "source": record.source,
        "unix_ms": record.received_at.as_millis() as u64,
    })
}
