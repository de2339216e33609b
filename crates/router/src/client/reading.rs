//! Bounds how much is read from a client's connection: ahead of outstanding responses, and late in a graceful shutdown.

use super::input_backlog::InputBacklog;
use super::socket;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::Shared;
use async_io::Async;
use reelrill_pg_protocol::{frame, frontend};
use std::cell::Cell;
use std::net::TcpStream;

/// The number of bytes that are still read from a connection once a graceful shutdown guarantees no response to new
/// input any more, in addition to the bytes that are in its socket by then.
const SHUTDOWN_READ_ALLOWANCE: u64 = 64 * 1024;
/// The maximum number of bytes that are read ahead while a response is outstanding. Reading ahead is needed because the
/// end of a client's input can only be read after everything before it.
pub const READ_AHEAD_LIMIT: usize = 64 * 1024;

/// Limits how much is read from one connection late in a graceful shutdown. Without the limit, every client that sends
/// requests one after another would have them read and rejected until the router stops reading. The limit applies once
/// everything that the client may have written in time for a guaranteed response has been read.
#[derive(Default)]
pub struct ShutdownReadLimit {
    /// The total of bytes read from the connection at which reading ends; `None` until the limit applies.
    max_bytes_read: Cell<Option<u64>>,
}

impl ShutdownReadLimit {
    /// Returns whether nothing more may be read from the connection.
    pub fn is_reached(
        &self,
        shared: &Shared,
        buffer: &Buffer,
        stream: &TcpStream,
        backlog: &InputBacklog,
    ) -> bool {
        if shared.has_read_deadline_passed() {
            return true;
        }
        if !shared.can_drop_new_input() {
            return false;
        }
        if !shared.has_backlog_deadline_passed() && backlog.may_exist_at(shared.clock.now()) {
            return false;
        }
        let max_bytes_read = self.max_bytes_read.get().unwrap_or_else(|| {
            // The bytes in the socket may have arrived in time for a guaranteed response.
            let unread = rustix::io::ioctl_fionread(stream).unwrap_or(0);
            buffer.bytes_read() + unread + SHUTDOWN_READ_ALLOWANCE
        });
        self.max_bytes_read.set(Some(max_bytes_read));
        buffer.bytes_read() >= max_bytes_read
    }
}

/// Returns whether `bytes` begin with a message that is complete or can't be parsed. Either requires a response.
pub fn starts_with_complete_message(
    bytes: &[u8],
    is_startup_complete: bool,
    is_extended: bool,
) -> bool {
    if is_startup_complete {
        !matches!(frame::parse_frontend(bytes, is_extended), Ok(None))
    } else {
        !matches!(frontend::parse_startup(bytes), Ok(None))
    }
}

/// Reads ahead while a response is outstanding. If nothing more may be read, waits until the client disconnects and
/// then returns 0, as at the end of input: the end itself cannot be read before the unread bytes.
pub async fn read_ahead(
    shared: &Shared,
    buffer: &mut Buffer,
    stream: &Async<TcpStream>,
    shutdown_read_limit: &ShutdownReadLimit,
    backlog: &InputBacklog,
) -> std::io::Result<usize> {
    let can_read = buffer.bytes().len() < READ_AHEAD_LIMIT
        && !shutdown_read_limit.is_reached(shared, buffer, stream.get_ref(), backlog);
    if can_read {
        match buffer.fill(stream).await {
            // At the memory limit, nothing more may be read, as with a full buffer.
            Err(e) if MemoryLimitReached::caused(&e) => {}
            read => return read,
        }
    }
    socket::wait_for_disconnect(stream.get_ref()).await;
    Ok(0)
}

#[cfg(test)]
mod tests;
