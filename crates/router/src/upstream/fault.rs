//! Classification of failures on a connection to an endpoint: their origin, and whether the endpoint may have executed
//! the request.
//!
//! If the router's host is short of descriptors, ports, memory or routes, that is no evidence about an endpoint, so
//! such a failure must not count towards its ejection. Whether a request may have been executed depends on the stage
//! alone: it cannot have been while too little of it was written for the endpoint to execute it, and it may have been
//! afterwards.

use reelrill_pg_protocol::sqlstate;
use reelrill_routing::AttemptOutcome;
use rustix::io::Errno;
use std::io;

/// The stage of a connection at which a system call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The connection was being established: socket, connect and startup.
    Connect,
    /// Too little of the request had been written for the endpoint to execute it.
    Write,
    /// The request had been written, and its response was awaited.
    Read,
}

/// The origin of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultOrigin {
    /// The router's host: it is short of descriptors, buffers, memory, ports or routes.
    Host,
    /// The endpoint, or the network between it and the router.
    Endpoint,
    /// Neither of them: a signal interrupted the call, which must be repeated.
    Interrupted,
}

/// The classification of a failed system call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IoFault {
    /// The origin of the failure.
    pub origin: FaultOrigin,
    /// Whether the endpoint may have executed the request.
    pub is_possibly_executed: bool,
}

/// Classifies the error of a system call that was made at `stage`.
pub fn classify(error: &io::Error, stage: Stage) -> IoFault {
    let origin = match Errno::from_io_error(error) {
        Some(Errno::INTR) => FaultOrigin::Interrupted,
        Some(errno) if is_host_error(errno) => FaultOrigin::Host,
        _ => FaultOrigin::Endpoint,
    };
    IoFault {
        origin,
        is_possibly_executed: stage == Stage::Read,
    }
}

/// Returns whether the router's host raises this error by itself, without a packet from the network.
fn is_host_error(errno: Errno) -> bool {
    matches!(
        errno,
        Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::AGAIN
            | Errno::NETUNREACH
            | Errno::NETDOWN
            | Errno::ACCESS
            | Errno::PERM
    )
}

/// The reason for which a request got no complete response on its connection.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was closed or held unread bytes before any of the request was written.
    #[error("the connection was closed or held unexpected bytes before the request was written")]
    StaleConnection,
    /// The request must not be written any more, and too little of it was written for the endpoint to execute it.
    #[error(
        "the request was withdrawn before enough of it was written for the endpoint to execute it"
    )]
    Withdrawn,
    /// The connection failed too early for the endpoint to execute the request.
    #[error(
        "the connection failed before enough of the request was written for the endpoint to execute it"
    )]
    NotWritten(FaultOrigin),
    /// The connection failed while the response was awaited. The endpoint may have executed the request.
    #[error("the connection broke or was closed before the response was complete")]
    ConnectionBroken,
    /// The endpoint may have executed the request, but neither its response nor the connection can be used.
    #[error("the bytes received are not a valid response")]
    MalformedResponse,
}

impl ExchangeError {
    /// Converts the error of a failed write or read. A failure of the router's host after the request was written is no
    /// evidence about the endpoint, so it counts as a response that could not be read.
    pub fn from_io(error: &io::Error, stage: Stage) -> ExchangeError {
        let fault = classify(error, stage);
        match fault.origin {
            origin if !fault.is_possibly_executed => ExchangeError::NotWritten(origin),
            FaultOrigin::Endpoint => ExchangeError::ConnectionBroken,
            FaultOrigin::Host | FaultOrigin::Interrupted => ExchangeError::MalformedResponse,
        }
    }

    /// Returns the outcome of the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            ExchangeError::StaleConnection
            | ExchangeError::Withdrawn
            | ExchangeError::NotWritten(FaultOrigin::Host | FaultOrigin::Interrupted) => {
                AttemptOutcome::NotSent
            }
            ExchangeError::NotWritten(FaultOrigin::Endpoint) => AttemptOutcome::ConnectFailed,
            ExchangeError::ConnectionBroken => AttemptOutcome::ConnectionReset,
            ExchangeError::MalformedResponse => AttemptOutcome::MalformedResponse,
        }
    }
}

/// Returns the outcome of an attempt whose connection could not be established. The request cannot have been executed.
pub fn connect_outcome(error: &io::Error) -> AttemptOutcome {
    match classify(error, Stage::Connect).origin {
        FaultOrigin::Endpoint => AttemptOutcome::ConnectFailed,
        FaultOrigin::Host | FaultOrigin::Interrupted => AttemptOutcome::NotSent,
    }
}

/// Returns the outcome of an attempt to which the endpoint responded with an error. It depends on the SQLSTATE, as the
/// protocol's table of errors defines, or else on its class: in classes 22 (data) and 42 (syntax) the statement is at
/// fault.
pub fn sqlstate_outcome(code: &str) -> AttemptOutcome {
    match code {
        sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => {
            AttemptOutcome::Misrouted
        }
        sqlstate::TOO_MANY_CONNECTIONS => AttemptOutcome::Overloaded,
        sqlstate::PROTOCOL_VIOLATION => AttemptOutcome::InvalidRequest,
        // Only a prepared statement gets this error, and only if the endpoint has dropped it twice in a row.
        sqlstate::INVALID_SQL_STATEMENT_NAME => AttemptOutcome::NotSent,
        _ if code.starts_with("22") || code.starts_with("42") => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Error,
    }
}

#[cfg(test)]
mod tests;
