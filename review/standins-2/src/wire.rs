//! The PostgreSQL messages that the stand-ins read and write, and the annotations of a statement.

use std::io::{self, Read};

/// Appends a message with this tag and body.
pub fn put(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

/// Returns a simple query message.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', &[text.as_bytes(), b"\0"].concat());
    out
}

/// Returns the startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0portal\0database\0crm\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Appends a ParameterStatus.
pub fn put_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    put(
        out,
        b'S',
        &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat(),
    );
}

/// Appends an ErrorResponse with this SQLSTATE.
pub fn put_error(out: &mut Vec<u8>, code: &str, message: &str) {
    let fields = format!("SERROR\0VERROR\0C{code}\0M{message}\0\0");
    put(out, b'E', fields.as_bytes());
}

/// Appends the row of one binary value, and its completion.
pub fn put_row(out: &mut Vec<u8>, value: &[u8], is_write: bool) {
    let mut description = b"\0\x01data\0".to_vec();
    description.extend_from_slice(&[
        0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1,
    ]);
    put(out, b'T', &description);
    let mut row = b"\0\x01".to_vec();
    row.extend_from_slice(&(value.len() as u32).to_be_bytes());
    row.extend_from_slice(value);
    put(out, b'D', &row);
    put(
        out,
        b'C',
        if is_write {
            b"INSERT 0 1\0"
        } else {
            b"SELECT 1\0"
        },
    );
}

/// Appends a ReadyForQuery.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', b"I");
}

/// Reads one message: its tag and its body.
///
/// # Errors
/// Fails if the stream fails or ends.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((header[0], body))
}

/// Returns the field of an ErrorResponse with this type.
pub fn error_field(body: &[u8], field: u8) -> Option<String> {
    body.split(|byte| *byte == 0)
        .find(|part| part.first() == Some(&field))
        .map(|part| String::from_utf8_lossy(&part[1..]).into_owned())
}

/// Returns the value of an annotation in the trailing comment of a statement.
pub fn annotation(text: &str, name: &str) -> Option<String> {
    let comment = text.rsplit_once("/*")?.1.split_once("*/")?.0;
    comment
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}
