//! A connection's one buffer: grows as needed, compacted in place, given back when a large message is done.

use async_io::Async;
use futures_lite::AsyncReadExt as _;
use std::cell::Cell;
use std::io::{self, Read as _};
use std::net::TcpStream;
use std::rc::Rc;

/// The size of a buffer at its first read.
const INITIAL_SIZE: usize = 2048;
/// A buffer up to this size keeps its memory when it is empty, and does not count as large.
const RETAINED_SIZE: usize = 16 * 1024;

/// What all buffers together may hold beyond what each keeps: many large messages at once, sent whole or in part,
/// must not take the process over its memory limit.
pub struct MemoryBudget {
    large: Cell<usize>,
    limit: usize,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            large: Cell::new(0),
            limit,
        })
    }
}

/// All buffers together may not grow any further: a limit of the router's own, not a failed system call.
#[derive(Debug, thiserror::Error)]
#[error("the memory for large messages is used up")]
pub struct MemoryLimitReached;

impl MemoryLimitReached {
    /// Whether this is why a buffer could not be filled.
    pub fn caused(error: &io::Error) -> bool {
        error
            .get_ref()
            .is_some_and(|e| e.is::<MemoryLimitReached>())
    }
}

/// What has been read from one connection and not been consumed.
pub struct Buffer {
    memory: Rc<MemoryBudget>,
    data: Vec<u8>,
    start: usize,
    end: usize,
    /// Bytes read since the connection began.
    read: u64,
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.release();
    }
}

/// The part of a buffer of this size that counts against the budget.
fn large_part(len: usize) -> usize {
    len.saturating_sub(RETAINED_SIZE)
}

impl Buffer {
    /// An empty buffer, which takes its memory from `memory`.
    pub fn new(memory: &Rc<MemoryBudget>) -> Buffer {
        Buffer {
            memory: memory.clone(),
            data: Vec::new(),
            start: 0,
            end: 0,
            read: 0,
        }
    }

    /// What has been read and not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// How many bytes have been read since the connection began.
    pub fn bytes_read(&self) -> u64 {
        self.read
    }

    /// Drops the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.data.len() > RETAINED_SIZE {
                // One large value must not hold its memory for as long as the connection lives.
                self.release();
            }
        }
    }

    /// Throws everything away and gives the memory back.
    pub fn release(&mut self) {
        self.memory
            .large
            .set(self.memory.large.get() - large_part(self.data.len()));
        (self.data, self.start, self.end) = (Vec::new(), 0, 0);
    }

    fn room(&mut self) -> io::Result<&mut [u8]> {
        if self.start > 0 && self.end == self.data.len() {
            self.data.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.data.len() {
            let len = (self.data.len() * 2).max(INITIAL_SIZE);
            let all = self.memory.large.get() + large_part(len) - large_part(self.data.len());
            if all > self.memory.limit {
                return Err(io::Error::new(
                    io::ErrorKind::OutOfMemory,
                    MemoryLimitReached,
                ));
            }
            self.memory.large.set(all);
            self.data.resize(len, 0);
        }
        Ok(&mut self.data[self.end..])
    }

    fn on_read(&mut self, n: usize) {
        self.end += n;
        self.read += n as u64;
    }

    /// Reads what has come, without waiting for more.
    pub fn try_fill(&mut self, mut stream: &TcpStream) -> io::Result<usize> {
        let n = stream.read(self.room()?)?;
        self.on_read(n);
        Ok(n)
    }

    /// Reads once, again where a signal interrupts it; 0 is the end of the stream. Nothing is lost if the future is
    /// dropped while it waits.
    pub async fn fill(&mut self, mut stream: &Async<TcpStream>) -> io::Result<usize> {
        loop {
            match stream.read(self.room()?).await {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
                Ok(n) => {
                    self.on_read(n);
                    return Ok(n);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
