//! Tests of `request`.

use super::*;
use reelrill_routing::KeyScope;
use rstest::rstest;

const READ: &str = "SELECT data FROM facts WHERE code = '7f3a' \
                    /* id=9b1f03aa5c7e2d41,c=own,d=480,cluster=2,after=1767225600123 */";

pub(crate) fn catalog() -> ClassCatalog {
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
    ClassCatalog::new(
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

/// Guards the path from a simple query's annotations to the dispatcher's request: units, session and the digits of the
/// timeout.
#[test]
fn parses_and_validates_the_annotations_of_a_simple_query() {
    let (fields, timeout_digits) = RequestFields::from_simple_query(READ).unwrap();
    assert_eq!(
        (fields.id, fields.replica_set, &READ[timeout_digits]),
        (Some(0x9b1f_03aa_5c7e_2d41), 2, "480")
    );
    let request = catalog().validate(&fields).unwrap();
    assert_eq!(
        (request.class, request.session.as_deref()),
        (1, Some("7f3a"))
    );
    assert_eq!(
        (request.last_write_at, request.timeout),
        (Some(1_767_225_600_123_000_000), 480_000_000)
    );
}

/// Guards against accepting a malformed annotation or naming the wrong one in the error.
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
fn names_the_annotation_that_is_missing_or_invalid(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] annotation: &'static str,
) {
    assert_eq!(
        RequestFields::from_simple_query(&READ.replacen(part, replacement, 1)).err(),
        Some(ParseError::InvalidField(annotation))
    );
}

/// Guards against passing on a request that its class doesn't allow, and against a timeout beyond the class's deadline.
#[test]
fn rejects_requests_that_do_not_fit_their_class() {
    let (fields, _) = RequestFields::from_simple_query(READ).unwrap();
    let validate = |fields: RequestFields| catalog().validate(&fields);
    assert_eq!(
        validate(RequestFields {
            class: "x",
            ..fields.clone()
        }),
        Err(SessionError::UnknownClass("x".into()))
    );
    assert_eq!(
        validate(RequestFields {
            class: "book",
            ..fields.clone()
        }),
        Err(SessionError::ClassMismatch("book".into()))
    );
    assert_eq!(
        validate(RequestFields {
            class: "book",
            is_write: true,
            ..fields.clone()
        }),
        Err(SessionError::InvalidValue("k"))
    );
    for timeout_ms in [0, MAX_TIMEOUT_MS + 1] {
        assert_eq!(
            validate(RequestFields {
                timeout_ms: Some(timeout_ms),
                ..fields.clone()
            }),
            Err(SessionError::InvalidValue("d"))
        );
    }
    assert_eq!(
        validate(RequestFields {
            timeout_ms: None,
            ..fields.clone()
        })
        .unwrap()
        .timeout,
        1_000_000_000
    );
    assert_eq!(
        validate(RequestFields {
            timeout_ms: Some(9000),
            ..fields
        })
        .unwrap()
        .timeout,
        1_000_000_000
    );
}
