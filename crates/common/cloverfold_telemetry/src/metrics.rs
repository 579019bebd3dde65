//! Metrics as text.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Writes all metrics of a registry as text.
pub fn write_metrics(registry: &Registry) -> String {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => text,
        Err(cause) => format!("# {cause}\n"),
    }
}
