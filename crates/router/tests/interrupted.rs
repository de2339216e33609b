//! Input and output under signals: an interrupted call has done nothing, and is made again.

#[path = "../src/runtime/interrupted.rs"]
mod interrupted;

use futures_lite::AsyncWrite;
use futures_lite::future::block_on;
use interrupted::{retry_interrupted, write_all};
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Takes three bytes at a time, and is interrupted before each time.
#[derive(Default)]
struct Interrupted {
    taken: Vec<u8>,
    calls: usize,
}

impl AsyncWrite for Interrupted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.calls += 1;
        if self.calls % 2 == 1 {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        let taken = bytes.len().min(3);
        self.taken.extend_from_slice(&bytes[..taken]);
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[test]
fn an_interrupted_write_goes_on_where_it_was() {
    let mut stream = Interrupted::default();
    block_on(write_all(&mut stream, b"GET /api/targets")).unwrap();
    assert_eq!(stream.taken, b"GET /api/targets");
}

#[test]
fn an_interrupted_operation_is_run_again_and_other_errors_are_not() {
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
