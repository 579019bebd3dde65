//! Plugin registry and lifecycle of the processes of a claims installation.
//!
//! A process is an [`App`]. Each [`Plugin`] adds resources, message handlers, metrics, background tasks, readiness checks
//! and drain steps to it. [`App::start`] returns a [`RunningApp`], which [`RunningApp::stop`] drains.
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
