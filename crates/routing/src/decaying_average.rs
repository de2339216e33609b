//! Exponentially decaying average: the weight of a sample decreases with its age, with the time
//! constant `tau`, which callers name the averaging window.
//!
//! The sum and the number of samples are separate, so that a caller can add a prior or combine
//! several averages before it divides.

use crate::units::Timestamp;

/// Sum and number of samples, decaying exponentially with time.
///
/// Invariant: `sum` and `count` are as of `updated_at`, which never decreases as long as the host's
/// clock doesn't.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingAverage {
    sum: f64,
    count: f64,
    updated_at: Timestamp,
}

impl DecayingAverage {
    /// Returns the sum and the number of samples at `now`, each divided by e for every `tau`
    /// nanoseconds since the latest sample.
    pub fn totals(&self, now: Timestamp, tau: f64) -> (f64, f64) {
        let decay = (-(now.saturating_sub(self.updated_at) as f64) / tau).exp();
        (self.sum * decay, self.count * decay)
    }

    /// Returns the decayed number of samples as of the latest one.
    pub fn count_at_last_sample(&self) -> f64 {
        self.count
    }

    /// Adds a sample; the earlier ones decay with the time constant `tau`, nanoseconds.
    pub fn add(&mut self, now: Timestamp, tau: f64, sample: f64) {
        let (sum, count) = self.totals(now, tau);
        *self = DecayingAverage {
            sum: sum + sample,
            count: count + 1.0,
            updated_at: now,
        };
    }
}
