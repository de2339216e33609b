//! The fields of a bound request: its key, its value and the annotations in its comment.
//!
//! Responsible for reading them from the text or from the values. Owns no state. Must never decide whether the request
//! is valid: the module `request` does.

use super::BoundStatement;
use super::value_format::decode_text;
use crate::SessionError;
use crate::request::RequestFields;
use crate::statement::{self, Field};
use crate::template::{RequestTemplate, TemplateValue};
use reelrill_pg_protocol::{Format, oid};
use std::borrow::Cow;
use std::str::FromStr;

/// The values of the annotation `r` that mark a retry.
const TRUE_VALUES: [&str; 3] = ["1", "t", "true"];

impl BoundStatement {
    /// Reads the request's fields and passes them to `use_fields`.
    ///
    /// # Errors
    ///
    /// [`SessionError::NullValue`] or [`SessionError::InvalidValue`] with the name of the annotation or column, or the
    /// error of `use_fields`.
    pub fn with_fields<T>(
        &self,
        use_fields: impl FnOnce(&RequestFields) -> Result<T, SessionError>,
    ) -> Result<T, SessionError> {
        let Some(request) = self.request() else {
            return Err(SessionError::InvalidValue("statement"));
        };
        let class = self.required_text(request, Field::Class)?;
        let key = self.required_text(request, Field::Key)?;
        if request.is_write {
            self.check_written_value(request)?;
        }
        let retry = self.field_text(request, Field::Retry)?;
        let id = self.id(request)?.unwrap_or(self.generated_id);
        let replica_set = self.number(request, Field::ReplicaSet)?;
        let replica_set = replica_set.ok_or(SessionError::NullValue(Field::ReplicaSet.name()))?;
        let timeout_ms = self.number(request, Field::Timeout)?;
        let last_write_ms = self.number(request, Field::LastWrite)?;
        let idempotency_key = self.field_text(request, Field::IdempotencyKey)?;
        use_fields(&RequestFields {
            id: Some(id),
            class: &class,
            replica_set,
            timeout_ms,
            last_write_ms,
            is_retry: retry.is_some_and(|text| TRUE_VALUES.contains(&&*text)),
            has_key: idempotency_key.is_some_and(|key| !key.is_empty()),
            is_write: request.is_write,
            key: &key,
        })
    }

    /// Returns the client's id of the request; `None` if the client sent none.
    pub(super) fn id(&self, request: &RequestTemplate) -> Result<Option<u64>, SessionError> {
        let Some(text) = self.field_text(request, Field::Id)? else {
            return Ok(None);
        };
        let is_integer = match find_field(request, Field::Id) {
            Some(TemplateValue::Parameter(index)) => request.types[*index] == oid::INT8,
            Some(TemplateValue::Text(_)) | None => false,
        };
        let id = if is_integer {
            text.parse::<i64>().ok().map(|id| id as u64)
        } else {
            statement::parse_request_id(&text)
        };
        id.map(Some)
            .ok_or(SessionError::InvalidValue(Field::Id.name()))
    }

    /// Returns a field as text; `None` if it is missing or null.
    fn field_text<'a>(
        &'a self,
        request: &'a RequestTemplate,
        field: Field,
    ) -> Result<Option<Cow<'a, str>>, SessionError> {
        let index = match find_field(request, field) {
            None => return Ok(None),
            Some(TemplateValue::Text(text)) => return Ok(Some(Cow::Borrowed(text))),
            Some(TemplateValue::Parameter(index)) => *index,
        };
        let Some(value) = self.value(index) else {
            return Ok(None);
        };
        decode_text(request.types[index], self.format(index), value)
            .map(Some)
            .ok_or(SessionError::InvalidValue(field.name()))
    }

    /// Returns a field as text; a null is an error.
    fn required_text<'a>(
        &'a self,
        request: &'a RequestTemplate,
        field: Field,
    ) -> Result<Cow<'a, str>, SessionError> {
        self.field_text(request, field)?
            .ok_or(SessionError::NullValue(field.name()))
    }

    /// Returns a field as a number; `None` if it is missing or null.
    fn number<T: FromStr>(
        &self,
        request: &RequestTemplate,
        field: Field,
    ) -> Result<Option<T>, SessionError> {
        let Some(text) = self.field_text(request, field)? else {
            return Ok(None);
        };
        statement::parse_number(&text)
            .map(Some)
            .ok_or(SessionError::InvalidValue(field.name()))
    }

    /// Checks the value of a write if it is a parameter. A value in the text has been checked by the parser.
    fn check_written_value(&self, request: &RequestTemplate) -> Result<(), SessionError> {
        let Some(TemplateValue::Parameter(index)) = find_field(request, Field::Value) else {
            return Ok(());
        };
        let name = Field::Value.name();
        let value = self.value(*index).ok_or(SessionError::NullValue(name))?;
        let is_binary =
            request.types[*index] == oid::BYTEA && self.format(*index) == Format::Binary;
        let is_valid = if is_binary {
            value.len() <= statement::MAX_VALUE_BYTES
        } else {
            std::str::from_utf8(value).is_ok_and(statement::is_valid_value)
        };
        if is_valid {
            Ok(())
        } else {
            Err(SessionError::InvalidValue(name))
        }
    }
}

/// Returns the value of a field in the statement.
fn find_field(request: &RequestTemplate, field: Field) -> Option<&TemplateValue> {
    request
        .fields
        .iter()
        .find(|(candidate, _)| *candidate == field)
        .map(|(_, value)| value)
}
