//! Defines the reasons for which connections end. When a connection to a client, an endpoint or the discovery service
//! ends, one line with the reason code is logged.

/// The reason for which a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed the connection between messages.
    Eof,
    /// The peer closed the connection inside a message.
    Truncated,
    /// The connection failed with an I/O error.
    Reset,
    /// The client sent Terminate.
    Terminate,
    /// The client disconnected while it waited for a response.
    DisconnectedWhileWaiting,
    /// The startup message did not arrive in time.
    StartupTimeout,
    /// The rest of a message did not arrive in time.
    Stalled,
    /// The connection carried a cancel request, which is never responded to.
    CancelRequest,
    /// The peer sent bytes that are not a message of the protocol.
    Malformed,
    /// The peer sent a message larger than the router accepts.
    Oversized,
    /// The memory limit for all connections' buffers was reached.
    NoMemory,
    /// The client did not read its response.
    NotReading,
    /// The router closed the connection, on which no request was in progress, to free its file descriptor.
    Evicted,
    /// The graceful shutdown closed the connection, on which no complete request was outstanding.
    Shutdown,
    /// The connection to an endpoint failed before the session was ready.
    ConnectFailed,
    /// The endpoint or the discovery service rejected the connection or a request on it with an error.
    Rejected,
    /// An attempt on the connection was abandoned.
    AttemptAbandoned,
    /// A response could not be parsed, or bytes arrived that belong to no request.
    MalformedResponse,
    /// The connection was idle for nearly the time after which the endpoint closes it.
    Idle,
    /// The address of the endpoint or of the discovery service changed, or the endpoint was removed from the list.
    AddressChanged,
    /// The discovery service did not respond in time.
    TimedOut,
    /// A new poll of the discovery service replaced the poll on this connection.
    Replaced,
}

impl CloseReason {
    /// Returns whether the router closes the connection on its own initiative, so that a request may be in transit to
    /// it.
    pub fn is_initiated_by_router(self) -> bool {
        use CloseReason::{Evicted, Shutdown, Stalled, StartupTimeout};
        matches!(self, Evicted | Shutdown | Stalled | StartupTimeout)
    }

    /// Returns the reason code that is written to the log.
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::Eof => "eof",
            CloseReason::Truncated => "truncated",
            CloseReason::Reset => "reset",
            CloseReason::Terminate => "terminate",
            CloseReason::DisconnectedWhileWaiting => "left_waiting",
            CloseReason::StartupTimeout => "startup_timeout",
            CloseReason::Stalled => "stalled",
            CloseReason::CancelRequest => "cancel_request",
            CloseReason::Malformed => "malformed",
            CloseReason::Oversized => "oversized",
            CloseReason::NoMemory => "no_memory",
            CloseReason::NotReading => "not_reading",
            CloseReason::Evicted => "evicted",
            CloseReason::Shutdown => "shutdown",
            CloseReason::ConnectFailed => "dial_failed",
            CloseReason::Rejected => "rejected",
            CloseReason::AttemptAbandoned => "attempt_abandoned",
            CloseReason::MalformedResponse => "malformed_response",
            CloseReason::Idle => "idle",
            CloseReason::AddressChanged => "moved",
            CloseReason::TimedOut => "timed_out",
            CloseReason::Replaced => "replaced",
        }
    }
}
