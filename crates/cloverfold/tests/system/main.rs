//! Tests of a claims installation of real processes behind fault-injecting proxies.

// A failed `unwrap` fails the test, as intended.
#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

mod bad_input;
mod checker;
mod checker_tests;
mod client_crowds;
mod cluster;
mod drain;
mod entry_faults;
mod guard_faults;
mod link_faults;
mod whole_path;
