//! The body of a task for the sample target.

use serde::{Deserialize, Serialize};

/// Body of a task for the sample target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SampleTask {
    /// Duration of the task, in milliseconds.
    pub duration_ms: u64,
    /// Whether the task fails at its end.
    pub fails: bool,
    /// Arbitrary value that the result returns to the caller.
    pub echo: serde_json::Value,
}
