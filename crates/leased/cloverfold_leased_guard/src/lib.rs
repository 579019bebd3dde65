//! The guard of a leased installation.
//!
//! It stands beside one target, dials every entry, executes what they assign, and keeps the target's lease renewed. How the
//! target is spoken to is a [`TargetInterface`]'s matter.

mod interface;
mod metrics;
mod process;
mod state;

pub use interface::{Answer, RegistrationCall, RegistrationRefusal, TargetInterface};
pub use process::{LeasedGuard, start_leased_guard};
