//! The body of a task for the sample target.
//!
//! Owns nothing. Tests and the load write it, the target reads it.

use serde::{Deserialize, Serialize};

/// Body of a task for the sample target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SampleTask {
    /// How long the task runs, in milliseconds.
    pub duration_ms: u64,
    /// Answer with a failure at the end.
    pub fails: bool,
    /// Whatever the caller wants back in the result.
    pub echo: serde_json::Value,
}
