//! Code shared by the programs `cloverfold` and `cloverfold-guard`: the runtime of claims processes and commands, and the exit code.

mod outcome;
mod runtime;

pub use outcome::report_outcome;
pub use runtime::{RuntimeThreads, start_runtime};
