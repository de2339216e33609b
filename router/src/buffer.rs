//! A connection's one buffer: grows as needed, compacted in place, given back when a large message is done.

use async_io::Async;
use futures_lite::AsyncReadExt as _;
use std::io;
use std::net::TcpStream;

const FIRST: usize = 2048;
const KEEP: usize = 16 * 1024;

#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// What has been read and not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.data.len() > KEEP {
                // One large value must not hold its memory for as long as the connection lives.
                self.data = Vec::new();
            }
        }
    }

    fn room(&mut self) -> &mut [u8] {
        if self.start > 0 && self.end == self.data.len() {
            self.data.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.data.len() {
            let len = (self.data.len() * 2).max(FIRST);
            self.data.resize(len, 0);
        }
        &mut self.data[self.end..]
    }

    /// Reads once; 0 is the end of the stream. Nothing is lost if the future is dropped while it waits.
    pub async fn fill(&mut self, mut stream: &Async<TcpStream>) -> io::Result<usize> {
        let n = stream.read(self.room()).await?;
        self.end += n;
        Ok(n)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_compacts_before_it_grows_and_gives_large_memory_back() {
        let mut b = Buffer::default();
        let n = b.room().len();
        b.end = n;
        b.consume(n / 2);
        b.room();
        assert_eq!((b.start, b.end, b.data.len()), (0, n - n / 2, n));
        while b.data.len() <= KEEP {
            b.end = b.data.len();
            b.room();
        }
        b.end = b.data.len();
        b.consume(b.end);
        assert_eq!((b.bytes().len(), b.data.capacity()), (0, 0));
    }
}
