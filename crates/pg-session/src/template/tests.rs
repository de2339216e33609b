//! Tests of `template`.

use super::*;
use reelrill_pg_protocol::frontend::MOST_PARAMETERS;
use reelrill_pg_protocol::oid;
use rstest::rstest;
use std::rc::Rc;

const READ: &str = "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";

fn request(text: &str, declared: &[u32]) -> Result<RequestTemplate, SessionError> {
    match parse(text, declared, oid::BYTEA)? {
        StatementKind::Request(request) => Ok(request),
        other => panic!("{other:?}"),
    }
}

/// Guards the rewriting of statements: timeout and id must be parameters, and the client's parameter numbers unchanged.
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
fn text_for_endpoints_has_timeout_and_id_as_parameters(
    #[case] text: &str,
    #[case] endpoint_text: &str,
    #[case] types: &[u32],
) {
    let request = request(text, &[]).unwrap();
    assert_eq!((&*request.text, &request.types[..]), (endpoint_text, types));
    for (range, _, index) in &request.parameter_references {
        assert_eq!(request.text[range.clone()], format!("${}", index + 1));
    }
    assert!(
        request
            .parameter_references
            .iter()
            .any(|(_, field, index)| *field == Field::Timeout && *index == request.timeout_index)
    );
}

/// Guards against preparing a statement that no endpoint would run, and against an error that names another fault.
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
fn rejects_statements_that_can_not_be_prepared_with_the_matching_error(
    #[case] text: &str,
    #[case] declared: &[u32],
    #[case] expected: SessionError,
) {
    assert_eq!(parse(text, declared, oid::BYTEA).err(), Some(expected));
}

/// Guards the store's memory: clients share one template for each text and types, the limit holds, and the bytes are
/// released when the last client drops the template.
#[test]
fn store_keeps_a_template_once_and_until_the_last_reference_is_dropped() {
    let store = TemplateStore::new(
        4 * (store::TEMPLATE_OVERHEAD_BYTES + 2 * READ.len()),
        oid::BYTEA,
    );
    let first = store.get_or_insert(READ, &[]).unwrap();
    let same = store.get_or_insert(READ, &[]).unwrap();
    let other = store.get_or_insert(READ, &[oid::VARCHAR]).unwrap();
    assert!(Rc::ptr_eq(&first, &same) && !Rc::ptr_eq(&first, &other) && first.id != other.id);
    assert_eq!(store.usage().0, 2);
    let results: Vec<_> = (0..9)
        .map(|number| store.get_or_insert(&READ.replace("board", &format!("b{number}")), &[]))
        .collect();
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 2);
    drop((first, same, other, results));
    assert_eq!(store.usage(), (0, 0));
    assert!(store.get_or_insert(READ, &[]).is_ok());
}

/// Guards the boundary between utility statements, which the router executes, and all other texts.
#[rstest]
#[case("set application_name = 'x'", Some(UtilityStatement::Setting("SET")))]
#[case("RESET ALL;", Some(UtilityStatement::Setting("RESET")))]
#[case("discard all", Some(UtilityStatement::DiscardAll))]
#[case("DEALLOCATE PREPARE Ab", Some(UtilityStatement::Deallocate(Some("ab".into()))))]
#[case("deallocate \"A\"\"b\"", Some(UtilityStatement::Deallocate(Some("A\"b".into()))))]
#[case("deallocate all", Some(UtilityStatement::Deallocate(None)))]
#[case("deallocate", None)]
#[case("SELECT 1", None)]
fn parses_utility_statements_and_no_others(
    #[case] text: &str,
    #[case] expected: Option<UtilityStatement>,
) {
    assert_eq!(UtilityStatement::parse(text).and_then(Result::ok), expected);
}
