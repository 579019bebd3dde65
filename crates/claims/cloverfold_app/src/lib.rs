//! Plugin registry, telemetry and life cycle shared by every process.
//!
//! A process is an [`App`] to which each capability adds itself as a [`Plugin`]: its resources, message
//! handlers, metrics, background tasks, readiness checks and what it does when the process stops. The
//! binaries only choose plugins. [`App::start`] gives a [`Running`] process and [`Running::stop`] drains it.
//!
//! ```
//! use cloverfold_app::{App, BuildError, Plugin};
//!
//! struct Greeting(&'static str);
//! struct GreetPlugin;
//! impl Plugin for GreetPlugin {
//!     fn build(self, app: &mut App) -> Result<(), BuildError> {
//!         app.insert_resource(Greeting("hello"));
//!         Ok(())
//!     }
//! }
//! ```

mod app;
mod bounded_log;
mod cause_gauges;
mod clock;
mod control;
mod lifecycle;
mod logging;
mod ops_http;
mod resources;
mod traffic;

pub use app::{App, BuildError, Plugin, Running};
pub use bounded_log::count_dropped_lines;
pub use cause_gauges::CauseGauges;
pub use clock::{draw_below, random_u64, unix_now};
pub use control::{ControlThread, ThreadState};
pub use lifecycle::{Lifecycle, Phase};
pub use logging::{LoggingError, start_logging};
pub use ops_http::{HttpServer, OpsState, build_ops_router, write_metrics};
pub use resources::Resources;
