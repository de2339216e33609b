//! Tests of writes that are short, interrupted or blocked.

use super::*;
use futures_lite::AsyncWrite;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

/// A writer that returns a scripted result for each call, and then accepts everything.
struct ScriptedWriter {
    results: VecDeque<io::Result<usize>>,
    written: Vec<u8>,
}

impl AsyncWrite for ScriptedWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.results.pop_front().unwrap_or(Ok(bytes.len()));
        if let Ok(len) = result {
            self.written.extend_from_slice(&bytes[..len]);
        }
        Poll::Ready(result)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a response that is cut off or damaged by EINTR or a short write.
#[test]
fn interrupted_and_short_writes_are_continued() {
    let results = VecDeque::from([
        Err(ErrorKind::Interrupted.into()),
        Ok(2),
        Err(ErrorKind::Interrupted.into()),
    ]);
    let mut writer = ScriptedWriter {
        results,
        written: Vec::new(),
    };
    futures_lite::future::block_on(write_all(&mut writer, b"response")).unwrap();
    assert_eq!(writer.written, b"response");
}

/// Guards against an endless loop on a socket that accepts no bytes, and against further writes to a broken one.
#[test]
fn a_write_without_progress_is_an_error() {
    for result in [Ok(0), Err(ErrorKind::BrokenPipe.into())] {
        let mut writer = ScriptedWriter {
            results: VecDeque::from([result]),
            written: Vec::new(),
        };
        assert!(futures_lite::future::block_on(write_all(&mut writer, b"response")).is_err());
    }
}

/// Guards against outstanding requests that are not cancelled when their client disconnects without reading a response:
/// the write to it is blocked, and must detect the disconnect.
#[test]
fn a_disconnect_ends_a_blocked_write() {
    // The number of bytes of a write; more than the system buffers for a connection that is not read.
    const BLOCKING_WRITE_SIZE: usize = 1 << 26;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let router = Async::new(listener.accept().unwrap().0).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let started_at = Instant::now();
    let written =
        futures_lite::future::block_on(write_to_client(&router, &vec![0; BLOCKING_WRITE_SIZE]));
    assert_eq!(written, Err(CloseReason::DisconnectedWhileWaiting));
    assert!(
        started_at.elapsed() < WRITE_TIMEOUT / 2,
        "{:?}",
        started_at.elapsed()
    );
}
