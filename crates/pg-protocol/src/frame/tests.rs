//! Tests of `frame`.

use super::*;
use rstest::rstest;

/// Guards the parsing of lengths: a message is returned only when complete, and a wrong length is an error as soon as
/// it has been received.
#[rstest]
#[case(&[], Ok(None))]
#[case(b"Q\0\0\0", Ok(None))]
#[case(b"Q\0\0\0\x06a", Ok(None))]
#[case(b"Q\0\0\0\x06a\0rest", Ok(Some((b'Q', &b"a\0"[..], 7))))]
#[case(b"Q\0\0\0\x03", Err(FrameError::Malformed))]
#[case(b"Q\x7f\0\0\0", Err(FrameError::Oversized(0x7f00_0000)))]
#[case(b"B\0\x01\0\0", Err(FrameError::Oversized(0x1_0000)))]
#[case(b"E\0\x01\0\0", Err(FrameError::Oversized(0x1_0000)))]
fn parses_complete_client_messages_and_rejects_wrong_lengths(
    #[case] bytes: &[u8],
    #[case] expected: Result<Option<Frame>, FrameError>,
) {
    assert_eq!(parse_frontend(bytes, false), expected);
}
