//! Each documented failure of `accept`.

use super::*;
use rstest::rstest;

/// Guards against a busy loop while a shortage lasts, and against a pause that holds up others for one broken
/// connection.
#[rstest]
#[case(Errno::INTR, false)]
#[case(Errno::CONNABORTED, false)]
#[case(Errno::PROTO, false)]
#[case(Errno::MFILE, true)]
#[case(Errno::NFILE, true)]
#[case(Errno::NOBUFS, true)]
#[case(Errno::NOMEM, true)]
#[case(Errno::PERM, true)]
fn only_what_lasts_is_waited_for(#[case] errno: Errno, #[case] pauses: bool) {
    assert_eq!(pause_after(&errno.into()).is_some(), pauses);
}
