//! What a failed `accept` means for the loop that called it: it always goes on.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The pause while the host lacks what a connection needs: the connection stays in the backlog, and to try again at
/// once would be a busy loop.
const RESOURCE_SHORTAGE_PAUSE: Duration = Duration::from_millis(10);

/// How long to wait before the next `accept`; none: the failure was that of one connection, which has gone.
pub fn pause_after(error: &io::Error) -> Option<Duration> {
    match Errno::from_io_error(error) {
        // The call was interrupted, or the connection broke before it was accepted: Linux hands on its error.
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::CONNRESET
            | Errno::PROTO
            | Errno::TIMEDOUT
            | Errno::HOSTDOWN
            | Errno::HOSTUNREACH
            | Errno::NETDOWN
            | Errno::NETUNREACH,
        ) => None,
        // EMFILE, ENFILE, ENOBUFS, ENOMEM, and whatever else may last.
        _ => Some(RESOURCE_SHORTAGE_PAUSE),
    }
}

#[cfg(test)]
mod tests;
