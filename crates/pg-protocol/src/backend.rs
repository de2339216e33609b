//! Messages that a server sends: appended by a server, parsed by a client.

use crate::{Format, put_message, split_cstring};

/// The bodies of the ParameterStatus messages at the start of a session.
const SESSION_PARAMETERS: [&[u8]; 3] = [
    b"server_version\x0015.0\0",
    b"client_encoding\0UTF8\0",
    b"standard_conforming_strings\0on\0",
];

/// Appends a ReadyForQuery with the status "idle, not in a transaction".
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put_message(out, b'Z', &[b"I"]);
}

/// Appends all messages that start a session: NegotiateProtocolVersion if the client requested a `minor` version above
/// 3.0, AuthenticationOk without a password, ParameterStatus messages, BackendKeyData and ReadyForQuery. `process` and
/// `secret` are the numbers that a CancelRequest must carry; 0 if the server accepts no CancelRequest.
pub fn put_session_start(out: &mut Vec<u8>, minor: u16, process: u32, secret: u32) {
    if minor > 0 {
        put_message(
            out,
            b'v',
            &[&(3u32 << 16).to_be_bytes(), &0u32.to_be_bytes()],
        );
    }
    put_message(out, b'R', &[&0u32.to_be_bytes()]);
    for parameter in SESSION_PARAMETERS {
        put_message(out, b'S', &[parameter]);
    }
    put_message(out, b'K', &[&process.to_be_bytes(), &secret.to_be_bytes()]);
    put_ready_for_query(out);
}

/// Appends a ParameterStatus with a value that the client has received at the start of the session, so it has no effect.
pub fn put_session_parameter(out: &mut Vec<u8>) {
    put_message(out, b'S', &[SESSION_PARAMETERS[0]]);
}

/// Parses a BackendKeyData: the process id and the secret key of the session.
pub fn parse_key_data(body: &[u8]) -> Option<(u32, u32)> {
    let (process, rest) = body.split_first_chunk::<4>()?;
    let secret: &[u8; 4] = rest.try_into().ok()?;
    Some((u32::from_be_bytes(*process), u32::from_be_bytes(*secret)))
}

/// Appends a ParameterStatus.
pub fn put_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put_message(out, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
}

/// Appends an ErrorResponse with the severity FATAL or ERROR; `detail` becomes the field D.
pub fn put_error_response(
    out: &mut Vec<u8>,
    is_fatal: bool,
    sqlstate: &str,
    message: &str,
    detail: Option<&str>,
) {
    let severity = if is_fatal { "FATAL" } else { "ERROR" };
    let mut body = Vec::with_capacity(64 + message.len());
    for (field, text) in [
        (b'S', severity),
        (b'V', severity),
        (b'C', sqlstate),
        (b'M', message),
    ]
    .into_iter()
    .chain(detail.map(|text| (b'D', text)))
    {
        body.push(field);
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    put_message(out, b'E', &[&body, &[0]]);
}

/// Returns the value of the field with the type byte `field_type`; `None` if it is missing or the ErrorResponse is
/// malformed.
pub fn error_field(body: &[u8], field_type: u8) -> Option<&str> {
    let (mut rest, mut found) = (body, None);
    while let Some((&field, after)) = rest.split_first().filter(|(field, _)| **field != 0) {
        let (value, next) = split_cstring(after)?;
        if field == field_type {
            found = Some(value);
        }
        rest = next;
    }
    found.filter(|_| rest == [0])
}

/// Returns the SQLSTATE code of an ErrorResponse; `None` if it is missing or the ErrorResponse is malformed.
pub fn error_sqlstate(body: &[u8]) -> Option<&str> {
    let is_code = |code: &&str| {
        code.len() == 5
            && code
                .bytes()
                .all(|byte| byte.is_ascii_digit() || byte.is_ascii_uppercase())
    };
    error_field(body, b'C').filter(is_code)
}

/// A result column as described by a RowDescription.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column<'a> {
    /// The column's name.
    pub name: &'a str,
    /// The object id of the table, the attribute number, and the type's object id, size and modifier, as on the wire.
    pub type_info: [u8; 16],
    /// The format of the column's values.
    pub format: Format,
}

impl<'a> Column<'a> {
    /// Creates a column that belongs to no table.
    pub fn new(name: &'a str, oid: u32, format: Format) -> Column<'a> {
        let mut type_info = [0; 16];
        type_info[6..10].copy_from_slice(&oid.to_be_bytes());
        let size: i16 = crate::oid::integer_width(oid).map_or(-1, |width| width as i16);
        type_info[10..12].copy_from_slice(&size.to_be_bytes());
        type_info[12..16].copy_from_slice(&(-1i32).to_be_bytes());
        Column {
            name,
            type_info,
            format,
        }
    }

    /// Returns the object id of the column's type.
    pub fn type_oid(&self) -> u32 {
        u32::from_be_bytes([
            self.type_info[6],
            self.type_info[7],
            self.type_info[8],
            self.type_info[9],
        ])
    }
}

/// Parses a RowDescription of exactly one column; returns `None` for any other body.
pub fn parse_single_column(body: &[u8]) -> Option<Column<'_>> {
    let (name, rest) = split_cstring(body.strip_prefix(&[0, 1])?)?;
    let (type_info, format) = rest.split_first_chunk::<16>()?;
    let format: &[u8; 2] = format.try_into().ok()?;
    Some(Column {
        name,
        type_info: *type_info,
        format: Format::from_code(u16::from_be_bytes(*format))?,
    })
}

/// Appends a RowDescription of one column.
pub fn put_row_description(out: &mut Vec<u8>, column: &Column) {
    let format = column.format.code().to_be_bytes();
    put_message(
        out,
        b'T',
        &[
            &[0, 1],
            column.name.as_bytes(),
            &[0],
            &column.type_info,
            &format,
        ],
    );
}

/// Appends a ParameterDescription.
pub fn put_parameter_description(out: &mut Vec<u8>, types: &[u32]) {
    let bytes: Vec<u8> = types.iter().flat_map(|oid| oid.to_be_bytes()).collect();
    put_message(out, b't', &[&(types.len() as u16).to_be_bytes(), &bytes]);
}

/// Appends a DataRow of one column.
pub fn put_data_row(out: &mut Vec<u8>, value: &[u8]) {
    put_message(
        out,
        b'D',
        &[&[0, 1], &(value.len() as u32).to_be_bytes(), value],
    );
}

/// Parses a DataRow of exactly one column that is not null; returns `None` for any other body.
pub fn parse_single_value(body: &[u8]) -> Option<&[u8]> {
    let (count, rest) = body.split_first_chunk::<2>()?;
    let (len, value) = rest.split_first_chunk::<4>()?;
    let is_valid =
        u16::from_be_bytes(*count) == 1 && u32::from_be_bytes(*len) as usize == value.len();
    is_valid.then_some(value)
}

/// Appends a CommandComplete.
pub fn put_command_complete(out: &mut Vec<u8>, tag: &str) {
    put_message(out, b'C', &[tag.as_bytes(), &[0]]);
}

/// Parses a body of exactly one zero-terminated string; returns `None` for any other body.
pub fn parse_single_string(body: &[u8]) -> Option<&str> {
    split_cstring(body)
        .filter(|(_, rest)| rest.is_empty())
        .map(|(text, _)| text)
}

#[cfg(test)]
mod tests;
