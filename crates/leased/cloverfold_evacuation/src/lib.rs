//! Evacuations of data halls.
//!
//! An operator orders the evacuation of a data hall, or its return to service ([`EvacuationOrder`]). While a hall is evacuated, no task
//! starts in it; running tasks are not interrupted. [`EvacuationState`] is the state that the control processes replicate: the evacuated
//! halls and the audit trail. All other processes receive [`EvacuatedHalls`].
//!
//! Nothing in this crate does I/O. The log is in `cloverfold_consensus`, the process in `cloverfold_control`.

#![warn(clippy::disallowed_methods)]

mod evacuated_halls;
mod hall_names;
mod order;
mod state;

pub use evacuated_halls::{DataHall, EvacuatedHalls, EvacuationRevision};
pub use hall_names::{HallNameError, HallNames};
pub use order::{EvacuationOrder, HallChange, OrderId, OrderOutcome};
pub use state::{Evacuation, EvacuationRecord, EvacuationState};
