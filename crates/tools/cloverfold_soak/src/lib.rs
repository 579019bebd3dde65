//! Fault-injection soak test: runs the real programs of a leased installation under faults generated from a seed, and checks guarantees.
//!
//! [`plan`] defines the workload and the faults, [`run`] executes a plan and records what callers, operators and targets observe
//! ([`records`]), and [`checker`] finds violated guarantees in that history. `cloverfold_stand_ins` provides the names and formats of
//! the platform, and `cloverfold_faults` provides the proxies on the links.

pub mod checker;
pub mod plan;
pub mod records;
pub mod run;
