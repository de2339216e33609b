//! What a bound request says of itself: the key, the value and the annotations in its comment.
//!
//! Responsible for reading them from the text or from the values. Owns no state. Must never decide whether the
//! request is served: that is `admit`'s.

use super::Bound;
use super::value_format::decode_word;
use crate::Wrong;
use crate::admit::Named;
use crate::form::{self, Place};
use crate::template::{Request, Slot};
use reelrill_pg_protocol::{Format, oid};
use std::borrow::Cow;
use std::str::FromStr;

/// The words that mark a retry.
const TRUE_WORDS: [&str; 3] = ["1", "t", "true"];

impl Bound {
    /// Reads what the request says of itself and passes it to `use_it`.
    ///
    /// # Errors
    ///
    /// [`Wrong::Null`] or [`Wrong::Value`] with the name of the annotation or column, or what `use_it` returns.
    pub fn named<T>(&self, use_it: impl FnOnce(&Named) -> Result<T, Wrong>) -> Result<T, Wrong> {
        let Some(request) = self.request() else {
            return Err(Wrong::Value("statement"));
        };
        let class = self.required_word(request, Place::Class)?;
        let key = self.required_word(request, Place::Key)?;
        if request.is_write {
            self.check_written_value(request)?;
        }
        let retry = self.word(request, Place::Retry)?;
        let id = self.id(request)?.unwrap_or(self.drawn);
        let replica_set = self.number(request, Place::ReplicaSet)?;
        let replica_set = replica_set.ok_or(Wrong::Null(Place::ReplicaSet.name()))?;
        let wait_ms = self.number(request, Place::Wait)?;
        let after_ms = self.number(request, Place::After)?;
        let idempotency_key = self.word(request, Place::Idempotency)?;
        use_it(&Named {
            id: Some(id),
            class: &class,
            replica_set,
            wait_ms,
            after_ms,
            is_retry: retry.is_some_and(|word| TRUE_WORDS.contains(&&*word)),
            has_key: idempotency_key.is_some_and(|key| !key.is_empty()),
            is_write: request.is_write,
            key: &key,
        })
    }

    /// The request's id as the client brought it; `None` if it did not.
    pub(super) fn id(&self, request: &Request) -> Result<Option<u64>, Wrong> {
        let Some(word) = self.word(request, Place::Id)? else {
            return Ok(None);
        };
        let is_integer = match find_slot(request, Place::Id) {
            Some(Slot::Param(index)) => request.types[*index] == oid::INT8,
            Some(Slot::Text(_)) | None => false,
        };
        let id = if is_integer {
            word.parse::<i64>().ok().map(|id| id as u64)
        } else {
            form::id(&word)
        };
        id.map(Some).ok_or(Wrong::Value(Place::Id.name()))
    }

    /// The word at a place; `None` if it is missing or null.
    fn word<'a>(
        &'a self,
        request: &'a Request,
        place: Place,
    ) -> Result<Option<Cow<'a, str>>, Wrong> {
        let index = match find_slot(request, place) {
            None => return Ok(None),
            Some(Slot::Text(text)) => return Ok(Some(Cow::Borrowed(text))),
            Some(Slot::Param(index)) => *index,
        };
        let Some(value) = self.value(index) else {
            return Ok(None);
        };
        decode_word(request.types[index], self.format(index), value)
            .map(Some)
            .ok_or(Wrong::Value(place.name()))
    }

    fn required_word<'a>(
        &'a self,
        request: &'a Request,
        place: Place,
    ) -> Result<Cow<'a, str>, Wrong> {
        self.word(request, place)?.ok_or(Wrong::Null(place.name()))
    }

    fn number<T: FromStr>(&self, request: &Request, place: Place) -> Result<Option<T>, Wrong> {
        let Some(word) = self.word(request, place)? else {
            return Ok(None);
        };
        form::number(&word)
            .map(Some)
            .ok_or(Wrong::Value(place.name()))
    }

    /// Checks the value of a write if a parameter brings it; one in the text was checked with the text.
    fn check_written_value(&self, request: &Request) -> Result<(), Wrong> {
        let Some(Slot::Param(index)) = find_slot(request, Place::Value) else {
            return Ok(());
        };
        let name = Place::Value.name();
        let value = self.value(*index).ok_or(Wrong::Null(name))?;
        let is_binary =
            request.types[*index] == oid::BYTEA && self.format(*index) == Format::Binary;
        let is_valid = if is_binary {
            value.len() <= form::LARGEST_VALUE
        } else {
            std::str::from_utf8(value).is_ok_and(form::is_value)
        };
        if is_valid {
            Ok(())
        } else {
            Err(Wrong::Value(name))
        }
    }
}

fn find_slot(request: &Request, place: Place) -> Option<&Slot> {
    request
        .slots
        .iter()
        .find(|(of_slot, _)| *of_slot == place)
        .map(|(_, slot)| slot)
}
