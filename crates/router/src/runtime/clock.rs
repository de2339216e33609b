//! The router's clock: Unix time that is not affected by steps of the system clock.
//!
//! The system clock is read once, at the start. It must never be read again, because it may be stepped while the router
//! runs.

use reelrill_routing::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock whose time is the Unix time at the start plus the monotonic time elapsed since then, in nanoseconds. A step
/// of the system clock therefore moves no timer.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The Unix time at the start, in nanoseconds.
    unix_at_start: u64,
}

impl Clock {
    /// Creates a clock that starts at the current time of the system clock.
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        Clock {
            start: Instant::now(),
            unix_at_start: unix as u64,
        }
    }

    /// Returns the current Unix time in nanoseconds.
    pub fn now(&self) -> Timestamp {
        self.unix_at_start + self.start.elapsed().as_nanos() as u64
    }

    /// Converts a Unix time in nanoseconds to an [`Instant`], for timers. A time before the start is converted to the
    /// start.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + std::time::Duration::from_nanos(at.saturating_sub(self.unix_at_start))
    }
}
