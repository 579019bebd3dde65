//! Common infrastructure of the processes of a leased installation: runtime, signals, settings reload, shared state, the peer port with
//! its event loop, detection of stalls and suspensions, metrics, and HTTP endpoints for operators.

#![warn(clippy::disallowed_methods)]

mod budgets;
mod metrics;
mod operations;
mod peer_port;
mod runtime;
mod settings_watch;
mod shared;
mod stalls;
mod suspensions;

pub use budgets::ProcessBudgets;
pub use metrics::{MetricsBuilder, ProcessMetrics};
pub use operations::serve_state_operations;
pub use peer_port::{ListeningPeerPort, PeerPort, ProcessState, tick_interval};
pub use runtime::start_leased_runtime;
pub use settings_watch::SettingsWatch;
pub use shared::Shared;
pub use stalls::StallMonitor;
pub use suspensions::SuspensionMonitor;
