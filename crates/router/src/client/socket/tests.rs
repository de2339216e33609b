//! Writes that the host cuts short or interrupts.

use super::*;
use futures_lite::AsyncWrite;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

/// A writer that does what its script says for each call, and then takes everything.
struct Scripted {
    script: VecDeque<io::Result<usize>>,
    taken: Vec<u8>,
}

impl AsyncWrite for Scripted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let step = self.script.pop_front().unwrap_or(Ok(bytes.len()));
        if let Ok(n) = step {
            self.taken.extend_from_slice(&bytes[..n]);
        }
        Poll::Ready(step)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards an answer against EINTR and short writes.
#[test]
fn interrupted_and_short_writes_go_on() {
    let script = VecDeque::from([
        Err(ErrorKind::Interrupted.into()),
        Ok(2),
        Err(ErrorKind::Interrupted.into()),
    ]);
    let mut writer = Scripted {
        script,
        taken: Vec::new(),
    };
    futures_lite::future::block_on(write_all(&mut writer, b"answer")).unwrap();
    assert_eq!(writer.taken, b"answer");
}

/// Guards against an endless loop on a socket that takes nothing, and against a broken one being written again.
#[test]
fn what_can_not_be_written_is_an_error() {
    for step in [Ok(0), Err(ErrorKind::BrokenPipe.into())] {
        let mut writer = Scripted {
            script: VecDeque::from([step]),
            taken: Vec::new(),
        };
        assert!(futures_lite::future::block_on(write_all(&mut writer, b"answer")).is_err());
    }
}

/// Guards what else is out for a client that goes without reading its answer: its end is seen during the write.
#[test]
fn a_hang_up_ends_a_blocked_write() {
    // More than the system takes for a connection on which nobody reads.
    const MORE_THAN_FITS: usize = 1 << 26;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let router = Async::new(listener.accept().unwrap().0).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let began = Instant::now();
    let written =
        futures_lite::future::block_on(write_to_client(&router, &vec![0; MORE_THAN_FITS]));
    assert_eq!(written, Err(CloseReason::DisconnectedWhileWaiting));
    assert!(began.elapsed() < WRITE_TIMEOUT / 2, "{:?}", began.elapsed());
}
