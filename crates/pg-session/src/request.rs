//! Admission of a request against its class, the same for simple and extended queries.
//!
//! Responsible for checking what a request says of itself, and for the typed request that the dispatcher gets.
//! Owns the catalog of classes. Must never look at load: whether there is capacity is decided elsewhere.

use crate::SessionError;
use crate::statement::{self, Field, ParseError, ParsedStatement};
use reelrill_routing::{Class, Consistency, Idempotency, Nanos, Operation, Timestamp};
use std::ops::Range;
use std::sync::Arc;

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// The longest wait that a client may query for, in milliseconds: an hour.
const LONGEST_WAIT_MS: u64 = 3_600_000;

/// What a request says of itself, borrowed from where it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFields<'a> {
    /// Its id; `None`: the router draws one.
    pub id: Option<u64>,
    /// The class, as the settings name it.
    pub class: &'a str,
    /// The replica set of endpoints.
    pub replica_set: u32,
    /// How long its client waits, in milliseconds; `None`: as long as its class allows.
    pub timeout_ms: Option<u64>,
    /// The position that must be seen, a Unix time in milliseconds.
    pub last_write_ms: Option<u64>,
    /// Whether the client retries an earlier request.
    pub is_retry: bool,
    /// Whether there is an idempotency key.
    pub has_key: bool,
    /// Whether it writes.
    pub is_write: bool,
    /// The quoted key of the statement.
    pub key: &'a str,
}

impl<'a> RequestFields<'a> {
    /// Parses a simple query, whose `id` and `d` are required; also returns the bytes where the digits of `d` stand.
    ///
    /// # Errors
    ///
    /// Why the text is no statement, or [`ParseError::InvalidField`] with the annotation that is missing or wrong.
    pub fn from_simple_query(
        text: &'a str,
    ) -> Result<(RequestFields<'a>, Range<usize>), ParseError> {
        let form = ParsedStatement::parse(text, false)?;
        let field = |place: Field| {
            form.field_text(place)
                .ok_or(ParseError::InvalidField(place.name()))
        };
        let (_, timeout_digits) = form
            .field(Field::Timeout)
            .ok_or(ParseError::InvalidField("d"))?;
        let after = form
            .field_text(Field::LastWrite)
            .map(|v| statement::parse_number(v).ok_or(ParseError::InvalidField("after")));
        let named = RequestFields {
            id: Some(
                statement::parse_request_id(field(Field::Id)?)
                    .ok_or(ParseError::InvalidField("id"))?,
            ),
            class: field(Field::Class)?,
            replica_set: statement::parse_number(field(Field::ReplicaSet)?)
                .ok_or(ParseError::InvalidField("cluster"))?,
            timeout_ms: Some(
                statement::parse_number(field(Field::Timeout)?)
                    .ok_or(ParseError::InvalidField("d"))?,
            ),
            last_write_ms: after.transpose()?,
            is_retry: form.field_text(Field::Retry) == Some("1"),
            has_key: form.field_text(Field::IdempotencyKey).is_some(),
            is_write: form.is_write,
            key: field(Field::Key)?,
        };
        Ok((named, timeout_digits))
    }
}

/// A request as the dispatcher takes it, but for its arrival and what goes to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidatedRequest {
    /// The client's id for it; `None`: the router draws one.
    pub id: Option<u64>,
    /// The index of its class in the settings.
    pub class: u32,
    /// The replica set of endpoints.
    pub replica_set: u32,
    /// Its session, in classes that have sessions.
    pub session: Option<Arc<str>>,
    /// The position that a session's read must see, a Unix time in nanoseconds.
    pub last_write_at: Option<Timestamp>,
    /// Whether the client retries an earlier request.
    pub is_retry: bool,
    /// How long the client waits, in nanoseconds from when its turn could begin.
    pub timeout: Nanos,
    /// Whether it writes.
    pub is_write: bool,
}

/// The classes that the settings name.
#[derive(Debug, Clone)]
pub struct ClassCatalog {
    names: Vec<String>,
    classes: Vec<Class>,
}

impl ClassCatalog {
    /// A catalog of classes and their names, in the same order.
    pub fn new(names: Vec<String>, classes: Vec<Class>) -> ClassCatalog {
        ClassCatalog { names, classes }
    }

    /// Checks a request against its class. No wait means the class's deadline, and none waits longer than that.
    ///
    /// # Errors
    ///
    /// [`SessionError::UnknownClass`] for an unknown class, [`SessionError::ClassMismatch`] for a read in a class of writes or the other way
    /// round, [`SessionError::InvalidValue`] with the annotation that is missing or wrong.
    pub fn validate(&self, named: &RequestFields) -> Result<ValidatedRequest, SessionError> {
        let index = self.names.iter().position(|name| name == named.class);
        let known = index.and_then(|i| Some((i, self.classes.get(i)?)));
        let (index, class) =
            known.ok_or_else(|| SessionError::UnknownClass(named.class.to_owned()))?;
        if named
            .timeout_ms
            .is_some_and(|ms| ms == 0 || ms > LONGEST_WAIT_MS)
        {
            return Err(SessionError::InvalidValue("d"));
        }
        if named.is_write != (class.operation == Operation::Write) {
            return Err(SessionError::ClassMismatch(named.class.to_owned()));
        }
        if matches!(class.idempotency, Idempotency::IdempotencyKey(_)) && !named.has_key {
            return Err(SessionError::InvalidValue("k"));
        }
        let has_session = matches!(
            class.operation,
            Operation::Read(Consistency::ReadYourWrites) | Operation::Write
        );
        let after = named.last_write_ms.filter(|ms| {
            *ms > 0 && class.operation == Operation::Read(Consistency::ReadYourWrites)
        });
        Ok(ValidatedRequest {
            id: named.id,
            class: index as u32,
            replica_set: named.replica_set,
            session: has_session.then(|| named.key.into()),
            last_write_at: after.map(|ms| ms.saturating_mul(NANOS_PER_MILLISECOND)),
            is_retry: named.is_retry,
            timeout: named.timeout_ms.map_or(class.deadline, |ms| {
                (ms * NANOS_PER_MILLISECOND).min(class.deadline)
            }),
            is_write: named.is_write,
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
