//! Sends GET requests on a kept-alive HTTP/1.1 connection to the discovery service, one at a time.
//!
//! The connection owns the socket and its buffer, and logs one line when it is dropped. The caller applies timeouts.

use crate::observability::close_reason::CloseReason;
use crate::runtime::buffer::Buffer;
use crate::runtime::interrupted::{retry_interrupted, write_all};
use crate::runtime::shared::Shared;
use async_io::Async;
use slog::info;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// The maximum size of a response's body in bytes.
const MAX_SIZE: usize = 8 * 1024 * 1024;
/// The maximum size of a response's head in bytes. The whole head is parsed again after each read.
const MAX_HEAD_SIZE: usize = 64 * 1024;
/// The maximum number of header fields in a response.
const MAX_HEADERS: usize = 48;
/// The length of the line break after a chunk's data, in bytes.
const CHUNK_END_LENGTH: usize = 2;
/// The HTTP status of a response whose body is an endpoint list.
const STATUS_OK: u16 = 200;

/// The error of a request that did not yield a body.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The response's head is not valid HTTP.
    #[error("response is not valid HTTP: {0}")]
    Parse(#[from] httparse::Error),
    /// The length of the response, or of a chunk of it, can't be parsed or is above the maximum.
    #[error("response length: expected a number of bytes up to {MAX_SIZE}")]
    Length,
    /// The service closed the connection early.
    #[error("connection closed before the response was complete")]
    Closed,
    /// The response has a status other than 200.
    #[error("HTTP status: expected {STATUS_OK}, got {0}")]
    Status(u16),
}

/// A connection to the discovery service.
pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    host: SocketAddr,
    is_reusable: bool,
    /// The reason that is logged when the connection is dropped.
    close_reason: CloseReason,
    shared: Rc<Shared>,
}

/// Logs exactly one line for each connection, no matter where it is dropped.
impl Drop for Connection {
    fn drop(&mut self) {
        info!(self.shared.log, "connection ended"; "with" => "discovery", "reason" => self.close_reason.code());
    }
}

/// The length of a body according to its head.
enum BodyLength {
    Fixed(usize),
    Chunked,
    /// The body ends where the service closes the connection.
    UntilClose,
}

impl Connection {
    /// Connects to `host`.
    ///
    /// # Errors
    /// Fails if the connection can't be established.
    pub async fn open(host: SocketAddr, shared: Rc<Shared>) -> Result<Connection, HttpError> {
        let stream = retry_interrupted(async || Async::<TcpStream>::connect(host).await).await?;
        stream.get_ref().set_nodelay(true)?;
        // The reason if the connection is dropped during a request: the caller has replaced the request by another one,
        // or does not wait for its response any more.
        let close_reason = CloseReason::Replaced;
        Ok(Connection {
            stream,
            buffer: Buffer::new(&shared.buffer_memory),
            host,
            is_reusable: true,
            close_reason,
            shared,
        })
    }

    /// Returns whether another request may follow on this connection.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Closes the connection and logs `reason`.
    pub fn close(mut self, reason: CloseReason) {
        self.close_reason = reason;
    }

    /// Sends a GET request for `path` and waits for the first bytes of the response.
    ///
    /// # Errors
    /// Fails if the connection fails or is closed before a response begins.
    pub async fn request(&mut self, path: &str) -> Result<(), HttpError> {
        let result = self.send(path).await;
        self.set_close_reason(result.as_ref().err());
        result
    }

    /// Reads the rest of the response and returns its body.
    ///
    /// # Errors
    /// Fails if the connection fails or is closed early, or the response is invalid, is too large, or has a status
    /// other than 200.
    pub async fn response(&mut self) -> Result<Vec<u8>, HttpError> {
        let result = self.read_response().await;
        self.set_close_reason(result.as_ref().err());
        result
    }

    /// Sets the reason that is logged if the connection is dropped after this result.
    fn set_close_reason(&mut self, error: Option<&HttpError>) {
        self.close_reason = match error {
            Some(HttpError::Closed) => CloseReason::Eof,
            Some(HttpError::Io(_)) => CloseReason::Reset,
            Some(HttpError::Parse(_) | HttpError::Length) => CloseReason::Malformed,
            Some(HttpError::Status(_)) => CloseReason::Rejected,
            None => CloseReason::Replaced,
        };
    }

    async fn send(&mut self, path: &str) -> Result<(), HttpError> {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.host
        );
        write_all(&self.stream, request.as_bytes()).await?;
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
            if self.buffer.bytes().len() > MAX_HEAD_SIZE {
                return Err(HttpError::Length);
            }
            self.fill_more().await?;
        };
        self.is_reusable = head.is_keep_alive;
        let body = match head.length {
            BodyLength::Fixed(len) => self.read_exact(len).await?,
            BodyLength::Chunked => self.read_chunks().await?,
            BodyLength::UntilClose => self.read_until_close().await?,
        };
        if head.status == STATUS_OK {
            Ok(body)
        } else {
            Err(HttpError::Status(head.status))
        }
    }

    async fn read_until_close(&mut self) -> Result<Vec<u8>, HttpError> {
        self.is_reusable = false;
        while self.fill().await? > 0 {
            if self.buffer.bytes().len() > MAX_SIZE {
                return Err(HttpError::Length);
            }
        }
        Ok(self.buffer.bytes().to_vec())
    }

    async fn fill(&mut self) -> std::io::Result<usize> {
        self.shared.turns.yield_if_over().await;
        retry_interrupted(async || self.buffer.fill(&self.stream).await).await
    }

    /// Reads at least one more byte; the end of the stream is an error.
    async fn fill_more(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().len() > MAX_SIZE {
            return Err(HttpError::Length);
        }
        match self.fill().await? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads and consumes the next `len` bytes.
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

    /// Reads a chunked body, up to and including the empty chunk.
    async fn read_chunks(&mut self) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            self.shared.turns.yield_if_over().await;
            let size =
                httparse::parse_chunk_size(self.buffer.bytes()).map_err(|_| HttpError::Length)?;
            let httparse::Status::Complete((line_len, size)) = size else {
                self.fill_more().await?;
                continue;
            };
            self.buffer.consume(line_len);
            let size = usize::try_from(size).map_err(|_| HttpError::Length)?;
            if size > MAX_SIZE || body.len() + size > MAX_SIZE {
                return Err(HttpError::Length);
            }
            let chunk = self.read_exact(size + CHUNK_END_LENGTH).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// The parts of a response's head that the connection uses.
struct Head {
    status: u16,
    length: BodyLength,
    is_keep_alive: bool,
}

/// Parses the head of a response. Returns its length in bytes and the head, or `None` if it is not complete.
fn read_head(bytes: &[u8]) -> Result<Option<(usize, Head)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(len) = response.parse(bytes)? else {
        return Ok(None);
    };
    let mut is_keep_alive = response.version == Some(1);
    let mut length = BodyLength::UntilClose;
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = BodyLength::Fixed(value.parse().map_err(|_| HttpError::Length)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding")
            && value.eq_ignore_ascii_case("chunked")
        {
            length = BodyLength::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            is_keep_alive = !value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some((
        len,
        Head {
            status: response.code.unwrap_or(0),
            length,
            is_keep_alive,
        },
    )))
}
