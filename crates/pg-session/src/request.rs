//! Validation of a request against its class, the same for simple and extended queries.
//!
//! Responsible for checking a request's fields and for the typed request that the dispatcher receives. Owns the
//! catalog of classes. Must never consider load: the dispatcher decides whether there is capacity.

use crate::SessionError;
use crate::statement::{self, Field, ParseError, ParsedStatement};
use reelrill_routing::{Class, Consistency, Idempotency, Nanos, Operation, Timestamp};
use std::ops::Range;
use std::sync::Arc;

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// The longest timeout that a client may set, in milliseconds: an hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// The fields of a request, borrowed from its statement or values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFields<'a> {
    /// The request's id; `None` if the router generates one.
    pub id: Option<u64>,
    /// The class's name in the settings.
    pub class: &'a str,
    /// The replica set that the request is for.
    pub replica_set: u32,
    /// The client's timeout, in milliseconds; `None` for the class's deadline.
    pub timeout_ms: Option<u64>,
    /// When the session's last write was committed, a Unix time in milliseconds. The read must see that write.
    pub last_write_ms: Option<u64>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the request has an idempotency key.
    pub has_key: bool,
    /// Whether the request writes.
    pub is_write: bool,
    /// The key in the statement; names the session in classes that have sessions.
    pub key: &'a str,
}

impl<'a> RequestFields<'a> {
    /// Parses a simple query, whose annotations `id` and `d` are required. Also returns the byte range of the digits
    /// of `d` in the text.
    ///
    /// # Errors
    ///
    /// Any [`ParseError`] of the statement, or [`ParseError::InvalidField`] with the name of an annotation that is
    /// missing or invalid.
    pub fn from_simple_query(
        text: &'a str,
    ) -> Result<(RequestFields<'a>, Range<usize>), ParseError> {
        let parsed = ParsedStatement::parse(text, false)?;
        let required = |field: Field| {
            parsed
                .field_text(field)
                .ok_or(ParseError::InvalidField(field.name()))
        };
        let (_, timeout_digits) = parsed
            .field(Field::Timeout)
            .ok_or(ParseError::InvalidField("d"))?;
        let last_write_ms = parsed
            .field_text(Field::LastWrite)
            .map(|text| statement::parse_number(text).ok_or(ParseError::InvalidField("after")));
        let fields = RequestFields {
            id: Some(
                statement::parse_request_id(required(Field::Id)?)
                    .ok_or(ParseError::InvalidField("id"))?,
            ),
            class: required(Field::Class)?,
            replica_set: statement::parse_number(required(Field::ReplicaSet)?)
                .ok_or(ParseError::InvalidField("cluster"))?,
            timeout_ms: Some(
                statement::parse_number(required(Field::Timeout)?)
                    .ok_or(ParseError::InvalidField("d"))?,
            ),
            last_write_ms: last_write_ms.transpose()?,
            is_retry: parsed.field_text(Field::Retry) == Some("1"),
            has_key: parsed.field_text(Field::IdempotencyKey).is_some(),
            is_write: parsed.is_write,
            key: required(Field::Key)?,
        };
        Ok((fields, timeout_digits))
    }
}

/// A request whose fields fit its class, as passed to the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidatedRequest {
    /// The client's id of the request; `None` if the router generates one.
    pub id: Option<u64>,
    /// The index of the request's class in the settings.
    pub class: u32,
    /// The replica set that the request is for.
    pub replica_set: u32,
    /// The request's session, in classes that have sessions.
    pub session: Option<Arc<str>>,
    /// When the session's last write was committed, a Unix time in nanoseconds. The read must see that write.
    pub last_write_at: Option<Timestamp>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The client's timeout, in nanoseconds from when the request could start.
    pub timeout: Nanos,
    /// Whether the request writes.
    pub is_write: bool,
}

/// The classes defined in the settings.
#[derive(Debug, Clone)]
pub struct ClassCatalog {
    names: Vec<String>,
    classes: Vec<Class>,
}

impl ClassCatalog {
    /// Creates a catalog from classes and their names, in the same order.
    pub fn new(names: Vec<String>, classes: Vec<Class>) -> ClassCatalog {
        ClassCatalog { names, classes }
    }

    /// Checks a request against its class. The class's deadline is the default and the maximum of the timeout.
    ///
    /// # Errors
    ///
    /// [`SessionError::UnknownClass`] for a class that is not in the catalog, [`SessionError::ClassMismatch`] for a
    /// read in a write class or the reverse, [`SessionError::InvalidValue`] with the name of an annotation that is
    /// missing or invalid.
    pub fn validate(&self, fields: &RequestFields) -> Result<ValidatedRequest, SessionError> {
        let index = self.names.iter().position(|name| name == fields.class);
        let found = index.and_then(|index| Some((index, self.classes.get(index)?)));
        let (index, class) =
            found.ok_or_else(|| SessionError::UnknownClass(fields.class.to_owned()))?;
        if fields
            .timeout_ms
            .is_some_and(|ms| ms == 0 || ms > MAX_TIMEOUT_MS)
        {
            return Err(SessionError::InvalidValue("d"));
        }
        if fields.is_write != (class.operation == Operation::Write) {
            return Err(SessionError::ClassMismatch(fields.class.to_owned()));
        }
        if matches!(class.idempotency, Idempotency::IdempotencyKey(_)) && !fields.has_key {
            return Err(SessionError::InvalidValue("k"));
        }
        let has_session = matches!(
            class.operation,
            Operation::Read(Consistency::ReadYourWrites) | Operation::Write
        );
        let last_write_ms = fields.last_write_ms.filter(|ms| {
            *ms > 0 && class.operation == Operation::Read(Consistency::ReadYourWrites)
        });
        Ok(ValidatedRequest {
            id: fields.id,
            class: index as u32,
            replica_set: fields.replica_set,
            session: has_session.then(|| fields.key.into()),
            last_write_at: last_write_ms.map(|ms| ms.saturating_mul(NANOS_PER_MILLISECOND)),
            is_retry: fields.is_retry,
            timeout: fields.timeout_ms.map_or(class.deadline, |ms| {
                (ms * NANOS_PER_MILLISECOND).min(class.deadline)
            }),
            is_write: fields.is_write,
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
