//! A seeded random number generator: the same seed and events give the same actions.

/// A splitmix64 generator with its state.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// The next number.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// The next number as a fraction between 0 and 1.
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }
}
