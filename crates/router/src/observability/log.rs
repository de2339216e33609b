//! Log lines, written by a thread of their own so that a slow reader of the log never holds up a request.

use slog::{Drain as _, Logger, o};

/// Why a connection ended: one log line for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed it between messages.
    Eof,
    /// The other side closed it inside a message.
    Truncated,
    /// It broke.
    Reset,
    /// The client said goodbye.
    Terminate,
    /// The client left before its answer.
    LeftWaiting,
    /// No whole request came in time.
    StartupTimeout,
    /// The rest of a message did not come.
    Stalled,
    /// A client's request to call off what another connection waits for; it gets no answer.
    CancelRequest,
    /// Bytes that are no message of the protocol.
    Malformed,
    /// A message larger than any the router takes.
    Oversized,
    /// All buffers together are as large as they may be.
    NoMemory,
    /// The client did not read its answer.
    NotReading,
    /// Closed between requests to make room for another.
    Evicted,
    /// Closed between requests before the router ends.
    Shutdown,
    /// The connection to an endpoint could not be made.
    DialFailed,
    /// The endpoint turned the connection away.
    TurnedAway,
    /// An attempt on it was given up.
    GivenUp,
    /// An answer that can't be read, or bytes that belong to none.
    Spoilt,
    /// Idle for nearly as long as the endpoint allows.
    Idle,
    /// The endpoint moved or left the list, or discovery moved.
    Moved,
    /// No answer from discovery in time.
    Silent,
    /// The connection was replaced by a new call.
    Replaced,
}

impl CloseReason {
    /// The router itself closes a connection between requests, of which something may be on its way.
    pub fn is_ours(self) -> bool {
        use CloseReason::{Evicted, Shutdown, Stalled, StartupTimeout};
        matches!(self, Evicted | Shutdown | Stalled | StartupTimeout)
    }

    pub fn code(self) -> &'static str {
        match self {
            CloseReason::Eof => "eof",
            CloseReason::Truncated => "truncated",
            CloseReason::Reset => "reset",
            CloseReason::Terminate => "terminate",
            CloseReason::LeftWaiting => "left_waiting",
            CloseReason::StartupTimeout => "startup_timeout",
            CloseReason::Stalled => "stalled",
            CloseReason::CancelRequest => "cancel_request",
            CloseReason::Malformed => "malformed",
            CloseReason::Oversized => "oversized",
            CloseReason::NoMemory => "no_memory",
            CloseReason::NotReading => "not_reading",
            CloseReason::Evicted => "evicted",
            CloseReason::Shutdown => "shutdown",
            CloseReason::DialFailed => "dial_failed",
            CloseReason::TurnedAway => "turned_away",
            CloseReason::GivenUp => "given_up",
            CloseReason::Spoilt => "spoilt",
            CloseReason::Idle => "idle",
            CloseReason::Moved => "moved",
            CloseReason::Silent => "silent",
            CloseReason::Replaced => "replaced",
        }
    }
}

/// The root logger and the guard that flushes it when dropped. `RELAY_LOG` sets the level (info).
pub fn start(name: &str) -> (Logger, slog_async::AsyncGuard) {
    let level = std::env::var("RELAY_LOG")
        .ok()
        .and_then(|l| l.parse().ok())
        .unwrap_or(slog::Level::Info);
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build()
        .fuse();
    let (drain, stale_reads) = slog_async::Async::new(format)
        .chan_size(4096)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain.fuse(), level).fuse();
    (
        Logger::root(drain, o!("router" => name.to_owned())),
        stale_reads,
    )
}
