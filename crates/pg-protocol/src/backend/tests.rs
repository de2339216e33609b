//! Tests of `backend`.

use super::*;
use crate::frame;

#[test]
fn an_error_keeps_its_code_and_a_value_its_bytes() {
    let mut out = Vec::new();
    put_error(&mut out, false, crate::code::TOO_MANY, "busy", Some("250"));
    let (tag, body, _) = frame::answer(&out).unwrap().unwrap();
    assert_eq!((tag, error_code(body)), (b'E', Some(crate::code::TOO_MANY)));
    assert_eq!(error_field(body, b'D'), Some("250"));
    assert_eq!(error_code(&body[..body.len() - 1]), None);
    assert_eq!(single_value(b"\0\x01\0\0\0\x02ab"), Some(&b"ab"[..]));
    assert_eq!(single_value(b"\0\x01\xff\xff\xff\xff"), None);
}

#[test]
fn a_column_is_read_as_it_was_put() {
    let (mut out, column) = (
        Vec::new(),
        Column::new("data", crate::oid::BYTEA, Format::Binary),
    );
    put_column(&mut out, &column);
    let (_, body, _) = frame::answer(&out).unwrap().unwrap();
    assert_eq!(one_column(body), Some(column.clone()));
    assert_eq!(column.oid(), crate::oid::BYTEA);
    assert_eq!(one_column(&body[..body.len() - 1]), None);
}
