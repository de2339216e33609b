//! Rejects a client's messages without storing them: late in a graceful shutdown, and messages for which no memory is
//! left.
//!
//! The rest of a rejected message is skipped as it arrives. Its rejection is queued once its last byte has been read, in
//! its place among the responses, so the messages behind it are processed as usual.

use super::connection::ClientConnection;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use async_io::Timer;
use reelrill_pg_protocol::frame;
use std::time::Duration;

/// The pause between reads of input that needs no response, late in a graceful shutdown.
const LATE_READ_INTERVAL: Duration = Duration::from_millis(10);

/// The progress of a client's rejected messages.
#[derive(Default)]
pub struct Rejection {
    /// The tag of the rejected message whose rest is skipped, or whose last byte has just been read.
    tag: Option<u8>,
    /// Whether messages have been rejected since the last pause.
    is_pause_due: bool,
}

impl Rejection {
    /// Returns whether a rejected message has begun whose rejection has not been queued yet.
    pub fn is_in_progress(&self) -> bool {
        self.tag.is_some()
    }

    /// Returns whether the rejected message that has begun is a simple query.
    pub fn is_simple_query(&self) -> bool {
        self.tag == Some(b'Q')
    }

    /// Returns whether the rejection of a message must be queued now, because its last byte has been read. Must only be
    /// called while no input is skipped. Returns `true` once for each message.
    pub fn finish(&mut self) -> bool {
        self.tag.take().is_some()
    }
}

impl ClientConnection {
    /// Starts to skip the first message of the input, which has this tag and `length` bytes.
    pub(super) fn start_rejection(&mut self, tag: u8, length: usize) {
        self.buffer.skip(length);
        self.rejection.tag = Some(tag);
        self.rejection.is_pause_due = true;
        self.shared.last_arrival.set(self.shared.clock.now());
    }

    /// Rejects the message at the start of the input, for which no memory is left. A message that can't be rejected on its
    /// own closes the connection.
    pub(super) async fn reject_for_memory_limit(&mut self) -> Result<(), CloseReason> {
        let is_extended = self.extended_queries.is_some();
        let header = frame::parse_frontend_header(self.buffer.bytes(), is_extended);
        match header {
            Ok(Some((tag @ b'Q', length))) if self.state.is_startup_complete() => {
                self.start_rejection(tag, length);
                Ok(())
            }
            Ok(Some((tag @ (b'P' | b'B'), length))) if is_extended => {
                self.start_rejection(tag, length);
                Ok(())
            }
            _ => Err(self.close_on_memory_limit().await),
        }
    }

    /// Counts a request that is rejected without being passed to the dispatcher.
    pub(super) fn count_rejection(&mut self) {
        self.on_local_message();
        count(&self.shared.counters.requests);
        count(&self.shared.counters.rejected);
    }

    /// Pauses after messages have been rejected, once new input needs no response any more.
    pub(super) async fn pause_after_rejections(&mut self) {
        let is_pause_due = std::mem::take(&mut self.rejection.is_pause_due);
        if is_pause_due && self.shared.can_drop_new_input() {
            Timer::after(LATE_READ_INTERVAL).await;
        }
    }
}
