//! Implements the read buffer of a connection, which grows as needed, is compacted in place, and releases its memory
//! after a large message.

use async_io::Async;
use futures_lite::AsyncReadExt as _;
use std::cell::Cell;
use std::io::{self, Read as _};
use std::net::TcpStream;
use std::rc::Rc;

/// The size of a buffer at its first read, in bytes.
const INITIAL_SIZE: usize = 2048;
/// The largest size in bytes at which an empty buffer keeps its memory. Only the bytes above it count towards the
/// [`MemoryBudget`].
const RETAINED_SIZE: usize = 8 * 1024;

/// Limits the memory that all buffers together use beyond the retained size of each. Otherwise many large messages at
/// once, complete or not, could exceed the memory limit of the process.
pub struct MemoryBudget {
    /// The bytes in use.
    used: Cell<usize>,
    limit: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            used: Cell::new(0),
            limit,
        })
    }
}

/// The error of a buffer that would have to grow beyond the [`MemoryBudget`]. It is not the error of a system call.
#[derive(Debug, thiserror::Error)]
#[error("the memory budget for large messages is exhausted")]
pub struct MemoryLimitReached;

impl MemoryLimitReached {
    /// Returns whether the memory budget is the cause of `error`.
    pub fn caused(error: &io::Error) -> bool {
        error
            .get_ref()
            .is_some_and(|source| source.is::<MemoryLimitReached>())
    }
}

/// Holds the bytes that were read from a connection and not consumed yet.
pub struct Buffer {
    budget: Rc<MemoryBudget>,
    data: Vec<u8>,
    start: usize,
    end: usize,
    /// The number of bytes read since the connection was opened.
    bytes_read: u64,
    /// The number of bytes that are discarded as soon as they are read. Above 0 only while the buffer is empty.
    skipped_length: usize,
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.release();
    }
}

/// Returns the number of bytes that a buffer of `len` bytes takes from the budget.
fn counted_size(len: usize) -> usize {
    len.saturating_sub(RETAINED_SIZE)
}

impl Buffer {
    /// Creates an empty buffer that takes its memory from `budget`.
    pub fn new(budget: &Rc<MemoryBudget>) -> Buffer {
        Buffer {
            budget: budget.clone(),
            data: Vec::new(),
            start: 0,
            end: 0,
            bytes_read: 0,
            skipped_length: 0,
        }
    }

    /// Returns the bytes that were read and not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Returns the number of bytes read since the connection was opened.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Removes the first `length` bytes.
    pub fn consume(&mut self, length: usize) {
        self.start = (self.start + length).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.data.len() > RETAINED_SIZE {
                // One large value must not occupy memory until the connection closes.
                self.release();
            }
        }
    }

    /// Removes the first `length` bytes of the input. Those that have not been read yet are never stored: they are
    /// discarded by the reads that follow.
    pub fn skip(&mut self, length: usize) {
        self.skipped_length = length.saturating_sub(self.bytes().len());
        self.consume(length);
    }

    /// Returns whether input that must be skipped has not been read yet.
    pub fn is_skipping(&self) -> bool {
        self.skipped_length > 0
    }

    /// Discards the content, and returns the memory to the budget.
    pub fn release(&mut self) {
        self.budget
            .used
            .set(self.budget.used.get() - counted_size(self.data.len()));
        (self.data, self.start, self.end) = (Vec::new(), 0, 0);
    }

    /// Returns the free space for the next read. Compacts or grows the buffer if it has none.
    fn free_space(&mut self) -> io::Result<&mut [u8]> {
        if self.start > 0 && self.end == self.data.len() {
            self.data.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.is_skipping() && self.data.len() < RETAINED_SIZE {
            self.data.resize(RETAINED_SIZE, 0);
        }
        if self.end == self.data.len() {
            let len = (self.data.len() * 2).max(INITIAL_SIZE);
            let used = self.budget.used.get() + counted_size(len) - counted_size(self.data.len());
            if used > self.budget.limit {
                return Err(io::Error::new(
                    io::ErrorKind::OutOfMemory,
                    MemoryLimitReached,
                ));
            }
            self.budget.used.set(used);
            self.data.resize(len, 0);
        }
        Ok(&mut self.data[self.end..])
    }

    fn on_read(&mut self, length: usize) {
        self.end += length;
        self.bytes_read += length as u64;
        if self.is_skipping() {
            self.skip(self.skipped_length);
        }
    }

    /// Reads the available bytes without waiting. Returns their number; 0 is the end of the stream.
    pub fn try_fill(&mut self, mut stream: &TcpStream) -> io::Result<usize> {
        let length = stream.read(self.free_space()?)?;
        self.on_read(length);
        Ok(length)
    }

    /// Waits for bytes and reads them, and retries a read that a signal interrupts. Returns their number; 0 is the end
    /// of the stream. No bytes are lost if the future is dropped while it waits.
    pub async fn fill(&mut self, mut stream: &Async<TcpStream>) -> io::Result<usize> {
        loop {
            match stream.read(self.free_space()?).await {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
                Ok(length) => {
                    self.on_read(length);
                    return Ok(length);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
