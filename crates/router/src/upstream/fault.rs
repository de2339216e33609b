//! Whose fault a failed system call on a connection to an endpoint is, and what the endpoint may have done by then.
//!
//! A router short of descriptors, ports, memory or routes of its own says nothing about an endpoint, so such a failure
//! must not count towards its ejection. What a failed call means for a request depends on the stage alone: nothing has
//! run before the last byte is written, and anything may have run after it.

use reelrill_pg_protocol::sqlstate;
use reelrill_routing::AttemptOutcome;
use rustix::io::Errno;
use std::io;

/// What the connection was doing when a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The connection was being made: socket, connect and the start of the session.
    Connect,
    /// The request was not written as far as it can run.
    Write,
    /// The request was written, and its response was awaited.
    Read,
}

/// Who is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    /// This host lacks something: descriptors, buffers, memory, ports or a route.
    Host,
    /// The endpoint or the network on the way to it.
    Endpoint,
    /// Nobody: the call was interrupted and has to be made again.
    Nobody,
}

/// What a failed call means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IoFault {
    pub blame: Blame,
    /// The request of the connection may have run.
    pub possibly_executed: bool,
}

/// Classifies the error of a call that was made at `stage`.
pub fn classify(error: &io::Error, stage: Stage) -> IoFault {
    let blame = match Errno::from_io_error(error) {
        Some(Errno::INTR) => Blame::Nobody,
        Some(errno) if is_lack_of_host(errno) => Blame::Host,
        _ => Blame::Endpoint,
    };
    IoFault {
        blame,
        possibly_executed: stage == Stage::Read,
    }
}

/// Errors that this host makes without a packet from the network.
fn is_lack_of_host(errno: Errno) -> bool {
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

/// Why a request got no complete response on its connection.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// Nothing was written.
    #[error("the connection had ended, or held bytes that nobody asked for")]
    StaleConnection,
    /// Nothing has run.
    #[error("the connection failed before the last byte was written")]
    NotWritten(Blame),
    /// The request may have run.
    #[error("the connection broke or ended before the response was complete")]
    ConnectionBroken,
    /// The request has run, and the connection is of no further use.
    #[error("what came back is no response")]
    MalformedResponse,
}

impl ExchangeError {
    /// What a failed write or read means for the request. A lack of this host's own after the write tells nothing of
    /// the endpoint: it counts as a response that could not be read.
    pub fn from_io(error: &io::Error, stage: Stage) -> ExchangeError {
        let fault = classify(error, stage);
        match fault.blame {
            blame if !fault.possibly_executed => ExchangeError::NotWritten(blame),
            Blame::Endpoint => ExchangeError::ConnectionBroken,
            Blame::Host | Blame::Nobody => ExchangeError::MalformedResponse,
        }
    }

    /// What it means for the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            ExchangeError::StaleConnection
            | ExchangeError::NotWritten(Blame::Host | Blame::Nobody) => AttemptOutcome::NotSent,
            ExchangeError::NotWritten(Blame::Endpoint) => AttemptOutcome::ConnectFailed,
            ExchangeError::ConnectionBroken => AttemptOutcome::ConnectionReset,
            ExchangeError::MalformedResponse => AttemptOutcome::MalformedResponse,
        }
    }
}

/// What a connection that could not be made means for the attempt that waits for it: nothing has run.
pub fn outcome_of_dial(error: &io::Error) -> AttemptOutcome {
    match classify(error, Stage::Connect).blame {
        Blame::Endpoint => AttemptOutcome::ConnectFailed,
        Blame::Host | Blame::Nobody => AttemptOutcome::NotSent,
    }
}

/// What an endpoint's error code means for the attempt: by the protocol's table, and by the classes of codes that blame
/// the statement (22 for data, 42 for syntax).
pub fn outcome_of_error(code: &str) -> AttemptOutcome {
    match code {
        sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => {
            AttemptOutcome::Misrouted
        }
        sqlstate::TOO_MANY_CONNECTIONS => AttemptOutcome::Overloaded,
        sqlstate::PROTOCOL_VIOLATION => AttemptOutcome::InvalidRequest,
        // Only a prepared statement ends so: the endpoint has forgotten it, twice in a row.
        sqlstate::INVALID_SQL_STATEMENT_NAME => AttemptOutcome::NotSent,
        _ if code.starts_with("22") || code.starts_with("42") => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Error,
    }
}

#[cfg(test)]
mod tests;
