//! What a bound request says of itself: the key, the value and the annotations in its comment.
//!
//! Responsible for reading them from the text or from the values. Owns no state. Must never decide whether the
//! request is served: that is `admit`'s.

use super::BoundStatement;
use super::value_format::decode_word;
use crate::SessionError;
use crate::request::RequestFields;
use crate::statement::{self, Field};
use crate::template::{RequestTemplate, TemplateValue};
use reelrill_pg_protocol::{Format, oid};
use std::borrow::Cow;
use std::str::FromStr;

/// The words that mark a retry.
const TRUE_WORDS: [&str; 3] = ["1", "t", "true"];

impl BoundStatement {
    /// Reads what the request says of itself and passes it to `use_it`.
    ///
    /// # Errors
    ///
    /// [`SessionError::NullValue`] or [`SessionError::InvalidValue`] with the name of the annotation or column, or what `use_it` returns.
    pub fn with_fields<T>(
        &self,
        use_it: impl FnOnce(&RequestFields) -> Result<T, SessionError>,
    ) -> Result<T, SessionError> {
        let Some(request) = self.request() else {
            return Err(SessionError::InvalidValue("statement"));
        };
        let class = self.required_word(request, Field::Class)?;
        let key = self.required_word(request, Field::Key)?;
        if request.is_write {
            self.check_written_value(request)?;
        }
        let retry = self.word(request, Field::Retry)?;
        let id = self.id(request)?.unwrap_or(self.generated_id);
        let replica_set = self.number(request, Field::ReplicaSet)?;
        let replica_set = replica_set.ok_or(SessionError::NullValue(Field::ReplicaSet.name()))?;
        let timeout_ms = self.number(request, Field::Timeout)?;
        let last_write_ms = self.number(request, Field::LastWrite)?;
        let idempotency_key = self.word(request, Field::IdempotencyKey)?;
        use_it(&RequestFields {
            id: Some(id),
            class: &class,
            replica_set,
            timeout_ms,
            last_write_ms,
            is_retry: retry.is_some_and(|word| TRUE_WORDS.contains(&&*word)),
            has_key: idempotency_key.is_some_and(|key| !key.is_empty()),
            is_write: request.is_write,
            key: &key,
        })
    }

    /// The request's id as the client brought it; `None` if it did not.
    pub(super) fn id(&self, request: &RequestTemplate) -> Result<Option<u64>, SessionError> {
        let Some(word) = self.word(request, Field::Id)? else {
            return Ok(None);
        };
        let is_integer = match find_field(request, Field::Id) {
            Some(TemplateValue::Parameter(index)) => request.types[*index] == oid::INT8,
            Some(TemplateValue::Text(_)) | None => false,
        };
        let id = if is_integer {
            word.parse::<i64>().ok().map(|id| id as u64)
        } else {
            statement::parse_request_id(&word)
        };
        id.map(Some)
            .ok_or(SessionError::InvalidValue(Field::Id.name()))
    }

    /// The word at a place; `None` if it is missing or null.
    fn word<'a>(
        &'a self,
        request: &'a RequestTemplate,
        place: Field,
    ) -> Result<Option<Cow<'a, str>>, SessionError> {
        let index = match find_field(request, place) {
            None => return Ok(None),
            Some(TemplateValue::Text(text)) => return Ok(Some(Cow::Borrowed(text))),
            Some(TemplateValue::Parameter(index)) => *index,
        };
        let Some(value) = self.value(index) else {
            return Ok(None);
        };
        decode_word(request.types[index], self.format(index), value)
            .map(Some)
            .ok_or(SessionError::InvalidValue(place.name()))
    }

    fn required_word<'a>(
        &'a self,
        request: &'a RequestTemplate,
        place: Field,
    ) -> Result<Cow<'a, str>, SessionError> {
        self.word(request, place)?
            .ok_or(SessionError::NullValue(place.name()))
    }

    fn number<T: FromStr>(
        &self,
        request: &RequestTemplate,
        place: Field,
    ) -> Result<Option<T>, SessionError> {
        let Some(word) = self.word(request, place)? else {
            return Ok(None);
        };
        statement::parse_number(&word)
            .map(Some)
            .ok_or(SessionError::InvalidValue(place.name()))
    }

    /// Checks the value of a write if a parameter brings it; one in the text was checked with the text.
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

fn find_field(request: &RequestTemplate, place: Field) -> Option<&TemplateValue> {
    request
        .fields
        .iter()
        .find(|(of_slot, _)| *of_slot == place)
        .map(|(_, slot)| slot)
}
