//! Arithmetic that the decisions rest on: samples that fade, and repeatable draws.

use crate::interface::{Nanos, Timestamp};

/// A sum of samples and their number, fading with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingAverage {
    sum: f64,
    /// The number as of the latest sample.
    pub n: f64,
    at: Timestamp,
}

impl DecayingAverage {
    /// Sum and number, each less by a factor of e for each `tau` nanoseconds since the latest sample.
    pub fn now(&self, now: Timestamp, tau: f64) -> (f64, f64) {
        let left = (-(now.saturating_sub(self.at) as f64) / tau).exp();
        (self.sum * left, self.n * left)
    }

    /// Takes one more sample.
    pub fn add(&mut self, now: Timestamp, tau: f64, x: f64) {
        let (sum, n) = self.now(now, tau);
        *self = DecayingAverage {
            sum: sum + x,
            n: n + 1.0,
            at: now,
        };
    }
}

/// Draws that one seed repeats (SplitMix64).
#[derive(Debug)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// The sequence of this seed.
    pub fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }

    /// The next draw, from 0 to below 1.
    pub fn next_f64(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A point within a span.
    pub fn within(&mut self, span: Nanos) -> Nanos {
        (self.next_f64() * span as f64) as Nanos
    }
}
