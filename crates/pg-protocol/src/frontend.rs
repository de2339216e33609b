//! Messages that a client sends: appended by a client, parsed by a server.

use crate::frame::{self, FrameError};
use crate::{Format, put_message, split_cstring, sqlstate};

/// The maximum number of parameters in a message: more than any supported statement has, far fewer than the count field
/// allows.
pub const MOST_PARAMETERS: usize = 64;

/// The request code of a CancelRequest, in place of the protocol version.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;

/// The request code of an SSLRequest, in place of the protocol version.
const SSL_REQUEST_CODE: u32 = 80_877_103;

/// The request code of a GSSENCRequest, in place of the protocol version.
const GSSENC_REQUEST_CODE: u32 = 80_877_104;

/// The first message of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Startup {
    /// The start of a session.
    Session {
        /// The requested minor version; 0 for protocol 3.0.
        minor: u16,
    },
    /// A request for SSL or GSSAPI encryption, to which the response is a single byte.
    EncryptionRequest,
    /// A request to cancel the query of another connection, identified by the numbers of its BackendKeyData.
    CancelRequest {
        /// The process id.
        process: u32,
        /// The secret key.
        secret: u32,
    },
    /// The start of a session with an unsupported protocol version.
    UnsupportedVersion,
}

/// Parses the first message of a connection, which has no type byte, and returns its length. Returns `None` if the
/// message is incomplete.
///
/// # Errors
///
/// [`FrameError`] if the length is out of range or doesn't fit the message.
pub fn parse_startup(bytes: &[u8]) -> Result<Option<(Startup, usize)>, FrameError> {
    let Some(len) = frame::parse_length(bytes, 8, frame::MAX_STARTUP_LENGTH)? else {
        return Ok(None);
    };
    let Some(body) = bytes.get(4..len) else {
        return Ok(None);
    };
    let field = |offset: usize| {
        body.get(offset..offset + 4)?
            .first_chunk::<4>()
            .map(|bytes| u32::from_be_bytes(*bytes))
    };
    let kind = match field(0).ok_or(FrameError::Malformed)? {
        CANCEL_REQUEST_CODE => match (field(4), field(8)) {
            (Some(process), Some(secret)) if body.len() == 12 => {
                Startup::CancelRequest { process, secret }
            }
            _ => return Err(FrameError::Malformed),
        },
        SSL_REQUEST_CODE | GSSENC_REQUEST_CODE => Startup::EncryptionRequest,
        code if code >> 16 == 3 => Startup::Session { minor: code as u16 },
        _ => Startup::UnsupportedVersion,
    };
    Ok(Some((kind, len)))
}

/// The kind of object that a Describe or a Close names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// A message from a client after the start of the session, borrowed from its bytes.
#[derive(Debug, Clone, PartialEq)]
pub enum Command<'a> {
    /// Query: a simple query.
    Query(&'a str),
    /// Parse: prepares a statement.
    Parse {
        /// The statement's name; empty for the unnamed statement.
        name: &'a str,
        /// The statement's text.
        text: &'a str,
        /// The object ids of the types of the first parameters; 0 if unspecified.
        types: Vec<u32>,
    },
    /// Bind: creates a portal from a statement and its values.
    Bind(Bind<'a>),
    /// Describe: requests the description of a statement's parameters and rows, or of a portal's rows.
    Describe(ObjectKind, &'a str),
    /// Execute: runs a portal.
    Execute {
        /// The portal's name; empty for the unnamed portal.
        portal: &'a str,
        /// The maximum number of rows to return; 0 for all.
        row_limit: u32,
    },
    /// Close: removes a statement or a portal.
    Close(ObjectKind, &'a str),
    /// Flush: requests that the responses so far are sent.
    Flush,
    /// Sync: ends a segment.
    Sync,
    /// Terminate: ends the session.
    Terminate,
}

/// The fields of a Bind.
#[derive(Debug, Clone, PartialEq)]
pub struct Bind<'a> {
    /// The name of the portal to create; empty for the unnamed portal.
    pub portal: &'a str,
    /// The name of the statement; empty for the unnamed statement.
    pub statement: &'a str,
    /// The formats of the parameters: none if all are text, one if all have the same, or one for each parameter.
    pub parameter_formats: Vec<Format>,
    /// The values of the parameters; `None` is a null.
    pub values: Vec<Option<&'a [u8]>>,
    /// The formats of the result columns: none if all are text, one if all have the same, or one for each column.
    pub result_formats: Vec<Format>,
}

impl Bind<'_> {
    /// Returns the format of the parameter at `index`, from 0.
    pub fn parameter_format(&self, index: usize) -> Format {
        format_at(&self.parameter_formats, index)
    }

    /// Returns the format of the result column at `index`, from 0.
    pub fn result_format(&self, index: usize) -> Format {
        format_at(&self.result_formats, index)
    }
}

/// Returns the format at `index` of a list as in [`Bind::parameter_formats`].
fn format_at(formats: &[Format], index: usize) -> Format {
    match formats {
        [single] => *single,
        all => all.get(index).copied().unwrap_or_default(),
    }
}

/// An error in a client's message, after which the connection can't continue.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum CommandError {
    /// The type byte is unknown; holds the type byte.
    #[error("an unknown message")]
    UnknownMessage(u8),
    /// The fields don't fit the message's length; holds the message's name.
    #[error("a {0} whose fields do not fit its length")]
    MalformedFields(&'static str),
    /// A count exceeds [`MOST_PARAMETERS`]; holds the message's name and the count.
    #[error("a {0} with {1} parameters, of {MOST_PARAMETERS} at most")]
    TooManyParameters(&'static str, usize),
    /// A format code is not defined by the protocol; holds the message's name.
    #[error("a {0} with an unknown format code")]
    UnknownFormat(&'static str),
}

impl CommandError {
    /// Returns the SQLSTATE code of the error.
    pub fn sqlstate(&self) -> &'static str {
        sqlstate::PROTOCOL_VIOLATION
    }
}

/// The fields of a message that have not been parsed yet.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn text(&mut self) -> Option<&'a str> {
        let (text, rest) = split_cstring(self.0)?;
        self.0 = rest;
        Some(text)
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

/// Parses a count and as many fields. The count is checked before memory is allocated for the fields.
fn parse_list<'a, T>(
    message: &'static str,
    fields: &mut Fields<'a>,
    mut parse_one: impl FnMut(&mut Fields<'a>) -> Result<T, CommandError>,
) -> Result<Vec<T>, CommandError> {
    let count = fields.u16().ok_or(CommandError::MalformedFields(message))? as usize;
    if count > MOST_PARAMETERS {
        return Err(CommandError::TooManyParameters(message, count));
    }
    (0..count).map(|_| parse_one(fields)).collect()
}

/// Parses a client's message from its type byte and body.
///
/// # Errors
///
/// [`CommandError`] if the message is unknown or malformed.
pub fn parse_command(tag: u8, body: &[u8]) -> Result<Command<'_>, CommandError> {
    let (message, mut fields) = (message_name(tag), Fields(body));
    let malformed = || CommandError::MalformedFields(message);
    let formats = |fields: &mut Fields| {
        parse_list(message, fields, |fields| {
            fields
                .u16()
                .ok_or(malformed())
                .map(Format::from_code)?
                .ok_or(CommandError::UnknownFormat(message))
        })
    };
    let command = match tag {
        b'Q' => Command::Query(fields.text().ok_or_else(malformed)?),
        b'P' => Command::Parse {
            name: fields.text().ok_or_else(malformed)?,
            text: fields.text().ok_or_else(malformed)?,
            types: parse_list(message, &mut fields, |fields| {
                fields.u32().ok_or(malformed())
            })?,
        },
        b'B' => Command::Bind(Bind {
            portal: fields.text().ok_or_else(malformed)?,
            statement: fields.text().ok_or_else(malformed)?,
            parameter_formats: formats(&mut fields)?,
            values: parse_list(message, &mut fields, |fields| {
                fields.value().ok_or(malformed())
            })?,
            result_formats: formats(&mut fields)?,
        }),
        b'D' => Command::Describe(
            fields.object().ok_or_else(malformed)?,
            fields.text().ok_or_else(malformed)?,
        ),
        b'E' => Command::Execute {
            portal: fields.text().ok_or_else(malformed)?,
            // A negative limit means no limit, as in PostgreSQL's server.
            row_limit: fields
                .u32()
                .ok_or_else(malformed)
                .map(|limit| if limit as i32 > 0 { limit } else { 0 })?,
        },
        b'C' => Command::Close(
            fields.object().ok_or_else(malformed)?,
            fields.text().ok_or_else(malformed)?,
        ),
        b'H' => Command::Flush,
        b'S' => Command::Sync,
        b'X' => return Ok(Command::Terminate),
        other => return Err(CommandError::UnknownMessage(other)),
    };
    if fields.0.is_empty() {
        Ok(command)
    } else {
        Err(malformed())
    }
}

/// Returns the name of the message with a type byte.
fn message_name(tag: u8) -> &'static str {
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

/// Appends a startup message of protocol 3.0.
pub fn put_startup(out: &mut Vec<u8>) {
    let body = b"user\0portal\0database\0crm\0\0";
    out.extend_from_slice(&(body.len() as u32 + 8).to_be_bytes());
    out.extend_from_slice(&(3u32 << 16).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends a CancelRequest, which is sent on a separate connection.
pub fn put_cancel_request(out: &mut Vec<u8>, process: u32, secret: u32) {
    for field in [16, CANCEL_REQUEST_CODE, process, secret] {
        out.extend_from_slice(&field.to_be_bytes());
    }
}

/// Appends a simple query.
pub fn put_query(out: &mut Vec<u8>, text: &[u8]) {
    put_message(out, b'Q', &[text, &[0]]);
}

/// Appends a Parse.
pub fn put_parse(out: &mut Vec<u8>, name: &str, text: &str, types: &[u32]) {
    let types: Vec<u8> = types.iter().flat_map(|oid| oid.to_be_bytes()).collect();
    let count = (types.len() as u16 / 4).to_be_bytes();
    put_message(
        out,
        b'P',
        &[name.as_bytes(), &[0], text.as_bytes(), &[0], &count, &types],
    );
}

/// Appends a Bind with a format for each parameter and one format for all result columns.
pub fn put_bind<'a>(
    out: &mut Vec<u8>,
    portal: &str,
    statement: &str,
    values: impl ExactSizeIterator<Item = (Format, Option<&'a [u8]>)> + Clone,
    result_format: Format,
) {
    let start = out.len();
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
    out.extend_from_slice(&[1u16.to_be_bytes(), result_format.code().to_be_bytes()].concat());
    let len = (out.len() - start - 1) as u32;
    out[start + 1..start + 5].copy_from_slice(&len.to_be_bytes());
}

/// Appends a Describe.
pub fn put_describe(out: &mut Vec<u8>, object: ObjectKind, name: &str) {
    put_message(out, b'D', &[&[object_byte(object)], name.as_bytes(), &[0]]);
}

/// Appends an Execute; a `row_limit` of 0 returns all rows.
pub fn put_execute(out: &mut Vec<u8>, portal: &str, row_limit: u32) {
    put_message(
        out,
        b'E',
        &[portal.as_bytes(), &[0], &row_limit.to_be_bytes()],
    );
}

/// Appends a Close.
pub fn put_close(out: &mut Vec<u8>, object: ObjectKind, name: &str) {
    put_message(out, b'C', &[&[object_byte(object)], name.as_bytes(), &[0]]);
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

/// Returns the byte of an object's kind on the wire.
fn object_byte(object: ObjectKind) -> u8 {
    match object {
        ObjectKind::Statement => b'S',
        ObjectKind::Portal => b'P',
    }
}

#[cfg(test)]
mod tests;
