//! One connection to an endpoint: dialled, used for one request at a time, and logged once when it ends.

use super::fault::{Blame, Stage, classify};
use crate::messages::{Answer, CancellationFlag, Column};
use crate::observability::counters::count;
use crate::observability::log::CloseReason;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::{DescriptorPermit, Shared};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt as _;
use futures_lite::future::or;
use reelrill_pg_protocol::frontend::{self, Object};
use reelrill_pg_protocol::{backend, code, frame, text};
use reelrill_pg_session::bound::{Ask, Bound};
use reelrill_pg_session::prepared::{Need, Prepared};
use reelrill_pg_session::template::{self, Kind};
use reelrill_routing::{AttemptOutcome, EndpointId, Nanos, ReplicationStatus, Role, Timestamp};
use slog::info;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long an answer that has begun may pause.
const STALLED: Duration = Duration::from_millis(100);
/// Where this host lacks what a connection needs, it tries again so often, after such a pause, and then another
/// endpoint gets the request.
const HOST_RETRIES: u32 = 3;
const HOST_PAUSE: Duration = Duration::from_millis(10);
/// How often a connection passes on that its endpoint answers.
const VOUCH: Nanos = 1_000_000_000;

pub struct UpstreamConnection {
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    endpoint: EndpointId,
    pub address: SocketAddr,
    /// When it was last given back.
    pub idle_since: Timestamp,
    reason: CloseReason,
    /// The statements prepared here.
    prepared: Prepared,
    /// When its word was last passed on.
    vouched: Timestamp,
    _slot: DescriptorPermit,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        info!(self.shared.log, "connection ended"; "with" => "instance", "member" => &*self.endpoint,
              "reason" => self.reason.code());
    }
}

/// Why a query got no whole response.
#[derive(Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection had ended, or held bytes that nobody asked for, before anything was written.
    Stale,
    /// It failed before the last byte was written, so nothing has run.
    NotWritten(Blame),
    /// It broke or ended after that.
    Broken,
    /// What came back is no response: the query has run, and the connection is of no further use.
    Spoilt,
}

/// All that came back for one query.
#[derive(Debug, Default)]
pub struct Response {
    /// Of a prepared statement: what must be confirmed before a row may come, in order. There is no description
    /// then; the value is in the format that was asked for.
    confirms: &'static [u8],
    is_prepared: bool,
    column: Option<Column>,
    value: Option<Vec<u8>>,
    tag: Option<Box<str>>,
    code: Option<String>,
    pub replication: ReplicationStatus,
    pub report: ReplicationStatus,
    /// The connection is ready for another query.
    pub ready: bool,
}

/// What came of waiting for more of a response.
enum More {
    Bytes,
    /// The endpoint has closed the connection.
    Closed,
    /// A response that has begun has paused for [`STALLED`].
    Stalled,
    /// This router's memory for large messages is used up.
    NoMemory,
    Failed(io::Error),
}

/// What a failed dial means for the attempt that waits for it: nothing has run.
fn dial_ending(error: &io::Error) -> AttemptOutcome {
    match classify(error, Stage::Connect).blame {
        Blame::Endpoint => AttemptOutcome::ConnectFailed,
        Blame::Host | Blame::Nobody => AttemptOutcome::NotSent,
    }
}

/// What a failed write or read means for the attempt. A lack of this host's own after the write tells nothing of the
/// endpoint: it counts as an answer that could not be read.
fn fault_of(error: &io::Error, stage: Stage) -> Fault {
    let fault = classify(error, stage);
    match fault.blame {
        blame if !fault.possibly_executed => Fault::NotWritten(blame),
        Blame::Endpoint => Fault::Broken,
        Blame::Host | Blame::Nobody => Fault::Spoilt,
    }
}

/// Connects. What this host lacks for a moment (descriptors, ports, memory) is no failure of the endpoint.
async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut retries = 0;
    loop {
        match Async::<TcpStream>::connect(address).await {
            Err(e)
                if retries < HOST_RETRIES
                    && classify(&e, Stage::Connect).blame != Blame::Endpoint =>
            {
                retries += 1;
                Timer::after(HOST_PAUSE).await;
            }
            result => return result,
        }
    }
}

/// Writes once, again where a signal interrupts it.
async fn write_some(mut stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match stream.write(bytes).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            result => return result,
        }
    }
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
pub fn ending_of(code: &str) -> AttemptOutcome {
    match code {
        code::READ_ONLY | code::BEHIND => AttemptOutcome::Misrouted,
        code::TOO_MANY => AttemptOutcome::Overloaded,
        code::PROTOCOL_VIOLATION => AttemptOutcome::InvalidRequest,
        // Only a prepared statement ends so: the endpoint has forgotten it, twice in a row.
        code::NO_STATEMENT => AttemptOutcome::NotSent,
        _ if code.starts_with("22") || code.starts_with("42") => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Error,
    }
}

impl Response {
    /// The ending, and the value if it is whole.
    pub fn outcome(self) -> (AttemptOutcome, Option<Answer>) {
        if let Some(code) = &self.code {
            return (ending_of(code), None);
        }
        match (self.value, self.tag) {
            (Some(value), Some(tag)) => (
                AttemptOutcome::Served,
                Some(Answer {
                    column: self.column,
                    value,
                    tag,
                }),
            ),
            _ => (AttemptOutcome::MalformedResponse, None),
        }
    }

    /// Nothing more is needed for its ending.
    fn is_whole(&self) -> bool {
        self.tag.is_some() || self.code.is_some()
    }

    /// Its first byte has come.
    fn has_begun(&self) -> bool {
        self.column.is_some() || self.value.is_some() || self.is_whole()
    }

    /// Takes one message in its place: one description, one row of one column, one end; or one error before any
    /// of these. Serving anything else would hand a client what no endpoint made for it.
    fn take(&mut self, tag: u8, body: &[u8]) -> Step {
        let may_have_row = if self.is_prepared {
            self.confirms.is_empty()
        } else {
            self.column.is_some()
        };
        match tag {
            b'T' if !self.is_prepared && !self.has_begun() => match backend::one_column(body) {
                Some(c) => {
                    self.column = Some(Column {
                        name: c.name.into(),
                        kind: c.kind,
                        format: c.format,
                    })
                }
                None => return Step::Stray,
            },
            b'D' if may_have_row && self.value.is_none() && !self.is_whole() => {
                match backend::single_value(body) {
                    Some(value) => self.value = Some(value.to_vec()),
                    None => return Step::Stray,
                }
            }
            b'C' if self.value.is_some() && !self.is_whole() => match backend::only_text(body) {
                Some(tag) => self.tag = Some(tag.into()),
                None => return Step::Stray,
            },
            b'E' if !self.has_begun() => match backend::error_code(body) {
                Some(code) => self.code = Some(code.to_owned()),
                None => return Step::Stray,
            },
            b'S' => self.parameter(body),
            b'N' => {}
            b'Z' if self.is_whole() && body.len() == 1 => {
                self.ready = true;
                return Step::Ready;
            }
            _ if self.confirms.first() == Some(&tag) && body.is_empty() && !self.has_begun() => {
                self.confirms = &self.confirms[1..];
            }
            _ => return Step::Stray,
        }
        Step::More
    }

    /// The one value as text: the report that a probe asks for.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(self.value.as_deref()?).ok()
    }

    fn parameter(&mut self, body: &[u8]) {
        let Some((name, rest)) = text(body) else {
            return;
        };
        let Some((value, _)) = text(rest) else { return };
        match name {
            "part" if value == "master" => self.replication.role = Some(Role::Primary),
            "part" if value == "replica" => self.replication.role = Some(Role::Replica),
            "caught_up_to" => {
                let ms: Option<u64> = value.parse().ok().filter(|ms| *ms > 0);
                self.replication.applied_position = ms.map(|ms| ms.saturating_mul(1_000_000));
            }
            "gauges" => self.report = read_report(value),
            _ => {}
        }
    }
}

/// A load report: `x0=1767225600.25,x1=1,...`. Its position is taken a millisecond staler: it was rounded.
pub fn read_report(text: &str) -> ReplicationStatus {
    let mut report = ReplicationStatus::default();
    for (name, value) in text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
    {
        match (name, value.parse::<f64>()) {
            ("x0", Ok(s)) if s > 0.0 => {
                report.applied_position = Some((s * 1e9 - 1e6).max(0.0) as u64)
            }
            ("x1", Ok(x)) => {
                report.role = Some(if x == 1.0 {
                    Role::Primary
                } else {
                    Role::Replica
                })
            }
            _ => {}
        }
    }
    report
}

impl UpstreamConnection {
    /// Connects and waits for the welcome, within the settings' limit. An error never ran anything.
    pub async fn dial(
        shared: Rc<Shared>,
        endpoint: EndpointId,
        address: SocketAddr,
        slot: DescriptorPermit,
    ) -> Result<UpstreamConnection, AttemptOutcome> {
        count(&shared.counters.dials);
        let limit = match shared.config.site.settings.limits.connect_timeout {
            0 => Duration::from_secs(1),
            ns => Duration::from_nanos(ns),
        };
        let within = async {
            Timer::after(limit).await;
            None
        };
        let c = shared.clone();
        let dialled = or(
            async { Some(UpstreamConnection::welcome(shared, endpoint, address, slot).await) },
            within,
        )
        .await;
        match &dialled {
            Some(Ok(_)) => {}
            Some(Err(AttemptOutcome::Overloaded)) => count(&c.counters.dials_turned_away),
            Some(Err(_)) => count(&c.counters.dials_broken),
            None => count(&c.counters.dials_silent),
        }
        dialled.unwrap_or(Err(AttemptOutcome::ConnectFailed))
    }

    async fn welcome(
        shared: Rc<Shared>,
        endpoint: EndpointId,
        address: SocketAddr,
        slot: DescriptorPermit,
    ) -> Result<UpstreamConnection, AttemptOutcome> {
        let failed = |e: io::Error| dial_ending(&e);
        let stream = connect(address).await.map_err(failed)?;
        stream.get_ref().set_nodelay(true).map_err(failed)?;
        let memory = shared.memory.clone();
        let limit = shared.config.edge.extended.limits.prepared;
        let mut connection = UpstreamConnection {
            idle_since: shared.clock.now(),
            shared,
            stream,
            buffer: Buffer::new(&memory),
            endpoint,
            address,
            reason: CloseReason::DialFailed,
            prepared: Prepared::new(limit),
            vouched: 0,
            _slot: slot,
        };
        let mut hello = Vec::new();
        frontend::put_startup(&mut hello);
        let mut written = 0;
        while written < hello.len() {
            written += write_some(&connection.stream, &hello[written..])
                .await
                .map_err(failed)?;
        }
        loop {
            match frame::within(connection.buffer.bytes(), frame::LARGEST_WORD) {
                Ok(Some((b'E', body, _))) => {
                    if backend::error_code(body) == Some(code::LEAVING) {
                        connection.shared.vouch(&connection.endpoint, true);
                    }
                    let outcome =
                        backend::error_code(body).map_or(AttemptOutcome::ConnectFailed, ending_of);
                    connection.reason = CloseReason::TurnedAway;
                    return Err(if outcome == AttemptOutcome::Overloaded {
                        outcome
                    } else {
                        AttemptOutcome::ConnectFailed
                    });
                }
                Ok(Some((tag, _, len))) => {
                    connection.buffer.consume(len);
                    if tag == b'Z' {
                        // From here on, dropped while in use means given up.
                        connection.reason = CloseReason::GivenUp;
                        return Ok(connection);
                    }
                }
                Ok(None) => {
                    if connection
                        .buffer
                        .fill(&connection.stream)
                        .await
                        .map_err(failed)?
                        == 0
                    {
                        return Err(AttemptOutcome::ConnectFailed);
                    }
                }
                Err(_) => return Err(AttemptOutcome::ConnectFailed),
            }
        }
    }

    pub fn end(mut self, reason: CloseReason) {
        self.reason = reason;
    }

    /// Still open and silent: an endpoint that closed it, or said something unasked, has done with it.
    pub fn is_open(&self) -> bool {
        let peeked = loop {
            match self.stream.get_ref().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                peeked => break peeked,
            }
        };
        self.buffer.bytes().is_empty()
            && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Asks for what a request wants, within the time that the router will wait. `time_left` says how long that is
    /// when something has to be written again, or that nothing may be.
    pub async fn ask(
        &mut self,
        ask: &Ask,
        wait: Nanos,
        time_left: impl Fn() -> Option<Nanos>,
        sent: &CancellationFlag,
    ) -> Result<Response, Fault> {
        match ask {
            Ask::Simple(simple) => self.query(&simple.with_wait(wait), sent).await,
            Ask::Bound(bound) => {
                let response = self.run(bound, wait, sent).await?;
                let forgot = response.code.as_deref() == Some(code::NO_STATEMENT);
                if !forgot || !response.ready {
                    return Ok(response);
                }
                // It has lost the statement, and nothing has run: once more, with a Parse, if there still is time.
                let Some(wait) = time_left() else {
                    return Ok(response);
                };
                count(&self.shared.counters.reprepared);
                self.prepared.forgotten(bound.template().id);
                self.run(bound, wait, sent).await
            }
        }
    }

    /// Sends one query and reads all of its response.
    pub async fn query(&mut self, text: &[u8], sent: &CancellationFlag) -> Result<Response, Fault> {
        let mut out = Vec::with_capacity(text.len() + 6);
        frontend::put_query(&mut out, text);
        let runs_from = out.len();
        self.exchange(&out, runs_from, sent, Response::default())
            .await
    }

    /// Runs a prepared statement: all that it needs here in one write, a Parse only where it is lacking.
    async fn run(
        &mut self,
        bound: &Bound,
        wait: Nanos,
        sent: &CancellationFlag,
    ) -> Result<Response, Fault> {
        let (template, mut out) = (bound.template(), Vec::new());
        let need = self.prepared.need(template.id);
        let name = template.name();
        let confirms: &[u8] = match need {
            Need::Ready => b"2",
            Need::Prepare { evict: None } => b"12",
            Need::Prepare { evict: Some(old) } => {
                frontend::put_close(&mut out, Object::Statement, &template::name(old));
                b"312"
            }
        };
        if let (Need::Prepare { .. }, Kind::Request(request)) = (need, &template.kind) {
            count(&self.shared.counters.prepared);
            frontend::put_parse(&mut out, &name, &request.text, &request.types);
        }
        bound.put_bind(&mut out, wait);
        frontend::put_execute(&mut out, "", 0);
        // From here on it may run, whether or not the Sync behind it arrives.
        let runs_from = out.len();
        frontend::put_sync(&mut out);
        let response = Response {
            confirms,
            is_prepared: true,
            ..Response::default()
        };
        let response = self.exchange(&out, runs_from, sent, response).await?;
        if need != Need::Ready && response.confirms.len() < b"12".len() {
            self.prepared.confirmed(template.id);
        }
        Ok(response)
    }

    /// Writes what asks for one response, and reads all of it. Once the bytes up to `runs_from` are written, the
    /// request may run, and `sent` says so.
    async fn exchange(
        &mut self,
        out: &[u8],
        runs_from: usize,
        sent: &CancellationFlag,
        mut response: Response,
    ) -> Result<Response, Fault> {
        // Looked at again right before the write: what came unasked would be taken for this query's answer.
        if !self.is_open() {
            self.reason = CloseReason::Spoilt;
            return Err(Fault::Stale);
        }
        let mut written = 0;
        while written < out.len() {
            match write_some(&self.stream, &out[written..]).await {
                Ok(n) => {
                    written += n;
                    if written >= runs_from {
                        sent.raise();
                    }
                }
                Err(e) => {
                    self.reason = CloseReason::Reset;
                    let stage = if written < runs_from {
                        Stage::Write
                    } else {
                        Stage::Read
                    };
                    return Err(fault_of(&e, stage));
                }
            }
        }
        let fault = loop {
            let step = match frame::answer(self.buffer.bytes()) {
                Ok(Some((tag, body, len))) => {
                    let step = response.take(tag, body);
                    self.buffer.consume(len);
                    step
                }
                Ok(None) => match self.more(&response).await {
                    More::Bytes => continue,
                    More::Closed => break (CloseReason::Eof, Fault::Broken),
                    More::Stalled => Step::Stray,
                    // The lack is the router's own: the endpoint is not to blame.
                    More::NoMemory => break (CloseReason::NoMemory, Fault::Spoilt),
                    More::Failed(e) => break (CloseReason::Reset, fault_of(&e, Stage::Read)),
                },
                Err(_) => Step::Stray,
            };
            match step {
                Step::More => {}
                Step::Ready => {
                    self.vouch(response.code.as_deref() == Some(code::LEAVING));
                    return Ok(response);
                }
                Step::Stray => break (CloseReason::Spoilt, Fault::Spoilt),
            }
        };
        self.reason = fault.0;
        if response.is_whole() {
            self.vouch(response.code.as_deref() == Some(code::LEAVING));
        }
        // A whole answer needs no ReadyForQuery, and a fatal error has none; what follows it spoils only the
        // connection.
        if response.is_whole() {
            Ok(response)
        } else {
            Err(fault.1)
        }
    }

    /// Passes on that the endpoint answers for itself: at once that it leaves, else now and then.
    fn vouch(&mut self, leaving: bool) {
        let now = self.shared.clock.now();
        if leaving || now.saturating_sub(self.vouched) > VOUCH {
            self.vouched = now;
            self.shared.vouch(&self.endpoint, leaving);
        }
    }

    /// Reads more of a response. Once its first byte is there, the rest must not take long: an answer whose
    /// length does not fit would otherwise hold its request until the client gives up.
    async fn more(&mut self, so_far: &Response) -> More {
        let begun = !self.buffer.bytes().is_empty() || so_far.has_begun();
        let stalled = async {
            if !begun {
                futures_lite::future::pending::<()>().await;
            }
            Timer::after(STALLED).await;
            More::Stalled
        };
        let filled = async {
            match self.buffer.fill(&self.stream).await {
                Ok(0) => More::Closed,
                Ok(_) => More::Bytes,
                Err(e) if MemoryLimitReached::caused(&e) => More::NoMemory,
                Err(e) => More::Failed(e),
            }
        };
        or(filled, stalled).await
    }
}

#[cfg(test)]
mod tests;
