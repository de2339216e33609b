//! Writes to a client's socket, and detects without reading that the client has disconnected.

use crate::observability::close_reason::CloseReason;
use crate::runtime::interrupted::write_all;
use async_io::{Async, Timer};
use futures_lite::future::or;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::net::TcpStream;
use std::time::Duration;

/// The maximum time for a write. If a client does not read its response within this time, its connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which the socket is polled for the client's disconnect while nothing is read.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Returns whether the client has closed its connection, even if unread bytes precede the end of its input.
pub fn has_disconnected(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let disconnect_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&Timespec::default())).is_ok()
        && polled[0].revents().intersects(disconnect_flags)
}

/// Waits until the client disconnects.
pub async fn wait_for_disconnect(stream: &TcpStream) {
    loop {
        Timer::after(DISCONNECT_POLL_INTERVAL).await;
        if has_disconnected(stream) {
            return;
        }
    }
}

/// Writes all of `bytes`. Ends early if the client disconnects, so that its outstanding requests can be cancelled.
///
/// # Errors
/// Fails if the write fails or times out, or the client disconnects.
pub async fn write_to_client(stream: &Async<TcpStream>, bytes: &[u8]) -> Result<(), CloseReason> {
    let write = async {
        write_all(stream, bytes)
            .await
            .map_err(|_| CloseReason::Reset)
    };
    let timeout = async {
        Timer::after(WRITE_TIMEOUT).await;
        Err(CloseReason::NotReading)
    };
    let disconnected = async {
        wait_for_disconnect(stream.get_ref()).await;
        Err(CloseReason::DisconnectedWhileWaiting)
    };
    or(write, or(disconnected, timeout)).await
}

#[cfg(test)]
mod tests;
