//! What the last look before a close has to serve.

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

/// Guards a request whose last byte comes in the moment in which its connection is closed: it is served.
#[rstest]
#[case(startup(), false)]
#[case(query(), true)]
fn a_message_is_whole_with_its_last_byte(#[case] message: Vec<u8>, #[case] has_started: bool) {
    for len in 0..message.len() {
        assert!(!is_whole(&message[..len], has_started, false), "{len}");
    }
    assert!(is_whole(&message, has_started, false));
    assert!(is_whole(&[message, query()].concat(), has_started, false));
}

/// Guards the error that bytes without sense are owed.
#[test]
fn what_can_not_be_read_gets_its_error() {
    assert!(is_whole(&[b'Q', 0, 0, 0, 1], true, false));
    assert!(is_whole(&[0, 0, 0, 1], false, false));
}
