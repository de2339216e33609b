//! Tests of `statement`.

use super::*;
use rstest::rstest;

const SIMPLE: &str =
    "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f03aa5c7e2d41,c=basket,d=480 */";

/// Guards the byte ranges of values: the text sent to endpoints is rewritten at these ranges.
#[test]
fn finds_each_field_with_its_byte_range() {
    let text = "INSERT INTO facts (code, data) VALUES ($1, 'a''b') RETURNING data /* id=$2, c=order,d=$13 */;";
    let parsed = ParsedStatement::parse(text, true).unwrap();
    let found: Vec<_> = parsed
        .fields
        .iter()
        .map(|(field, value, range)| (*field, *value, &text[range.clone()]))
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
    assert!(parsed.is_write && text[parsed.comment_end..] == *" */;");
    assert_eq!(
        ParsedStatement::parse(text, false),
        Err(ParseError::UnknownStatement)
    );
}

/// Guards against parsing `$n` as a parameter in a simple query, which has none.
#[test]
fn a_dollar_is_text_in_a_simple_query() {
    let parsed = ParsedStatement::parse(SIMPLE, false).unwrap();
    assert_eq!(
        (
            parsed.field_text(Field::Key),
            parsed.field_text(Field::Timeout)
        ),
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

/// Guards against accepting a text that an endpoint would reject or parse differently.
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
fn rejects_malformed_statements_with_the_matching_error(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] expected: Option<ParseError>,
) {
    assert_eq!(
        ParsedStatement::parse(&SIMPLE.replacen(part, replacement, 1), true).err(),
        expected
    );
}

/// Guards the limit on a value's length and the format of `bytea` values.
#[rstest]
#[case("\\x9f03", true)]
#[case("lane 3", true)]
#[case("\\x9f0", false)]
#[case("\\xzz", false)]
#[case(&format!("\\x{}", "00".repeat(MAX_VALUE_BYTES)), true)]
#[case(&format!("\\x{}", "00".repeat(MAX_VALUE_BYTES + 1)), false)]
fn accepts_values_of_text_or_whole_bytes_up_to_64_kib(#[case] value: &str, #[case] is_valid: bool) {
    let text = format!(
        "INSERT INTO facts (code, data) VALUES ('k', '{value}') RETURNING data /* c=order */"
    );
    assert_eq!(
        ParsedStatement::parse(&text, false).is_ok_and(|parsed| parsed.is_write),
        is_valid
    );
}
