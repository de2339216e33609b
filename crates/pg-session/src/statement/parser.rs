//! The parser of a statement and its comment.
//!
//! Responsible for accepting exactly the read and the write that endpoints support. Owns the fields found so far.
//! Must never accept a text that an endpoint would reject or parse differently: such a text would use endpoint
//! capacity and delay other requests.

use super::{Field, FieldValue, ParseError, ParsedStatement, is_valid_value};
use std::ops::Range;

/// The read, up to its key.
const READ: &str = "SELECT data FROM facts WHERE code = ";

/// The write: before its key, between key and value, and after its value.
const WRITE: [&str; 3] = [
    "INSERT INTO facts (code, data) VALUES (",
    ", ",
    ") RETURNING data",
];

/// The maximum number of names in a comment.
const MAX_NAMES: usize = 32;

/// Number of fields for which space is reserved: those of a typical statement.
const TYPICAL_FIELDS: usize = 10;

/// Number of names for which space is reserved: those in a typical comment.
const TYPICAL_NAMES: usize = 8;

/// The state of parsing one statement.
pub(super) struct Parser<'a> {
    statement: &'a str,
    /// Whether values may be parameters.
    allows_parameters: bool,
    fields: Vec<(Field, FieldValue<'a>, Range<usize>)>,
}

impl<'a> Parser<'a> {
    pub(super) fn new(statement: &'a str, allows_parameters: bool) -> Parser<'a> {
        Parser {
            statement,
            allows_parameters,
            fields: Vec::with_capacity(TYPICAL_FIELDS),
        }
    }

    /// Parses the whole statement.
    pub(super) fn parse(mut self) -> Result<ParsedStatement<'a>, ParseError> {
        let (is_write, rest) = match self.statement.strip_prefix(READ) {
            Some(rest) => (false, self.parse_value(Field::Key, rest)),
            None => (true, self.parse_write()),
        };
        let rest = rest.ok_or(ParseError::UnknownStatement)?;
        self.check_value()?;
        let comment = comment_text(rest)?;
        self.parse_comment(comment)?;
        let comment_end = self.offset(comment) + comment.trim_end().len();
        Ok(ParsedStatement {
            fields: self.fields,
            is_write,
            comment_end,
        })
    }

    /// Parses a write and returns the text after it.
    fn parse_write(&mut self) -> Option<&'a str> {
        let [before_key, before_value, end] = WRITE;
        let rest = self.statement.strip_prefix(before_key)?;
        let rest = self.parse_value(Field::Key, rest)?;
        let rest = rest.strip_prefix(before_value)?;
        let rest = self.parse_value(Field::Value, rest)?;
        rest.strip_prefix(end)
    }

    /// Parses a literal or a parameter and returns the text after it.
    fn parse_value(&mut self, field: Field, text: &'a str) -> Option<&'a str> {
        let start = self.offset(text);
        if let Some((inside, rest)) = split_literal(text) {
            let range = start..self.offset(rest);
            self.fields.push((field, FieldValue::Text(inside), range));
            return Some(rest);
        }
        let digits = text.get(1..)?;
        let digits_len = digits
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(digits.len());
        let end = 1 + digits_len;
        let number = self.parse_parameter(text.get(..end)?)?;
        self.fields
            .push((field, FieldValue::Parameter(number), start..start + end));
        text.get(end..)
    }

    /// Checks the value of a write if it is a literal.
    fn check_value(&self) -> Result<(), ParseError> {
        let is_invalid = |field: &Field, value: &FieldValue| match value {
            FieldValue::Text(value) => *field == Field::Value && !is_valid_value(value),
            FieldValue::Parameter(_) => false,
        };
        if self
            .fields
            .iter()
            .any(|(field, value, _)| is_invalid(field, value))
        {
            return Err(ParseError::InvalidValue);
        }
        Ok(())
    }

    /// Parses the comma-separated pairs of a comment.
    fn parse_comment(&mut self, comment: &'a str) -> Result<(), ParseError> {
        let mut names: Vec<&str> = Vec::with_capacity(TYPICAL_NAMES);
        for pair in comment.split(',') {
            let (name, value) = pair.trim().split_once('=').ok_or(ParseError::InvalidPair)?;
            if value.is_empty() || names.contains(&name) || names.len() >= MAX_NAMES {
                return Err(ParseError::InvalidPair);
            }
            names.push(name);
            let field_value = match self.parse_parameter(value) {
                Some(number) => FieldValue::Parameter(number),
                None => FieldValue::Text(value),
            };
            let start = self.offset(value);
            let range = start..start + value.len();
            self.fields
                .push((Field::from_name(name), field_value, range));
        }
        Ok(())
    }

    /// Parses a parameter's number; returns `None` if the text is not a parameter or parameters are not allowed.
    fn parse_parameter(&self, text: &str) -> Option<u16> {
        if !self.allows_parameters {
            return None;
        }
        let digits = text.strip_prefix('$')?;
        if digits.starts_with('0') || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        digits.parse().ok()
    }

    /// Returns the byte offset of a part of the statement.
    fn offset(&self, part: &str) -> usize {
        part.as_ptr() as usize - self.statement.as_ptr() as usize
    }
}

/// Returns the text inside the comment that ends a statement.
fn comment_text(text: &str) -> Result<&str, ParseError> {
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

/// Splits off a quoted literal, in which a quote is written twice. Returns the text inside and the text after it.
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
