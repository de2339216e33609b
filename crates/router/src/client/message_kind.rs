//! What a whole message of a client asks of its connection, by the tag and the body alone.

use reelrill_pg_protocol::backend;
use reelrill_pg_protocol::frontend::{self, CommandError};

/// What a whole message asks of the connection.
pub enum MessageKind {
    /// The first command of a pipeline.
    ExtendedCommand,
    /// A simple query with a text.
    SimpleQuery,
    /// The Sync that ends commands which are not supported.
    Sync,
    /// A command of a kind that is not supported.
    Unsupported,
    /// The client says goodbye.
    Terminate,
    /// A command that can't be read.
    Malformed(CommandError),
    /// What the protocol does not allow, with what is wrong.
    Violation(&'static str),
}

impl MessageKind {
    /// The kind of a message by its tag and body; `is_extended`: extended queries are spoken.
    pub fn of(tag: u8, body: &[u8], is_extended: bool) -> MessageKind {
        match tag {
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' if is_extended => {
                match frontend::parse_command(tag, body) {
                    Ok(_) => MessageKind::ExtendedCommand,
                    Err(error) => MessageKind::Malformed(error),
                }
            }
            b'Q' if backend::parse_single_string(body).is_some() => MessageKind::SimpleQuery,
            b'Q' => MessageKind::Violation("a query that is no text"),
            b'X' => MessageKind::Terminate,
            b'S' => MessageKind::Sync,
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => MessageKind::Unsupported,
            _ => MessageKind::Violation("an unknown message"),
        }
    }
}
