//! Deterministic random numbers from a seed (`SplitMix64`).

use std::time::Duration;

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }

    pub fn one_in(&mut self, cases: u64) -> bool {
        self.below(cases) == 0
    }

    /// Returns a duration of `from` to `to` milliseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from + 1))
    }

    pub fn id(&mut self) -> u64 {
        self.next()
    }
}
