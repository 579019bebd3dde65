//! Clocks, random numbers and hashes for all crates.
//!
//! Crates without I/O use only the types and get the values as arguments.

#![warn(clippy::disallowed_methods)]

mod clock;
mod hash;
mod random;
mod stall_detector;
mod suspension;
mod system_clocks;

pub use clock::{ProcessClock, Timestamp, UnixTime, unix_now};
pub use hash::{HASH_LEN, hash_parts};
pub use random::{random_below, random_u64};
pub use stall_detector::{STALL_THRESHOLD, StallDetector};
pub use suspension::{ClockOffset, SuspensionDetector};
pub use system_clocks::has_boot_clock;
