//! Decides how long an accept loop pauses after a failed `accept`. No error ends the loop.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The pause if the host is short of a resource that a connection needs. The connection stays in the backlog, so
/// without a pause the accept loop would be a busy loop.
const RESOURCE_SHORTAGE_PAUSE: Duration = Duration::from_millis(10);

/// Returns the pause before the next `accept`, or `None` if the error concerns only one connection, which no longer
/// exists.
pub fn pause_after(error: &io::Error) -> Option<Duration> {
    match Errno::from_io_error(error) {
        // The call was interrupted, or the connection broke before it was accepted: Linux returns the pending network
        // errors of a new connection from `accept`.
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
        // EMFILE, ENFILE, ENOBUFS, ENOMEM, and any other error, which may persist.
        _ => Some(RESOURCE_SHORTAGE_PAUSE),
    }
}

#[cfg(test)]
mod tests;
