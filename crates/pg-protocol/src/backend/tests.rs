//! Tests of `backend`.

use super::*;
use crate::frame;

/// Guards against losing the SQLSTATE code or detail of an ErrorResponse, and against reading a null as a value.
#[test]
fn parses_error_fields_and_single_values() {
    let mut out = Vec::new();
    put_error_response(
        &mut out,
        false,
        crate::sqlstate::TOO_MANY_CONNECTIONS,
        "busy",
        Some("250"),
    );
    let (tag, body, _) = frame::parse_backend(&out).unwrap().unwrap();
    assert_eq!(
        (tag, error_sqlstate(body)),
        (b'E', Some(crate::sqlstate::TOO_MANY_CONNECTIONS))
    );
    assert_eq!(error_field(body, b'D'), Some("250"));
    assert_eq!(error_sqlstate(&body[..body.len() - 1]), None);
    assert_eq!(parse_single_value(b"\0\x01\0\0\0\x02ab"), Some(&b"ab"[..]));
    assert_eq!(parse_single_value(b"\0\x01\xff\xff\xff\xff"), None);
}

/// Guards the description of the result column, which is passed on to clients.
#[test]
fn parses_a_row_description_as_it_was_appended() {
    let (mut out, column) = (
        Vec::new(),
        Column::new("data", crate::oid::BYTEA, Format::Binary),
    );
    put_row_description(&mut out, &column);
    let (_, body, _) = frame::parse_backend(&out).unwrap().unwrap();
    assert_eq!(parse_single_column(body), Some(column.clone()));
    assert_eq!(column.type_oid(), crate::oid::BYTEA);
    assert_eq!(parse_single_column(&body[..body.len() - 1]), None);
}
