//! Classifies a client's complete message by its tag and body alone.

use reelrill_pg_protocol::backend;
use reelrill_pg_protocol::frontend::{self, CommandError};

/// The kind of a complete message, which determines how the connection processes it.
pub enum MessageKind {
    /// The first command of a pipeline.
    ExtendedCommand,
    /// A simple query whose body is one string.
    SimpleQuery,
    /// The Sync that ends commands which are not supported.
    Sync,
    /// A command of a kind that is not supported.
    Unsupported,
    /// The client ends the session.
    Terminate,
    /// A command whose body can't be parsed.
    Malformed(CommandError),
    /// A protocol violation, with the error message for the client.
    Violation(&'static str),
}

impl MessageKind {
    /// Returns the kind of the message with this tag and body; `is_extended` is whether extended queries are enabled.
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
