//! Metrics as text, in the format of `OpenMetrics`.
//!
//! Owns nothing: each process keeps its registry. Relies on `prometheus-client` for the format.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Encodes all metrics of a registry as text.
///
/// # Errors
///
/// Returns the error of a metric that cannot be encoded; the text written so far is dropped.
pub fn encode_metrics(registry: &Registry) -> Result<String, fmt::Error> {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(text)
}

/// Encodes all metrics of a registry as text; on an error logs it and returns a comment line that holds it.
pub fn write_metrics(registry: &Registry) -> String {
    encode_metrics(registry).unwrap_or_else(|cause| {
        log::error!("the metrics cannot be encoded: {cause}");
        format!("# {cause}\n")
    })
}
