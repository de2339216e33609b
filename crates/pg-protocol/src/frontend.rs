//! What a client writes.

use crate::frame::{self, FrameError};
use crate::{Format, put_message, split_cstring, sqlstate};

/// The most parameters that a message may name: more than any statement here has, far fewer than fit the field.
pub const MOST_PARAMETERS: usize = 64;

/// The message that opens a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Startup {
    /// A session, and the minor version asked for.
    Session {
        /// 0 for protocol 3.0.
        minor: u16,
    },
    /// A wish for encryption, answered with one byte.
    EncryptionRequest,
    /// A wish to call off what another connection waits for, which the two numbers name.
    CancelRequest {
        /// As BackendKeyData told it.
        process: u32,
        /// As BackendKeyData told it.
        secret: u32,
    },
    /// A version that is not spoken here.
    UnsupportedVersion,
}

/// Reads the message that opens a connection, which has no tag, and its length.
pub fn parse_startup(bytes: &[u8]) -> Result<Option<(Startup, usize)>, FrameError> {
    let Some(len) = frame::parse_length(bytes, 8, frame::MAX_STARTUP_LENGTH)? else {
        return Ok(None);
    };
    let Some(body) = bytes.get(4..len) else {
        return Ok(None);
    };
    let word = |at: usize| {
        body.get(at..at + 4)?
            .first_chunk::<4>()
            .map(|b| u32::from_be_bytes(*b))
    };
    let kind = match word(0).ok_or(FrameError::Malformed)? {
        80_877_102 => match (word(4), word(8)) {
            (Some(process), Some(secret)) if body.len() == 12 => {
                Startup::CancelRequest { process, secret }
            }
            _ => return Err(FrameError::Malformed),
        },
        80_877_103 | 80_877_104 => Startup::EncryptionRequest,
        code if code >> 16 == 3 => Startup::Session { minor: code as u16 },
        _ => Startup::UnsupportedVersion,
    };
    Ok(Some((kind, len)))
}

/// What Describe and Close are about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// A client's command, borrowed from its message.
#[derive(Debug, Clone, PartialEq)]
pub enum Command<'a> {
    /// A simple query.
    Query(&'a str),
    /// Prepares a statement.
    Parse {
        /// Its name; empty: the unnamed one.
        name: &'a str,
        /// Its text.
        text: &'a str,
        /// The types of its first parameters; 0: left open.
        types: Vec<u32>,
    },
    /// Makes a portal of a statement and its parameters.
    Bind(Bind<'a>),
    /// Asks what a statement takes and gives, or what a portal gives.
    Describe(ObjectKind, &'a str),
    /// Runs a portal.
    Execute {
        /// The portal.
        portal: &'a str,
        /// The most rows to give now; 0: all.
        row_limit: u32,
    },
    /// Forgets a statement or a portal.
    Close(ObjectKind, &'a str),
    /// Asks for the answers so far.
    Flush,
    /// Ends a segment.
    Sync,
    /// A goodbye.
    Terminate,
}

/// A Bind.
#[derive(Debug, Clone, PartialEq)]
pub struct Bind<'a> {
    /// The portal to make.
    pub portal: &'a str,
    /// The statement.
    pub statement: &'a str,
    /// The format of each parameter; none: all text; one: it holds for all.
    pub parameter_formats: Vec<Format>,
    /// The values; none is null.
    pub values: Vec<Option<&'a [u8]>>,
    /// The format of each result column, counted as those of the parameters.
    pub result_formats: Vec<Format>,
}

impl Bind<'_> {
    /// The format of the parameter at `index`, counted from 0.
    pub fn parameter_format(&self, index: usize) -> Format {
        format_at(&self.parameter_formats, index)
    }

    /// The format of the result column at `index`, counted from 0.
    pub fn result_format(&self, index: usize) -> Format {
        format_at(&self.result_formats, index)
    }
}

fn format_at(formats: &[Format], index: usize) -> Format {
    match formats {
        [one] => *one,
        all => all.get(index).copied().unwrap_or_default(),
    }
}

/// A command that can't be read: the connection can't go on.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum CommandError {
    /// A tag that no client writes here.
    #[error("an unknown message")]
    UnknownMessage(u8),
    /// Its body does not hold what its tag says.
    #[error("a {0} whose fields do not fit its length")]
    MalformedFields(&'static str),
    /// A count beyond what is taken.
    #[error("a {0} with {1} parameters, of {MOST_PARAMETERS} at most")]
    TooManyParameters(&'static str, usize),
    /// A format that the protocol does not know.
    #[error("a {0} with an unknown format code")]
    UnknownFormat(&'static str),
}

impl CommandError {
    /// Its error code.
    pub fn sqlstate(&self) -> &'static str {
        sqlstate::PROTOCOL_VIOLATION
    }
}

struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn text(&mut self) -> Option<&'a str> {
        let (found, rest) = split_cstring(self.0)?;
        self.0 = rest;
        Some(found)
    }
    fn u16(&mut self) -> Option<u16> {
        let (field, rest) = self.0.split_first_chunk::<2>()?;
        self.0 = rest;
        Some(u16::from_be_bytes(*field))
    }
    fn u32(&mut self) -> Option<u32> {
        let (field, rest) = self.0.split_first_chunk::<4>()?;
        self.0 = rest;
        Some(u32::from_be_bytes(*field))
    }
    fn value(&mut self) -> Option<Option<&'a [u8]>> {
        match self.u32()? as i32 {
            -1 => Some(None),
            len => {
                let (value, rest) = self.0.split_at_checked(usize::try_from(len).ok()?)?;
                self.0 = rest;
                Some(Some(value))
            }
        }
    }
    fn object(&mut self) -> Option<ObjectKind> {
        let (&kind, rest) = self.0.split_first()?;
        self.0 = rest;
        match kind {
            b'S' => Some(ObjectKind::Statement),
            b'P' => Some(ObjectKind::Portal),
            _ => None,
        }
    }
}

/// A count that is announced is bounded before anything is set aside for it.
fn counted<'a, T>(
    what: &'static str,
    fields: &mut Fields<'a>,
    mut one: impl FnMut(&mut Fields<'a>) -> Result<T, CommandError>,
) -> Result<Vec<T>, CommandError> {
    let count = fields.u16().ok_or(CommandError::MalformedFields(what))? as usize;
    if count > MOST_PARAMETERS {
        return Err(CommandError::TooManyParameters(what, count));
    }
    (0..count).map(|_| one(fields)).collect()
}

/// Reads a client's message.
pub fn parse_command(tag: u8, body: &[u8]) -> Result<Command<'_>, CommandError> {
    let (what, mut f) = (name_of(tag), Fields(body));
    let wrong = || CommandError::MalformedFields(what);
    let formats = |f: &mut Fields| {
        counted(what, f, |f| {
            f.u16()
                .ok_or(wrong())
                .map(Format::from_code)?
                .ok_or(CommandError::UnknownFormat(what))
        })
    };
    let command = match tag {
        b'Q' => Command::Query(f.text().ok_or_else(wrong)?),
        b'P' => Command::Parse {
            name: f.text().ok_or_else(wrong)?,
            text: f.text().ok_or_else(wrong)?,
            types: counted(what, &mut f, |f| f.u32().ok_or(wrong()))?,
        },
        b'B' => Command::Bind(Bind {
            portal: f.text().ok_or_else(wrong)?,
            statement: f.text().ok_or_else(wrong)?,
            parameter_formats: formats(&mut f)?,
            values: counted(what, &mut f, |f| f.value().ok_or(wrong()))?,
            result_formats: formats(&mut f)?,
        }),
        b'D' => Command::Describe(f.object().ok_or_else(wrong)?, f.text().ok_or_else(wrong)?),
        b'E' => Command::Execute {
            portal: f.text().ok_or_else(wrong)?,
            // A negative limit is none, as servers of this protocol take it.
            row_limit: f
                .u32()
                .ok_or_else(wrong)
                .map(|n| if n as i32 > 0 { n } else { 0 })?,
        },
        b'C' => Command::Close(f.object().ok_or_else(wrong)?, f.text().ok_or_else(wrong)?),
        b'H' => Command::Flush,
        b'S' => Command::Sync,
        b'X' => return Ok(Command::Terminate),
        other => return Err(CommandError::UnknownMessage(other)),
    };
    if f.0.is_empty() {
        Ok(command)
    } else {
        Err(wrong())
    }
}

fn name_of(tag: u8) -> &'static str {
    match tag {
        b'Q' => "Query",
        b'P' => "Parse",
        b'B' => "Bind",
        b'D' => "Describe",
        b'E' => "Execute",
        b'C' => "Close",
        b'H' => "Flush",
        b'S' => "Sync",
        _ => "message",
    }
}

/// Appends what opens a connection.
pub fn put_startup(out: &mut Vec<u8>) {
    let body = b"user\0portal\0database\0crm\0\0";
    out.extend_from_slice(&(body.len() as u32 + 8).to_be_bytes());
    out.extend_from_slice(&(3u32 << 16).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends a CancelRequest, which opens a connection of its own.
pub fn put_cancel_request(out: &mut Vec<u8>, process: u32, secret: u32) {
    for word in [16, 80_877_102, process, secret] {
        out.extend_from_slice(&word.to_be_bytes());
    }
}

/// Appends a simple query.
pub fn put_query(out: &mut Vec<u8>, text: &[u8]) {
    put_message(out, b'Q', &[text, &[0]]);
}

/// Appends a Parse.
pub fn put_parse(out: &mut Vec<u8>, name: &str, text: &str, types: &[u32]) {
    let types: Vec<u8> = types.iter().flat_map(|t| t.to_be_bytes()).collect();
    let count = (types.len() as u16 / 4).to_be_bytes();
    put_message(
        out,
        b'P',
        &[name.as_bytes(), &[0], text.as_bytes(), &[0], &count, &types],
    );
}

/// Appends a Bind whose parameters have a format each, and whose results have one format for all.
pub fn put_bind<'a>(
    out: &mut Vec<u8>,
    portal: &str,
    statement: &str,
    values: impl ExactSizeIterator<Item = (Format, Option<&'a [u8]>)> + Clone,
    result: Format,
) {
    let begin = out.len();
    out.extend_from_slice(b"B\0\0\0\0");
    for name in [portal, statement] {
        out.extend_from_slice(name.as_bytes());
        out.push(0);
    }
    let count = (values.len() as u16).to_be_bytes();
    out.extend_from_slice(&count);
    for (format, _) in values.clone() {
        out.extend_from_slice(&format.code().to_be_bytes());
    }
    out.extend_from_slice(&count);
    for (_, value) in values {
        match value {
            Some(value) => {
                out.extend_from_slice(&(value.len() as u32).to_be_bytes());
                out.extend_from_slice(value);
            }
            None => out.extend_from_slice(&(-1i32).to_be_bytes()),
        }
    }
    out.extend_from_slice(&[1u16.to_be_bytes(), result.code().to_be_bytes()].concat());
    let len = (out.len() - begin - 1) as u32;
    out[begin + 1..begin + 5].copy_from_slice(&len.to_be_bytes());
}

/// Appends a Describe.
pub fn put_describe(out: &mut Vec<u8>, object: ObjectKind, name: &str) {
    put_message(out, b'D', &[&[letter(object)], name.as_bytes(), &[0]]);
}

/// Appends an Execute; `row_limit` 0: all.
pub fn put_execute(out: &mut Vec<u8>, portal: &str, row_limit: u32) {
    put_message(
        out,
        b'E',
        &[portal.as_bytes(), &[0], &row_limit.to_be_bytes()],
    );
}

/// Appends a Close.
pub fn put_close(out: &mut Vec<u8>, object: ObjectKind, name: &str) {
    put_message(out, b'C', &[&[letter(object)], name.as_bytes(), &[0]]);
}

/// Appends a Sync.
pub fn put_sync(out: &mut Vec<u8>) {
    put_message(out, b'S', &[]);
}

/// Appends a Flush.
pub fn put_flush(out: &mut Vec<u8>) {
    put_message(out, b'H', &[]);
}

/// Appends a Terminate.
pub fn put_terminate(out: &mut Vec<u8>) {
    put_message(out, b'X', &[]);
}

fn letter(object: ObjectKind) -> u8 {
    match object {
        ObjectKind::Statement => b'S',
        ObjectKind::Portal => b'P',
    }
}

#[cfg(test)]
mod tests;
