//! Evacuations of data halls.
//!
//! An operator orders that a data hall is evacuated, or taken back ([`EvacuationOrder`]). While it is evacuated, no task starts in it;
//! what runs there ends in peace. [`EvacuationState`] owns what the control processes replicate: the evacuated halls and the audit
//! trail. [`EvacuatedHalls`] is what every other process is told. Nothing here does I/O; the log that orders the orders is
//! `cloverfold_consensus`, the process around both `cloverfold_control`.

#![warn(clippy::disallowed_methods)]

mod evacuated_halls;
mod hall_names;
mod order;
mod state;

pub use evacuated_halls::{DataHall, EvacuatedHalls, EvacuationRevision};
pub use hall_names::{HallNameError, HallNames};
pub use order::{EvacuationOrder, HallChange, OrderId, OrderOutcome};
pub use state::{Evacuation, EvacuationRecord, EvacuationState};
