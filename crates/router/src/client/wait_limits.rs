//! How long a client's connection may wait for the next message or its rest: timeouts, eviction and shutdown.
//!
//! Only says when closing is due. Must never close a connection itself: what has come by then is served first.

use crate::observability::close_reason::CloseReason;
use crate::runtime::shared::{EvictionPriority, Shared};
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{Nanos, Timestamp};
use std::time::Duration;

/// How long a client may take from connecting to the end of its first request, and from the first byte of any
/// other message to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that has asked nothing yet gives way to another only after this time: a request of the usual kind
/// comes right behind the startup.
pub const EXPENDABLE_EVICTION_DELAY: Duration = Duration::from_millis(100);
/// An idle connection gives way after this time: its next request may be on its way.
const IDLE_EVICTION_DELAY: Duration = Duration::from_millis(20);
/// During a shutdown, how long a new connection may take to send its first request.
const SHUTDOWN_FIRST_REQUEST_TIMEOUT: Nanos = 400_000_000;
/// How much earlier than the end of all reading a connection is closed on which nothing whole has come: what comes in
/// between is still read.
const FINAL_READ_MARGIN: Nanos = 50_000_000;

/// How long a connection stays open during a shutdown.
#[derive(Debug, Clone, Copy)]
pub enum ShutdownWait {
    /// Not at all: it is idle.
    None,
    /// For its first request: its client would meet the same on any further connection, and lose that request.
    FirstRequest {
        /// When the connection was accepted.
        accepted: Timestamp,
    },
    /// To the end of all reading: once the last byte of a message is here, it is owed an answer.
    RestOfMessage,
}

impl ShutdownWait {
    /// When closing is due, for a shutdown that is on at `now`.
    fn ends_at(self, shared: &Shared, now: Timestamp) -> Timestamp {
        let last_read = shared.read_deadline().unwrap_or(now);
        let last = last_read.saturating_sub(FINAL_READ_MARGIN);
        match self {
            ShutdownWait::None => now,
            ShutdownWait::FirstRequest { accepted } => {
                let began = accepted.max(shared.shutdown_started_at.get().unwrap_or(now));
                last.min(began.saturating_add(SHUTDOWN_FIRST_REQUEST_TIMEOUT))
            }
            ShutdownWait::RestOfMessage => last,
        }
    }
}

/// What ends the wait of one connection.
#[derive(Debug, Clone, Copy)]
pub struct WaitLimits {
    /// What the connection is to the descriptor budget.
    pub holder: EvictionPriority,
    /// From when the wait counts.
    pub since: Timestamp,
    /// Why the connection is closed where no whole message comes in time; none: it may wait without an end.
    pub timeout: Option<CloseReason>,
    /// What a shutdown leaves of the wait.
    pub shutdown: ShutdownWait,
}

impl WaitLimits {
    /// Waits until the connection is due to be closed. Returns why.
    pub async fn close_due(self, shared: &Shared) -> CloseReason {
        or(
            self.timed_out(shared),
            or(self.shut_down(shared), self.evicted(shared)),
        )
        .await
    }

    async fn timed_out(&self, shared: &Shared) -> CloseReason {
        let Some(reason) = self.timeout else {
            return std::future::pending().await;
        };
        Timer::at(shared.clock.instant(self.since) + MESSAGE_TIMEOUT).await;
        reason
    }

    async fn shut_down(&self, shared: &Shared) -> CloseReason {
        shared.shutdown_started.wait().await;
        let now = shared.clock.now();
        let until = self.shutdown.ends_at(shared, now);
        if until > now {
            Timer::at(shared.clock.instant(until)).await;
        }
        CloseReason::Shutdown
    }

    async fn evicted(&self, shared: &Shared) -> CloseReason {
        let delay = match self.holder {
            EvictionPriority::Expendable => EXPENDABLE_EVICTION_DELAY,
            EvictionPriority::Idle | EvictionPriority::Stateful => IDLE_EVICTION_DELAY,
        };
        Timer::at(shared.clock.instant(self.since) + delay).await;
        shared
            .client_descriptors
            .eviction_requested(self.holder)
            .await;
        CloseReason::Evicted
    }
}
