//! Logging in JSON lines and metrics in text format, for all processes.

#![warn(clippy::disallowed_methods)]

mod bounded_log;
mod cause_gauges;
mod logging;
mod metrics;

pub use bounded_log::dropped_line_count;
pub use cause_gauges::CauseGauges;
pub use logging::{LoggingError, start_logging};
pub use metrics::{encode_metrics, write_metrics};
