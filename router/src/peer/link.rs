//! One connection to an instance: dialled, used for one request at a time, and logged once when it ends.

use crate::buffer::Buffer;
use crate::counters::count;
use crate::exchange::Answer;
use crate::log::CloseReason;
use crate::pgwire::codec;
use crate::shared::{Shared, Slot};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt as _;
use futures_lite::future::or;
use reelrill::{Ending, MemberId, Role, Standing, Time};
use slog::info;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long an answer that has begun may pause.
const STALLED: Duration = Duration::from_millis(100);

pub struct Link {
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    member: MemberId,
    pub endpoint: SocketAddr,
    /// When it was last given back.
    pub idle_since: Time,
    reason: CloseReason,
    _slot: Slot,
}

impl Drop for Link {
    fn drop(&mut self) {
        info!(self.shared.log, "connection ended"; "with" => "instance", "member" => &*self.member,
              "reason" => self.reason.code());
    }
}

/// Why a query got no whole response.
#[derive(Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection had ended, or held bytes that nobody asked for, before anything was written.
    Stale,
    /// It failed before the last byte was written.
    NotWritten,
    /// It broke or ended after that.
    Broken,
    /// What came back is no response: the query has run, and the connection is of no further use.
    Spoilt,
}

/// All that came back for one query.
#[derive(Debug, Default)]
pub struct Response {
    columns: Option<Vec<u8>>,
    row: Option<Vec<u8>>,
    tag: Option<Vec<u8>>,
    code: Option<String>,
    pub standing: Standing,
    pub report: Standing,
    /// The connection is ready for another query.
    pub ready: bool,
}

/// What a message means for the response that it belongs to.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    More,
    Ready,
    /// Nothing that may come here.
    Stray,
}

/// How an ErrorResponse's code counts: by the table of the protocol, and by the classes of codes that blame
/// the statement (data, syntax, protocol).
pub fn ending_of(code: &str) -> Ending {
    match code {
        "25006" | "72000" => Ending::Miss,
        codec::TOO_MANY => Ending::Full,
        codec::PROTOCOL_VIOLATION => Ending::Rejected,
        _ if code.starts_with("22") || code.starts_with("42") => Ending::Rejected,
        _ => Ending::Error,
    }
}

impl Response {
    /// The ending, and the value if it is whole.
    pub fn ending(self) -> (Ending, Option<Answer>) {
        if let Some(code) = &self.code {
            return (ending_of(code), None);
        }
        match (self.columns, self.row, self.tag) {
            (Some(columns), Some(row), Some(tag)) => (Ending::Served, Some(Answer { columns, row, tag })),
            _ => (Ending::Spoilt, None),
        }
    }

    /// Nothing more is needed for its ending.
    fn is_whole(&self) -> bool {
        self.tag.is_some() || self.code.is_some()
    }

    /// Takes one message in its place: one description, one row of one column, one end; or one error before any
    /// of these. Serving anything else would hand a client what no instance made for it.
    fn take(&mut self, tag: u8, body: &[u8]) -> Step {
        match tag {
            b'T' if self.columns.is_none() && !self.is_whole() && codec::describes_one(body) => {
                self.columns = Some(body.to_vec());
            }
            b'D' if self.columns.is_some() && self.row.is_none() && codec::single_value(body).is_some() => {
                self.row = Some(body.to_vec());
            }
            b'C' if self.row.is_some() && !self.is_whole() && codec::is_text(body) => {
                self.tag = Some(body.to_vec());
            }
            b'E' if self.columns.is_none() && !self.is_whole() => match codec::error_code(body) {
                Some(code) => self.code = Some(code.to_owned()),
                None => return Step::Stray,
            },
            b'S' => self.parameter(body),
            b'N' => {}
            b'Z' if self.is_whole() && body.len() == 1 => {
                self.ready = true;
                return Step::Ready;
            }
            _ => return Step::Stray,
        }
        Step::More
    }

    /// The one value as text: the report that a probe asks for.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(codec::single_value(self.row.as_deref()?)?).ok()
    }

    fn parameter(&mut self, body: &[u8]) {
        let Some((name, rest)) = codec::text(body) else { return };
        let Some((value, _)) = codec::text(rest) else { return };
        match name {
            "part" if value == "master" => self.standing.role = Some(Role::Primary),
            "part" if value == "replica" => self.standing.role = Some(Role::Replica),
            "caught_up_to" => {
                let ms: Option<u64> = value.parse().ok().filter(|ms| *ms > 0);
                self.standing.position = ms.map(|ms| ms.saturating_mul(1_000_000));
            }
            "gauges" => self.report = read_report(value),
            _ => {}
        }
    }
}

/// A load report: `x0=1767225600.25,x1=1,...`. Its position is taken a millisecond staler: it was rounded.
pub fn read_report(text: &str) -> Standing {
    let mut report = Standing::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        match (name, value.parse::<f64>()) {
            ("x0", Ok(s)) if s > 0.0 => report.position = Some((s * 1e9 - 1e6).max(0.0) as u64),
            ("x1", Ok(x)) => report.role = Some(if x == 1.0 { Role::Primary } else { Role::Replica }),
            _ => {}
        }
    }
    report
}

impl Link {
    /// Connects and waits for the welcome, within the settings' limit. An error never ran anything.
    pub async fn dial(
        shared: Rc<Shared>,
        member: MemberId,
        endpoint: SocketAddr,
        slot: Slot,
    ) -> Result<Link, Ending> {
        count(&shared.counters.dials);
        let limit = match shared.config.site.settings.limits.connect_timeout {
            0 => Duration::from_secs(1),
            ns => Duration::from_nanos(ns),
        };
        let within = async {
            Timer::after(limit).await;
            Err(Ending::ConnectFailed)
        };
        let counters = shared.clone();
        let dialled = or(Link::welcome(shared, member, endpoint, slot), within).await;
        if dialled.is_err() {
            count(&counters.counters.dial_failures);
        }
        dialled
    }

    async fn welcome(
        shared: Rc<Shared>,
        member: MemberId,
        endpoint: SocketAddr,
        slot: Slot,
    ) -> Result<Link, Ending> {
        let failed = |_: io::Error| Ending::ConnectFailed;
        let stream = Async::<TcpStream>::connect(endpoint).await.map_err(failed)?;
        stream.get_ref().set_nodelay(true).map_err(failed)?;
        let memory = shared.memory.clone();
        let mut link = Link {
            idle_since: shared.clock.now(),
            shared,
            stream,
            buffer: Buffer::new(&memory),
            member,
            endpoint,
            reason: CloseReason::DialFailed,
            _slot: slot,
        };
        let mut hello = Vec::new();
        codec::put_startup(&mut hello);
        (&link.stream).write_all(&hello).await.map_err(failed)?;
        loop {
            match codec::frame(link.buffer.bytes()) {
                Ok(Some((b'E', body, _))) => {
                    let ending = codec::error_code(body).map_or(Ending::ConnectFailed, ending_of);
                    link.reason = CloseReason::TurnedAway;
                    return Err(if ending == Ending::Full { ending } else { Ending::ConnectFailed });
                }
                Ok(Some((tag, _, len))) => {
                    link.buffer.consume(len);
                    if tag == b'Z' {
                        // From here on, dropped while in use means given up.
                        link.reason = CloseReason::GivenUp;
                        return Ok(link);
                    }
                }
                Ok(None) => {
                    if link.buffer.fill(&link.stream).await.map_err(failed)? == 0 {
                        return Err(Ending::ConnectFailed);
                    }
                }
                Err(_) => return Err(Ending::ConnectFailed),
            }
        }
    }

    pub fn end(mut self, reason: CloseReason) {
        self.reason = reason;
    }

    /// Still open and silent: an instance that closed it, or said something unasked, has done with it.
    pub fn is_open(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        self.buffer.bytes().is_empty() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends one query and reads all of its response.
    pub async fn query(&mut self, text: &[u8]) -> Result<Response, Fault> {
        let mut out = Vec::with_capacity(text.len() + 6);
        codec::put_query(&mut out, text);
        // Looked at again right before the write: what came unasked would be taken for this query's answer.
        if !self.is_open() {
            self.reason = CloseReason::Spoilt;
            return Err(Fault::Stale);
        }
        if (&self.stream).write_all(&out).await.is_err() {
            self.reason = CloseReason::Reset;
            return Err(Fault::NotWritten);
        }
        let mut response = Response::default();
        let fault = loop {
            let step = match codec::answer_frame(self.buffer.bytes()) {
                Ok(Some((tag, body, len))) => {
                    let step = response.take(tag, body);
                    self.buffer.consume(len);
                    step
                }
                Ok(None) => match self.more(&response).await {
                    Ok(n) if n > 0 => continue,
                    Ok(_) => break (CloseReason::Eof, Fault::Broken),
                    Err(e) if e.kind() == io::ErrorKind::TimedOut => Step::Stray,
                    // The lack is the router's own: the instance is not to blame.
                    Err(e) if e.kind() == io::ErrorKind::OutOfMemory => {
                        break (CloseReason::NoMemory, Fault::Spoilt);
                    }
                    Err(_) => break (CloseReason::Reset, Fault::Broken),
                },
                Err(_) => Step::Stray,
            };
            match step {
                Step::More => {}
                Step::Ready => return Ok(response),
                Step::Stray => break (CloseReason::Spoilt, Fault::Spoilt),
            }
        };
        self.reason = fault.0;
        // A whole answer needs no ReadyForQuery, and a fatal error has none; what follows it spoils only the
        // connection.
        if response.is_whole() { Ok(response) } else { Err(fault.1) }
    }

    /// Reads more of a response. Once its first byte is there, the rest must not take long: an answer whose
    /// length does not fit would otherwise hold its request until the client gives up.
    async fn more(&mut self, so_far: &Response) -> io::Result<usize> {
        let begun = !self.buffer.bytes().is_empty() || so_far.columns.is_some() || so_far.is_whole();
        let stalled = async {
            if !begun {
                futures_lite::future::pending::<()>().await;
            }
            Timer::after(STALLED).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        or(self.buffer.fill(&self.stream), stalled).await
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_are_read_towards_staler_data() {
        let r = read_report("x0=1767225600.25,x1=1,inflight=7,util=0.61");
        assert_eq!(r.role, Some(Role::Primary));
        assert!(r.position.is_some_and(|p| p <= 1_767_225_600_249_000_000 && p > 1_767_225_600_248_000_000));
        assert_eq!(read_report("nonsense"), Standing::default());
    }
}
