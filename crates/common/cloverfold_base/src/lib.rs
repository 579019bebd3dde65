//! Clocks, random numbers and hashes that every package may use.
//!
//! Owns no state. Relies on the system's clocks and random source only; packages that decide without I/O use the types and get the
//! values as arguments.

mod clock;
mod hash;
mod random;

pub use clock::{ProcessClock, Timestamp, UnixTime, unix_now};
pub use hash::{HASH_LEN, hash_parts};
pub use random::{draw_below, random_u64};
