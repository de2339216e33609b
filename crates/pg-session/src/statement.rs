//! Parsing of the two supported statements, a read and a write, each with a trailing comment that annotates the
//! request. In a prepared statement, a value may be a parameter (`$n`).
//!
//! Responsible for the values in a statement and for the text formats of numbers, ids and column values. Owns no
//! state: a parsed statement borrows from its text. Must never interpret what an annotation means.

mod parser;

use parser::Parser;
use std::ops::Range;
use std::str::FromStr;

/// The maximum length of a column value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;

/// An error in a statement's text.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum ParseError {
    /// The text is neither the supported read nor the supported write.
    #[error("neither the read nor the write that is spoken here")]
    UnknownStatement,
    /// The statement doesn't end with exactly one comment.
    #[error("no comment at the end of the statement")]
    MissingComment,
    /// An annotation is missing or invalid; holds its name.
    #[error("{0}: missing or wrong")]
    InvalidField(&'static str),
    /// The comment holds something other than `name=value` pairs, a name twice, or too many names.
    #[error("a name without a value, or twice")]
    InvalidPair,
    /// The value of a write is malformed or longer than [`MAX_VALUE_BYTES`].
    #[error("a value that is no hexadecimal text, or too large")]
    InvalidValue,
}

/// The value of a field in a statement's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldValue<'a> {
    /// A value written in the text, without its quotes.
    Text(&'a str),
    /// The number of a parameter `$n`, from 1.
    Parameter(u16),
}

/// A part of a statement whose value can be a parameter: a column or an annotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// The key, column `code`; names the session in classes that have sessions.
    Key,
    /// The value that a write stores, column `data`.
    Value,
    /// Annotation `id`: the request's id.
    Id,
    /// Annotation `c`: the request's class.
    Class,
    /// Annotation `cluster`: the replica set.
    ReplicaSet,
    /// Annotation `d`: the client's timeout, in milliseconds.
    Timeout,
    /// Annotation `k`: the idempotency key.
    IdempotencyKey,
    /// Annotation `after`: when the session's last write was committed, a Unix time in milliseconds.
    LastWrite,
    /// Annotation `r`: whether the client retries a request.
    Retry,
    /// Any other annotation; the router passes it on unread.
    Other,
}

impl Field {
    /// Returns the name of the annotation or column.
    pub fn name(self) -> &'static str {
        match self {
            Field::Key => "code",
            Field::Value => "data",
            Field::Id => "id",
            Field::Class => "c",
            Field::ReplicaSet => "cluster",
            Field::Timeout => "d",
            Field::IdempotencyKey => "k",
            Field::LastWrite => "after",
            Field::Retry => "r",
            Field::Other => "a name that is only passed on",
        }
    }

    /// Returns the field of an annotation's name.
    fn from_name(name: &str) -> Field {
        match name {
            "id" => Field::Id,
            "c" => Field::Class,
            "cluster" => Field::ReplicaSet,
            "d" => Field::Timeout,
            "k" => Field::IdempotencyKey,
            "after" => Field::LastWrite,
            "r" => Field::Retry,
            _ => Field::Other,
        }
    }
}

/// A statement's fields and the byte ranges of their values in its text. The range of a literal includes its quotes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedStatement<'a> {
    /// All fields in text order, each with its value and the value's byte range.
    pub fields: Vec<(Field, FieldValue<'a>, Range<usize>)>,
    /// Whether the statement writes.
    pub is_write: bool,
    /// The byte offset in the text at which another pair can be appended to the comment.
    pub comment_end: usize,
}

/// Parses a number of digits only; the standard library's parser also accepts a sign.
pub fn parse_number<T: FromStr>(value: &str) -> Option<T> {
    value
        .bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| value.parse().ok())?
}

/// Returns whether a text is a valid column value: up to 64 KiB of text, or `\x` and whole bytes in hexadecimal digits.
pub fn is_valid_value(value: &str) -> bool {
    match value.strip_prefix("\\x") {
        Some(digits) => {
            let all_hex = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
            digits.len() % 2 == 0 && digits.len() / 2 <= MAX_VALUE_BYTES && all_hex
        }
        None => value.len() <= MAX_VALUE_BYTES,
    }
}

/// Parses a request's id: 16 hexadecimal digits.
pub fn parse_request_id(value: &str) -> Option<u64> {
    let is_id = value.len() == 16 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| u64::from_str_radix(value, 16).ok())?
}

impl<'a> ParsedStatement<'a> {
    /// Parses a whole statement. With `allows_parameters`, values may be parameters.
    ///
    /// # Errors
    ///
    /// Any [`ParseError`], if the text is not a supported statement.
    pub fn parse(
        statement: &'a str,
        allows_parameters: bool,
    ) -> Result<ParsedStatement<'a>, ParseError> {
        Parser::new(statement, allows_parameters).parse()
    }

    /// Returns a field's value and the value's byte range, if the statement has the field.
    pub fn field(&self, wanted: Field) -> Option<(FieldValue<'a>, Range<usize>)> {
        self.fields
            .iter()
            .find(|(field, ..)| *field == wanted)
            .map(|(_, value, range)| (*value, range.clone()))
    }

    /// Returns a field's value, if it is written in the text.
    pub fn field_text(&self, wanted: Field) -> Option<&'a str> {
        match self.field(wanted) {
            Some((FieldValue::Text(text), _)) => Some(text),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
