//! Tracks whether a client may have written input that has not reached the router's socket yet.
//!
//! While the router leaves input unread, for example because earlier queries wait for their responses, the receive
//! window closes, and the rest of what the client has written stays in the client's own socket. From there it follows as
//! the router reads, with pauses of about a round trip: an empty socket does not show that everything has been read.

use reelrill_routing::{Nanos, Timestamp};

/// The time without input after which everything that a client has written counts as read, in nanoseconds.
const INPUT_PAUSE: Nanos = 100_000_000;
/// The number of bytes read at once from which the receive window may have been closed. It is below the initial window of
/// a connection.
const MIN_WINDOW: u64 = 32 * 1024;

/// Why a read of the available input has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// The socket is empty, or its input has ended.
    SocketEmpty,
    /// A limit on the input that is stored has been reached.
    LimitReached,
}

/// Tracks whether one client may have written input that has not reached the router's socket yet.
#[derive(Debug, Default)]
pub struct InputBacklog {
    /// Whether the receive window may have been closed since the client last paused.
    may_exist: bool,
    /// Whether input may be left in the router's socket.
    has_unread_input: bool,
    last_read_at: Timestamp,
    /// The number of bytes read since the connection was opened.
    bytes_read: u64,
}

impl InputBacklog {
    /// Records a read of the available input that ended at `now` with `end`, when `bytes_read` bytes had been read since
    /// the connection was opened.
    pub fn on_read(&mut self, now: Timestamp, bytes_read: u64, end: ReadEnd) {
        let length = bytes_read - self.bytes_read;
        self.bytes_read = bytes_read;
        if length > 0 || self.has_unread_input {
            self.may_exist = length >= MIN_WINDOW || self.may_exist_at(now);
            self.last_read_at = now;
        }
        self.has_unread_input = end == ReadEnd::LimitReached;
        self.may_exist |= self.has_unread_input;
    }

    /// Returns whether input is left unread, so that the end of the input can't be seen.
    pub fn has_unread_input(&self) -> bool {
        self.has_unread_input
    }

    /// Returns whether the client may have written input that has not been read by `now`.
    pub fn may_exist_at(&self, now: Timestamp) -> bool {
        self.may_exist && (self.has_unread_input || now < self.paused_at())
    }

    /// Returns the time at which everything that the client has written counts as read, if no input arrives before.
    pub fn paused_at(&self) -> Timestamp {
        self.last_read_at.saturating_add(INPUT_PAUSE)
    }
}

#[cfg(test)]
mod tests;
