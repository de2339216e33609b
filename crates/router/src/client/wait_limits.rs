//! Bounds a client connection's wait for the next message or for the rest of one: timeouts, eviction and shutdown.
//!
//! Only determines when closing is due. Must never close a connection itself, because input received by then is served
//! first.

use crate::observability::close_reason::CloseReason;
use crate::runtime::shared::{EvictionPriority, Shared};
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{Nanos, Timestamp};
use std::time::Duration;

/// The maximum time from the accept of a connection to the first byte of its first request, in nanoseconds.
pub const FIRST_REQUEST_TIMEOUT: Nanos = 2_000_000_000;
/// The maximum time from the first byte of a request to its last, in nanoseconds; for the first request of a connection
/// it counts from the accept. It is below the 3 s within which a client that stops midway must see the connection end,
/// so that the router may be delayed.
pub const REQUEST_TIMEOUT: Nanos = 2_600_000_000;
/// The time before an expendable connection may be evicted: a client usually sends its first request right after the
/// startup.
pub const EXPENDABLE_EVICTION_DELAY: Duration = Duration::from_millis(100);
/// The pause in the middle of a request before its connection may be evicted.
const UNFINISHED_EVICTION_DELAY: Duration = Duration::from_millis(100);
/// The time before an idle connection may be evicted: its next request may be in transit.
const IDLE_EVICTION_DELAY: Duration = Duration::from_millis(20);
/// The maximum time for a new connection to send its first request during a graceful shutdown, in nanoseconds.
const SHUTDOWN_FIRST_REQUEST_TIMEOUT: Nanos = 400_000_000;
/// The time by which a connection without a complete message is closed before the router stops reading, in nanoseconds.
/// Input that arrives in between is still read.
const FINAL_READ_MARGIN: Nanos = 50_000_000;

/// Determines how long a connection stays open during a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub enum ShutdownWait {
    /// The connection is closed at once: it is idle.
    CloseAtOnce,
    /// The connection stays open until its client pauses, because input that it has written may still be in transit.
    InputPause {
        /// The time at which the client has paused, if no input arrives before.
        paused_at: Timestamp,
    },
    /// The connection stays open for its first request. Otherwise the client would lose that request, and could not
    /// send it on another connection either.
    FirstRequest {
        /// The time at which the connection was accepted.
        accepted_at: Timestamp,
    },
    /// The connection stays open until shortly before the router stops reading, because a message whose last byte has
    /// arrived requires a response.
    RestOfMessage,
}

impl ShutdownWait {
    /// Returns the time at which closing is due, for a shutdown that is in progress at `now`.
    fn close_at(self, shared: &Shared, now: Timestamp) -> Timestamp {
        let read_deadline = shared.read_deadline().unwrap_or(now);
        let last = read_deadline.saturating_sub(FINAL_READ_MARGIN);
        match self {
            ShutdownWait::CloseAtOnce => now,
            ShutdownWait::InputPause { paused_at } => last.min(paused_at),
            ShutdownWait::FirstRequest { accepted_at } => {
                let started_at = accepted_at.max(shared.shutdown_started_at.get().unwrap_or(now));
                last.min(started_at.saturating_add(SHUTDOWN_FIRST_REQUEST_TIMEOUT))
            }
            ShutdownWait::RestOfMessage => last,
        }
    }
}

/// The events that end the wait of one connection.
#[derive(Debug, Clone, Copy)]
pub struct WaitLimits {
    /// The connection's eviction priority in the descriptor budget.
    pub eviction_priority: EvictionPriority,
    /// The time from which the wait before an eviction counts.
    pub evictable_since: Timestamp,
    /// The time at which the connection is closed if no complete message has arrived, and the reason; `None` if there is
    /// no timeout.
    pub timeout: Option<(Timestamp, CloseReason)>,
    /// The time for which the connection stays open during a graceful shutdown.
    pub shutdown: ShutdownWait,
}

impl WaitLimits {
    /// Waits until the connection is due to be closed. Returns the reason.
    pub async fn close_due(self, shared: &Shared) -> CloseReason {
        or(
            self.timed_out(shared),
            or(self.shut_down(shared), self.evicted(shared)),
        )
        .await
    }

    async fn timed_out(&self, shared: &Shared) -> CloseReason {
        let Some((at, reason)) = self.timeout else {
            return std::future::pending().await;
        };
        Timer::at(shared.clock.instant(at)).await;
        reason
    }

    async fn shut_down(&self, shared: &Shared) -> CloseReason {
        shared.shutdown_started.wait().await;
        let now = shared.clock.now();
        let close_at = self.shutdown.close_at(shared, now);
        if close_at > now {
            Timer::at(shared.clock.instant(close_at)).await;
        }
        CloseReason::Shutdown
    }

    async fn evicted(&self, shared: &Shared) -> CloseReason {
        let delay = match self.eviction_priority {
            EvictionPriority::Expendable => EXPENDABLE_EVICTION_DELAY,
            EvictionPriority::Idle | EvictionPriority::Stateful => IDLE_EVICTION_DELAY,
            EvictionPriority::Unfinished => UNFINISHED_EVICTION_DELAY,
        };
        Timer::at(shared.clock.instant(self.evictable_since) + delay).await;
        shared
            .client_descriptors
            .eviction_requested(self.eviction_priority)
            .await;
        CloseReason::Evicted
    }
}
