//! Tests of `form`.

use super::*;
use rstest::rstest;

const SIMPLE: &str =
    "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f03aa5c7e2d41,c=basket,d=480 */";

#[test]
fn words_are_found_where_they_stand() {
    let text = "INSERT INTO facts (code, data) VALUES ($1, 'a''b') RETURNING data /* id=$2, c=order,d=$13 */;";
    let form = ParsedStatement::parse(text, true).unwrap();
    let found: Vec<_> = form
        .fields
        .iter()
        .map(|(p, w, r)| (*p, *w, &text[r.clone()]))
        .collect();
    assert_eq!(
        found,
        [
            (Field::Key, FieldValue::Parameter(1), "$1"),
            (Field::Value, FieldValue::Text("a''b"), "'a''b'"),
            (Field::Id, FieldValue::Parameter(2), "$2"),
            (Field::Class, FieldValue::Text("order"), "order"),
            (Field::Timeout, FieldValue::Parameter(13), "$13"),
        ]
    );
    assert!(form.is_write && text[form.comment_end..] == *" */;");
    assert_eq!(
        ParsedStatement::parse(text, false),
        Err(ParseError::UnknownStatement)
    );
}

#[test]
fn in_a_simple_query_a_dollar_is_text() {
    let form = ParsedStatement::parse(SIMPLE, false).unwrap();
    assert_eq!(
        (form.field_text(Field::Key), form.field_text(Field::Timeout)),
        (Some("7f3a"), Some("480"))
    );
    let dollar = SIMPLE.replace("d=480", "d=$1");
    assert_eq!(
        ParsedStatement::parse(&dollar, false)
            .unwrap()
            .field_text(Field::Timeout),
        Some("$1")
    );
}

#[rstest]
#[case("'7f3a'", "'a''b /* c=x */'", None)]
#[case("7f3a'", "7f3a' OR 'a' = 'a'", Some(ParseError::MissingComment))]
#[case("'7f3a'", "x", Some(ParseError::UnknownStatement))]
#[case("'7f3a'", "", Some(ParseError::UnknownStatement))]
#[case("'7f3a'", "$", Some(ParseError::UnknownStatement))]
#[case("'7f3a'", "$0", Some(ParseError::UnknownStatement))]
#[case("'7f3a'", "$99999", Some(ParseError::UnknownStatement))]
#[case("'7f3a'", "$1é", Some(ParseError::MissingComment))]
#[case("SELECT", "DELETE", Some(ParseError::UnknownStatement))]
#[case(" */", "", Some(ParseError::MissingComment))]
#[case(" */", " */ DROP TABLE facts", Some(ParseError::MissingComment))]
#[case(" */", " */ /* c=x */", Some(ParseError::MissingComment))]
#[case("d=480", "d=480,d=480", Some(ParseError::InvalidPair))]
#[case("d=480", "d=", Some(ParseError::InvalidPair))]
fn what_is_wrong_is_named(
    #[case] part: &str,
    #[case] other: &str,
    #[case] wanted: Option<ParseError>,
) {
    assert_eq!(
        ParsedStatement::parse(&SIMPLE.replacen(part, other, 1), true).err(),
        wanted
    );
}

#[rstest]
#[case("\\x9f03", true)]
#[case("lane 3", true)]
#[case("\\x9f0", false)]
#[case("\\xzz", false)]
#[case(&format!("\\x{}", "00".repeat(MAX_VALUE_BYTES)), true)]
#[case(&format!("\\x{}", "00".repeat(MAX_VALUE_BYTES + 1)), false)]
fn a_value_is_text_or_whole_bytes_of_64_kib_at_most(#[case] value: &str, #[case] good: bool) {
    let text = format!(
        "INSERT INTO facts (code, data) VALUES ('k', '{value}') RETURNING data /* c=order */"
    );
    assert_eq!(
        ParsedStatement::parse(&text, false).is_ok_and(|f| f.is_write),
        good
    );
}
