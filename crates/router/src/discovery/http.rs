//! A kept-alive HTTP/1.1 connection to discovery: one GET at a time.

use crate::observability::log::CloseReason;
use crate::runtime::buffer::{Buffer, Memory};
use crate::runtime::interrupted::{retry_interrupted, write_all};
use async_io::Async;
use slog::{Logger, info};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

const LARGEST: usize = 8 * 1024 * 1024;
/// The status of an answer that holds a list.
const OK: u16 = 200;

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
    pub async fn open(
        host: SocketAddr,
        memory: &Rc<Memory>,
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
            keep: true,
            reason,
            log,
        })
    }

    /// Whether another call may follow on this connection.
    pub fn is_reusable(&self) -> bool {
        self.keep
    }

    pub fn end(mut self, reason: CloseReason) {
        self.reason = reason;
    }

    /// Asks for what is at `path`; returns once an answer has begun.
    pub async fn request(&mut self, path: &str) -> Result<(), HttpError> {
        let result = self.send(path).await;
        self.note_end(result.as_ref().err());
        result
    }

    /// The body of the answer that has begun.
    pub async fn response(&mut self) -> Result<Vec<u8>, HttpError> {
        let result = self.read_response().await;
        self.note_end(result.as_ref().err());
        result
    }

    /// Why the connection will have ended if it is dropped after this.
    fn note_end(&mut self, error: Option<&HttpError>) {
        self.reason = match error {
            Some(HttpError::Io(e)) if e.kind() == std::io::ErrorKind::UnexpectedEof => {
                CloseReason::Eof
            }
            Some(HttpError::Io(_)) => CloseReason::Reset,
            Some(HttpError::Parse(_) | HttpError::Length) => CloseReason::Malformed,
            Some(HttpError::Status(_)) => CloseReason::TurnedAway,
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
            self.more().await
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
            self.more().await?;
        };
        self.keep = head.keep;
        let body = match head.length {
            Length::Fixed(n) => self.take(n).await?,
            Length::Chunked => self.chunks().await?,
            Length::ToEnd => {
                self.keep = false;
                while self.fill().await? > 0 {
                    if self.buffer.bytes().len() > LARGEST {
                        return Err(HttpError::Length);
                    }
                }
                self.buffer.bytes().to_vec()
            }
        };
        if head.status == OK {
            Ok(body)
        } else {
            Err(HttpError::Status(head.status))
        }
    }

    async fn fill(&mut self) -> std::io::Result<usize> {
        retry_interrupted(async || self.buffer.fill(&self.stream).await).await
    }

    async fn more(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().len() > LARGEST {
            return Err(HttpError::Length);
        }
        match self.fill().await? {
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
            let size =
                httparse::parse_chunk_size(self.buffer.bytes()).map_err(|_| HttpError::Length)?;
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

/// The head of an answer.
struct Head {
    status: u16,
    length: Length,
    keep: bool,
}

/// Reads a head, if it is there whole, and says how many bytes it takes.
fn read_head(bytes: &[u8]) -> Result<Option<(usize, Head)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(len) = response.parse(bytes)? else {
        return Ok(None);
    };
    let mut keep = response.version == Some(1);
    let mut length = Length::ToEnd;
    for h in response.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            length = Length::Fixed(value.parse().map_err(|_| HttpError::Length)?);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding")
            && value.eq_ignore_ascii_case("chunked")
        {
            length = Length::Chunked;
        } else if h.name.eq_ignore_ascii_case("connection") {
            keep = !value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some((
        len,
        Head {
            status: response.code.unwrap_or(0),
            length,
            keep,
        },
    )))
}
