//! Encoding of metrics in the `OpenMetrics` text format.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Encodes all metrics of a registry as text.
///
/// # Errors
///
/// Returns an error if a metric cannot be encoded; discards the text encoded so far.
pub fn encode_metrics(registry: &Registry) -> Result<String, fmt::Error> {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(text)
}

/// Encodes all metrics of a registry as text. Logs an error and returns it as a comment line.
pub fn write_metrics(registry: &Registry) -> String {
    encode_metrics(registry).unwrap_or_else(|cause| {
        log::error!("cannot encode metrics: {cause}");
        format!("# {cause}\n")
    })
}
