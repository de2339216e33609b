//! A client that writes and reads whole messages.

use crate::shared_state::WAIT_TIMEOUT;
use reelrill_pg_protocol::{Format, backend, frame, frontend};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Whole messages from a stream that blocks.
#[derive(Debug)]
pub struct MessageReader {
    stream: TcpStream,
    bytes: Vec<u8>,
    start: usize,
}

impl MessageReader {
    /// Reads from this stream.
    pub fn new(stream: TcpStream) -> MessageReader {
        MessageReader {
            stream,
            bytes: Vec::new(),
            start: 0,
        }
    }

    /// Reads until `find` finds something at the head of what has come, and how long it is; none: the stream has
    /// ended, or holds no message.
    pub fn read_with<T>(
        &mut self,
        find: impl Fn(&[u8]) -> Result<Option<(T, usize)>, frame::FrameError>,
    ) -> Option<T> {
        loop {
            if let Some((found, len)) = find(&self.bytes[self.start..]).ok()? {
                self.start += len;
                return Some(found);
            }
            self.bytes.drain(..self.start);
            self.start = 0;
            let mut piece = [0; 16 * 1024];
            match self.stream.read(&mut piece) {
                Ok(n) if n > 0 => self.bytes.extend_from_slice(&piece[..n]),
                // A read with a time limit ends at any signal to the process that tests.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return None,
            }
        }
    }

    /// The next message.
    pub fn read_message(&mut self) -> Option<(u8, Vec<u8>)> {
        self.read_with(|bytes| {
            let found = frame::parse(bytes, 1 << 26)?;
            Ok(found.map(|(tag, body, len)| ((tag, body.to_vec()), len)))
        })
    }
}

/// All messages up to ReadyForQuery or the end of the connection.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Response {
    /// Their tags, in order.
    pub tags: String,
    /// The last value.
    pub value: String,
    /// All values.
    pub values: Vec<String>,
    /// The last error's code.
    pub sqlstate: String,
    /// The last error's field D.
    pub detail: Option<String>,
    /// The last error's text.
    pub message: String,
}

/// A connection to the router.
#[derive(Debug)]
pub struct Client {
    /// Its socket, for what no method does.
    pub stream: TcpStream,
    reader: MessageReader,
    /// What a CancelRequest must name.
    pub cancel_key: (u32, u32),
}

/// The bytes that open a connection.
pub fn startup_message() -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_startup(&mut out);
    out
}

/// A simple query.
pub fn query_message(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_query(&mut out, text.as_bytes());
    out
}

/// Bind and Execute of a statement by the unnamed portal, with values as text; the result comes as text.
pub fn bind_and_execute(statement: &str, values: &[Option<&str>]) -> Vec<u8> {
    let mut out = Vec::new();
    let values = values.iter().map(|v| (Format::Text, v.map(str::as_bytes)));
    frontend::put_bind(&mut out, "", statement, values, Format::Text);
    frontend::put_execute(&mut out, "", 0);
    out
}

/// A Parse.
pub fn parse_message(name: &str, text: &str, types: &[u32]) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_parse(&mut out, name, text, types);
    out
}

/// A Sync.
pub fn sync_message() -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_sync(&mut out);
    out
}

impl Client {
    /// Connects, and says nothing yet.
    ///
    /// # Panics
    /// If nobody listens.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a limit");
        stream.set_nodelay(true).expect("no delay");
        let reader = MessageReader::new(stream.try_clone().expect("a second handle"));
        Client {
            stream,
            reader,
            cancel_key: (0, 0),
        }
    }

    /// Says hello and reads the welcome.
    ///
    /// # Panics
    /// If there is none.
    pub fn complete_startup(&mut self) {
        self.send(&startup_message());
        assert_eq!(
            self.read_response().map(|a| a.tags).as_deref(),
            Some("RSSSKZ"),
            "no welcome"
        );
    }

    /// Writes bytes; whether they arrive shows in the answer.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Writes nothing more.
    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// The next message.
    pub fn read_message(&mut self) -> Option<(u8, Vec<u8>)> {
        self.reader.read_message()
    }

    /// Reads up to ReadyForQuery; none: the connection has ended before a message.
    pub fn read_response(&mut self) -> Option<Response> {
        let mut answer = Response::default();
        loop {
            let Some((tag, body)) = self.read_message() else {
                return (!answer.tags.is_empty()).then_some(answer);
            };
            answer.tags.push(char::from(tag));
            match tag {
                b'Z' => return Some(answer),
                b'D' => {
                    let value = backend::parse_single_value(&body).unwrap_or_default();
                    answer.value = String::from_utf8_lossy(value).into_owned();
                    answer.values.push(answer.value.clone());
                }
                b'E' => {
                    let field = |f| backend::error_field(&body, f).map(str::to_owned);
                    (answer.sqlstate, answer.detail) =
                        (field(b'C').unwrap_or_default(), field(b'D'));
                    answer.message = field(b'M').unwrap_or_default();
                }
                b'K' => self.cancel_key = backend::parse_key_data(&body).unwrap_or_default(),
                _ => {}
            }
        }
    }

    /// Asks a simple query.
    ///
    /// # Panics
    /// If the connection ends without an answer.
    pub fn simple_query(&mut self, text: &str) -> Response {
        self.send(&query_message(text));
        self.read_response().expect("no answer")
    }

    /// Writes extended commands and a Sync, and reads what comes back.
    ///
    /// # Panics
    /// If the connection ends without an answer.
    pub fn extended_query(&mut self, commands: &[Vec<u8>]) -> Response {
        self.send(&[commands.concat(), sync_message()].concat());
        self.read_response().expect("no answer")
    }
}
