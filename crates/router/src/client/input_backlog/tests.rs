//! Tests of when everything that a client has written counts as read.

use super::*;
use rstest::rstest;

/// A start time in nanoseconds, long after the clock's zero.
const START: Timestamp = 1_000_000_000_000;

/// Guards against a close between two parts of a client's input: after a read that may have opened the receive window,
/// the rest counts as possibly in transit until the client has paused.
#[rstest]
#[case::small_read(MIN_WINDOW - 1, ReadEnd::SocketEmpty, false)]
#[case::large_read(MIN_WINDOW, ReadEnd::SocketEmpty, true)]
#[case::left_unread(1, ReadEnd::LimitReached, true)]
fn input_may_follow_a_read_that_opened_the_receive_window(
    #[case] length: u64,
    #[case] end: ReadEnd,
    #[case] may_exist: bool,
) {
    let mut backlog = InputBacklog::default();
    backlog.on_read(START, length, end);
    assert_eq!(backlog.may_exist_at(START + INPUT_PAUSE - 1), may_exist);
    // Input that is left unread is not a pause of the client.
    assert_eq!(
        backlog.may_exist_at(START + INPUT_PAUSE),
        end == ReadEnd::LimitReached
    );
}

/// Guards against the end of a backlog while its input still arrives in small parts, and against one that never ends.
#[test]
fn backlog_ends_once_the_client_pauses() {
    let mut backlog = InputBacklog::default();
    backlog.on_read(START, 1, ReadEnd::LimitReached);
    let resumed_at = START + 10 * INPUT_PAUSE;
    backlog.on_read(resumed_at, 1, ReadEnd::SocketEmpty);
    for part in 1..5 {
        let now = resumed_at + part * (INPUT_PAUSE - 1);
        assert!(backlog.may_exist_at(now));
        backlog.on_read(now, 1 + part, ReadEnd::SocketEmpty);
    }
    assert!(!backlog.may_exist_at(backlog.paused_at()));
    backlog.on_read(backlog.paused_at(), 6, ReadEnd::SocketEmpty);
    assert!(!backlog.may_exist_at(backlog.paused_at() - 1));
}
