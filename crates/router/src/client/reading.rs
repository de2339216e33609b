//! What may still be read from a client's connection: ahead of the answers it waits for, and late in a shutdown.

use super::socket;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::Shared;
use async_io::Async;
use reelrill_pg_protocol::{frame, frontend};
use std::cell::Cell;
use std::net::TcpStream;

/// What a connection may still send, beyond what lies in its socket, once all that is owed an answer has come.
const LATE_BYTES: u64 = 64 * 1024;
/// What a client may send ahead while it waits for an answer. Its end can only be read behind what it has sent.
pub const READ_AHEAD_LIMIT: usize = 64 * 1024;

/// Bounds what is read from one connection late in a shutdown: a client that never pauses would otherwise be read, and
/// rejected, at full speed to the end of all reading.
#[derive(Default)]
pub struct LateReading {
    /// The count of bytes read from the connection at which reading ends; none: it is not late yet.
    until: Cell<Option<u64>>,
}

impl LateReading {
    /// Whether nothing more may be read from the connection.
    pub fn has_ended(&self, shared: &Shared, buffer: &Buffer, stream: &TcpStream) -> bool {
        if shared.has_read_deadline_passed() {
            return true;
        }
        if !shared.can_drop_new_input() {
            return false;
        }
        let until = self.until.get().unwrap_or_else(|| {
            // What lies in the socket may have come in time.
            let waiting = rustix::io::ioctl_fionread(stream).unwrap_or(0);
            buffer.bytes_read() + waiting + LATE_BYTES
        });
        self.until.set(Some(until));
        buffer.bytes_read() >= until
    }
}

/// Whether `bytes` begin with a message that is complete, or can't be read.
pub fn is_whole(bytes: &[u8], has_started: bool, is_extended: bool) -> bool {
    if has_started {
        !matches!(frame::parse_frontend(bytes, is_extended), Ok(None))
    } else {
        !matches!(frontend::parse_startup(bytes), Ok(None))
    }
}

/// Reads what a client sends ahead. Where nothing more may be read it waits until the client hangs up, which is told
/// like an end: unread bytes would hide the end itself.
pub async fn read_ahead(
    shared: &Shared,
    buffer: &mut Buffer,
    stream: &Async<TcpStream>,
    late_reading: &LateReading,
) -> std::io::Result<usize> {
    let may_read = buffer.bytes().len() < READ_AHEAD_LIMIT
        && !late_reading.has_ended(shared, buffer, stream.get_ref());
    if may_read {
        match buffer.fill(stream).await {
            // Without memory it waits, as with a full buffer.
            Err(e) if MemoryLimitReached::caused(&e) => {}
            read => return read,
        }
    }
    socket::hang_up(stream.get_ref()).await;
    Ok(0)
}

#[cfg(test)]
mod tests;
