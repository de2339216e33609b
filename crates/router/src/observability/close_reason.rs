//! Why connections end. Each connection that ends, to a client, an endpoint or the discovery service, leaves one log
//! line with its reason code.

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it between messages.
    Eof,
    /// The peer closed it inside a message.
    Truncated,
    /// It failed with an I/O error.
    Reset,
    /// The client sent Terminate.
    Terminate,
    /// The client disconnected before its response.
    DisconnectedWhileWaiting,
    /// The startup message did not arrive in time.
    StartupTimeout,
    /// The rest of a message did not arrive in time.
    Stalled,
    /// It carried a cancel request, which gets no response.
    CancelRequest,
    /// It sent bytes that are not a message of the protocol.
    Malformed,
    /// It sent a message larger than the router accepts.
    Oversized,
    /// The memory limit for all connections' buffers was reached.
    NoMemory,
    /// The client did not read its response.
    NotReading,
    /// Idle, and closed to free its file descriptor.
    Evicted,
    /// Idle, and closed by the graceful shutdown.
    Shutdown,
    /// The connection to an endpoint failed before the session was ready.
    ConnectFailed,
    /// The endpoint or the discovery service rejected it with an error.
    Rejected,
    /// An attempt on it was abandoned.
    AttemptAbandoned,
    /// A response could not be parsed, or bytes arrived that belong to no request.
    MalformedResponse,
    /// Idle for nearly as long as the endpoint allows.
    Idle,
    /// The address of the endpoint or of the discovery service changed, or the endpoint was removed from the list.
    AddressChanged,
    /// The discovery service did not respond in time.
    TimedOut,
    /// A new poll of the discovery service replaced it.
    Replaced,
}

impl CloseReason {
    /// Whether the router closes the connection on its own initiative, while a request may be in transit to it.
    pub fn is_initiated_by_router(self) -> bool {
        use CloseReason::{Evicted, Shutdown, Stalled, StartupTimeout};
        matches!(self, Evicted | Shutdown | Stalled | StartupTimeout)
    }

    /// The reason code in the log line.
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
