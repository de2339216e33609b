use super::*;
use rstest::rstest;
use rustix::io::Errno;

#[test]
fn reports_are_read_towards_staler_data() {
    let r = read_report("x0=1767225600.25,x1=1,inflight=7,util=0.61");
    assert_eq!(r.role, Some(Role::Primary));
    assert!(
        r.applied_position
            .is_some_and(|p| p <= 1_767_225_600_249_000_000 && p > 1_767_225_600_248_000_000)
    );
    assert_eq!(read_report("nonsense"), ReplicationStatus::default());
}

/// Guards against a broken connection that reads as a malformed answer or as a lack of the router's own memory, and
/// against a lack of this host's that counts against the endpoint.
#[rstest]
#[case(
    Errno::TIMEDOUT,
    AttemptOutcome::ConnectFailed,
    Fault::NotWritten(Blame::Endpoint),
    Fault::Broken
)]
#[case(
    Errno::HOSTUNREACH,
    AttemptOutcome::ConnectFailed,
    Fault::NotWritten(Blame::Endpoint),
    Fault::Broken
)]
#[case(
    Errno::PIPE,
    AttemptOutcome::ConnectFailed,
    Fault::NotWritten(Blame::Endpoint),
    Fault::Broken
)]
#[case(
    Errno::CONNRESET,
    AttemptOutcome::ConnectFailed,
    Fault::NotWritten(Blame::Endpoint),
    Fault::Broken
)]
#[case(
    Errno::CONNREFUSED,
    AttemptOutcome::ConnectFailed,
    Fault::NotWritten(Blame::Endpoint),
    Fault::Broken
)]
#[case(
    Errno::CONNABORTED,
    AttemptOutcome::ConnectFailed,
    Fault::NotWritten(Blame::Endpoint),
    Fault::Broken
)]
#[case(
    Errno::NFILE,
    AttemptOutcome::NotSent,
    Fault::NotWritten(Blame::Host),
    Fault::Spoilt
)]
#[case(
    Errno::MFILE,
    AttemptOutcome::NotSent,
    Fault::NotWritten(Blame::Host),
    Fault::Spoilt
)]
#[case(
    Errno::NOBUFS,
    AttemptOutcome::NotSent,
    Fault::NotWritten(Blame::Host),
    Fault::Spoilt
)]
#[case(
    Errno::NOMEM,
    AttemptOutcome::NotSent,
    Fault::NotWritten(Blame::Host),
    Fault::Spoilt
)]
#[case(
    Errno::ADDRNOTAVAIL,
    AttemptOutcome::NotSent,
    Fault::NotWritten(Blame::Host),
    Fault::Spoilt
)]
#[case(
    Errno::NETUNREACH,
    AttemptOutcome::NotSent,
    Fault::NotWritten(Blame::Host),
    Fault::Spoilt
)]
fn a_failed_call_means_the_same_at_each_stage(
    #[case] errno: Errno,
    #[case] dial: AttemptOutcome,
    #[case] write: Fault,
    #[case] read: Fault,
) {
    let error = io::Error::from_raw_os_error(errno.raw_os_error());
    assert_eq!(dial_ending(&error), dial);
    assert_eq!(fault_of(&error, Stage::Write), write);
    assert_eq!(fault_of(&error, Stage::Read), read);
}
