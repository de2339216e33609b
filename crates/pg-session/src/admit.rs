//! Whether a request makes sense, and what the decider is told of it: the same for every front.

use crate::Wrong;
use crate::form::{self, Form, FormError, Place};
use reelrill_routing::{Class, Consistency, Idempotency, Nanos, Operation, Timestamp};
use std::ops::Range;
use std::sync::Arc;

/// The longest wait that a client may ask for, an hour: beyond it the figure is an error.
const LONGEST_WAIT_MS: u64 = 3_600_000;

/// What a request says of itself, borrowed from where it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Named<'a> {
    /// Its name; none: the router draws one.
    pub id: Option<u64>,
    /// The class, as the settings name it.
    pub class: &'a str,
    /// The replica set of endpoints.
    pub replica_set: u32,
    /// How long its client waits, in milliseconds; none: as long as its class allows.
    pub wait_ms: Option<u64>,
    /// The position that must be seen, a Unix time in milliseconds.
    pub after_ms: Option<u64>,
    /// A client's own further try.
    pub is_retry: bool,
    /// There is an idempotency key.
    pub has_key: bool,
    /// It writes.
    pub is_write: bool,
    /// The quoted key of the statement.
    pub key: &'a str,
}

impl<'a> Named<'a> {
    /// Reads a simple query, whose `id` and `d` must be there; also says where the digits of `d` stand.
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

/// A request as the decider takes it, but for when it came and what goes to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// The client's name for it; none: the router draws one.
    pub id: Option<u64>,
    /// As the settings count classes.
    pub class: u32,
    /// The replica set of endpoints.
    pub replica_set: u32,
    /// Its session, in classes that have sessions.
    pub session: Option<Arc<str>>,
    /// The position that a session's read must see.
    pub after: Option<Timestamp>,
    /// A client's own further try.
    pub is_retry: bool,
    /// How long the client waits, from when its turn could begin.
    pub wait: Nanos,
    /// It writes.
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
            after: after.map(|ms| ms.saturating_mul(1_000_000)),
            is_retry: named.is_retry,
            wait: named
                .wait_ms
                .map_or(class.deadline, |ms| (ms * 1_000_000).min(class.deadline)),
            is_write: named.is_write,
        })
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use reelrill_routing::KeyScope;
    use rstest::rstest;

    const READ: &str = "SELECT data FROM facts WHERE code = '7f3a' \
                        /* id=9b1f03aa5c7e2d41,c=own,d=480,cluster=2,after=1767225600123 */";

    pub(crate) fn catalog() -> Catalog {
        let class = |operation, idempotency| Class {
            operation,
            idempotency,
            deduplication_window: 2_000_000_000,
            latency_objective: 500_000_000,
            objective_stretch: 0.0,
            deadline: 1_000_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
        };
        Catalog::new(
            ["board", "own", "book"].map(str::to_owned).into(),
            vec![
                class(
                    Operation::Read(Consistency::Eventual),
                    Idempotency::Idempotent,
                ),
                class(
                    Operation::Read(Consistency::ReadYourWrites),
                    Idempotency::Idempotent,
                ),
                class(
                    Operation::Write,
                    Idempotency::IdempotencyKey(KeyScope::ReplicaSet),
                ),
            ],
        )
    }

    #[test]
    fn a_simple_query_names_its_request() {
        let (named, digits) = Named::simple(READ).unwrap();
        assert_eq!(
            (named.id, named.replica_set, &READ[digits]),
            (Some(0x9b1f_03aa_5c7e_2d41), 2, "480")
        );
        let admitted = catalog().admit(&named).unwrap();
        assert_eq!(
            (admitted.class, admitted.session.as_deref()),
            (1, Some("7f3a"))
        );
        assert_eq!(
            (admitted.after, admitted.wait),
            (Some(1_767_225_600_123_000_000), 480_000_000)
        );
    }

    #[rstest]
    #[case("9b1f03aa5c7e2d41", "zz", "id")]
    #[case("9b1f03aa5c7e2d41", "+b1f03aa5c7e2d41", "id")]
    #[case("id=9b1f03aa5c7e2d41,", "", "id")]
    #[case("d=480,", "", "d")]
    #[case("d=480", "d=-1", "d")]
    #[case("d=480", "d=+1", "d")]
    #[case("d=480", "d=$1", "d")]
    #[case("cluster=2", "cluster=x", "cluster")]
    #[case("c=own,", "", "c")]
    #[case("after=1", "after=x", "after")]
    fn what_is_wrong_is_named(
        #[case] part: &str,
        #[case] other: &str,
        #[case] wanted: &'static str,
    ) {
        assert_eq!(
            Named::simple(&READ.replacen(part, other, 1)).err(),
            Some(FormError::Field(wanted))
        );
    }

    #[test]
    fn a_request_must_fit_its_class() {
        let (named, _) = Named::simple(READ).unwrap();
        let admit = |n: Named| catalog().admit(&n);
        assert_eq!(
            admit(Named {
                class: "x",
                ..named.clone()
            }),
            Err(Wrong::Class("x".into()))
        );
        assert_eq!(
            admit(Named {
                class: "book",
                ..named.clone()
            }),
            Err(Wrong::Kind("book".into()))
        );
        assert_eq!(
            admit(Named {
                class: "book",
                is_write: true,
                ..named.clone()
            }),
            Err(Wrong::Value("k"))
        );
        for wrong in [0, LONGEST_WAIT_MS + 1] {
            assert_eq!(
                admit(Named {
                    wait_ms: Some(wrong),
                    ..named.clone()
                }),
                Err(Wrong::Value("d"))
            );
        }
        assert_eq!(
            admit(Named {
                wait_ms: None,
                ..named.clone()
            })
            .unwrap()
            .wait,
            1_000_000_000
        );
        assert_eq!(
            admit(Named {
                wait_ms: Some(9000),
                ..named
            })
            .unwrap()
            .wait,
            1_000_000_000
        );
    }
}
