//! A kept-alive HTTP/1.1 connection to discovery: one GET at a time.

use crate::buffer::{Buffer, Memory};
use crate::log::CloseReason;
use async_io::Async;
use futures_lite::AsyncWriteExt as _;
use slog::{Logger, info};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

const LARGEST: usize = 8 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the answer is no HTTP: {0}")]
    Parse(#[from] httparse::Error),
    #[error("the answer's length is wrong")]
    Length,
    #[error("status {0}")]
    Status(u16),
}

pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    host: SocketAddr,
    keep: bool,
    reason: CloseReason,
    log: Logger,
}

/// Exactly one log line for a connection that ends, wherever it is dropped.
impl Drop for Connection {
    fn drop(&mut self) {
        info!(self.log, "connection ended"; "with" => "discovery", "reason" => self.reason.code());
    }
}

enum Length {
    Fixed(usize),
    Chunked,
    ToEnd,
}

impl Connection {
    pub async fn open(host: SocketAddr, memory: &Rc<Memory>, log: Logger) -> Result<Connection, HttpError> {
        let stream = Async::<TcpStream>::connect(host).await?;
        stream.get_ref().set_nodelay(true)?;
        // Dropped inside a call: the caller took another or stopped waiting.
        let reason = CloseReason::Replaced;
        Ok(Connection { stream, buffer: Buffer::new(memory), host, keep: true, reason, log })
    }

    /// Whether another call may follow on this connection.
    pub fn keeps(&self) -> bool {
        self.keep
    }

    pub fn end(mut self, reason: CloseReason) {
        self.reason = reason;
    }

    pub async fn get(&mut self, path: &str) -> Result<Vec<u8>, HttpError> {
        let result = self.exchange(path).await;
        self.reason = match &result {
            Err(HttpError::Io(e)) if e.kind() == std::io::ErrorKind::UnexpectedEof => CloseReason::Eof,
            Err(HttpError::Io(_)) => CloseReason::Reset,
            Err(HttpError::Parse(_) | HttpError::Length) => CloseReason::Malformed,
            Err(HttpError::Status(_)) => CloseReason::TurnedAway,
            Ok(_) => CloseReason::Replaced,
        };
        result
    }

    async fn exchange(&mut self, path: &str) -> Result<Vec<u8>, HttpError> {
        let head = format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.host);
        (&self.stream).write_all(head.as_bytes()).await?;
        let (status, length) = loop {
            if let Some((head_len, status, length, keep)) = read_head(self.buffer.bytes())? {
                self.buffer.consume(head_len);
                self.keep = keep;
                break (status, length);
            }
            self.more().await?;
        };
        let body = match length {
            Length::Fixed(n) => self.take(n).await?,
            Length::Chunked => self.chunks().await?,
            Length::ToEnd => {
                self.keep = false;
                while self.buffer.fill(&self.stream).await? > 0 {
                    if self.buffer.bytes().len() > LARGEST {
                        return Err(HttpError::Length);
                    }
                }
                self.buffer.bytes().to_vec()
            }
        };
        if status == 200 { Ok(body) } else { Err(HttpError::Status(status)) }
    }

    async fn more(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().len() > LARGEST {
            return Err(HttpError::Length);
        }
        match self.buffer.fill(&self.stream).await? {
            0 => Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into()),
            _ => Ok(()),
        }
    }

    async fn take(&mut self, n: usize) -> Result<Vec<u8>, HttpError> {
        if n > LARGEST {
            return Err(HttpError::Length);
        }
        while self.buffer.bytes().len() < n {
            self.more().await?;
        }
        let body = self.buffer.bytes()[..n].to_vec();
        self.buffer.consume(n);
        Ok(body)
    }

    async fn chunks(&mut self) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let size = httparse::parse_chunk_size(self.buffer.bytes()).map_err(|_| HttpError::Length)?;
            let httparse::Status::Complete((line, size)) = size else {
                self.more().await?;
                continue;
            };
            self.buffer.consume(line);
            let size = usize::try_from(size).map_err(|_| HttpError::Length)?;
            if size > LARGEST || body.len() + size > LARGEST {
                return Err(HttpError::Length);
            }
            let chunk = self.take(size + 2).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

type Head = (usize, u16, Length, bool);

fn read_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(len) = response.parse(bytes)? else { return Ok(None) };
    let mut keep = response.version == Some(1);
    let mut length = Length::ToEnd;
    for h in response.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            length = Length::Fixed(value.parse().map_err(|_| HttpError::Length)?);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            length = Length::Chunked;
        } else if h.name.eq_ignore_ascii_case("connection") {
            keep = !value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some((len, response.code.unwrap_or(0), length, keep)))
}
