//! Tests of the whole system: real processes behind the fault-injecting proxy.

// An expectation that fails is what a test is for.
#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

mod bad_input;
mod checker;
mod checker_tests;
mod cluster;
mod drain;
mod entry_faults;
mod guard_faults;
mod link_faults;
mod whole_path;
