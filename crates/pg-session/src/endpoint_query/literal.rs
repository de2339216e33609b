//! Conversion of a bound statement to a simple query: its values become literals and annotations.
//!
//! Responsible for quoting. Owns the text only while it is built. Must never write a value that an endpoint could parse
//! differently, for example as the end of the literal or of the comment: such a value is rejected.

use super::value_format::{decode_text, put_hex};
use super::values::reserve_value_bytes;
use super::{BoundStatement, SimpleQuery};
use crate::SessionError;
use crate::limits::SharedBudgets;
use crate::statement::{self, Field};
use crate::template::RequestTemplate;
use reelrill_pg_protocol::{Format, oid};
use std::borrow::Cow;
use std::fmt::Write as _;

/// Bytes reserved for the values: those of a typical statement.
const TYPICAL_VALUES_BYTES: usize = 64;

/// Placeholder for the timeout, which each attempt replaces by its own, in milliseconds.
const TIMEOUT_PLACEHOLDER: char = '1';

impl BoundStatement {
    /// Converts the statement to a simple query.
    ///
    /// # Errors
    ///
    /// [`SessionError::UnsafeLiteral`] for a value that can't be written safely, [`SessionError::NullValue`] for a
    /// null, [`SessionError::InvalidValue`] for a malformed id or a statement that is not a request,
    /// [`SessionError::LimitExceeded`] if the limit on the bytes of values is reached.
    pub fn to_simple_query(&self, budgets: &SharedBudgets) -> Result<SimpleQuery, SessionError> {
        let Some(request) = self.request() else {
            return Err(SessionError::InvalidValue("statement"));
        };
        let mut out = String::with_capacity(request.text.len() + TYPICAL_VALUES_BYTES);
        let mut copied_until = 0;
        let mut timeout_digits = 0..0;
        for (range, field, index) in &request.parameter_references {
            out.push_str(&request.text[copied_until..range.start]);
            copied_until = range.end;
            let start = out.len();
            self.put_parameter(&mut out, request, *field, *index)?;
            if *field == Field::Timeout {
                timeout_digits = start..out.len();
            }
        }
        out.push_str(&request.text[copied_until..]);
        let text = out.into_bytes();
        let reservation = reserve_value_bytes(&budgets.value_bytes, text.len())?;
        Ok(SimpleQuery::from_values(text, timeout_digits, reservation))
    }

    /// Appends the value of the parameter at `index`, which is the value of `field`.
    fn put_parameter(
        &self,
        out: &mut String,
        request: &RequestTemplate,
        field: Field,
        index: usize,
    ) -> Result<(), SessionError> {
        match field {
            Field::Timeout => out.push(TIMEOUT_PLACEHOLDER),
            Field::Key | Field::Value => self.put_literal(out, request, field, index)?,
            Field::Id => {
                let id = self.id(request)?.unwrap_or(self.generated_id);
                let _ = write!(out, "{id:016x}");
            }
            _ => self.put_annotation(out, request, field, index)?,
        }
        Ok(())
    }

    /// Appends a quoted literal. Whether a backslash escapes the next character depends on the endpoint's settings, so
    /// the only one allowed is that of the prefix `\x` before the hexadecimal digits of bytes.
    fn put_literal(
        &self,
        out: &mut String,
        request: &RequestTemplate,
        field: Field,
        index: usize,
    ) -> Result<(), SessionError> {
        let value = self
            .value(index)
            .ok_or(SessionError::NullValue(field.name()))?;
        out.push('\'');
        if request.types[index] == oid::BYTEA && self.format(index) == Format::Binary {
            put_hex(out, value);
        } else {
            let text = std::str::from_utf8(value)
                .map_err(|_| SessionError::UnsafeLiteral(field.name()))?;
            let is_bytes =
                field == Field::Value && text.starts_with("\\x") && statement::is_valid_value(text);
            if text.contains('\0') || (text.contains('\\') && !is_bytes) {
                return Err(SessionError::UnsafeLiteral(field.name()));
            }
            out.push_str(&text.replace('\'', "''"));
        }
        out.push('\'');
        Ok(())
    }

    /// Appends the value of an annotation: nothing that could end the comment or add a pair to it. An annotation can't
    /// express a null, which becomes 0 where 0 has the same meaning.
    fn put_annotation(
        &self,
        out: &mut String,
        request: &RequestTemplate,
        field: Field,
        index: usize,
    ) -> Result<(), SessionError> {
        let text = match self.value(index) {
            Some(value) => decode_text(request.types[index], self.format(index), value),
            None if matches!(field, Field::LastWrite | Field::Retry) => Some(Cow::Borrowed("0")),
            None => None,
        };
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let text = text.filter(|text| !text.is_empty() && text.chars().all(is_plain));
        out.push_str(&text.ok_or(SessionError::UnsafeLiteral(field.name()))?);
        Ok(())
    }
}
