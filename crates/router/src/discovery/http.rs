//! A kept-alive HTTP/1.1 connection to the discovery service: one GET at a time.
//!
//! It owns the socket and its buffer, and logs one line when it ends. Timeouts are its caller's.

use crate::observability::close_reason::CloseReason;
use crate::runtime::buffer::{Buffer, MemoryBudget};
use crate::runtime::interrupted::{retry_interrupted, write_all};
use async_io::Async;
use slog::{Logger, info};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// The largest head, and the largest body, in bytes.
const MAX_SIZE: usize = 8 * 1024 * 1024;
/// The most header fields of a response.
const MAX_HEADERS: usize = 48;
/// The line break after a chunk's data.
const CHUNK_END: usize = 2;
/// The status of a response that holds a list.
const STATUS_OK: u16 = 200;

/// Why a request brought no body.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the answer is no HTTP: {0}")]
    Parse(#[from] httparse::Error),
    #[error("the answer's length is wrong")]
    Length,
    #[error("the connection was closed before the response was complete")]
    Closed,
    #[error("status {0}")]
    Status(u16),
}

/// The connection; see the module.
pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    host: SocketAddr,
    is_reusable: bool,
    /// Why it ends if it is dropped now.
    reason: CloseReason,
    log: Logger,
}

/// Exactly one log line for a connection that ends, wherever it is dropped.
impl Drop for Connection {
    fn drop(&mut self) {
        info!(self.log, "connection ended"; "with" => "discovery", "reason" => self.reason.code());
    }
}

/// How the end of a body is found.
enum Length {
    Fixed(usize),
    Chunked,
    ToEnd,
}

impl Connection {
    /// Connects to `host`.
    ///
    /// # Errors
    /// If the connection can't be established.
    pub async fn open(
        host: SocketAddr,
        memory: &Rc<MemoryBudget>,
        log: Logger,
    ) -> Result<Connection, HttpError> {
        let stream = retry_interrupted(async || Async::<TcpStream>::connect(host).await).await?;
        stream.get_ref().set_nodelay(true)?;
        // Dropped inside a call: the caller took another or stopped waiting.
        let reason = CloseReason::Replaced;
        Ok(Connection {
            stream,
            buffer: Buffer::new(memory),
            host,
            is_reusable: true,
            reason,
            log,
        })
    }

    /// Whether another request may follow on this connection.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Closes the connection, for this reason.
    pub fn end(mut self, reason: CloseReason) {
        self.reason = reason;
    }

    /// Requests what is at `path`; returns once a response has begun.
    pub async fn request(&mut self, path: &str) -> Result<(), HttpError> {
        let result = self.send(path).await;
        self.record_result(result.as_ref().err());
        result
    }

    /// Reads the body of the response that has begun.
    pub async fn response(&mut self) -> Result<Vec<u8>, HttpError> {
        let result = self.read_response().await;
        self.record_result(result.as_ref().err());
        result
    }

    /// Why the connection will have ended if it is dropped after this.
    fn record_result(&mut self, error: Option<&HttpError>) {
        self.reason = match error {
            Some(HttpError::Closed) => CloseReason::Eof,
            Some(HttpError::Io(_)) => CloseReason::Reset,
            Some(HttpError::Parse(_) | HttpError::Length) => CloseReason::Malformed,
            Some(HttpError::Status(_)) => CloseReason::Rejected,
            None => CloseReason::Replaced,
        };
    }

    async fn send(&mut self, path: &str) -> Result<(), HttpError> {
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.host
        );
        write_all(&self.stream, head.as_bytes()).await?;
        if self.buffer.bytes().is_empty() {
            self.fill_more().await
        } else {
            Ok(())
        }
    }

    async fn read_response(&mut self) -> Result<Vec<u8>, HttpError> {
        let head = loop {
            if let Some((len, head)) = read_head(self.buffer.bytes())? {
                self.buffer.consume(len);
                break head;
            }
            self.fill_more().await?;
        };
        self.is_reusable = head.keeps_connection;
        let body = match head.length {
            Length::Fixed(len) => self.read_exact(len).await?,
            Length::Chunked => self.read_chunks().await?,
            Length::ToEnd => self.read_to_end().await?,
        };
        if head.status == STATUS_OK {
            Ok(body)
        } else {
            Err(HttpError::Status(head.status))
        }
    }

    async fn read_to_end(&mut self) -> Result<Vec<u8>, HttpError> {
        self.is_reusable = false;
        while self.fill().await? > 0 {
            if self.buffer.bytes().len() > MAX_SIZE {
                return Err(HttpError::Length);
            }
        }
        Ok(self.buffer.bytes().to_vec())
    }

    async fn fill(&mut self) -> std::io::Result<usize> {
        retry_interrupted(async || self.buffer.fill(&self.stream).await).await
    }

    /// Reads more bytes, of which there must be some.
    async fn fill_more(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().len() > MAX_SIZE {
            return Err(HttpError::Length);
        }
        match self.fill().await? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Takes the next `len` bytes.
    async fn read_exact(&mut self, len: usize) -> Result<Vec<u8>, HttpError> {
        if len > MAX_SIZE {
            return Err(HttpError::Length);
        }
        while self.buffer.bytes().len() < len {
            self.fill_more().await?;
        }
        let body = self.buffer.bytes()[..len].to_vec();
        self.buffer.consume(len);
        Ok(body)
    }

    /// Reads a body in chunks, up to the empty one.
    async fn read_chunks(&mut self) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let size =
                httparse::parse_chunk_size(self.buffer.bytes()).map_err(|_| HttpError::Length)?;
            let httparse::Status::Complete((line, size)) = size else {
                self.fill_more().await?;
                continue;
            };
            self.buffer.consume(line);
            let size = usize::try_from(size).map_err(|_| HttpError::Length)?;
            if size > MAX_SIZE || body.len() + size > MAX_SIZE {
                return Err(HttpError::Length);
            }
            let chunk = self.read_exact(size + CHUNK_END).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// The head of a response.
struct Head {
    status: u16,
    length: Length,
    keeps_connection: bool,
}

/// Reads a head, if it is complete, and says how many bytes it takes.
fn read_head(bytes: &[u8]) -> Result<Option<(usize, Head)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(len) = response.parse(bytes)? else {
        return Ok(None);
    };
    let mut keeps_connection = response.version == Some(1);
    let mut length = Length::ToEnd;
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Length::Fixed(value.parse().map_err(|_| HttpError::Length)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding")
            && value.eq_ignore_ascii_case("chunked")
        {
            length = Length::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            keeps_connection = !value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some((
        len,
        Head {
            status: response.code.unwrap_or(0),
            length,
            keeps_connection,
        },
    )))
}
