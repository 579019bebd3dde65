//! What the programs `cloverfold` and `cloverfold-guard` share: the runtime of claims processes and commands, and how a program ends.
//!
//! Owns no state. Relies on `tokio` for the runtime.

mod outcome;
mod runtime;

pub use outcome::report_outcome;
pub use runtime::{RuntimeThreads, start_runtime};
