//! The subset of version 3 of the PostgreSQL protocol that the router uses, in both directions: startup, simple and
//! extended queries. Parses messages from bytes, which they borrow, and appends messages to buffers, without I/O.
//!
//! | module | responsible for |
//! | --- | --- |
//! | [`frame`] | message boundaries, and the maximum length of each kind of message |
//! | [`frontend`] | the messages that a client sends |
//! | [`backend`] | the messages that a server sends |
//! | [`sqlstate`] | SQLSTATE error codes |
//! | [`oid`] | object ids of data types |
//!
//! ```
//! use reelrill_pg_protocol::{frame, frontend::{self, Command}};
//! let mut out = Vec::new();
//! frontend::put_execute(&mut out, "", 0);
//! let (tag, body, len) = frame::parse_frontend(&out, true).unwrap().unwrap();
//! assert_eq!(len, out.len());
//! assert!(matches!(frontend::parse_command(tag, body), Ok(Command::Execute { portal: "", row_limit: 0 })));
//! ```
#![forbid(unsafe_code)]

pub mod backend;
pub mod frame;
pub mod frontend;
pub mod oid;
pub mod sqlstate;

/// Appends a message with the type byte `tag` and a body joined from `parts`.
pub fn put_message(out: &mut Vec<u8>, tag: u8, parts: &[&[u8]]) {
    let len: usize = parts.iter().map(|part| part.len()).sum();
    out.push(tag);
    out.extend_from_slice(&(len as u32 + 4).to_be_bytes());
    for part in parts {
        out.extend_from_slice(part);
    }
}

/// Splits off a zero-terminated string. Returns it and the bytes after the terminator; `None` if there is no terminator
/// or the string is not UTF-8.
pub fn split_cstring(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((std::str::from_utf8(&bytes[..end]).ok()?, &bytes[end + 1..]))
}

/// The format of a value on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Format {
    /// Text format, code 0.
    #[default]
    Text,
    /// Binary format of the value's type, code 1.
    Binary,
}

impl Format {
    /// Returns the format with a code; `None` for a code that the protocol doesn't define.
    pub fn from_code(code: u16) -> Option<Format> {
        match code {
            0 => Some(Format::Text),
            1 => Some(Format::Binary),
            _ => None,
        }
    }

    /// Returns the format's code.
    pub fn code(self) -> u16 {
        match self {
            Format::Text => 0,
            Format::Binary => 1,
        }
    }
}
