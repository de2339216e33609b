//! A bound statement as a simple query: its values become literals and words of the comment.
//!
//! Responsible for quoting. Owns the text only while it is built. Must never write a value that an endpoint could
//! read in another way, as the end of the literal or of the comment: such a value is refused.

use super::value_format::{decode_word, put_hex};
use super::values::take_share;
use super::{Bound, Simple};
use crate::Wrong;
use crate::account::Accounts;
use crate::form::{self, Place};
use crate::template::Request;
use reelrill_pg_protocol::{Format, oid};
use std::borrow::Cow;
use std::fmt::Write as _;

/// Room for the values of a usual statement, in bytes.
const VALUES_BYTES: usize = 64;

/// Stands for the waiting time until an attempt writes its own, in milliseconds.
const WAIT_PLACEHOLDER: char = '1';

impl Bound {
    /// The same statement as a simple query.
    ///
    /// # Errors
    ///
    /// [`Wrong::Literal`] for a value that can't be written without doubt, [`Wrong::Null`] for a missing one,
    /// [`Wrong::Value`] for an id that can't be read or a statement that is no request, [`Wrong::Limit`] if the
    /// bound on values is reached.
    pub fn literally(&self, accounts: &Accounts) -> Result<Simple, Wrong> {
        let Some(request) = self.request() else {
            return Err(Wrong::Value("statement"));
        };
        let mut out = String::with_capacity(request.text.len() + VALUES_BYTES);
        let mut copied = 0;
        let mut wait_digits = 0..0;
        for (range, place, index) in &request.marks {
            out.push_str(&request.text[copied..range.start]);
            copied = range.end;
            let start = out.len();
            self.put_parameter(&mut out, request, *place, *index)?;
            if *place == Place::Wait {
                wait_digits = start..out.len();
            }
        }
        out.push_str(&request.text[copied..]);
        let text = out.into_bytes();
        let share = take_share(&accounts.values, text.len())?;
        Ok(Simple::from_values(text, wait_digits, share))
    }

    fn put_parameter(
        &self,
        out: &mut String,
        request: &Request,
        place: Place,
        index: usize,
    ) -> Result<(), Wrong> {
        match place {
            Place::Wait => out.push(WAIT_PLACEHOLDER),
            Place::Key | Place::Value => self.put_literal(out, request, place, index)?,
            Place::Id => {
                let id = self.id(request)?.unwrap_or(self.drawn);
                let _ = write!(out, "{id:016x}");
            }
            _ => self.put_word(out, request, place, index)?,
        }
        Ok(())
    }

    /// Appends a quoted literal. Whether a backslash escapes depends on an endpoint's settings, so there must be
    /// none but the one that begins the digits of bytes.
    fn put_literal(
        &self,
        out: &mut String,
        request: &Request,
        place: Place,
        index: usize,
    ) -> Result<(), Wrong> {
        let value = self.value(index).ok_or(Wrong::Null(place.name()))?;
        out.push('\'');
        if request.types[index] == oid::BYTEA && self.format(index) == Format::Binary {
            put_hex(out, value);
        } else {
            let text = std::str::from_utf8(value).map_err(|_| Wrong::Literal(place.name()))?;
            let is_bytes = place == Place::Value && text.starts_with("\\x") && form::is_value(text);
            if text.contains('\0') || (text.contains('\\') && !is_bytes) {
                return Err(Wrong::Literal(place.name()));
            }
            out.push_str(&text.replace('\'', "''"));
        }
        out.push('\'');
        Ok(())
    }

    /// Appends a word of the comment: nothing that could end the comment or add a pair to it. A comment can't say
    /// that a word is missing; where 0 means the same, a null becomes 0.
    fn put_word(
        &self,
        out: &mut String,
        request: &Request,
        place: Place,
        index: usize,
    ) -> Result<(), Wrong> {
        let word = match self.value(index) {
            Some(value) => decode_word(request.types[index], self.format(index), value),
            None if matches!(place, Place::After | Place::Retry) => Some(Cow::Borrowed("0")),
            None => None,
        };
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let word = word.filter(|word| !word.is_empty() && word.chars().all(is_plain));
        out.push_str(&word.ok_or(Wrong::Literal(place.name()))?);
        Ok(())
    }
}
