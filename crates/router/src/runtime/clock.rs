//! The router's clock: Unix time that a step of the system's wall clock does not move.
//!
//! Reads the wall clock once, at the start; must never read it again, since it may be stepped while the router runs.

use reelrill_routing::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix nanoseconds at the start plus monotonic time since: a step of the system's clock moves no timer.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    /// A clock that starts at the wall clock's present time.
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        Clock {
            start: Instant::now(),
            unix: unix as u64,
        }
    }

    /// The present Unix time in nanoseconds.
    pub fn now(&self) -> Timestamp {
        self.unix + self.start.elapsed().as_nanos() as u64
    }

    /// The instant of a time, for timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + std::time::Duration::from_nanos(at.saturating_sub(self.unix))
    }
}
