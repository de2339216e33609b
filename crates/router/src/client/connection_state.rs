//! How far a client's connection has come between its commands.

use crate::runtime::shared::CountGuard;
use reelrill_routing::Timestamp;

/// The state of a connection on which no request waits for its answer.
pub enum ConnectionState {
    /// The startup has not been answered.
    AwaitingStartup {
        /// Counts the connection as unproven.
        unproven: CountGuard,
    },
    /// The startup has been answered, and no request has come yet.
    AwaitingFirstRequest {
        /// Counts the connection as unproven until the state changes.
        _unproven: CountGuard,
    },
    /// It has had requests. The next message has not begun, or is complete.
    Idle,
    /// It has had requests, and a part of the next message came at `since`.
    PartialMessage {
        /// When the first part was seen.
        since: Timestamp,
    },
}

impl ConnectionState {
    /// Whether the startup has been answered.
    pub fn has_started(&self) -> bool {
        !matches!(self, ConnectionState::AwaitingStartup { .. })
    }

    /// Whether it has never had a request.
    pub fn is_unproven(&self) -> bool {
        matches!(
            self,
            ConnectionState::AwaitingStartup { .. } | ConnectionState::AwaitingFirstRequest { .. }
        )
    }

    /// The startup has been answered.
    pub fn on_startup_answered(&mut self) {
        let state = std::mem::replace(self, ConnectionState::Idle);
        *self = match state {
            ConnectionState::AwaitingStartup { unproven } => {
                ConnectionState::AwaitingFirstRequest {
                    _unproven: unproven,
                }
            }
            other => other,
        };
    }

    /// A part of a message is there at `now`. Returns when its first part was seen.
    pub fn on_partial_message(&mut self, now: Timestamp) -> Timestamp {
        if let ConnectionState::PartialMessage { since } = self {
            return *since;
        }
        if !self.is_unproven() {
            *self = ConnectionState::PartialMessage { since: now };
        }
        now
    }

    /// A message is complete; whether it is a request shows next.
    pub fn on_whole_message(&mut self) {
        if !self.is_unproven() {
            *self = ConnectionState::Idle;
        }
    }

    /// A request has come.
    pub fn on_request(&mut self) {
        *self = ConnectionState::Idle;
    }
}
