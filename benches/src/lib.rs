//! Measurements of the claims installation that are repeated by hand; not part of the tests.
//!
//! - `cargo bench -p cloverfold_benches --bench decisions` times the pure decisions over the number of boxes (`docs/CAPACITY.md`).
//! - `cargo build --release && cargo bench -p cloverfold_benches --bench capacity` measures what real processes spend at several sizes
//!   (`docs/CAPACITY.md`).
//! - `cargo build --release && cargo bench -p cloverfold_benches --bench faults` measures response and waste while processes die or stop
//!   (`docs/MEASUREMENTS.md`).
//!
//! Owns the processes that a bench starts. Relies on `cloverfold_solo` for keys and settings and on `cloverfold_load` for the load. A
//! leased installation is measured by the platform's own bench.

mod process_system;
mod usage;

pub use process_system::{ProcessSystem, Role};
pub use usage::{Usage, read_usage};
