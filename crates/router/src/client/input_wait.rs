//! A client connection's wait for its next request or for the rest of one.
//!
//! Determines what the connection is owed in its state, and so when the router may close it. Must never close a connection
//! on which a complete request has arrived, nor, except for lack of descriptors, one whose client goes on writing.

use super::connection::ClientConnection;
use super::extended_queries::ExtendedQueries;
use super::wait_limits::{FIRST_REQUEST_TIMEOUT, REQUEST_TIMEOUT, ShutdownWait, WaitLimits};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::buffer::MemoryLimitReached;
use crate::runtime::shared::EvictionPriority;
use futures_lite::future::or;
use reelrill_routing::Timestamp;

/// The event that ends a connection's wait for input.
enum WaitOutcome {
    /// Closing the connection is due, for this reason.
    CloseDue(CloseReason),
    /// A read has ended with this result.
    Read(std::io::Result<usize>),
}

impl ClientConnection {
    /// Returns whether a part of a request has been received: of its message, or of its messages. The client is then owed a
    /// response to it, as long as it goes on.
    fn has_unfinished_request(&self) -> bool {
        let extended = self.extended_queries.as_ref();
        !self.is_between_messages() || extended.is_some_and(ExtendedQueries::has_unfinished_request)
    }

    /// Returns the limits of the wait for the next request or the rest of it. A request that stalls or arrives very
    /// slowly must not hold a descriptor indefinitely, nor must a connection without any request.
    fn wait_limits(&mut self, is_unfinished: bool) -> WaitLimits {
        let now = self.shared.clock.now();
        let shutdown = self.shutdown_wait(now, is_unfinished);
        let is_unused = self.state.is_unused();
        if is_unfinished {
            let since = self.state.on_unfinished(now);
            let (started_at, reason) = match is_unused {
                true => (self.accepted_at, CloseReason::StartupTimeout),
                false => (since, CloseReason::Stalled),
            };
            return WaitLimits {
                eviction_priority: EvictionPriority::Unfinished,
                evictable_since: now,
                timeout: Some((started_at.saturating_add(REQUEST_TIMEOUT), reason)),
                shutdown,
            };
        }
        if is_unused {
            let timeout_at = self.accepted_at.saturating_add(FIRST_REQUEST_TIMEOUT);
            return WaitLimits {
                eviction_priority: EvictionPriority::Expendable,
                evictable_since: self.accepted_at,
                timeout: Some((timeout_at, CloseReason::StartupTimeout)),
                shutdown,
            };
        }
        WaitLimits {
            eviction_priority: self.idle_eviction_priority(),
            evictable_since: now,
            timeout: None,
            shutdown,
        }
    }

    fn shutdown_wait(&self, now: Timestamp, is_unfinished: bool) -> ShutdownWait {
        match (is_unfinished, self.state.is_unused()) {
            (true, _) => ShutdownWait::RestOfMessage,
            (false, true) => ShutdownWait::FirstRequest {
                accepted_at: self.accepted_at,
            },
            (false, false) if self.backlog.may_exist_at(now) => ShutdownWait::InputPause {
                paused_at: self.backlog.paused_at(),
            },
            (false, false) => ShutdownWait::CloseAtOnce,
        }
    }

    fn idle_eviction_priority(&self) -> EvictionPriority {
        let extended = self.extended_queries.as_ref();
        if extended.is_some_and(ExtendedQueries::has_state) {
            EvictionPriority::Stateful
        } else {
            EvictionPriority::Idle
        }
    }

    /// Waits for more input. The router may close the connection meanwhile, but only after it has checked the input
    /// received so far, because a request that was read must get a response.
    pub(super) async fn wait_for_input(&mut self) -> Result<(), CloseReason> {
        if self.has_input_ended {
            return self.end_of_input(&Ok(0)).map_or(Ok(()), Err);
        }
        // No response is guaranteed to input that arrives now, such as the rest of a partial message.
        if self.has_reached_read_limit() {
            self.reject_unfinished_query().await;
            return Err(CloseReason::Shutdown);
        }
        let is_unfinished = self.has_unfinished_request();
        let limits = self.wait_limits(is_unfinished);
        let is_idle = limits.eviction_priority == EvictionPriority::Idle;
        let _idle = is_idle.then(|| self.shared.client_descriptors.count_idle());
        let close_due = async { WaitOutcome::CloseDue(limits.close_due(&self.shared).await) };
        let read = async { WaitOutcome::Read(self.buffer.fill(&self.stream).await) };
        match or(read, close_due).await {
            WaitOutcome::Read(Err(e)) if MemoryLimitReached::caused(&e) => {
                self.reject_for_memory_limit().await
            }
            WaitOutcome::Read(read) => self.end_of_input(&read).map_or(Ok(()), Err),
            WaitOutcome::CloseDue(reason) => {
                let closing = self.close_unless_input_arrived(reason, is_unfinished);
                if let Err(CloseReason::Evicted | CloseReason::Shutdown) = closing {
                    self.reject_unfinished_query().await;
                }
                closing
            }
        }
    }

    /// Returns the close reason as an error, unless input has arrived that must be served first: a complete message, the
    /// start of a request, or, if the connection was to be evicted because its client had paused, any input. There is no
    /// await between the check of the input and the decision, so no input that has arrived by now is lost.
    fn close_unless_input_arrived(
        &mut self,
        reason: CloseReason,
        is_unfinished: bool,
    ) -> Result<(), CloseReason> {
        let before = self.buffer.bytes_read();
        self.read_available()?;
        let has_input = self.buffer.bytes_read() > before;
        let is_owed_a_wait = !is_unfinished || reason == CloseReason::Evicted;
        if (has_input && is_owed_a_wait) || self.has_complete_message() {
            count(&self.shared.counters.late_request_served);
            return Ok(());
        }
        if reason == CloseReason::Evicted {
            count(&self.shared.counters.connections_evicted);
        }
        Err(reason)
    }
}
