//! Stand-ins for the review's cases: endpoints, discovery, clients and the platform that starts the router. They follow
//! the operators' pages (PROTOCOL, DEPLOY) and use the standard library only.

pub mod client;
pub mod discovery;
pub mod endpoint;
pub mod pg;
pub mod record;
pub mod router;
pub mod settings;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds, with a fraction.
pub fn now_ms() -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs_f64() * 1e3
}

/// Returns whether the disruption is to be made: `TROUBLE` is not 0.
pub fn is_trouble() -> bool {
    !std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Returns the seed of the run: `SEED`, or 1.
pub fn seed() -> u64 {
    std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// Sleeps until a Unix time in milliseconds.
pub fn sleep_until(at_ms: f64) {
    let left = at_ms - now_ms();
    if left > 0.0 {
        std::thread::sleep(std::time::Duration::from_secs_f64(left / 1e3));
    }
}

/// A small random number generator (SplitMix64).
#[derive(Debug, Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
