//! Reads the tab-separated fields of one line in order.

use crate::error::LineError;
use reelrill_routing::RequestId;
use std::str::{FromStr, Split};

/// The text of a field without a value.
const ABSENT: &str = "-";
/// The number of hexadecimal digits of a request id.
const REQUEST_ID_DIGITS: usize = 16;

/// Holds the fields of one line that have not been read yet. Each method names the field that it reads, for its errors.
pub struct Fields<'a> {
    parts: Split<'a, char>,
}

impl<'a> Fields<'a> {
    /// Splits a line, given without its line end, into fields.
    pub fn new(line: &'a str) -> Fields<'a> {
        Fields {
            parts: line.split('\t'),
        }
    }

    /// Reads the next field as text.
    ///
    /// # Errors
    /// Fails if the line has no more fields.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.parts.next().ok_or(LineError::Missing { field })
    }

    /// Reads the next field as text; `None` if it is `-`.
    ///
    /// # Errors
    /// Fails if the line has no more fields.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, LineError> {
        let text = self.text(field)?;
        Ok(Some(text).filter(|text| *text != ABSENT))
    }

    /// Reads all remaining fields as one text, including the tabs between them.
    ///
    /// # Errors
    /// Fails if the line has no more fields.
    pub fn rest(&mut self, field: &'static str) -> Result<String, LineError> {
        let mut rest = self.text(field)?.to_owned();
        for part in self.parts.by_ref() {
            rest.push('\t');
            rest.push_str(part);
        }
        Ok(rest)
    }

    /// Reads the next field as a number.
    ///
    /// # Errors
    /// Fails if the line has no more fields, or the next one is not a number of type `T`.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        parse_number(field, self.text(field)?)
    }

    /// Reads the next field as a number; `None` if it is `-`.
    ///
    /// # Errors
    /// Fails if the line has no more fields, or the next one is neither `-` nor a number of type `T`.
    pub fn optional_number<T: FromStr>(
        &mut self,
        field: &'static str,
    ) -> Result<Option<T>, LineError> {
        let text = self.optional_text(field)?;
        text.map(|text| parse_number(field, text)).transpose()
    }

    /// Reads the next field as a request id of 16 hexadecimal digits.
    ///
    /// # Errors
    /// Fails if the line has no more fields, or the next one is not a request id.
    pub fn request_id(&mut self, field: &'static str) -> Result<RequestId, LineError> {
        let text = self.text(field)?;
        let is_id = text.len() == REQUEST_ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u64::from_str_radix(text, 16).ok().filter(|_| is_id);
        id.ok_or_else(|| LineError::InvalidRequestId {
            field,
            text: text.to_owned(),
        })
    }

    /// Reads the next field as a boolean, 1 or 0.
    ///
    /// # Errors
    /// Fails if the line has no more fields, or the next one is neither 1 nor 0.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(LineError::InvalidFlag {
                field,
                text: other.to_owned(),
            }),
        }
    }
}

fn parse_number<T: FromStr>(field: &'static str, text: &str) -> Result<T, LineError> {
    text.parse().map_err(|_| LineError::InvalidNumber {
        field,
        text: text.to_owned(),
    })
}

/// Returns the error of a field that takes one of several texts and holds another one.
pub fn unknown_value<T>(field: &'static str, value: &str) -> Result<T, LineError> {
    Err(LineError::UnknownValue {
        field,
        value: value.to_owned(),
    })
}
