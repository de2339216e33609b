//! Rejects a client's messages without storing them, late in a graceful shutdown.
//!
//! The rest of a rejected message is skipped as it arrives. Its rejection is queued once its last byte has been read, in
//! its place among the responses.

use super::connection::ClientConnection;
use crate::observability::counters::count;
use async_io::Timer;
use futures_lite::future::yield_now;
use std::time::Duration;

/// The pause between reads of input that needs no response, late in a graceful shutdown.
const LATE_READ_INTERVAL: Duration = Duration::from_millis(3);

/// The progress of a client's rejected messages.
#[derive(Default)]
pub struct Rejection {
    /// Whether the input begins with the rest of a rejected message, or its last byte has just been read.
    is_in_progress: bool,
    /// Whether messages have been rejected since the last pause.
    is_pause_due: bool,
}

impl Rejection {
    /// Returns whether a rejected message has begun whose rejection has not been queued yet.
    pub fn is_in_progress(&self) -> bool {
        self.is_in_progress
    }

    /// Returns whether the rejection of a message must be queued now, because its last byte has been read. Must only be
    /// called while no input is skipped. Returns `true` once for each message.
    pub fn finish(&mut self) -> bool {
        std::mem::take(&mut self.is_in_progress)
    }
}

impl ClientConnection {
    /// Starts to skip the first message of the input, which has `length` bytes.
    pub(super) fn start_rejection(&mut self, length: usize) {
        self.buffer.skip(length);
        self.rejection.is_in_progress = true;
        self.rejection.is_pause_due = true;
        self.shared.last_arrival.set(self.shared.clock.now());
    }

    /// Counts a request that is rejected without being passed to the dispatcher.
    pub(super) fn count_rejection(&self) {
        count(&self.shared.counters.requests);
        count(&self.shared.counters.rejected);
    }

    /// Lets other tasks run after messages have been rejected, which needs no wait for an endpoint. Once new input needs
    /// no response any more, pauses: a client that sends at full speed would take processor time from others.
    pub(super) async fn pause_after_rejections(&mut self) {
        if !std::mem::take(&mut self.rejection.is_pause_due) {
            return;
        }
        if self.shared.can_drop_new_input() {
            Timer::after(LATE_READ_INTERVAL).await;
        } else {
            yield_now().await;
        }
    }
}
