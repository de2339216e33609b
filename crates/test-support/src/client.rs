//! A client that writes and reads whole messages.

use crate::watched::LIMIT;
use reelrill_pg_protocol::{Format, backend, frame, frontend};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Whole messages from a stream that blocks.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    bytes: Vec<u8>,
    start: usize,
}

impl Reader {
    /// Reads from this stream.
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            bytes: Vec::new(),
            start: 0,
        }
    }

    /// Reads until `find` finds something at the head of what has come, and how long it is; none: the stream has
    /// ended, or holds no message.
    pub fn next<T>(
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
    pub fn message(&mut self) -> Option<(u8, Vec<u8>)> {
        self.next(|bytes| {
            let found = frame::parse(bytes, 1 << 26)?;
            Ok(found.map(|(tag, body, len)| ((tag, body.to_vec()), len)))
        })
    }
}

/// All messages up to ReadyForQuery or the end of the connection.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Their tags, in order.
    pub tags: String,
    /// The last value.
    pub value: String,
    /// All values.
    pub values: Vec<String>,
    /// The last error's code.
    pub code: String,
    /// The last error's field D.
    pub detail: Option<String>,
    /// The last error's text.
    pub text: String,
}

/// A connection to the router.
#[derive(Debug)]
pub struct Client {
    /// Its socket, for what no method does.
    pub stream: TcpStream,
    reader: Reader,
    /// What a CancelRequest must name.
    pub key: (u32, u32),
}

/// The bytes that open a connection.
pub fn startup() -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_startup(&mut out);
    out
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_query(&mut out, text.as_bytes());
    out
}

/// Bind and Execute of a statement by the unnamed portal, with values as text; the result comes as text.
pub fn run(statement: &str, values: &[Option<&str>]) -> Vec<u8> {
    let mut out = Vec::new();
    let values = values.iter().map(|v| (Format::Text, v.map(str::as_bytes)));
    frontend::put_bind(&mut out, "", statement, values, Format::Text);
    frontend::put_execute(&mut out, "", 0);
    out
}

/// A Parse.
pub fn parse(name: &str, text: &str, types: &[u32]) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_parse(&mut out, name, text, types);
    out
}

/// A Sync.
pub fn sync() -> Vec<u8> {
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
        stream.set_read_timeout(Some(LIMIT)).expect("a limit");
        stream.set_nodelay(true).expect("no delay");
        let reader = Reader::new(stream.try_clone().expect("a second handle"));
        Client {
            stream,
            reader,
            key: (0, 0),
        }
    }

    /// Says hello and reads the welcome.
    ///
    /// # Panics
    /// If there is none.
    pub fn start(&mut self) {
        self.send(&startup());
        assert_eq!(
            self.answer().map(|a| a.tags).as_deref(),
            Some("RSSSKZ"),
            "no welcome"
        );
    }

    /// Writes bytes; whether they arrive shows in the answer.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Writes nothing more.
    pub fn shut(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// The next message.
    pub fn message(&mut self) -> Option<(u8, Vec<u8>)> {
        self.reader.message()
    }

    /// Reads up to ReadyForQuery; none: the connection has ended before a message.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            let Some((tag, body)) = self.message() else {
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
                    (answer.code, answer.detail) = (field(b'C').unwrap_or_default(), field(b'D'));
                    answer.text = field(b'M').unwrap_or_default();
                }
                b'K' => self.key = backend::parse_key_data(&body).unwrap_or_default(),
                _ => {}
            }
        }
    }

    /// Asks a simple query.
    ///
    /// # Panics
    /// If the connection ends without an answer.
    pub fn ask(&mut self, text: &str) -> Answer {
        self.send(&query(text));
        self.answer().expect("no answer")
    }

    /// Writes extended commands and a Sync, and reads what comes back.
    ///
    /// # Panics
    /// If the connection ends without an answer.
    pub fn extended(&mut self, commands: &[Vec<u8>]) -> Answer {
        self.send(&[commands.concat(), sync()].concat());
        self.answer().expect("no answer")
    }
}
