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
pub const LARGEST_VALUE: usize = 64 * 1024;
/// Why a text is no statement of ours.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum FormError {
    /// Another statement.
    #[error("neither the read nor the write that is spoken here")]
    Form,
    /// Nothing names the request.
    #[error("no comment at the end of the statement")]
    Missing,
    /// A word of the comment.
    #[error("{0}: missing or wrong")]
    Field(&'static str),
    /// Words of the comment that are no pairs, or too many.
    #[error("a name without a value, or twice")]
    Pair,
    /// The value of a write.
    #[error("a value that is no hexadecimal text, or too large")]
    Value,
}

/// A word of a statement: as it stands there, or the number of a parameter, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word<'a> {
    /// Between its quotes, where it has them.
    Text(&'a str),
    /// `$n`.
    Param(u16),
}

/// Where a word stands, as the words that can be parameters go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
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
    Wait,
    /// `k`
    Idempotency,
    /// `after`
    After,
    /// `r`
    Retry,
    /// A name that the router passes on and does not read.
    Other,
}

impl Place {
    /// Its name in the comment, or its column.
    pub fn name(self) -> &'static str {
        match self {
            Place::Key => "code",
            Place::Value => "data",
            Place::Id => "id",
            Place::Class => "c",
            Place::ReplicaSet => "cluster",
            Place::Wait => "d",
            Place::Idempotency => "k",
            Place::After => "after",
            Place::Retry => "r",
            Place::Other => "a name that is only passed on",
        }
    }

    fn of(name: &str) -> Place {
        match name {
            "id" => Place::Id,
            "c" => Place::Class,
            "cluster" => Place::ReplicaSet,
            "d" => Place::Wait,
            "k" => Place::Idempotency,
            "after" => Place::After,
            "r" => Place::Retry,
            _ => Place::Other,
        }
    }
}

/// A statement's words in the order in which they stand, and where each stands in its text (a literal with its
/// quotes).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Form<'a> {
    /// All words.
    pub words: Vec<(Place, Word<'a>, Range<usize>)>,
    /// It writes.
    pub is_write: bool,
    /// Where another pair could be added to the comment.
    pub comment_end: usize,
}

/// Digits and nothing else: the standard library's own reading also takes a sign.
pub fn number<T: FromStr>(value: &str) -> Option<T> {
    value
        .bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| value.parse().ok())?
}

/// Whether this is a value as text: up to 64 KiB of it, or `\x` and whole bytes in hexadecimal digits.
pub fn is_value(value: &str) -> bool {
    match value.strip_prefix("\\x") {
        Some(digits) => {
            let all_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
            digits.len() % 2 == 0 && digits.len() / 2 <= LARGEST_VALUE && all_hex
        }
        None => value.len() <= LARGEST_VALUE,
    }
}

/// The name of a request: 16 hexadecimal digits.
pub fn id(value: &str) -> Option<u64> {
    let is_id = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    is_id.then(|| u64::from_str_radix(value, 16).ok())?
}

impl<'a> Form<'a> {
    /// Parses a whole statement; `prepared` says that words may be parameters.
    ///
    /// # Errors
    ///
    /// Why the text is no statement of this form.
    pub fn read(statement: &'a str, prepared: bool) -> Result<Form<'a>, FormError> {
        Parser::new(statement, prepared).parse()
    }

    /// The word at a place, and where it stands.
    pub fn word(&self, wanted: Place) -> Option<(Word<'a>, Range<usize>)> {
        self.words
            .iter()
            .find(|(place, ..)| *place == wanted)
            .map(|(_, w, range)| (*w, range.clone()))
    }

    /// The word at a place, if it stands there as text.
    pub fn text(&self, wanted: Place) -> Option<&'a str> {
        match self.word(wanted) {
            Some((Word::Text(text), _)) => Some(text),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
