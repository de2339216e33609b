//! Clients of the router.

use crate::pg::{self, Reader};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection to the router.
pub struct Client {
    pub stream: TcpStream,
    reader: Reader,
}

/// The answer to one query.
#[derive(Debug, Clone)]
pub enum Answer {
    /// The row's value.
    Served(Vec<u8>),
    /// The SQLSTATE of the error.
    Error(String),
    /// The response to an empty query.
    Empty,
}

impl Answer {
    pub fn word(&self) -> String {
        match self {
            Answer::Served(value) => format!("served {} bytes", value.len()),
            Answer::Error(code) if code == "53300" || code == "57P03" => format!("refused {code}"),
            Answer::Error(code) => format!("failed {code}"),
            Answer::Empty => "empty".to_owned(),
        }
    }
}

impl Client {
    /// Connects and completes the startup.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut client = Client { reader: Reader::new(stream.try_clone()?), stream };
        client.stream.write_all(&pg::startup())?;
        while client.reader.message()?.0 != b'Z' {}
        Ok(client)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer up to ReadyForQuery.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let mut answer = None;
        loop {
            let (tag, body) = self.reader.message()?;
            match tag {
                b'D' => answer = Some(Answer::Served(body.get(6..).unwrap_or_default().to_vec())),
                b'E' => answer = Some(Answer::Error(pg::sqlstate(&body))),
                b'I' => answer = Some(Answer::Empty),
                b'Z' => return answer.ok_or_else(|| io::ErrorKind::InvalidData.into()),
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> io::Result<Answer> {
        self.send(&pg::query(text))?;
        self.answer()
    }
}

/// Waits until the router answers an empty query, as the front does.
pub fn wait_until_ready(address: SocketAddr) -> bool {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if let Ok(mut client) = Client::connect(address) {
            let _ = client.stream.set_read_timeout(Some(Duration::from_secs(2)));
            if matches!(client.ask(""), Ok(Answer::Empty)) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
