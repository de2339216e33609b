//! Tests of the detection of input that requires a response before a connection is closed.

use super::*;
use rstest::rstest;

fn startup() -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_startup(&mut out);
    out
}

fn query() -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_query(&mut out, b"SELECT 1");
    out
}

/// Guards against a lost request whose last byte arrives at the moment at which its connection is closed.
#[rstest]
#[case(startup(), false)]
#[case(query(), true)]
fn a_message_is_complete_with_its_last_byte(
    #[case] message: Vec<u8>,
    #[case] is_startup_complete: bool,
) {
    for len in 0..message.len() {
        assert!(
            !starts_with_complete_message(&message[..len], is_startup_complete, false),
            "{len}"
        );
    }
    assert!(starts_with_complete_message(
        &message,
        is_startup_complete,
        false
    ));
    assert!(starts_with_complete_message(
        &[message, query()].concat(),
        is_startup_complete,
        false
    ));
}

/// Guards against a connection that is closed without an error response to bytes that can't be parsed.
#[test]
fn bytes_that_can_not_be_parsed_require_a_response() {
    assert!(starts_with_complete_message(
        &[b'Q', 0, 0, 0, 1],
        true,
        false
    ));
    assert!(starts_with_complete_message(&[0, 0, 0, 1], false, false));
}
