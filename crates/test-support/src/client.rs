//! A PostgreSQL client that writes and reads whole messages and checks nothing on its own, so that tests can send any
//! byte sequence.

use crate::shared_state::WAIT_TIMEOUT;
use reelrill_pg_protocol::{Format, backend, frame, frontend};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// The largest message that a [`MessageReader`] accepts, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 26;

/// The size of one read from the socket, in bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Reads whole messages from a blocking stream.
#[derive(Debug)]
pub struct MessageReader {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// The index in `bytes` at which the unread input starts.
    start: usize,
}

impl MessageReader {
    /// Creates a reader of this stream.
    pub fn new(stream: TcpStream) -> MessageReader {
        MessageReader {
            stream,
            bytes: Vec::new(),
            start: 0,
        }
    }

    /// Reads from the stream until `parse` returns a value and its length in bytes for the start of the unread input,
    /// and returns the value. `None` if the stream ends, a read fails or times out, or `parse` fails.
    pub fn read_with<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, frame::FrameError>,
    ) -> Option<T> {
        loop {
            if let Some((value, len)) = parse(&self.bytes[self.start..]).ok()? {
                self.start += len;
                return Some(value);
            }
            self.bytes.drain(..self.start);
            self.start = 0;
            let mut chunk = [0; READ_CHUNK_BYTES];
            match self.stream.read(&mut chunk) {
                Ok(count) if count > 0 => self.bytes.extend_from_slice(&chunk[..count]),
                // A read with a timeout is interrupted by any signal to the test process.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return None,
            }
        }
    }

    /// Reads the next message and returns its tag and body; `None` as in
    /// [`read_with`](MessageReader::read_with).
    pub fn read_message(&mut self) -> Option<(u8, Vec<u8>)> {
        self.read_with(|bytes| {
            let message = frame::parse(bytes, MAX_MESSAGE_BYTES)?;
            Ok(message.map(|(tag, body, len)| ((tag, body.to_vec()), len)))
        })
    }
}

/// Summarizes all messages up to and including ReadyForQuery, or up to the end of the connection.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Response {
    /// The tags of the messages, in order.
    pub tags: String,
    /// The value of the last data row.
    pub value: String,
    /// The values of all data rows.
    pub values: Vec<String>,
    /// The SQLSTATE of the last error; empty without an error.
    pub sqlstate: String,
    /// The detail (field `D`) of the last error.
    pub detail: Option<String>,
    /// The message (field `M`) of the last error; empty without an error.
    pub message: String,
}

/// A client connection to the router.
#[derive(Debug)]
pub struct Client {
    /// The socket, for operations without a method.
    pub stream: TcpStream,
    reader: MessageReader,
    /// The process number and secret from BackendKeyData, as a cancel request has to repeat them.
    pub cancel_key: (u32, u32),
}

/// Returns the startup message.
pub fn startup_message() -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_startup(&mut out);
    out
}

/// Returns a Query message, which runs a simple query.
pub fn query_message(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_query(&mut out, text.as_bytes());
    out
}

/// Returns the Bind and Execute messages that run a prepared statement in the unnamed portal, with parameters and
/// result in text format.
pub fn bind_and_execute(statement: &str, values: &[Option<&str>]) -> Vec<u8> {
    let mut out = Vec::new();
    let values = values.iter().map(|v| (Format::Text, v.map(str::as_bytes)));
    frontend::put_bind(&mut out, "", statement, values, Format::Text);
    frontend::put_execute(&mut out, "", 0);
    out
}

/// Returns a Parse message.
pub fn parse_message(name: &str, text: &str, types: &[u32]) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_parse(&mut out, name, text, types);
    out
}

/// Returns a Sync message.
pub fn sync_message() -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_sync(&mut out);
    out
}

impl Client {
    /// Connects to the router without sending anything.
    ///
    /// # Panics
    /// If the connection is refused.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connect to the router");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set a read timeout");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        let reader = MessageReader::new(stream.try_clone().expect("clone the socket handle"));
        Client {
            stream,
            reader,
            cancel_key: (0, 0),
        }
    }

    /// Sends the startup message and reads the router's response to it.
    ///
    /// # Panics
    /// If the response is anything but a completed startup.
    pub fn complete_startup(&mut self) {
        self.send(&startup_message());
        assert_eq!(
            self.read_response()
                .map(|response| response.tags)
                .as_deref(),
            Some("RSSSKZ"),
            "the router did not complete the startup"
        );
    }

    /// Writes bytes and ignores write errors; after a failed write, reading the response fails.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Shuts down the sending side of the connection.
    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads the next message and returns its tag and body; `None` if there is none within [`WAIT_TIMEOUT`].
    pub fn read_message(&mut self) -> Option<(u8, Vec<u8>)> {
        self.reader.read_message()
    }

    /// Reads messages until ReadyForQuery, the end of the connection or [`WAIT_TIMEOUT`] without a message. `None` if
    /// no message arrives.
    pub fn read_response(&mut self) -> Option<Response> {
        let mut response = Response::default();
        loop {
            let Some((tag, body)) = self.read_message() else {
                return (!response.tags.is_empty()).then_some(response);
            };
            response.tags.push(char::from(tag));
            match tag {
                b'Z' => return Some(response),
                b'D' => {
                    let value = backend::parse_single_value(&body).unwrap_or_default();
                    response.value = String::from_utf8_lossy(value).into_owned();
                    response.values.push(response.value.clone());
                }
                b'E' => {
                    let field = |code| backend::error_field(&body, code).map(str::to_owned);
                    (response.sqlstate, response.detail) =
                        (field(b'C').unwrap_or_default(), field(b'D'));
                    response.message = field(b'M').unwrap_or_default();
                }
                b'K' => self.cancel_key = backend::parse_key_data(&body).unwrap_or_default(),
                _ => {}
            }
        }
    }

    /// Runs a simple query and returns its response.
    ///
    /// # Panics
    /// If the connection ends without a response.
    pub fn simple_query(&mut self, text: &str) -> Response {
        self.send(&query_message(text));
        self.read_response()
            .expect("a response before the end of the connection")
    }

    /// Sends messages of the extended query protocol followed by a Sync, and returns the response.
    ///
    /// # Panics
    /// If the connection ends without a response.
    pub fn extended_query(&mut self, commands: &[Vec<u8>]) -> Response {
        self.send(&[commands.concat(), sync_message()].concat());
        self.read_response()
            .expect("a response before the end of the connection")
    }
}
