//! A client of the router: one connection, simple queries one after the other.

use crate::record::Record;
use crate::{now_ms, wire};
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How a request ended, as its client sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The value.
    Served(Vec<u8>),
    /// 53300 or 57P03: trying again is harmless.
    Refused,
    /// Any other error, with its SQLSTATE.
    Failed(String),
    /// The router ended the connection without a whole answer.
    Closed,
    /// No answer arrived in time.
    Silent,
}

/// A connection to the router.
pub struct Client {
    pub stream: TcpStream,
    /// The time in milliseconds after which the last refusal lets the client come again.
    pub advice_ms: u64,
}

impl Client {
    /// Connects and completes the startup.
    ///
    /// # Errors
    /// Fails if the router does not take the connection.
    pub fn connect(router: SocketAddr) -> io::Result<Client> {
        Client::start(TcpStream::connect_timeout(&router, Duration::from_secs(3))?)
    }

    /// Completes the startup on a connection.
    ///
    /// # Errors
    /// Fails if the connection fails.
    pub fn start(mut stream: TcpStream) -> io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(&wire::startup())?;
        while wire::read_message(&mut stream)?.0 != b'Z' {}
        Ok(Client {
            stream,
            advice_ms: 0,
        })
    }

    /// Sends a query in one piece.
    ///
    /// # Errors
    /// Fails if the connection fails.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&wire::query(text))
    }

    /// Waits for the answer to a query, for `patience`.
    pub fn ending(&mut self, patience: Duration) -> Ending {
        let _ = self.stream.set_read_timeout(Some(patience));
        let mut ending = None;
        loop {
            match wire::read_message(&mut self.stream) {
                Ok((b'D', body)) => {
                    ending = Some(Ending::Served(body.get(6..).unwrap_or_default().to_vec()))
                }
                Ok((b'I', _)) => ending = Some(Ending::Served(Vec::new())),
                Ok((b'E', body)) => {
                    let code = wire::error_field(&body, b'C').unwrap_or_default();
                    let advice = wire::error_field(&body, b'D');
                    self.advice_ms = advice.and_then(|text| text.parse().ok()).unwrap_or(0);
                    ending = Some(match code.as_str() {
                        "53300" | "57P03" => Ending::Refused,
                        _ => Ending::Failed(code),
                    });
                }
                Ok((b'Z', _)) => return ending.unwrap_or(Ending::Closed),
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Ending::Silent;
                }
                // No ReadyForQuery is needed after a fatal error.
                Err(_) => {
                    return ending
                        .filter(|e| !matches!(e, Ending::Served(_)))
                        .unwrap_or(Ending::Closed);
                }
            }
        }
    }

    /// Sends a query and waits for its answer.
    pub fn ask(&mut self, text: &str, patience: Duration) -> Ending {
        match self.send(text) {
            Ok(()) => self.ending(patience),
            Err(_) => Ending::Closed,
        }
    }
}

/// Waits until the router answers the empty query with EmptyQueryResponse, as the front does.
pub fn wait_until_ready(router: SocketAddr, record: &Record) -> bool {
    let end = now_ms() + 10_000;
    while now_ms() < end {
        if let Ok(mut client) = Client::connect(router)
            && matches!(client.ask("", Duration::from_secs(2)), Ending::Served(_))
        {
            record.line("the router is ready");
            return true;
        }
        crate::sleep_ms(50);
    }
    record.line("the router is not ready after 10 s");
    false
}
