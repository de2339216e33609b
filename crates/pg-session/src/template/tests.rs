//! Tests of `template`.

use super::*;
use reelrill_pg_protocol::frontend::MOST_PARAMETERS;
use reelrill_pg_protocol::oid;
use rstest::rstest;
use std::rc::Rc;

const READ: &str = "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";

fn request(text: &str, declared: &[u32]) -> Result<RequestTemplate, SessionError> {
    match parse(text, declared, oid::BYTEA)? {
        StatementKind::Request(r) => Ok(r),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case(READ, READ, &[oid::TEXT, oid::TEXT, oid::INT4])]
#[case(
    "SELECT data FROM facts WHERE code = $1 /* c=board,cluster=$2 */",
    "SELECT data FROM facts WHERE code = $1 /* c=board,cluster=$2,id=$3,d=$4 */",
    &[oid::TEXT, oid::INT4, oid::TEXT, oid::INT4]
)]
#[case(
    "INSERT INTO facts (code, data) VALUES ($2, $1) RETURNING data /* d=480,c=book,cluster=2,k=$3 */",
    "INSERT INTO facts (code, data) VALUES ($2, $1) RETURNING data /* d=$4,c=book,cluster=2,k=$3,id=$5 */",
    &[oid::BYTEA, oid::TEXT, oid::TEXT, oid::INT4, oid::TEXT]
)]
fn instances_get_the_text_with_its_wait_and_name_as_parameters(
    #[case] text: &str,
    #[case] sent: &str,
    #[case] types: &[u32],
) {
    let r = request(text, &[]).unwrap();
    assert_eq!((&*r.text, &r.types[..]), (sent, types));
    for (range, _, index) in &r.parameter_references {
        assert_eq!(r.text[range.clone()], format!("${}", index + 1));
    }
    assert!(
        r.parameter_references
            .iter()
            .any(|(_, place, index)| *place == Field::Timeout && *index == r.timeout_index)
    );
}

#[rstest]
#[case(READ, &[oid::BYTEA], SessionError::ParameterTypeMismatch { param: 1, oid: oid::BYTEA, place: "code" })]
#[case(READ, &[0, 0, oid::BOOL], SessionError::ParameterTypeMismatch { param: 3, oid: oid::BOOL, place: "d" })]
#[case(&READ.replace("$3", "$5"), &[], SessionError::UnknownParameterType(3))]
#[case(&READ.replace("cluster=2", "cluster=$3"), &[], SessionError::SharedTimeoutParameter(3))]
#[case(&READ.replace("$3", "$300"), &[], SessionError::LimitExceeded { what: "parameters", most: MOST_PARAMETERS - 2 })]
#[case(&READ.replace(",cluster=2", ""), &[], ParseError::InvalidField("cluster").into())]
#[case("begin", &[], SessionError::Unsupported("BEGIN".into()))]
#[case("COPY facts FROM STDIN", &[], SessionError::Unsupported("COPY".into()))]
#[case("SELECT 1", &[], ParseError::UnknownStatement.into())]
fn what_can_not_be_prepared_is_named(
    #[case] text: &str,
    #[case] declared: &[u32],
    #[case] wanted: SessionError,
) {
    assert_eq!(parse(text, declared, oid::BYTEA).err(), Some(wanted));
}

#[test]
fn a_text_is_kept_once_and_as_long_as_somebody_has_it() {
    let store = TemplateStore::new(
        4 * (store::TEMPLATE_OVERHEAD_BYTES + 2 * READ.len()),
        oid::BYTEA,
    );
    let one = store.get_or_insert(READ, &[]).unwrap();
    let same = store.get_or_insert(READ, &[]).unwrap();
    let other = store.get_or_insert(READ, &[oid::VARCHAR]).unwrap();
    assert!(Rc::ptr_eq(&one, &same) && !Rc::ptr_eq(&one, &other) && one.id != other.id);
    assert_eq!(store.usage().0, 2);
    let many: Vec<_> = (0..9)
        .map(|i| store.get_or_insert(&READ.replace("board", &format!("b{i}")), &[]))
        .collect();
    assert_eq!(many.iter().filter(|t| t.is_ok()).count(), 2);
    drop((one, same, other, many));
    assert_eq!(store.usage(), (0, 0));
    assert!(store.get_or_insert(READ, &[]).is_ok());
}

#[rstest]
#[case("set application_name = 'x'", Some(UtilityStatement::Setting("SET")))]
#[case("RESET ALL;", Some(UtilityStatement::Setting("RESET")))]
#[case("discard all", Some(UtilityStatement::DiscardAll))]
#[case("DEALLOCATE PREPARE Ab", Some(UtilityStatement::Deallocate(Some("ab".into()))))]
#[case("deallocate \"A\"\"b\"", Some(UtilityStatement::Deallocate(Some("A\"b".into()))))]
#[case("deallocate all", Some(UtilityStatement::Deallocate(None)))]
#[case("deallocate", None)]
#[case("SELECT 1", None)]
fn utilities_are_told_apart(#[case] text: &str, #[case] wanted: Option<UtilityStatement>) {
    assert_eq!(UtilityStatement::parse(text).and_then(Result::ok), wanted);
}
