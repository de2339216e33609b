//! How the router closes a client's connection: a final error where one is due, then a lingering close.
//!
//! Must never close with bytes unread while an error is on its way: the reset would overtake it.

use super::connection::Client;
use super::wait_limits::EXPENDABLE_EVICTION_DELAY;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::EvictionPriority;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_pg_protocol::frame::FrameError;
use reelrill_pg_protocol::frontend::CommandError;
use reelrill_pg_protocol::{backend, sqlstate};
use std::io::{ErrorKind, Read as _};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long the rest of what a client sends is thrown away after its last answer.
const AFTER_FINAL_ERROR: Duration = Duration::from_secs(4);
/// The pause after each piece thrown away: at full speed a client would use up the processor's share of others.
const DISCARD_INTERVAL: Duration = Duration::from_millis(3);
/// How long the rest of what a client sends is thrown away where the router closes a connection between requests.
pub(super) const BETWEEN_REQUESTS: Duration = Duration::from_millis(500);
/// The same for one that has never asked anything and makes room for another.
pub(super) const BETWEEN_REQUESTS_UNUSED: Duration = Duration::from_millis(20);

impl Client {
    pub(super) async fn broken_frame(&mut self, e: &FrameError) -> CloseReason {
        self.fatal(&e.to_string()).await;
        match e {
            FrameError::Oversized(_) => CloseReason::Oversized,
            FrameError::Malformed => CloseReason::Malformed,
        }
    }

    pub(super) async fn broken_command(&mut self, e: &CommandError) -> CloseReason {
        self.final_error(e.sqlstate(), &e.to_string()).await;
        CloseReason::Malformed
    }

    /// The request was never taken: trying again is harmless.
    pub(super) async fn no_memory(&mut self) -> CloseReason {
        self.final_error(
            sqlstate::TOO_MANY_CONNECTIONS,
            "no memory for a message of this size now",
        )
        .await;
        CloseReason::NoMemory
    }

    /// Says what is wrong; the connection is closed after it.
    pub(super) async fn fatal(&mut self, why: &str) -> CloseReason {
        self.final_error(sqlstate::PROTOCOL_VIOLATION, why).await;
        CloseReason::Malformed
    }

    async fn final_error(&mut self, code: &str, why: &str) {
        count(&self.shared.counters.invalid_statements);
        let mut out = Vec::new();
        backend::put_error_response(&mut out, true, code, why, None);
        if self.write(&out).await.is_ok() {
            self.lingering_close(AFTER_FINAL_ERROR).await;
        }
    }

    /// Closes our side and throws away what still comes: to close with bytes unread would reset the connection,
    /// and the error might not arrive. Nothing is stored, and others get their turn after each piece.
    pub(super) async fn lingering_close(&mut self, longest: Duration) {
        self.buffer.release();
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let shared = &self.shared;
        let discard = async {
            let read = |mut s: &TcpStream| s.read(&mut shared.discard_buffer.borrow_mut());
            loop {
                match self.stream.read_with(read).await {
                    Ok(1..) => {}
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Ok(0) | Err(_) => return,
                }
                Timer::after(DISCARD_INTERVAL).await;
            }
        };
        let late = async {
            Timer::after(longest).await;
        };
        let evicted = async {
            Timer::after(EXPENDABLE_EVICTION_DELAY).await;
            shared
                .client_descriptors
                .eviction_requested(EvictionPriority::Expendable)
                .await;
        };
        or(discard, or(late, evicted)).await;
    }
}
