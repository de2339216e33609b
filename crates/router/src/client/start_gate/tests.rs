//! Tests of the start of requests while input is left unread.

use super::{RESET_TIME, StartGate};

/// Guards against requests that start for a client that has left, and against a client that stays and is not served on.
#[test]
fn next_batch_starts_after_a_write_without_a_reset() {
    let mut gate = StartGate::default();
    assert!(gate.may_start(100, true));
    gate.on_started();
    assert!(!gate.may_start(10 * RESET_TIME, true));
    let written_at = 20 * RESET_TIME;
    gate.on_written(written_at);
    gate.on_written(written_at + 1);
    assert_eq!(gate.opens_at(), Some(written_at + RESET_TIME));
    assert!(!gate.may_start(written_at + RESET_TIME - 1, true));
    assert!(gate.may_start(written_at + RESET_TIME, true));
    gate.on_started();
    assert!(gate.may_start(written_at + RESET_TIME, false));
}
