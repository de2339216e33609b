//! Decides when further requests of a client may start while its disconnect may be hidden behind unread input.
//!
//! The end of a client's input stands behind everything that the client has written, so a router that leaves input unread
//! does not see that the client has closed its connection. A write shows it: the client's system responds to it with a
//! reset. So while input may be left, one batch of requests starts at a time, and the next one only after something has
//! been written and no reset has followed. If there is no response to write, a message without effect is written, so that
//! the requests which wait for a connection are not sent for a client that has left.

use reelrill_routing::{Nanos, Timestamp};

/// The time in which a reset follows a write to a closed connection, in nanoseconds: a few round trips.
const RESET_TIME: Nanos = 5_000_000;

/// The time without a write after which one is due while input is left unread, in nanoseconds.
const WRITE_INTERVAL: Nanos = 25_000_000;

/// Whether requests may start while input is left unread.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    /// Requests may start.
    #[default]
    Open,
    /// Requests have started, and nothing has been written since.
    AwaitingWrite,
    /// A response has been written. A reset would arrive by this time.
    AwaitingReset(Timestamp),
}

/// Delays the start of requests of one client.
#[derive(Debug, Default)]
pub struct StartGate {
    state: State,
    last_written_at: Timestamp,
}

impl StartGate {
    /// Returns whether requests may start at `now`. `has_backlog` is whether the client may have written input that has
    /// not been read.
    pub fn may_start(&mut self, now: Timestamp, has_backlog: bool) -> bool {
        let is_reset_overdue = matches!(self.state, State::AwaitingReset(by) if by <= now);
        if !has_backlog || is_reset_overdue {
            self.state = State::Open;
        }
        self.state == State::Open
    }

    /// Records that a batch of requests has started.
    pub fn on_started(&mut self) {
        self.state = State::AwaitingWrite;
    }

    /// Records that bytes have been written to the client by `now`.
    pub fn on_written(&mut self, now: Timestamp) {
        self.last_written_at = now;
        if self.state == State::AwaitingWrite {
            self.state = State::AwaitingReset(now.saturating_add(RESET_TIME));
        }
    }

    /// Returns the time at which a write is due to show whether the client has left.
    pub fn write_due_at(&self) -> Timestamp {
        self.last_written_at.saturating_add(WRITE_INTERVAL)
    }

    /// Returns the time at which the next batch may start, if nothing else needs to happen first.
    pub fn opens_at(&self) -> Option<Timestamp> {
        match self.state {
            State::AwaitingReset(by) => Some(by),
            State::Open | State::AwaitingWrite => None,
        }
    }
}

#[cfg(test)]
mod tests;
