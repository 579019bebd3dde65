//! Plugin registry and life cycle shared by the processes of a claims installation.
//!
//! A process is an [`App`] to which each capability adds itself as a [`Plugin`]: its resources, message
//! handlers, metrics, background tasks, readiness checks and drain steps. The binaries only choose plugins.
//! [`App::start`] returns a [`RunningApp`] process and [`RunningApp::stop`] drains it. Owns the control thread, the
//! metrics registry and the life cycle of a process. Relies on `cloverfold_net` for messages between processes.
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
mod control;
mod error;
mod lifecycle;
mod ops_http;
mod resources;
mod running;
mod traffic;

pub use app::{App, Plugin};
pub use control::{ControlThread, ThreadState};
pub use error::BuildError;
pub use lifecycle::{Lifecycle, Phase};
pub use running::RunningApp;
