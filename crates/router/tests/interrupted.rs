//! Tests that input and output calls are retried after a signal interrupts them (EINTR): an interrupted call has had no
//! effect.

#[path = "../src/runtime/interrupted.rs"]
mod interrupted;

use futures_lite::AsyncWrite;
use futures_lite::future::block_on;
use interrupted::{retry_interrupted, write_all};
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Accepts up to three bytes per write. The first call, and then every second one, fails as interrupted.
#[derive(Default)]
struct InterruptedWriter {
    written: Vec<u8>,
    calls: usize,
}

impl AsyncWrite for InterruptedWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.calls += 1;
        if self.calls % 2 == 1 {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        let length = bytes.len().min(3);
        self.written.extend_from_slice(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against bytes that are lost or repeated when a signal interrupts a write of several parts.
#[test]
fn interrupted_write_continues_at_the_same_byte() {
    let mut stream = InterruptedWriter::default();
    block_on(write_all(&mut stream, b"GET /api/targets")).unwrap();
    assert_eq!(stream.written, b"GET /api/targets");
}

/// Guards against a connection that is closed because of an interrupted call, and against a retry of any other error.
#[test]
fn interrupted_operation_is_retried_and_other_errors_are_returned() {
    let mut calls = 0;
    let result = block_on(retry_interrupted(async || {
        calls += 1;
        match calls {
            1..=5 => Err(io::Error::from(ErrorKind::Interrupted)),
            _ => Err::<(), _>(io::Error::from(ErrorKind::ConnectionReset)),
        }
    }));
    assert_eq!(result.unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(calls, 6);
}
