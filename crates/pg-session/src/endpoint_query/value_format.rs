//! Values in PostgreSQL's text and binary formats.
//!
//! Responsible for decoding parameters, encoding those that the router adds, and converting a result between formats.
//! Owns no state. Must never guess: the conversion of a value that can't be converted exactly returns `None`.

use reelrill_pg_protocol::{Format, oid};
use std::borrow::Cow;
use std::fmt::Write as _;

/// Decodes a parameter to text; returns `None` if it is not valid text, or not a boolean or an integer of its type.
pub(super) fn decode_text(type_oid: u32, format: Format, value: &[u8]) -> Option<Cow<'_, str>> {
    if format == Format::Text || oid::is_text(type_oid) {
        return std::str::from_utf8(value).ok().map(Cow::Borrowed);
    }
    let number = match (type_oid, value.len()) {
        (oid::BOOL, 1) => value[0].into(),
        (oid::INT2, 2) => i16::from_be_bytes(value.try_into().ok()?).into(),
        (oid::INT4, 4) => i32::from_be_bytes(value.try_into().ok()?).into(),
        (oid::INT8, 8) => i64::from_be_bytes(value.try_into().ok()?),
        _ => return None,
    };
    Some(Cow::Owned(number.to_string()))
}

/// Encodes a whole number in a parameter's type and format; a number out of range becomes the type's maximum.
pub(super) fn encode_number(type_oid: u32, format: Format, number: u64) -> Vec<u8> {
    match (type_oid, format) {
        (oid::INT2, Format::Binary) => i16::try_from(number)
            .unwrap_or(i16::MAX)
            .to_be_bytes()
            .into(),
        (oid::INT4, Format::Binary) => i32::try_from(number)
            .unwrap_or(i32::MAX)
            .to_be_bytes()
            .into(),
        (oid::INT8, Format::Binary) => i64::try_from(number)
            .unwrap_or(i64::MAX)
            .to_be_bytes()
            .into(),
        (oid::INT2, Format::Text) => number.min(i16::MAX as u64).to_string().into_bytes(),
        _ => number.to_string().into_bytes(),
    }
}

/// Encodes a request's id in a parameter's type and format; an integer has the same 64 bits.
pub(super) fn encode_id(type_oid: u32, format: Format, id: u64) -> Vec<u8> {
    match (type_oid, format) {
        (oid::INT8, Format::Binary) => id.to_be_bytes().into(),
        (oid::INT8, Format::Text) => (id as i64).to_string().into_bytes(),
        _ => format!("{id:016x}").into_bytes(),
    }
}

/// Appends bytes in the hex format of the type `bytea`.
pub(super) fn put_hex(out: &mut String, bytes: &[u8]) {
    out.push_str("\\x");
    for byte in bytes {
        let _ = write!(out, "{byte:02x}");
    }
}

/// Converts a value between formats; returns `None` if it can't be converted. `oid` is the object id of its type.
pub fn convert_format(value: &[u8], oid: u32, from: Format, to: Format) -> Option<Cow<'_, [u8]>> {
    if from == to || oid::is_text(oid) {
        return Some(Cow::Borrowed(value));
    }
    if oid != oid::BYTEA {
        return None;
    }
    if to == Format::Text {
        let mut text = String::with_capacity(2 + value.len() * 2);
        put_hex(&mut text, value);
        return Some(Cow::Owned(text.into_bytes()));
    }
    match value.strip_prefix(b"\\x") {
        Some(digits) => decode_hex(digits).map(Cow::Owned),
        None => decode_escape(value),
    }
}

/// Decodes pairs of hexadecimal digits.
fn decode_hex(digits: &[u8]) -> Option<Vec<u8>> {
    let (pairs, []) = digits.as_chunks::<2>() else {
        return None;
    };
    let digit = |d: u8| char::from(d).to_digit(16).map(|d| d as u8);
    pairs
        .iter()
        .map(|[high, low]| Some((digit(*high)? << 4) | digit(*low)?))
        .collect()
}

/// Decodes bytes in the escape format of the type `bytea`, in which only `\\` and `\ooo` are escapes.
fn decode_escape(value: &[u8]) -> Option<Cow<'_, [u8]>> {
    if !value.contains(&b'\\') {
        return Some(Cow::Borrowed(value));
    }
    let mut out = Vec::with_capacity(value.len());
    let mut rest = value;
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        out.push(match (byte, after) {
            (b'\\', [b'\\', more @ ..]) => {
                rest = more;
                b'\\'
            }
            (b'\\', [a @ b'0'..=b'3', b @ b'0'..=b'7', c @ b'0'..=b'7', more @ ..]) => {
                rest = more;
                ((a - b'0') << 6) | ((b - b'0') << 3) | (c - b'0')
            }
            (b'\\', _) => return None,
            (plain, _) => plain,
        });
    }
    Some(Cow::Owned(out))
}
