//! Clocks, random numbers and hashes that every package may use.
//!
//! Owns no state. Relies on the system's clocks and random source only; packages that decide without I/O use the types and get the
//! values as arguments.

#![warn(clippy::disallowed_methods)]

mod clock;
mod hash;
mod random;
mod stall_watch;
mod suspension;
mod system_clocks;

pub use clock::{ProcessClock, Timestamp, UnixTime, unix_now};
pub use hash::{HASH_LEN, hash_parts};
pub use random::{draw_below, random_u64};
pub use stall_watch::{PROCESS_STALL, StallWatch};
pub use suspension::{ClockLead, SuspensionWatch};
pub use system_clocks::has_boot_clock;
