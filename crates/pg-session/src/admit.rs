//! Admission of a request against its class, the same for simple and extended queries.
//!
//! Responsible for checking what a request says of itself, and for the typed request that the dispatcher gets.
//! Owns the catalog of classes. Must never look at load: whether there is capacity is decided elsewhere.

use crate::Wrong;
use crate::form::{self, Form, FormError, Place};
use reelrill_routing::{Class, Consistency, Idempotency, Nanos, Operation, Timestamp};
use std::ops::Range;
use std::sync::Arc;

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// The longest wait that a client may ask for, in milliseconds: an hour.
const LONGEST_WAIT_MS: u64 = 3_600_000;

/// What a request says of itself, borrowed from where it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Named<'a> {
    /// Its id; `None`: the router draws one.
    pub id: Option<u64>,
    /// The class, as the settings name it.
    pub class: &'a str,
    /// The replica set of endpoints.
    pub replica_set: u32,
    /// How long its client waits, in milliseconds; `None`: as long as its class allows.
    pub wait_ms: Option<u64>,
    /// The position that must be seen, a Unix time in milliseconds.
    pub after_ms: Option<u64>,
    /// Whether the client retries an earlier request.
    pub is_retry: bool,
    /// Whether there is an idempotency key.
    pub has_key: bool,
    /// Whether it writes.
    pub is_write: bool,
    /// The quoted key of the statement.
    pub key: &'a str,
}

impl<'a> Named<'a> {
    /// Parses a simple query, whose `id` and `d` are required; also returns the bytes where the digits of `d` stand.
    ///
    /// # Errors
    ///
    /// Why the text is no statement, or [`FormError::Field`] with the annotation that is missing or wrong.
    pub fn simple(text: &'a str) -> Result<(Named<'a>, Range<usize>), FormError> {
        let form = Form::read(text, false)?;
        let field = |place: Place| form.text(place).ok_or(FormError::Field(place.name()));
        let (_, wait_digits) = form.word(Place::Wait).ok_or(FormError::Field("d"))?;
        let after = form
            .text(Place::After)
            .map(|v| form::number(v).ok_or(FormError::Field("after")));
        let named = Named {
            id: Some(form::id(field(Place::Id)?).ok_or(FormError::Field("id"))?),
            class: field(Place::Class)?,
            replica_set: form::number(field(Place::ReplicaSet)?)
                .ok_or(FormError::Field("cluster"))?,
            wait_ms: Some(form::number(field(Place::Wait)?).ok_or(FormError::Field("d"))?),
            after_ms: after.transpose()?,
            is_retry: form.text(Place::Retry) == Some("1"),
            has_key: form.text(Place::Idempotency).is_some(),
            is_write: form.is_write,
            key: field(Place::Key)?,
        };
        Ok((named, wait_digits))
    }
}

/// A request as the dispatcher takes it, but for its arrival and what goes to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// The client's id for it; `None`: the router draws one.
    pub id: Option<u64>,
    /// The index of its class in the settings.
    pub class: u32,
    /// The replica set of endpoints.
    pub replica_set: u32,
    /// Its session, in classes that have sessions.
    pub session: Option<Arc<str>>,
    /// The position that a session's read must see, a Unix time in nanoseconds.
    pub after: Option<Timestamp>,
    /// Whether the client retries an earlier request.
    pub is_retry: bool,
    /// How long the client waits, in nanoseconds from when its turn could begin.
    pub wait: Nanos,
    /// Whether it writes.
    pub is_write: bool,
}

/// The classes that the settings name.
#[derive(Debug, Clone)]
pub struct Catalog {
    names: Vec<String>,
    classes: Vec<Class>,
}

impl Catalog {
    /// A catalog of classes and their names, in the same order.
    pub fn new(names: Vec<String>, classes: Vec<Class>) -> Catalog {
        Catalog { names, classes }
    }

    /// Checks a request against its class. No wait means the class's deadline, and none waits longer than that.
    ///
    /// # Errors
    ///
    /// [`Wrong::Class`] for an unknown class, [`Wrong::Kind`] for a read in a class of writes or the other way
    /// round, [`Wrong::Value`] with the annotation that is missing or wrong.
    pub fn admit(&self, named: &Named) -> Result<Admitted, Wrong> {
        let index = self.names.iter().position(|name| name == named.class);
        let known = index.and_then(|i| Some((i, self.classes.get(i)?)));
        let (index, class) = known.ok_or_else(|| Wrong::Class(named.class.to_owned()))?;
        if named
            .wait_ms
            .is_some_and(|ms| ms == 0 || ms > LONGEST_WAIT_MS)
        {
            return Err(Wrong::Value("d"));
        }
        if named.is_write != (class.operation == Operation::Write) {
            return Err(Wrong::Kind(named.class.to_owned()));
        }
        if matches!(class.idempotency, Idempotency::IdempotencyKey(_)) && !named.has_key {
            return Err(Wrong::Value("k"));
        }
        let has_session = matches!(
            class.operation,
            Operation::Read(Consistency::ReadYourWrites) | Operation::Write
        );
        let after = named.after_ms.filter(|ms| {
            *ms > 0 && class.operation == Operation::Read(Consistency::ReadYourWrites)
        });
        Ok(Admitted {
            id: named.id,
            class: index as u32,
            replica_set: named.replica_set,
            session: has_session.then(|| named.key.into()),
            after: after.map(|ms| ms.saturating_mul(NANOS_PER_MILLISECOND)),
            is_retry: named.is_retry,
            wait: named.wait_ms.map_or(class.deadline, |ms| {
                (ms * NANOS_PER_MILLISECOND).min(class.deadline)
            }),
            is_write: named.is_write,
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
