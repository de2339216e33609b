//! Tests of the classification of failures.

use super::{ExchangeError, FaultOrigin, IoFault, Stage, classify, connect_outcome};
use reelrill_routing::AttemptOutcome;
use rstest::rstest;
use rustix::io::Errno;
use std::io;

/// Guards against a failure of the router's host that counts towards the ejection of an endpoint, and against
/// `is_possibly_executed` depending on the error instead of the stage.
#[rstest]
#[case(Errno::CONNABORTED, FaultOrigin::Endpoint)]
#[case(Errno::NFILE, FaultOrigin::Host)]
#[case(Errno::MFILE, FaultOrigin::Host)]
#[case(Errno::NOBUFS, FaultOrigin::Host)]
#[case(Errno::NOMEM, FaultOrigin::Host)]
#[case(Errno::ADDRNOTAVAIL, FaultOrigin::Host)]
#[case(Errno::NETUNREACH, FaultOrigin::Host)]
#[case(Errno::TIMEDOUT, FaultOrigin::Endpoint)]
#[case(Errno::HOSTUNREACH, FaultOrigin::Endpoint)]
#[case(Errno::PIPE, FaultOrigin::Endpoint)]
#[case(Errno::CONNRESET, FaultOrigin::Endpoint)]
#[case(Errno::CONNREFUSED, FaultOrigin::Endpoint)]
#[case(Errno::INTR, FaultOrigin::Interrupted)]
fn each_error_has_one_origin_at_every_stage(#[case] errno: Errno, #[case] origin: FaultOrigin) {
    let error = io::Error::from_raw_os_error(errno.raw_os_error());
    for (stage, is_possibly_executed) in [
        (Stage::Connect, false),
        (Stage::Write, false),
        (Stage::Read, true),
    ] {
        assert_eq!(
            classify(&error, stage),
            IoFault {
                origin,
                is_possibly_executed
            },
            "{errno} at {stage:?}"
        );
    }
}

/// Guards against an error without an errno that is attributed to the router's host. All failures of the host have an
/// errno, so the origin of any other error is the endpoint.
#[test]
fn an_error_without_an_errno_originates_at_the_endpoint() {
    for kind in [
        io::ErrorKind::WriteZero,
        io::ErrorKind::UnexpectedEof,
        io::ErrorKind::OutOfMemory,
    ] {
        assert_eq!(
            classify(&kind.into(), Stage::Read).origin,
            FaultOrigin::Endpoint
        );
    }
}

/// Guards against a broken connection that is reported as a malformed response or as a shortage on the router's host,
/// and against a shortage on the host that counts against the endpoint.
#[rstest]
#[case(
    Errno::TIMEDOUT,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(FaultOrigin::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::HOSTUNREACH,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(FaultOrigin::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::PIPE,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(FaultOrigin::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::CONNRESET,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(FaultOrigin::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::CONNREFUSED,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(FaultOrigin::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::CONNABORTED,
    AttemptOutcome::ConnectFailed,
    ExchangeError::NotWritten(FaultOrigin::Endpoint),
    ExchangeError::ConnectionBroken
)]
#[case(
    Errno::NFILE,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(FaultOrigin::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::MFILE,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(FaultOrigin::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::NOBUFS,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(FaultOrigin::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::NOMEM,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(FaultOrigin::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::ADDRNOTAVAIL,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(FaultOrigin::Host),
    ExchangeError::MalformedResponse
)]
#[case(
    Errno::NETUNREACH,
    AttemptOutcome::NotSent,
    ExchangeError::NotWritten(FaultOrigin::Host),
    ExchangeError::MalformedResponse
)]
fn a_failed_call_has_the_expected_outcome_at_each_stage(
    #[case] errno: Errno,
    #[case] connect: AttemptOutcome,
    #[case] write: ExchangeError,
    #[case] read: ExchangeError,
) {
    let error = io::Error::from_raw_os_error(errno.raw_os_error());
    assert_eq!(connect_outcome(&error), connect);
    assert_eq!(ExchangeError::from_io(&error, Stage::Write), write);
    assert_eq!(ExchangeError::from_io(&error, Stage::Read), read);
}
