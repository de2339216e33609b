//! The parser of a statement and its comment.
//!
//! Responsible for accepting exactly the read and the write that endpoints take. Owns the words found so far.
//! Must never accept a text that an endpoint would reject or read in another way: it would cost the endpoint
//! work, and others their time.

use super::{Field, FieldValue, ParseError, ParsedStatement, is_valid_value};
use std::ops::Range;

/// The read, up to its key.
const READ: &str = "SELECT data FROM facts WHERE code = ";

/// The write: ahead of its key, between key and value, and behind its value.
const WRITE: [&str; 3] = [
    "INSERT INTO facts (code, data) VALUES (",
    ", ",
    ") RETURNING data",
];

/// The most names that a comment may hold.
const MAX_NAMES: usize = 32;

/// The words of a usual statement.
const USUAL_WORDS: usize = 10;

/// The names in the comment of a usual statement.
const USUAL_NAMES: usize = 8;

/// A statement that is being parsed.
pub(super) struct Parser<'a> {
    statement: &'a str,
    /// Whether words may be parameters.
    allows_parameters: bool,
    fields: Vec<(Field, FieldValue<'a>, Range<usize>)>,
}

impl<'a> Parser<'a> {
    pub(super) fn new(statement: &'a str, allows_parameters: bool) -> Parser<'a> {
        Parser {
            statement,
            allows_parameters,
            fields: Vec::with_capacity(USUAL_WORDS),
        }
    }

    /// Parses the whole statement.
    pub(super) fn parse(mut self) -> Result<ParsedStatement<'a>, ParseError> {
        let (is_write, rest) = match self.statement.strip_prefix(READ) {
            Some(rest) => (false, self.parse_word(Field::Key, rest)),
            None => (true, self.parse_write()),
        };
        let rest = rest.ok_or(ParseError::UnknownStatement)?;
        self.check_value()?;
        let comment = comment_inside(rest)?;
        self.parse_comment(comment)?;
        let comment_end = self.offset(comment) + comment.trim_end().len();
        Ok(ParsedStatement {
            fields: self.fields,
            is_write,
            comment_end,
        })
    }

    /// Parses a write, and returns what follows it.
    fn parse_write(&mut self) -> Option<&'a str> {
        let [before_key, before_value, end] = WRITE;
        let rest = self.statement.strip_prefix(before_key)?;
        let rest = self.parse_word(Field::Key, rest)?;
        let rest = rest.strip_prefix(before_value)?;
        let rest = self.parse_word(Field::Value, rest)?;
        rest.strip_prefix(end)
    }

    /// Parses a literal or a parameter, and returns what follows it.
    fn parse_word(&mut self, place: Field, text: &'a str) -> Option<&'a str> {
        let start = self.offset(text);
        if let Some((inside, rest)) = split_literal(text) {
            let range = start..self.offset(rest);
            self.fields.push((place, FieldValue::Text(inside), range));
            return Some(rest);
        }
        let digits = text.get(1..)?;
        let digits_len = digits
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(digits.len());
        let end = 1 + digits_len;
        let number = self.parameter(text.get(..end)?)?;
        self.fields
            .push((place, FieldValue::Parameter(number), start..start + end));
        text.get(end..)
    }

    /// Checks the value of a write if it stands in the text.
    fn check_value(&self) -> Result<(), ParseError> {
        let is_wrong = |place: &Field, word: &FieldValue| match word {
            FieldValue::Text(value) => *place == Field::Value && !is_valid_value(value),
            FieldValue::Parameter(_) => false,
        };
        if self
            .fields
            .iter()
            .any(|(place, word, _)| is_wrong(place, word))
        {
            return Err(ParseError::InvalidValue);
        }
        Ok(())
    }

    /// Parses the pairs of a comment, which commas separate.
    fn parse_comment(&mut self, comment: &'a str) -> Result<(), ParseError> {
        let mut names: Vec<&str> = Vec::with_capacity(USUAL_NAMES);
        for pair in comment.split(',') {
            let (name, value) = pair.trim().split_once('=').ok_or(ParseError::InvalidPair)?;
            if value.is_empty() || names.contains(&name) || names.len() >= MAX_NAMES {
                return Err(ParseError::InvalidPair);
            }
            names.push(name);
            let word = match self.parameter(value) {
                Some(number) => FieldValue::Parameter(number),
                None => FieldValue::Text(value),
            };
            let start = self.offset(value);
            let range = start..start + value.len();
            self.fields.push((Field::from_name(name), word, range));
        }
        Ok(())
    }

    /// The number of a parameter; `None` if the text is something else, or parameters are not allowed.
    fn parameter(&self, text: &str) -> Option<u16> {
        if !self.allows_parameters {
            return None;
        }
        let digits = text.strip_prefix('$')?;
        if digits.starts_with('0') || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        digits.parse().ok()
    }

    /// Where a part of the statement starts, in bytes.
    fn offset(&self, part: &str) -> usize {
        part.as_ptr() as usize - self.statement.as_ptr() as usize
    }
}

/// What stands inside the comment that ends a statement.
fn comment_inside(text: &str) -> Result<&str, ParseError> {
    let is_end = |c: char| c.is_ascii_whitespace() || c == ';';
    let inside = text
        .trim_start()
        .strip_prefix("/*")
        .and_then(|rest| rest.trim_end_matches(is_end).strip_suffix("*/"))
        .ok_or(ParseError::MissingComment)?;
    if inside.contains("*/") || inside.contains("/*") {
        return Err(ParseError::MissingComment);
    }
    Ok(inside)
}

/// Splits off a quoted literal; a quote inside it is doubled.
fn split_literal(text: &str) -> Option<(&str, &str)> {
    let inside = text.strip_prefix('\'')?;
    let mut from = 0;
    loop {
        let end = from + inside[from..].find('\'')?;
        let rest = &inside[end + 1..];
        if !rest.starts_with('\'') {
            return Some((&inside[..end], rest));
        }
        from = end + 2;
    }
}
