//! Records the state of a client connection on which no request is outstanding.

use crate::runtime::shared::CountGuard;
use reelrill_routing::Timestamp;

/// The progress of a connection up to its first request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The startup message has not been responded to.
    AwaitingStartup,
    /// The startup is complete, and no request has been received yet.
    AwaitingFirstRequest,
    /// Requests have been received.
    InUse,
}

/// The state of a connection on which no request is outstanding.
pub struct ConnectionState {
    phase: Phase,
    /// Counts the connection as unused: no request has been received, nor any part of the message that is due next.
    unused: Option<CountGuard>,
    /// The time at which the first part of an unfinished message or request was detected.
    unfinished_since: Option<Timestamp>,
}

impl ConnectionState {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(unused: CountGuard) -> ConnectionState {
        ConnectionState {
            phase: Phase::AwaitingStartup,
            unused: Some(unused),
            unfinished_since: None,
        }
    }

    /// Returns whether the startup is complete.
    pub fn is_startup_complete(&self) -> bool {
        self.phase != Phase::AwaitingStartup
    }

    /// Returns whether no request has been received.
    pub fn is_unused(&self) -> bool {
        self.phase != Phase::InUse
    }

    /// Records that the startup is complete. The connection counts as unused until its first request begins.
    pub fn on_startup_complete(&mut self, count_unused: impl FnOnce() -> CountGuard) {
        self.phase = Phase::AwaitingFirstRequest;
        self.unused.get_or_insert_with(count_unused);
        self.unfinished_since = None;
    }

    /// Records that a part of a message or request has been received by `now`. Returns the time at which its first part
    /// was detected.
    pub fn on_unfinished(&mut self, now: Timestamp) -> Timestamp {
        self.unused = None;
        *self.unfinished_since.get_or_insert(now)
    }

    /// Records that a message is complete. If it is a request, [`on_request`](Self::on_request) is called afterwards.
    pub fn on_complete_message(&mut self) {
        self.unfinished_since = None;
    }

    /// Records that a request has been received.
    pub fn on_request(&mut self) {
        self.phase = Phase::InUse;
        self.unused = None;
        self.unfinished_since = None;
    }
}
