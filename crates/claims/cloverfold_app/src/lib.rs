//! Plugin registry and life cycle shared by the processes of a claims installation.
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
mod control;
mod lifecycle;
mod ops_http;
mod resources;
mod traffic;

pub use app::{App, BuildError, Plugin, Running};
pub use control::{ControlThread, ThreadState};
pub use lifecycle::{Lifecycle, Phase};
