//! Tests of `bound`.

use super::*;
use crate::limits::Limits;
use crate::request::RequestFields;
use crate::request::tests::catalog;
use crate::template::TemplateStore;
use proptest::prelude::*;
use reelrill_pg_protocol::frame;
use reelrill_pg_protocol::frontend::Command;
use reelrill_pg_protocol::oid;
use rstest::rstest;
use std::borrow::Cow;

const WRITE: &str = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data \
                     /* id=$3,c=book,d=$4,cluster=$5,k=$6 */";

fn bound(
    text: &str,
    types: &[u32],
    formats: &[Format],
    values: &[Option<&[u8]>],
) -> Result<BoundStatement, SessionError> {
    let template = TemplateStore::new(1 << 20, oid::BYTEA).get_or_insert(text, types)?;
    let (parameter_formats, values) = (formats.to_vec(), values.to_vec());
    let bind = Bind {
        portal: "",
        statement: "",
        parameter_formats,
        values,
        result_formats: vec![Format::Binary],
    };
    BoundStatement::new(&template, &bind, 0xabc, &budgets())
}

fn budgets() -> SharedBudgets {
    SharedBudgets::new(&Limits::default())
}

const BINARY: [Format; 1] = [Format::Binary];

/// The values of the Bind that an endpoint gets.
fn sent(bound: &BoundStatement, wait: Nanos) -> Vec<Option<Vec<u8>>> {
    let mut out = Vec::new();
    bound.put_bind(&mut out, wait);
    let (tag, body, _) = frame::parse_frontend(&out, true).unwrap().unwrap();
    let Ok(Command::Bind(bind)) = frontend::parse_command(tag, body) else {
        panic!("no bind")
    };
    bind.values.iter().map(|v| v.map(<[u8]>::to_vec)).collect()
}

#[test]
fn text_and_binary_integers_name_the_same_request() {
    let id = 0xfedc_ba98_7654_3210_u64;
    let text: [Option<&[u8]>; 6] = [
        Some(b"s"),
        Some(b"\\x01"),
        Some(b"fedcba9876543210"),
        Some(b"480"),
        Some(b"2"),
        Some(b"k1"),
    ];
    let (wait, replica_set) = (480i64.to_be_bytes(), 2i16.to_be_bytes());
    let binary: [Option<&[u8]>; 6] = [
        Some(b"s"),
        Some(b"\x01"),
        Some(&id.to_be_bytes()),
        Some(&wait),
        Some(&replica_set),
        Some(b"k1"),
    ];
    let types = [0, 0, oid::INT8, oid::INT8, oid::INT2];
    let admit = |b: &BoundStatement| b.with_fields(|n| catalog().validate(n)).unwrap();
    let one = bound(WRITE, &[], &[], &text).unwrap();
    let other = bound(WRITE, &types, &BINARY, &binary).unwrap();
    assert_eq!(admit(&one), admit(&other));
    assert_eq!(
        (admit(&one).id, admit(&one).replica_set, admit(&one).timeout),
        (Some(id), 2, 480_000_000)
    );
    assert_eq!(sent(&one, 77_900_000)[3], Some(b"77".to_vec()));
    assert_eq!(
        sent(&other, 77_900_000)[3],
        Some(77i64.to_be_bytes().to_vec())
    );
    let (one, other) = (
        one.to_simple_query(&budgets()).unwrap(),
        other.to_simple_query(&budgets()).unwrap(),
    );
    assert_eq!(one.with_timeout(5_000_000), other.with_timeout(5_000_000));
    assert_eq!(
        String::from_utf8(one.with_timeout(5_000_000)).unwrap(),
        "INSERT INTO facts (code, data) VALUES ('s', '\\x01') RETURNING data \
         /* id=fedcba9876543210,c=book,d=5,cluster=2,k=k1 */"
    );
}

#[test]
fn what_the_client_leaves_open_the_router_fills_in() {
    let text = "SELECT data FROM facts WHERE code = $1 /* c=board,cluster=2,id=$2 */";
    let b = bound(text, &[], &[], &[Some(b"s"), None]).unwrap();
    let admitted = b.with_fields(|n| catalog().validate(n)).unwrap();
    assert_eq!(
        (admitted.id, admitted.timeout),
        (Some(0xabc), 1_000_000_000)
    );
    let wanted = [&b"s"[..], b"0000000000000abc", b"250"].map(|v| Some(v.to_vec()));
    assert_eq!(sent(&b, 250_000_000), wanted);
}

#[rstest]
#[case(&[Some("s")], SessionError::ParameterCountMismatch { brought: 1, takes: 6 })]
#[case(&[None, Some("v"), None, None, Some("2"), Some("k")], SessionError::NullValue("code"))]
#[case(&[Some("s"), None, None, None, Some("2"), Some("k")], SessionError::NullValue("data"))]
#[case(&[Some("s"), Some("\\xz"), None, None, Some("2"), Some("k")], SessionError::InvalidValue("data"))]
#[case(&[Some("s"), Some("v"), Some("1"), None, Some("2"), Some("k")], SessionError::InvalidValue("id"))]
#[case(&[Some("s"), Some("v"), None, Some("-5"), Some("2"), Some("k")], SessionError::InvalidValue("d"))]
#[case(&[Some("s"), Some("v"), None, Some("0"), Some("2"), Some("k")], SessionError::InvalidValue("d"))]
#[case(&[Some("s"), Some("v"), None, None, None, Some("k")], SessionError::NullValue("cluster"))]
#[case(&[Some("s"), Some("v"), None, None, Some("2"), None], SessionError::InvalidValue("k"))]
fn values_that_do_not_fit_are_named(#[case] values: &[Option<&str>], #[case] wanted: SessionError) {
    let values: Vec<_> = values.iter().map(|v| v.map(str::as_bytes)).collect();
    let found =
        bound(WRITE, &[], &[], &values).and_then(|b| b.with_fields(|n| catalog().validate(n)));
    assert_eq!(found.err(), Some(wanted));
}

#[rstest]
#[case(b"it's", b"k", None)]
#[case(b"\xff", b"k", Some("code"))]
#[case(b"a\\b", b"k", Some("code"))]
#[case(b"a\0b", b"k", Some("code"))]
#[case(b"s", b"k*/", Some("k"))]
#[case(b"s", b"k,c=x", Some("k"))]
#[case(b"s", b"", Some("k"))]
fn only_what_is_safe_becomes_a_literal(
    #[case] code: &[u8],
    #[case] k: &[u8],
    #[case] at: Option<&'static str>,
) {
    let b = bound(
        WRITE,
        &[],
        &[],
        &[Some(code), Some(b"v"), None, None, Some(b"2"), Some(k)],
    )
    .unwrap();
    assert_eq!(
        b.to_simple_query(&budgets()).err(),
        at.map(SessionError::UnsafeLiteral)
    );
}

#[test]
fn values_come_in_the_format_that_was_asked_for() {
    let turn =
        |v: &'static [u8], from, to| convert_format(v, oid::BYTEA, from, to).map(Cow::into_owned);
    assert_eq!(
        turn(b"\\x9F03", Format::Text, Format::Binary),
        Some(vec![0x9f, 3])
    );
    assert_eq!(
        turn(&[0x9f, 3], Format::Binary, Format::Text),
        Some(b"\\x9f03".to_vec())
    );
    assert_eq!(turn(b"\\x9", Format::Text, Format::Binary), None);
    assert_eq!(
        turn(b"lane 3", Format::Text, Format::Binary),
        Some(b"lane 3".to_vec())
    );
    assert_eq!(
        turn(b"a\\\\\\237", Format::Text, Format::Binary),
        Some(vec![b'a', b'\\', 0x9f])
    );
    assert_eq!(turn(b"a\\9", Format::Text, Format::Binary), None);
    assert_eq!(
        convert_format(b"a", oid::TEXT, Format::Text, Format::Binary),
        Some(Cow::Borrowed(&b"a"[..]))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever the values are, what becomes a simple query is one that the simple front takes, with the same
    /// key: nothing in a value ends its literal.
    #[test]
    fn a_literal_is_read_back_as_it_was(code in "\\PC{0,20}", data in "[ -~]{0,20}", k in "\\PC{0,10}") {
        let values = [Some(code.as_bytes()), Some(data.as_bytes()), None, None, Some(&b"2"[..]), Some(k.as_bytes())];
        let b = bound(WRITE, &[], &[], &values).unwrap();
        if let Ok(simple) = b.to_simple_query(&budgets()) {
            let text = String::from_utf8(simple.with_timeout(9_000_000)).unwrap();
            let (named, _) = RequestFields::from_simple_query(&text).unwrap();
            prop_assert_eq!(named.key.replace("''", "'"), code);
            prop_assert_eq!((named.id, named.timeout_ms, named.replica_set), (Some(0xabc), Some(9), 2));
        }
    }
}
