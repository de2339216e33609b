//! Closes a client's connection: sends a fatal error if one is due, then performs a lingering close.
//!
//! Must never close the socket with bytes unread while an error is in transit: that resets the connection, and the
//! client might not receive the error.

use super::connection::ClientConnection;
use super::extended_queries::ExtendedQueries;
use super::responses::put_error;
use super::wait_limits::EXPENDABLE_EVICTION_DELAY;
use crate::messages::FinalResponse;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::EvictionPriority;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_pg_protocol::frame::FrameError;
use reelrill_pg_protocol::frontend::CommandError;
use reelrill_pg_protocol::{backend, sqlstate};
use std::cell::Cell;
use std::io::{ErrorKind, Read as _};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The maximum time for which a client's input is discarded after a fatal error.
const LINGER_AFTER_ERROR: Duration = Duration::from_secs(4);
/// The pause after each read of discarded input. Without it, a client that sends at full speed would take processor
/// time from others.
const DISCARD_INTERVAL: Duration = Duration::from_millis(3);
/// The maximum time for which a client's input is discarded when the router closes a connection between requests.
pub(super) const LINGER_BETWEEN_REQUESTS: Duration = Duration::from_millis(500);
/// The maximum time for which input is discarded when a connection without any request is evicted.
pub(super) const LINGER_UNUSED: Duration = Duration::from_millis(20);

impl ClientConnection {
    /// Sends an invalid frame's error and closes the connection. Returns the reason.
    pub(super) async fn close_on_frame_error(&mut self, e: &FrameError) -> CloseReason {
        self.close_on_protocol_violation(&e.to_string()).await;
        match e {
            FrameError::Oversized(_) => CloseReason::Oversized,
            FrameError::Malformed => CloseReason::Malformed,
        }
    }

    /// Sends an invalid command's error and closes the connection. Returns the reason.
    pub(super) async fn close_on_command_error(&mut self, e: &CommandError) -> CloseReason {
        self.send_fatal_error(e.sqlstate(), &e.to_string()).await;
        CloseReason::Malformed
    }

    /// Sends an error for a message that does not fit within the memory limit, and closes the connection. The message
    /// was not processed, so the client may retry it. Returns the reason.
    pub(super) async fn close_on_memory_limit(&mut self) -> CloseReason {
        self.send_fatal_error(
            sqlstate::TOO_MANY_CONNECTIONS,
            "no memory for a message of this size now",
        )
        .await;
        CloseReason::NoMemory
    }

    /// Sends an error for a protocol violation and closes the connection. Returns the reason.
    pub(super) async fn close_on_protocol_violation(&mut self, message: &str) -> CloseReason {
        self.send_fatal_error(sqlstate::PROTOCOL_VIOLATION, message)
            .await;
        CloseReason::Malformed
    }

    async fn send_fatal_error(&mut self, code: &str, message: &str) {
        count(&self.shared.counters.invalid_statements);
        let mut out = Vec::new();
        backend::put_error_response(&mut out, true, code, message, None);
        if self.write(&out).await.is_ok() {
            self.lingering_close(LINGER_AFTER_ERROR).await;
        }
    }

    /// Rejects a simple query of which a part has been received, before the router closes the connection for a reason of
    /// its own. The parts of a pipeline get no such rejection, since earlier requests of it may have been executed.
    pub(super) async fn reject_unfinished_query(&mut self) {
        let is_simple_query =
            self.rejection.is_simple_query() || self.buffer.bytes().first() == Some(&b'Q');
        let is_in_pipeline = self
            .extended_queries
            .as_ref()
            .is_some_and(ExtendedQueries::has_unfinished_request);
        if !self.state.is_startup_complete() || !is_simple_query || is_in_pipeline {
            return;
        }
        self.count_rejection();
        let mut out = Vec::new();
        put_error(&mut out, &FinalResponse::Rejected { retry_after: None });
        // If the write fails, the client has disconnected.
        let _ = self.write(&out).await;
    }

    /// Shuts down the router's sending side and discards further input until the client closes its side, `max_duration`
    /// has passed or the connection is evicted. Closing with bytes unread would reset the connection, and the client
    /// might not receive the error. Nothing is stored, and other tasks run after each read. Returns the number of bytes
    /// discarded.
    pub(super) async fn lingering_close(&mut self, max_duration: Duration) -> usize {
        let discarded = Cell::new(self.buffer.bytes().len());
        self.buffer.release();
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return discarded.get();
        }
        let shared = self.shared.clone();
        let discard = async {
            let read = |mut s: &TcpStream| s.read(&mut shared.discard_buffer.borrow_mut());
            loop {
                match self.stream.read_with(read).await {
                    Ok(length @ 1..) => discarded.set(discarded.get() + length),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Ok(0) | Err(_) => return,
                }
                self.on_local_message();
                self.end_turn().await;
                Timer::after(DISCARD_INTERVAL).await;
            }
        };
        let timeout = async {
            Timer::after(max_duration).await;
        };
        let evicted = async {
            Timer::after(EXPENDABLE_EVICTION_DELAY).await;
            shared
                .client_descriptors
                .eviction_requested(EvictionPriority::Expendable)
                .await;
        };
        or(discard, or(timeout, evicted)).await;
        discarded.get()
    }
}
