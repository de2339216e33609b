//! Tests of the pause after each documented error of `accept`.

use super::*;
use rstest::rstest;

/// Guards against a busy loop while the host is short of a resource, and against a pause after one broken connection,
/// which would delay all other clients.
#[rstest]
#[case(Errno::INTR, false)]
#[case(Errno::CONNABORTED, false)]
#[case(Errno::PROTO, false)]
#[case(Errno::MFILE, true)]
#[case(Errno::NFILE, true)]
#[case(Errno::NOBUFS, true)]
#[case(Errno::NOMEM, true)]
#[case(Errno::PERM, true)]
fn pauses_only_after_errors_that_may_persist(#[case] errno: Errno, #[case] should_pause: bool) {
    assert_eq!(pause_after(&errno.into()).is_some(), should_pause);
}
