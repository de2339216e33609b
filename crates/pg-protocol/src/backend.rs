//! What a server writes.

use crate::{Format, put, text};

/// The bodies of a few parameters that a welcome tells.
const TOLD: [&[u8]; 3] = [
    b"server_version\x0015.0\0",
    b"client_encoding\0UTF8\0",
    b"standard_conforming_strings\0on\0",
];

/// Appends ReadyForQuery, outside a transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// Appends the whole welcome: no password, and the numbers that a CancelRequest must name (0: none will do).
pub fn put_welcome(out: &mut Vec<u8>, minor: u16, process: u32, secret: u32) {
    if minor > 0 {
        put(
            out,
            b'v',
            &[&(3u32 << 16).to_be_bytes(), &0u32.to_be_bytes()],
        );
    }
    put(out, b'R', &[&0u32.to_be_bytes()]);
    for parameter in TOLD {
        put(out, b'S', &[parameter]);
    }
    put(out, b'K', &[&process.to_be_bytes(), &secret.to_be_bytes()]);
    put_ready(out);
}

/// The two numbers of a BackendKeyData.
pub fn key_data(body: &[u8]) -> Option<(u32, u32)> {
    let (process, rest) = body.split_first_chunk::<4>()?;
    let secret: &[u8; 4] = rest.try_into().ok()?;
    Some((u32::from_be_bytes(*process), u32::from_be_bytes(*secret)))
}

/// Appends a ParameterStatus.
pub fn put_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
}

/// Appends an ErrorResponse; `detail` becomes the field D.
pub fn put_error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let mut body = Vec::with_capacity(64 + message.len());
    for (field, text) in [
        (b'S', severity),
        (b'V', severity),
        (b'C', code),
        (b'M', message),
    ]
    .into_iter()
    .chain(detail.map(|d| (b'D', d)))
    {
        body.push(field);
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    put(out, b'E', &[&body, &[0]]);
}

/// The value of a field of an ErrorResponse that is whole: fields of text and the zero that ends them.
pub fn error_field(body: &[u8], wanted: u8) -> Option<&str> {
    let (mut rest, mut found) = (body, None);
    while let Some((&field, after)) = rest.split_first().filter(|(f, _)| **f != 0) {
        let (value, next) = text(after)?;
        if field == wanted {
            found = Some(value);
        }
        rest = next;
    }
    found.filter(|_| rest == [0])
}

/// The code of an ErrorResponse that is whole.
pub fn error_code(body: &[u8]) -> Option<&str> {
    let is_code = |c: &&str| {
        c.len() == 5
            && c.bytes()
                .all(|b| b.is_ascii_digit() || b.is_ascii_uppercase())
    };
    error_field(body, b'C').filter(is_code)
}

/// One result column, as a RowDescription tells of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column<'a> {
    /// Its name.
    pub name: &'a str,
    /// Table and attribute, type, type's size and modifier, as told: 16 bytes that are passed on as they are.
    pub kind: [u8; 16],
    /// The format of its values.
    pub format: Format,
}

impl<'a> Column<'a> {
    /// A column of no table.
    pub fn new(name: &'a str, oid: u32, format: Format) -> Column<'a> {
        let mut kind = [0; 16];
        kind[6..10].copy_from_slice(&oid.to_be_bytes());
        let size: i16 = crate::oid::integer_len(oid).map_or(-1, |n| n as i16);
        kind[10..12].copy_from_slice(&size.to_be_bytes());
        kind[12..16].copy_from_slice(&(-1i32).to_be_bytes());
        Column { name, kind, format }
    }

    /// The number of its type.
    pub fn oid(&self) -> u32 {
        u32::from_be_bytes([self.kind[6], self.kind[7], self.kind[8], self.kind[9]])
    }
}

/// Reads a RowDescription of exactly one column; none for any other.
pub fn one_column(body: &[u8]) -> Option<Column<'_>> {
    let (name, rest) = text(body.strip_prefix(&[0, 1])?)?;
    let (kind, format) = rest.split_first_chunk::<16>()?;
    let format: &[u8; 2] = format.try_into().ok()?;
    Some(Column {
        name,
        kind: *kind,
        format: Format::of(u16::from_be_bytes(*format))?,
    })
}

/// Appends a RowDescription of one column.
pub fn put_column(out: &mut Vec<u8>, column: &Column) {
    let format = column.format.code().to_be_bytes();
    put(
        out,
        b'T',
        &[&[0, 1], column.name.as_bytes(), &[0], &column.kind, &format],
    );
}

/// Appends a ParameterDescription.
pub fn put_parameters(out: &mut Vec<u8>, types: &[u32]) {
    let bytes: Vec<u8> = types.iter().flat_map(|t| t.to_be_bytes()).collect();
    put(out, b't', &[&(types.len() as u16).to_be_bytes(), &bytes]);
}

/// Appends a DataRow of one column.
pub fn put_value(out: &mut Vec<u8>, value: &[u8]) {
    put(
        out,
        b'D',
        &[&[0, 1], &(value.len() as u32).to_be_bytes(), value],
    );
}

/// The value of a DataRow of exactly one column that is not null.
pub fn single_value(body: &[u8]) -> Option<&[u8]> {
    let (count, rest) = body.split_first_chunk::<2>()?;
    let (len, value) = rest.split_first_chunk::<4>()?;
    let fits = u16::from_be_bytes(*count) == 1 && u32::from_be_bytes(*len) as usize == value.len();
    fits.then_some(value)
}

/// Appends a CommandComplete.
pub fn put_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', &[tag.as_bytes(), &[0]]);
}

/// The text of a message that holds one text and nothing else.
pub fn only_text(body: &[u8]) -> Option<&str> {
    text(body)
        .filter(|(_, rest)| rest.is_empty())
        .map(|(t, _)| t)
}

#[cfg(test)]
mod tests;
