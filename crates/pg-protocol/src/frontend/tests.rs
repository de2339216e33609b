//! Tests of `frontend`.

use super::*;
use proptest::prelude::*;
use rstest::rstest;

#[test]
fn a_bind_is_read_as_it_was_put() {
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

#[test]
fn startup_and_cancel_are_told_apart() {
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

/// Counts and lengths that do not fit: negative, beyond the body, beyond the bound.
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
fn what_does_not_fit_is_named(#[case] tag: u8, #[case] body: &[u8], #[case] wanted: CommandError) {
    assert_eq!(parse_command(tag, body), Err(wanted));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever a client sends, reading it ends, and what is read lies within what was sent.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
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
