//! The messages of PostgreSQL's protocol 3 that the stand-ins need, and the statements of the PROTOCOL page.

use std::io::{self, Read};
use std::net::TcpStream;

/// Appends a message.
pub fn put(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn put_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', b"I");
}

pub fn put_error(out: &mut Vec<u8>, code: &str, message: &str) {
    put(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{message}\0\0").as_bytes());
}

/// Appends one row of one binary column, and its completion.
pub fn put_row(out: &mut Vec<u8>, value: &[u8], tag: &str) {
    let mut description = Vec::from(&b"\0\x01data\0"[..]);
    // Table, attribute, type (bytea), size, modifier, format (binary).
    description.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    put(out, b'T', &description);
    let mut row = Vec::with_capacity(value.len() + 6);
    row.extend_from_slice(&[0, 1]);
    row.extend_from_slice(&(value.len() as u32).to_be_bytes());
    row.extend_from_slice(value);
    put(out, b'D', &row);
    put(out, b'C', format!("{tag}\0").as_bytes());
}

/// Returns the startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0portal\0database\0crm\0\0";
    let mut out = Vec::from((body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

/// Returns a Query message.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}

/// Reads whole messages.
pub struct Reader {
    stream: TcpStream,
    bytes: Vec<u8>,
    start: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, bytes: Vec::new(), start: 0 }
    }

    fn fill(&mut self) -> io::Result<()> {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        let mut chunk = [0; 65536];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.bytes.extend_from_slice(&chunk[..count]);
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() - self.start < count {
            self.fill()?;
        }
        let taken = self.bytes[self.start..self.start + count].to_vec();
        self.start += count;
        Ok(taken)
    }

    /// Returns whether no byte of a further message has been read.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == self.start
    }

    /// Reads a message without a type byte, as at the start of a connection.
    pub fn startup(&mut self) -> io::Result<Vec<u8>> {
        let length = self.take(4)?;
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        self.take(length.saturating_sub(4))
    }

    /// Reads a message: its type byte and its body.
    pub fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let head = self.take(5)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        Ok((head[0], self.take(length.saturating_sub(4))?))
    }
}

/// Returns the SQLSTATE of an ErrorResponse's body.
pub fn sqlstate(body: &[u8]) -> String {
    body.split(|byte| *byte == 0)
        .find_map(|field| field.strip_prefix(b"C"))
        .map(|code| String::from_utf8_lossy(code).into_owned())
        .unwrap_or_default()
}

/// A statement of the PROTOCOL page.
#[derive(Debug, Clone)]
pub struct Statement {
    pub is_write: bool,
    pub code: String,
    pub id: String,
    pub class: String,
    pub key: String,
    pub d: u64,
    pub after: u64,
}

/// Parses a statement; `None` if it has another form.
pub fn parse(text: &str) -> Option<Statement> {
    let is_write = text.starts_with("INSERT INTO facts (code, data) VALUES ('");
    if !is_write && !text.starts_with("SELECT data FROM facts WHERE code = '") {
        return None;
    }
    let code = text.split('\'').nth(1)?.to_owned();
    let comment = text.rsplit_once("/*")?.1.trim_end().strip_suffix("*/")?;
    let field = |name: &str| {
        comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
    };
    Some(Statement {
        is_write,
        code,
        id: field("id").filter(|id| id.len() == 16)?.to_owned(),
        class: field("c")?.to_owned(),
        key: field("k").unwrap_or_default().to_owned(),
        d: field("d")?.parse().ok().filter(|d| *d > 0)?,
        after: field("after").and_then(|text| text.parse().ok()).unwrap_or(0),
    })
}
