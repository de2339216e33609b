use super::{Blame, ExchangeError, IoFault, Stage, classify, outcome_of_dial};
use reelrill_routing::AttemptOutcome;
use rstest::rstest;
use rustix::io::Errno;
use std::io;

/// The table of errors: who is to blame, at every stage; and what may have run is a matter of the stage alone.
#[rstest]
#[case(Errno::CONNABORTED, Blame::Endpoint)]
#[case(Errno::NFILE, Blame::Host)]
#[case(Errno::MFILE, Blame::Host)]
#[case(Errno::NOBUFS, Blame::Host)]
#[case(Errno::NOMEM, Blame::Host)]
#[case(Errno::ADDRNOTAVAIL, Blame::Host)]
#[case(Errno::NETUNREACH, Blame::Host)]
#[case(Errno::TIMEDOUT, Blame::Endpoint)]
#[case(Errno::HOSTUNREACH, Blame::Endpoint)]
#[case(Errno::PIPE, Blame::Endpoint)]
#[case(Errno::CONNRESET, Blame::Endpoint)]
#[case(Errno::CONNREFUSED, Blame::Endpoint)]
#[case(Errno::INTR, Blame::Nobody)]
fn every_error_has_its_blame_at_every_stage(#[case] errno: Errno, #[case] blame: Blame) {
    let error = io::Error::from_raw_os_error(errno.raw_os_error());
    for (stage, possibly_executed) in [
        (Stage::Connect, false),
        (Stage::Write, false),
        (Stage::Read, true),
    ] {
        assert_eq!(
            classify(&error, stage),
            IoFault {
                blame,
                possibly_executed
            },
            "{errno} at {stage:?}"
        );
    }
}

/// An error that no system call made blames the endpoint: this host's lacks all have numbers.
#[test]
fn an_error_without_a_number_blames_the_endpoint() {
    for kind in [
        io::ErrorKind::WriteZero,
        io::ErrorKind::UnexpectedEof,
        io::ErrorKind::OutOfMemory,
    ] {
        assert_eq!(classify(&kind.into(), Stage::Read).blame, Blame::Endpoint);
    }
}

/// Guards against a broken connection that reads as a malformed answer or as a lack of the router's own memory, and
/// against a lack of this host's that counts against the endpoint.
#[rstest]
#[case(
    Errno::TIMEDOUT,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(Blame::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::HOSTUNREACH,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(Blame::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::PIPE,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(Blame::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::CONNRESET,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(Blame::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::CONNREFUSED,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(Blame::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::CONNABORTED,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(Blame::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::NFILE,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(Blame::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::MFILE,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(Blame::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::NOBUFS,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(Blame::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::NOMEM,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(Blame::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::ADDRNOTAVAIL,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(Blame::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::NETUNREACH,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(Blame::Host),
    ExchangeError::MalformedResponse
)]
fn a_failed_call_means_the_same_at_each_stage(
    #[case] errno: Errno,
    #[case] dial: AttemptOutcome,
    #[case] write: ExchangeError,
    #[case] read: ExchangeError,
) {
    let error = io::Error::from_raw_os_error(errno.raw_os_error());
    assert_eq!(outcome_of_dial(&error), dial);
    assert_eq!(ExchangeError::from_io(&error, Stage::Write), write);
    assert_eq!(ExchangeError::from_io(&error, Stage::Read), read);
}
