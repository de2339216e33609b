//! Records the state of a client connection between messages.

use crate::runtime::shared::CountGuard;
use reelrill_routing::Timestamp;

/// The state of a connection on which no request is outstanding.
pub enum ConnectionState {
    /// The startup message has not been responded to.
    AwaitingStartup {
        /// Counts the connection as unused until the guard is dropped.
        unused: CountGuard,
    },
    /// The startup is complete, and no request has been received yet.
    AwaitingFirstRequest {
        /// Counts the connection as unused until the state changes.
        _unused: CountGuard,
    },
    /// Requests have been received. The next message has not begun, or is complete.
    Idle,
    /// Requests have been received, as well as a part of the next message.
    PartialMessage {
        /// The time at which the first part of the message was detected.
        since: Timestamp,
    },
}

impl ConnectionState {
    /// Returns whether the startup is complete.
    pub fn is_startup_complete(&self) -> bool {
        !matches!(self, ConnectionState::AwaitingStartup { .. })
    }

    /// Returns whether no request has been received.
    pub fn is_unused(&self) -> bool {
        matches!(
            self,
            ConnectionState::AwaitingStartup { .. } | ConnectionState::AwaitingFirstRequest { .. }
        )
    }

    /// Records that the startup is complete.
    pub fn on_startup_complete(&mut self) {
        let state = std::mem::replace(self, ConnectionState::Idle);
        *self = match state {
            ConnectionState::AwaitingStartup { unused } => {
                ConnectionState::AwaitingFirstRequest { _unused: unused }
            }
            other => other,
        };
    }

    /// Records that a part of a message has been received by `now`. Returns the time at which its first part was
    /// detected.
    pub fn on_partial_message(&mut self, now: Timestamp) -> Timestamp {
        if let ConnectionState::PartialMessage { since } = self {
            return *since;
        }
        if !self.is_unused() {
            *self = ConnectionState::PartialMessage { since: now };
        }
        now
    }

    /// Records that a message is complete. If it is a request, [`on_request`](Self::on_request) is called afterwards.
    pub fn on_complete_message(&mut self) {
        if !self.is_unused() {
            *self = ConnectionState::Idle;
        }
    }

    /// Records that a request has been received.
    pub fn on_request(&mut self) {
        *self = ConnectionState::Idle;
    }
}
