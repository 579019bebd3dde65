//! Random numbers, seeded by the system.
//!
//! Owns no state. Relies on `rand`'s generator of each thread.

/// Returns a random number.
pub fn random_u64() -> u64 {
    rand::random()
}

/// Returns a random number below `bound`; the bias of the remainder is negligible for bounds far below 2^64.
///
/// # Panics
///
/// Panics if `bound` is 0.
pub fn random_below(bound: usize) -> usize {
    (random_u64() % bound as u64) as usize
}
