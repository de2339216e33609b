//! Tests of `form`.

use super::*;
use rstest::rstest;

const SIMPLE: &str =
    "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f03aa5c7e2d41,c=basket,d=480 */";

#[test]
fn words_are_found_where_they_stand() {
    let text = "INSERT INTO facts (code, data) VALUES ($1, 'a''b') RETURNING data /* id=$2, c=order,d=$13 */;";
    let form = Form::read(text, true).unwrap();
    let found: Vec<_> = form
        .words
        .iter()
        .map(|(p, w, r)| (*p, *w, &text[r.clone()]))
        .collect();
    assert_eq!(
        found,
        [
            (Place::Key, Word::Param(1), "$1"),
            (Place::Value, Word::Text("a''b"), "'a''b'"),
            (Place::Id, Word::Param(2), "$2"),
            (Place::Class, Word::Text("order"), "order"),
            (Place::Wait, Word::Param(13), "$13"),
        ]
    );
    assert!(form.is_write && text[form.comment_end..] == *" */;");
    assert_eq!(Form::read(text, false), Err(FormError::Form));
}

#[test]
fn in_a_simple_query_a_dollar_is_text() {
    let form = Form::read(SIMPLE, false).unwrap();
    assert_eq!(
        (form.text(Place::Key), form.text(Place::Wait)),
        (Some("7f3a"), Some("480"))
    );
    let dollar = SIMPLE.replace("d=480", "d=$1");
    assert_eq!(
        Form::read(&dollar, false).unwrap().text(Place::Wait),
        Some("$1")
    );
}

#[rstest]
#[case("'7f3a'", "'a''b /* c=x */'", None)]
#[case("7f3a'", "7f3a' OR 'a' = 'a'", Some(FormError::Missing))]
#[case("'7f3a'", "x", Some(FormError::Form))]
#[case("'7f3a'", "", Some(FormError::Form))]
#[case("'7f3a'", "$", Some(FormError::Form))]
#[case("'7f3a'", "$0", Some(FormError::Form))]
#[case("'7f3a'", "$99999", Some(FormError::Form))]
#[case("'7f3a'", "$1é", Some(FormError::Missing))]
#[case("SELECT", "DELETE", Some(FormError::Form))]
#[case(" */", "", Some(FormError::Missing))]
#[case(" */", " */ DROP TABLE facts", Some(FormError::Missing))]
#[case(" */", " */ /* c=x */", Some(FormError::Missing))]
#[case("d=480", "d=480,d=480", Some(FormError::Pair))]
#[case("d=480", "d=", Some(FormError::Pair))]
fn what_is_wrong_is_named(
    #[case] part: &str,
    #[case] other: &str,
    #[case] wanted: Option<FormError>,
) {
    assert_eq!(
        Form::read(&SIMPLE.replacen(part, other, 1), true).err(),
        wanted
    );
}

#[rstest]
#[case("\\x9f03", true)]
#[case("lane 3", true)]
#[case("\\x9f0", false)]
#[case("\\xzz", false)]
#[case(&format!("\\x{}", "00".repeat(LARGEST_VALUE)), true)]
#[case(&format!("\\x{}", "00".repeat(LARGEST_VALUE + 1)), false)]
fn a_value_is_text_or_whole_bytes_of_64_kib_at_most(#[case] value: &str, #[case] good: bool) {
    let text = format!(
        "INSERT INTO facts (code, data) VALUES ('k', '{value}') RETURNING data /* c=order */"
    );
    assert_eq!(Form::read(&text, false).is_ok_and(|f| f.is_write), good);
}
