//! Version 3 of the PostgreSQL protocol, as far as clients and instances speak it here: startup, simple and
//! extended queries, in both directions. Bytes go in and messages come out, borrowed from them; there is no I/O.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`frame`] | where a message ends, and how large each may be: a length is refused as announced |
//! | [`frontend`] | what a client writes: read by a server, put by a client |
//! | [`backend`] | what a server writes: read by a client, put by a server |
//! | [`sqlstate`] | the error codes that this project gives, and what each stands for |
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

/// Appends one message.
pub fn put_message(out: &mut Vec<u8>, tag: u8, parts: &[&[u8]]) {
    let len: usize = parts.iter().map(|p| p.len()).sum();
    out.push(tag);
    out.extend_from_slice(&(len as u32 + 4).to_be_bytes());
    for part in parts {
        out.extend_from_slice(part);
    }
}

/// Splits off a text that ends in a zero byte; none if there is no such byte or it is no UTF-8.
pub fn split_cstring(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let end = bytes.iter().position(|b| *b == 0)?;
    Some((std::str::from_utf8(&bytes[..end]).ok()?, &bytes[end + 1..]))
}

/// How a value is written: as people read it, or in its type's binary form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Format {
    /// Format code 0.
    #[default]
    Text,
    /// Format code 1.
    Binary,
}

impl Format {
    /// The format of a code; none for codes that the protocol does not know.
    pub fn from_code(code: u16) -> Option<Format> {
        match code {
            0 => Some(Format::Text),
            1 => Some(Format::Binary),
            _ => None,
        }
    }

    /// Its code on the wire.
    pub fn code(self) -> u16 {
        match self {
            Format::Text => 0,
            Format::Binary => 1,
        }
    }
}
