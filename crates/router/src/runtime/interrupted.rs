//! Retries I/O operations that a signal interrupted (`EINTR`). An interrupted operation has had no effect.

use futures_lite::{AsyncWrite, AsyncWriteExt as _};
use std::io::{self, ErrorKind};

/// Runs `operation` until it is not interrupted, and returns its result.
pub async fn retry_interrupted<T>(
    mut operation: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match operation().await {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes all of `bytes`, and retries each write that is interrupted.
///
/// # Errors
/// Returns the error of the write, or [`ErrorKind::WriteZero`] if the stream accepts no more bytes.
pub async fn write_all(mut stream: impl AsyncWrite + Unpin, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        match retry_interrupted(async || stream.write(rest).await).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            written => rest = &rest[written..],
        }
    }
    Ok(())
}
