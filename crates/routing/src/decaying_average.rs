//! Exponentially decaying average: recent samples weigh more, and all fade with the time constant
//! `tau`.
//!
//! Sum and number are kept apart, so that a caller can add a prior or pool several averages before
//! it divides.

use crate::units::Timestamp;

/// Sum and number of samples, decaying exponentially with time.
///
/// Invariant: sum and number are as of `updated_at`, which never goes back while the host's clock
/// does not.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingAverage {
    sum: f64,
    count: f64,
    updated_at: Timestamp,
}

impl DecayingAverage {
    /// Sum and number of samples at `now`, each decayed by a factor of e per `tau` nanoseconds
    /// since the latest sample.
    pub fn totals(&self, now: Timestamp, tau: f64) -> (f64, f64) {
        let decay = (-(now.saturating_sub(self.updated_at) as f64) / tau).exp();
        (self.sum * decay, self.count * decay)
    }

    /// The number of samples as of the latest one.
    pub fn count_at_last_sample(&self) -> f64 {
        self.count
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Timestamp, tau: f64, sample: f64) {
        let (sum, count) = self.totals(now, tau);
        *self = DecayingAverage {
            sum: sum + sample,
            count: count + 1.0,
            updated_at: now,
        };
    }
}
