//! Bounds on the connections that a process accepts, and on the memory that it holds for all of them together.
//!
//! A [`ConnectionBudget`] is shared by the connections of one or several listeners. Each [`Connection`] takes memory from it before it
//! allocates, and gives it back by dropping a [`HeldMemory`]. When the budget is used up, connections that make no progress are closed
//! first, so that a crowd of them cannot shut out others; what cannot be had even so is refused.
//!
//! [`Ledger`] makes all decisions and does no I/O; [`ConnectionBudget`] carries them out.

#![warn(clippy::disallowed_methods)]

mod budget;
mod connection;
mod descriptors;
mod ledger;
mod outcome_log;

pub use budget::{BudgetUsage, ConnectionBudget};
pub use connection::{Connection, HeldMemory, NoMemory};
pub use descriptors::DescriptorPlan;
pub use ledger::{
    BudgetLimits, ConnectionId, HANDLED_SHARE, Ledger, MIN_PROGRESS_BYTES, Phase, Reservation,
    STALL_TIMEOUT,
};
