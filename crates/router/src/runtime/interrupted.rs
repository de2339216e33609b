//! Input and output that a signal may interrupt (`EINTR`): nothing has happened then, and the same is tried again.

use futures_lite::{AsyncWrite, AsyncWriteExt as _};
use std::io::{self, ErrorKind};

/// Runs `operation` again for as long as it is interrupted.
pub async fn retry_interrupted<T>(
    mut operation: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match operation().await {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            ended => return ended,
        }
    }
}

/// Writes all bytes, however often it is interrupted.
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
