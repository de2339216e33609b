//! The form of a statement: one read, one write, and a comment that closes it and annotates the request. A word
//! may be a parameter (`$n`) where the statement is prepared.
//!
//! Responsible for the words of a statement and for the text forms of numbers, ids and values. Owns no state: a
//! form borrows from its text. Must never interpret what an annotation means.

mod parser;

use parser::Parser;
use std::ops::Range;
use std::str::FromStr;

/// The largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Why a text is no statement of ours.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum ParseError {
    /// Another statement.
    #[error("neither the read nor the write that is spoken here")]
    UnknownStatement,
    /// Nothing names the request.
    #[error("no comment at the end of the statement")]
    MissingComment,
    /// A word of the comment.
    #[error("{0}: missing or wrong")]
    InvalidField(&'static str),
    /// Words of the comment that are no pairs, or too many.
    #[error("a name without a value, or twice")]
    InvalidPair,
    /// The value of a write.
    #[error("a value that is no hexadecimal text, or too large")]
    InvalidValue,
}

/// A word of a statement: as it stands there, or the number of a parameter, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldValue<'a> {
    /// Between its quotes, where it has them.
    Text(&'a str),
    /// `$n`.
    Parameter(u16),
}

/// Where a word stands, as the words that can be parameters go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// The quoted key: names the session in classes that have sessions.
    Key,
    /// The value that a write writes.
    Value,
    /// `id`
    Id,
    /// `c`
    Class,
    /// `cluster`
    ReplicaSet,
    /// `d`
    Timeout,
    /// `k`
    IdempotencyKey,
    /// `after`
    LastWrite,
    /// `r`
    Retry,
    /// A name that the router passes on and does not read.
    Other,
}

impl Field {
    /// Its name in the comment, or its column.
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

/// A statement's words in the order in which they stand, and where each stands in its text (a literal with its
/// quotes).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedStatement<'a> {
    /// All words.
    pub fields: Vec<(Field, FieldValue<'a>, Range<usize>)>,
    /// It writes.
    pub is_write: bool,
    /// Where another pair could be added to the comment.
    pub comment_end: usize,
}

/// Digits and nothing else: the standard library's own reading also takes a sign.
pub fn parse_number<T: FromStr>(value: &str) -> Option<T> {
    value
        .bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| value.parse().ok())?
}

/// Whether this is a value as text: up to 64 KiB of it, or `\x` and whole bytes in hexadecimal digits.
pub fn is_valid_value(value: &str) -> bool {
    match value.strip_prefix("\\x") {
        Some(digits) => {
            let all_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
            digits.len() % 2 == 0 && digits.len() / 2 <= MAX_VALUE_BYTES && all_hex
        }
        None => value.len() <= MAX_VALUE_BYTES,
    }
}

/// The name of a request: 16 hexadecimal digits.
pub fn parse_request_id(value: &str) -> Option<u64> {
    let is_id = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    is_id.then(|| u64::from_str_radix(value, 16).ok())?
}

impl<'a> ParsedStatement<'a> {
    /// Parses a whole statement; `allows_parameters` says that words may be parameters.
    ///
    /// # Errors
    ///
    /// Why the text is no statement of this form.
    pub fn parse(
        statement: &'a str,
        allows_parameters: bool,
    ) -> Result<ParsedStatement<'a>, ParseError> {
        Parser::new(statement, allows_parameters).parse()
    }

    /// The word at a place, and where it stands.
    pub fn field(&self, wanted: Field) -> Option<(FieldValue<'a>, Range<usize>)> {
        self.fields
            .iter()
            .find(|(place, ..)| *place == wanted)
            .map(|(_, w, range)| (*w, range.clone()))
    }

    /// The word at a place, if it stands there as text.
    pub fn field_text(&self, wanted: Field) -> Option<&'a str> {
        match self.field(wanted) {
            Some((FieldValue::Text(text), _)) => Some(text),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
