//! Clients that submit kept jobs, as the protocol's page tells them, and what they saw.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::executor::Demands;
use crate::http::{self, Outcome};
use crate::json::Json;
use crate::record::{Record, lock};

pub const HOST: &str = "nony24.example";

#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u32,
    pub cpu: i64,
    pub estimate_ms: u64,
    pub depends_on: Vec<usize>,
    pub constraint: String,
    pub affinity: String,
    pub anti_affinity: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Job {
    pub id: String,
    pub prefix: String,
    pub spec: String,
    pub steps: Vec<Step>,
    pub best_effort: bool,
}

impl Job {
    pub fn body(&self) -> String {
        let steps = self.steps.iter().map(|step| {
            let mut text = format!(
                "{{\"Count\":{},\"Cpu\":{},\"MemMb\":64,\"EstDurationMs\":{}",
                step.count, step.cpu, step.estimate_ms
            );
            if !step.depends_on.is_empty() {
                let on: Vec<String> = step.depends_on.iter().map(ToString::to_string).collect();
                text.push_str(&format!(",\"DependsOn\":[{}]", on.join(",")));
            }
            if !step.constraint.is_empty() {
                text.push_str(&format!(",\"Constraints\":\"{}\"", step.constraint));
            }
            if !step.affinity.is_empty() {
                text.push_str(&format!(",\"Affinity\":\"{}\"", step.affinity));
            }
            if step.anti_affinity > 0 {
                text.push_str(&format!(",\"AntiAffinity\":{}", step.anti_affinity));
            }
            text.push('}');
            text
        });
        let steps: Vec<String> = steps.collect();
        let best_effort = if self.best_effort {
            "\"BestEffort\":true,"
        } else {
            ""
        };
        format!(
            "{{\"Spec\":\"{}\",{best_effort}\"Steps\":[{}]}}",
            self.spec,
            steps.join(",")
        )
    }

    pub fn path(&self) -> String {
        format!("{}{}", self.prefix, self.id)
    }
}

/// What the clients know of a job.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// When the first 2xx came.
    pub accepted: Option<u64>,
    /// When its cancelling was acknowledged.
    pub cancel_acked: Option<u64>,
}

#[derive(Default)]
pub struct Ledger(pub Mutex<BTreeMap<String, Known>>);

pub struct Caller {
    pub record: Arc<Record>,
    pub ledger: Arc<Ledger>,
    pub demands: Arc<Demands>,
}

impl Caller {
    /// Sends a job once; returns the answer.
    pub fn send(&self, job: &Job, entry: SocketAddr, deadline: u64) -> Outcome {
        self.send_and_leave(job, entry, deadline, deadline)
    }

    /// Sends a job once, and leaves after `patience` without an answer.
    pub fn send_and_leave(
        &self,
        job: &Job,
        entry: SocketAddr,
        deadline: u64,
        patience: u64,
    ) -> Outcome {
        let cpus = job.steps.iter().map(|step| step.cpu).collect();
        lock(&self.demands.0).insert(job.id.clone(), cpus);
        let now = self.record.now();
        lock(&self.ledger.0).entry(job.id.clone()).or_default();
        let headers = [("Deadline-Ms", deadline.to_string())];
        let limit = Duration::from_millis(patience);
        let body = job.body();
        let outcome = http::call(entry, "POST", &job.path(), HOST, &headers, &body, limit);
        self.record.write(&format!(
            "POST {} to {entry} at {:.3} s: {}",
            job.path(),
            now as f64 / 1000.0,
            outcome.show()
        ));
        if matches!(outcome.status(), 200..=299)
            && let Some(known) = lock(&self.ledger.0).get_mut(&job.id)
        {
            known.accepted.get_or_insert(self.record.now());
        }
        outcome
    }

    /// Asks for the state of a job; 410 is told as `gone`, anything else without a state as `?`.
    pub fn state(&self, job: &Job, entry: SocketAddr, limit_ms: u64) -> String {
        let headers = [("Deadline-Ms", limit_ms.to_string())];
        let limit = Duration::from_millis(limit_ms);
        let outcome = http::call(entry, "GET", &job.path(), HOST, &headers, "", limit);
        let state = match &outcome {
            Outcome::Answered(200, body) => Json::parse(body)
                .map(|json| json.text("State").to_owned())
                .unwrap_or_default(),
            Outcome::Answered(410, _) => "gone".into(),
            _ => format!("? {}", outcome.show()),
        };
        self.record
            .write(&format!("GET {} at {entry}: {state}", job.path()));
        state
    }

    pub fn cancel(&self, job: &Job, entry: SocketAddr) -> Outcome {
        let headers = [("Deadline-Ms", "1500".to_owned())];
        let limit = Duration::from_millis(1_500);
        let outcome = http::call(entry, "DELETE", &job.path(), HOST, &headers, "", limit);
        self.record
            .write(&format!("DELETE {} at {entry}: {}", job.id, outcome.show()));
        if matches!(outcome.status(), 200..=299 | 410)
            && let Some(known) = lock(&self.ledger.0).get_mut(&job.id)
        {
            known.cancel_acked.get_or_insert(self.record.now());
        }
        outcome
    }
}
