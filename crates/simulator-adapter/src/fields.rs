//! The fields of one line, separated by tabs and taken in order.

use crate::error::LineError;
use reelrill_routing::RequestId;
use std::str::{FromStr, Split};

/// Stands for a field that is not told.
const ABSENT: &str = "-";
/// Request ids are written with this many digits.
const ID_DIGITS: usize = 16;

/// One line's fields that have not been taken yet.
pub struct Fields<'a> {
    parts: Split<'a, char>,
}

impl<'a> Fields<'a> {
    /// The fields of a line without its end.
    pub fn new(line: &'a str) -> Fields<'a> {
        Fields {
            parts: line.split('\t'),
        }
    }

    /// The next field.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.parts.next().ok_or(LineError::Missing { field })
    }

    /// The next field; none: it is not told.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, LineError> {
        let text = self.text(field)?;
        Ok(Some(text).filter(|text| *text != ABSENT))
    }

    /// All fields that are left, as they stand.
    pub fn rest(&mut self, field: &'static str) -> Result<String, LineError> {
        let mut rest = self.text(field)?.to_owned();
        for part in self.parts.by_ref() {
            rest.push('\t');
            rest.push_str(part);
        }
        Ok(rest)
    }

    /// A number.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        parse(field, self.text(field)?)
    }

    /// A number; none: it is not told.
    pub fn optional_number<T: FromStr>(
        &mut self,
        field: &'static str,
    ) -> Result<Option<T>, LineError> {
        let text = self.optional_text(field)?;
        text.map(|text| parse(field, text)).transpose()
    }

    /// A request's id.
    pub fn request_id(&mut self, field: &'static str) -> Result<RequestId, LineError> {
        let text = self.text(field)?;
        let is_id = text.len() == ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u64::from_str_radix(text, 16).ok().filter(|_| is_id);
        id.ok_or_else(|| LineError::NotAnId {
            field,
            text: text.to_owned(),
        })
    }

    /// 1 or 0.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(LineError::NotAFlag {
                field,
                text: other.to_owned(),
            }),
        }
    }
}

fn parse<T: FromStr>(field: &'static str, text: &str) -> Result<T, LineError> {
    text.parse().map_err(|_| LineError::NotANumber {
        field,
        text: text.to_owned(),
    })
}

/// The error of a field that holds none of its words.
pub fn unknown_word<T>(field: &'static str, word: &str) -> Result<T, LineError> {
    Err(LineError::UnknownWord {
        field,
        word: word.to_owned(),
    })
}
