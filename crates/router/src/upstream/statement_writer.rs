//! Writes a statement to an endpoint, piece by piece, as long as it may be written.
//!
//! Whether it may is checked again immediately before each write to the socket. A socket can take the rest of a statement
//! at any time, even when it is not reported as writable, so a check before the wait is not enough.

use super::fault::Stage;
use crate::write_permit::WritePermit;
use async_io::Async;
use reelrill_routing::Nanos;
use std::io::{self, ErrorKind, Write as _};
use std::net::TcpStream;

/// The conditions under which a statement may be written.
pub struct WriteConditions<'a> {
    /// Ends when the dispatcher ends the attempt.
    pub permit: &'a WritePermit,
    /// Returns the time in nanoseconds that is left for the response if the statement is written now, or `None` if it
    /// must not become executable any more.
    pub time_left: &'a dyn Fn() -> Option<Nanos>,
}

/// The reason for which a statement was not written completely.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The attempt has ended, or the statement must not become executable any more. What was written is not executable,
    /// or the attempt was ended as possibly executed.
    #[error("the statement must not be written any more")]
    NotPermitted,
    /// A write failed at this stage.
    #[error("writing the statement failed")]
    Failed {
        /// The error of the system call.
        #[source]
        error: io::Error,
        /// Whether enough had been written for the endpoint to execute the statement.
        stage: Stage,
    },
}

/// Writes the messages of one statement. Once the first `executable_length` bytes are written, the endpoint may execute
/// it.
///
/// # Errors
/// Fails if the statement may not be written any more, or a write fails. The connection must be closed then.
pub async fn write_statement(
    stream: &Async<TcpStream>,
    messages: &[u8],
    executable_length: usize,
    conditions: &WriteConditions<'_>,
) -> Result<(), WriteError> {
    let mut written = 0;
    while written < messages.len() {
        let is_executable = written >= executable_length;
        let write = |socket: &TcpStream| {
            if !is_executable && (conditions.time_left)().is_none() {
                return Ok(None);
            }
            let write = || write_once(socket, &messages[written..]);
            conditions
                .permit
                .write(write, |length| written + length >= executable_length)
        };
        match stream.write_with(write).await {
            Ok(Some(length)) => written += length,
            Ok(None) => return Err(WriteError::NotPermitted),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => {
                let stage = if is_executable {
                    Stage::Read
                } else {
                    Stage::Write
                };
                return Err(WriteError::Failed { error, stage });
            }
        }
    }
    Ok(())
}

fn write_once(mut socket: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    match socket.write(bytes)? {
        0 => Err(ErrorKind::WriteZero.into()),
        length => Ok(length),
    }
}

#[cfg(test)]
mod tests;
