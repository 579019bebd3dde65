//! What the processes of a leased installation share when they start and run: their runtime, their signals, settings that change
//! under way, the state that their tasks share, its links and ticks, suspensions of their box, their metrics and pages for operators.
//!
//! Owns the watch on the settings file and the channel on which the links of a process report. Relies on `cloverfold_settings` to read
//! the file, on `cloverfold_link` and `cloverfold_peer` for links, on `cloverfold_http` for pages and on
//! `cloverfold_telemetry` for metrics.

#![warn(clippy::disallowed_methods)]

mod metrics;
mod operations;
mod peer_port;
mod runtime;
mod settings_watch;
mod shared;
mod stalls;
mod suspensions;

pub use metrics::{MetricsBuilder, ProcessMetrics};
pub use operations::serve_state_operations;
pub use peer_port::{LeasedState, ListeningPeerPort, PeerPort, tick_interval};
pub use runtime::start_leased_runtime;
pub use settings_watch::SettingsWatch;
pub use shared::Shared;
pub use stalls::StallMonitor;
pub use suspensions::SuspensionMonitor;
