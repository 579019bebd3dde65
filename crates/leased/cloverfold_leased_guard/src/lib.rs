//! The guard of a leased installation.
//!
//! It stands beside one target, dials every entry, executes what they assign, and keeps the target's lease renewed. How the
//! target is spoken to is a [`TargetInterface`]'s matter.

mod core;
mod interface;
mod metrics;
mod process;

pub use interface::{Answer, RegistrationCall, RegistrationRefusal, TargetInterface};
pub use process::{GuardProcess, start_leased_guard};
