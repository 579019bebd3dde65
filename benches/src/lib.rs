//! Benchmarks that are run by hand and are not part of the tests.
//!
//! - `cargo bench -p cloverfold_benches --bench decisions` measures single scheduling decisions against the number of boxes.
//! - `cargo build --release && cargo bench -p cloverfold_benches --bench capacity` measures the resource usage of the processes of claims
//!   installations of several sizes.
//! - `cargo bench -p cloverfold_benches --bench dispatch` measures the time for a best-effort job in a dispatcher and a runner.
//! - `cargo bench -p cloverfold_benches --bench kept_groups` measures how fast groups accept kept jobs.
//!
//! This library starts the processes for `capacity` and reads their resource usage. The platform's own benchmark program
//! measures a whole leased installation.

mod process_system;
mod usage;

pub use process_system::{ProcessSystem, Role};
pub use usage::{Usage, read_usage};
