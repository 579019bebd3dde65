//! Log lines in JSON and metrics as text, for every process.
//!
//! Owns the queue of log lines that wait to be written and the count of those that were dropped. Relies on `log4rs` for the format
//! and on `prometheus-client` for the exposition.

#![warn(clippy::disallowed_methods)]

mod bounded_log;
mod cause_gauges;
mod logging;
mod metrics;

pub use bounded_log::dropped_line_count;
pub use cause_gauges::CauseGauges;
pub use logging::{LoggingError, start_logging};
pub use metrics::{encode_metrics, write_metrics};
