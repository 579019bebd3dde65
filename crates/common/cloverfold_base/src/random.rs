//! Random numbers from a thread-local generator that the system seeds.

/// Returns a random number.
pub fn random_u64() -> u64 {
    rand::random()
}

/// Returns a random number below `bound`; the modulo bias is negligible for bounds far below 2^64.
///
/// # Panics
///
/// Panics if `bound` is 0.
pub fn random_below(bound: usize) -> usize {
    (random_u64() % bound as u64) as usize
}
