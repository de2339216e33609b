//! Tests of `frontend`.

use super::*;
use proptest::prelude::*;
use rstest::rstest;

/// Guards against a Bind that the router appends and an endpoint can't parse: names, formats and a null must survive.
#[test]
fn parses_a_bind_as_it_was_appended() {
    let mut out = Vec::new();
    let values = [(Format::Text, Some(&b"k"[..])), (Format::Binary, None)];
    put_bind(&mut out, "p", "s", values.into_iter(), Format::Binary);
    let (tag, body, len) = frame::parse_frontend(&out, true).unwrap().unwrap();
    let Ok(Command::Bind(bind)) = parse_command(tag, body) else {
        panic!("no bind")
    };
    assert_eq!((bind.portal, bind.statement, len), ("p", "s", out.len()));
    assert_eq!(bind.values, [Some(&b"k"[..]), None]);
    assert_eq!(
        (bind.parameter_format(1), bind.result_format(5)),
        (Format::Binary, Format::Binary)
    );
}

/// Guards against taking a CancelRequest for the start of a session, and against parsing an incomplete one.
#[test]
fn distinguishes_the_start_of_a_session_from_a_cancel_request() {
    let mut out = Vec::new();
    put_startup(&mut out);
    assert_eq!(
        parse_startup(&out),
        Ok(Some((Startup::Session { minor: 0 }, out.len())))
    );
    out.clear();
    put_cancel_request(&mut out, 7, 9);
    assert_eq!(
        parse_startup(&out),
        Ok(Some((
            Startup::CancelRequest {
                process: 7,
                secret: 9
            },
            16
        )))
    );
    assert_eq!(parse_startup(&out[..11]), Ok(None));
}

/// Guards against reading past the body or allocating for a forged count: negative lengths, lengths beyond the body,
/// counts beyond the limit.
#[rstest]
#[case(
    b'P',
    b"\0x\0\xff\xff",
    CommandError::TooManyParameters("Parse", 65_535)
)]
#[case(b'P', b"\0x\0\0\x01", CommandError::MalformedFields("Parse"))]
#[case(
    b'B',
    b"\0\0\0\0\0\x01\xff\xff\xff\xfe\0\0",
    CommandError::MalformedFields("Bind")
)]
#[case(
    b'B',
    b"\0\0\0\0\0\x01\0\0\0\x09a\0\0",
    CommandError::MalformedFields("Bind")
)]
#[case(b'B', b"\0\0\0\x01\0\x02\0\0\0\0", CommandError::UnknownFormat("Bind"))]
#[case(b'D', b"X\0", CommandError::MalformedFields("Describe"))]
#[case(b'S', b"x", CommandError::MalformedFields("Sync"))]
#[case(b'd', b"", CommandError::UnknownMessage(b'd'))]
fn rejects_malformed_messages_with_the_matching_error(
    #[case] tag: u8,
    #[case] body: &[u8],
    #[case] expected: CommandError,
) {
    assert_eq!(parse_command(tag, body), Err(expected));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary bytes from a client, and against a message longer than the received bytes.
    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_startup(&bytes);
        if let Ok(Some((tag, body, len))) = frame::parse_frontend(&bytes, true) {
            prop_assert!(len <= bytes.len());
            let _ = parse_command(tag, body);
        }
        for tag in *b"QPBDEC" {
            let _ = parse_command(tag, &bytes);
        }
    }
}
