//! Whose fault a failed system call on a connection to an endpoint is, and what the endpoint may have done by then.
//!
//! A router short of descriptors, ports, memory or routes of its own says nothing about an endpoint, so such a failure
//! must not count towards its ejection. What a failed call means for a request depends on the stage alone: nothing has
//! run before the last byte is written, and anything may have run after it.

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

#[cfg(test)]
mod tests;
