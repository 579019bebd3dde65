//! Measurements that are repeated by hand; not part of the tests.
//!
//! `cargo bench -p cloverfold_benches --bench decisions` times the pure decisions over the number of boxes;
//! `cargo build --release && cargo bench -p cloverfold_benches --bench capacity` measures what real processes
//! spend at several sizes.

mod process_system;
mod usage;

pub use process_system::{ProcessSystem, Role};
pub use usage::{Usage, read_usage};
