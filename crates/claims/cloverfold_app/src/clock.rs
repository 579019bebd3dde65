//! The process's wall clock and source of random numbers.

use std::time::{SystemTime, UNIX_EPOCH};

use cloverfold_claims_core::UnixTime;

/// Returns the wall-clock time; a clock before 1970 counts as 1970.
pub fn unix_now() -> UnixTime {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns a random number.
pub fn random_u64() -> u64 {
    rand::random()
}

/// Returns a random number below `bound`, which is above 0.
pub fn draw_below(bound: usize) -> usize {
    (random_u64() % bound as u64) as usize
}
