//! Tests of `admit`.

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

#[test]
fn a_simple_query_names_its_request() {
    let (named, digits) = RequestFields::from_simple_query(READ).unwrap();
    assert_eq!(
        (named.id, named.replica_set, &READ[digits]),
        (Some(0x9b1f_03aa_5c7e_2d41), 2, "480")
    );
    let admitted = catalog().validate(&named).unwrap();
    assert_eq!(
        (admitted.class, admitted.session.as_deref()),
        (1, Some("7f3a"))
    );
    assert_eq!(
        (admitted.last_write_at, admitted.timeout),
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
fn what_is_wrong_is_named(#[case] part: &str, #[case] other: &str, #[case] wanted: &'static str) {
    assert_eq!(
        RequestFields::from_simple_query(&READ.replacen(part, other, 1)).err(),
        Some(ParseError::InvalidField(wanted))
    );
}

#[test]
fn a_request_must_fit_its_class() {
    let (named, _) = RequestFields::from_simple_query(READ).unwrap();
    let admit = |n: RequestFields| catalog().validate(&n);
    assert_eq!(
        admit(RequestFields {
            class: "x",
            ..named.clone()
        }),
        Err(SessionError::UnknownClass("x".into()))
    );
    assert_eq!(
        admit(RequestFields {
            class: "book",
            ..named.clone()
        }),
        Err(SessionError::ClassMismatch("book".into()))
    );
    assert_eq!(
        admit(RequestFields {
            class: "book",
            is_write: true,
            ..named.clone()
        }),
        Err(SessionError::InvalidValue("k"))
    );
    for wrong in [0, LONGEST_WAIT_MS + 1] {
        assert_eq!(
            admit(RequestFields {
                timeout_ms: Some(wrong),
                ..named.clone()
            }),
            Err(SessionError::InvalidValue("d"))
        );
    }
    assert_eq!(
        admit(RequestFields {
            timeout_ms: None,
            ..named.clone()
        })
        .unwrap()
        .timeout,
        1_000_000_000
    );
    assert_eq!(
        admit(RequestFields {
            timeout_ms: Some(9000),
            ..named
        })
        .unwrap()
        .timeout,
        1_000_000_000
    );
}
