//! Random numbers from the system's generator.

/// Returns a random number.
pub fn random_u64() -> u64 {
    rand::random()
}

/// Returns a random number below `bound`.
///
/// # Panics
///
/// Panics if `bound` is 0.
pub fn draw_below(bound: usize) -> usize {
    (random_u64() % bound as u64) as usize
}
