//! Jobs that tests submit.

use std::time::{SystemTime, UNIX_EPOCH};

use cloverfold_load::JobRequest;
use cloverfold_solo::SERVICE;
use serde_json::json;

use crate::checker::make_echo;

/// A job that a test submits.
#[derive(Clone)]
pub struct TestJob {
    pub name: String,
    pub tasks: usize,
    pub duration_ms: u64,
    pub repeat: Option<&'static str>,
    pub first_submitted_unix_ms: u64,
    /// Whether the caller sends an idempotency key, which is the job's name.
    pub has_key: bool,
    pub deadline_ms: Option<u64>,
}

impl TestJob {
    /// Creates a job with an idempotency key that equals its name.
    pub fn new(name: &str, tasks: usize, duration_ms: u64) -> Self {
        Self {
            name: name.into(),
            tasks,
            duration_ms,
            repeat: None,
            first_submitted_unix_ms: unix_ms(),
            has_key: true,
            deadline_ms: None,
        }
    }

    pub fn request(&self) -> JobRequest {
        let task =
            |task| json!({ "duration_ms": self.duration_ms, "echo": make_echo(&self.name, task) });
        JobRequest {
            service: SERVICE.into(),
            tasks: (0..self.tasks).map(task).collect(),
            repeat: self.repeat,
            deadline_ms: self.deadline_ms,
            first_submitted_unix_ms: self.has_key.then_some(self.first_submitted_unix_ms),
            idempotency_key: self.has_key.then(|| self.name.clone()),
        }
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}
