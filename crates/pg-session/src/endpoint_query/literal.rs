//! A bound statement as a simple query: its values become literals and words of the comment.
//!
//! Responsible for quoting. Owns the text only while it is built. Must never write a value that an endpoint could
//! read in another way, as the end of the literal or of the comment: such a value is refused.

use super::value_format::{decode_word, put_hex};
use super::values::reserve_value_bytes;
use super::{BoundStatement, SimpleQuery};
use crate::SessionError;
use crate::limits::SharedBudgets;
use crate::statement::{self, Field};
use crate::template::RequestTemplate;
use reelrill_pg_protocol::{Format, oid};
use std::borrow::Cow;
use std::fmt::Write as _;

/// Room for the values of a usual statement, in bytes.
const VALUES_BYTES: usize = 64;

/// Stands for the waiting time until an attempt writes its own, in milliseconds.
const WAIT_PLACEHOLDER: char = '1';

impl BoundStatement {
    /// The same statement as a simple query.
    ///
    /// # Errors
    ///
    /// [`SessionError::UnsafeLiteral`] for a value that can't be written without doubt, [`SessionError::NullValue`] for a missing one,
    /// [`SessionError::InvalidValue`] for an id that can't be read or a statement that is no request, [`SessionError::LimitExceeded`] if the
    /// bound on values is reached.
    pub fn to_simple_query(&self, budgets: &SharedBudgets) -> Result<SimpleQuery, SessionError> {
        let Some(request) = self.request() else {
            return Err(SessionError::InvalidValue("statement"));
        };
        let mut out = String::with_capacity(request.text.len() + VALUES_BYTES);
        let mut copied = 0;
        let mut timeout_digits = 0..0;
        for (range, place, index) in &request.parameter_references {
            out.push_str(&request.text[copied..range.start]);
            copied = range.end;
            let start = out.len();
            self.put_parameter(&mut out, request, *place, *index)?;
            if *place == Field::Timeout {
                timeout_digits = start..out.len();
            }
        }
        out.push_str(&request.text[copied..]);
        let text = out.into_bytes();
        let share = reserve_value_bytes(&budgets.value_bytes, text.len())?;
        Ok(SimpleQuery::from_values(text, timeout_digits, share))
    }

    fn put_parameter(
        &self,
        out: &mut String,
        request: &RequestTemplate,
        place: Field,
        index: usize,
    ) -> Result<(), SessionError> {
        match place {
            Field::Timeout => out.push(WAIT_PLACEHOLDER),
            Field::Key | Field::Value => self.put_literal(out, request, place, index)?,
            Field::Id => {
                let id = self.id(request)?.unwrap_or(self.generated_id);
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
        request: &RequestTemplate,
        place: Field,
        index: usize,
    ) -> Result<(), SessionError> {
        let value = self
            .value(index)
            .ok_or(SessionError::NullValue(place.name()))?;
        out.push('\'');
        if request.types[index] == oid::BYTEA && self.format(index) == Format::Binary {
            put_hex(out, value);
        } else {
            let text = std::str::from_utf8(value)
                .map_err(|_| SessionError::UnsafeLiteral(place.name()))?;
            let is_bytes =
                place == Field::Value && text.starts_with("\\x") && statement::is_valid_value(text);
            if text.contains('\0') || (text.contains('\\') && !is_bytes) {
                return Err(SessionError::UnsafeLiteral(place.name()));
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
        request: &RequestTemplate,
        place: Field,
        index: usize,
    ) -> Result<(), SessionError> {
        let word = match self.value(index) {
            Some(value) => decode_word(request.types[index], self.format(index), value),
            None if matches!(place, Field::LastWrite | Field::Retry) => Some(Cow::Borrowed("0")),
            None => None,
        };
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let word = word.filter(|word| !word.is_empty() && word.chars().all(is_plain));
        out.push_str(&word.ok_or(SessionError::UnsafeLiteral(place.name()))?);
        Ok(())
    }
}
