//! Finds a Terminate message in a client's input before the messages in front of it are processed.

use crate::runtime::buffer::Buffer;
use reelrill_pg_protocol::frame;

/// The tag of a Terminate message.
const TERMINATE: u8 = b'X';

/// The progress of the search. Each message is looked at once.
#[derive(Debug, Default)]
pub struct TerminateScan {
    /// The position in the connection's input up to which no Terminate was found, always between two messages.
    scanned_to: u64,
}

impl TerminateScan {
    /// Returns whether the buffer contains a complete Terminate.
    pub fn is_in(&mut self, buffer: &Buffer, is_extended: bool) -> bool {
        let bytes = buffer.bytes();
        let start = buffer.bytes_read() - bytes.len() as u64;
        self.scanned_to = self.scanned_to.max(start);
        let mut rest = &bytes[(self.scanned_to - start) as usize..];
        while let Ok(Some((tag, _, length))) = frame::parse_frontend(rest, is_extended) {
            if tag == TERMINATE {
                return true;
            }
            rest = &rest[length..];
            self.scanned_to += length as u64;
        }
        false
    }
}
