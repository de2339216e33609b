//! Deterministic pseudo-random numbers: the same seed and events reproduce all decisions.
//!
//! They spread the choices and delays of many routers and serve probabilistic admission. They must
//! never be used for anything secret.

use crate::units::Nanos;

/// SplitMix64 generator: the same seed always gives the same sequence.
#[derive(Debug)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }

    /// Returns the next number, uniform in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a duration, uniform in `[0, span)` nanoseconds.
    pub fn next_below(&mut self, span: Nanos) -> Nanos {
        (self.next_f64() * span as f64) as Nanos
    }
}
