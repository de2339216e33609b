//! One connection to an endpoint: used for one request at a time, and logged once when it ends.
//!
//! Owns the socket, what was read of it, and which statements are prepared there. It never writes a request while
//! unread bytes are left, which would be taken for its response, and it raises [`AttemptProgress`] to written no later
//! than the last byte with which the request may run.

use super::fault::{ExchangeError, Stage};
use super::response::{Response, ResponseProgress};
use crate::messages::AttemptProgress;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::{DescriptorPermit, Shared};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt as _;
use futures_lite::future::or;
use reelrill_pg_protocol::frame;
use reelrill_pg_protocol::frontend::{self, ObjectKind};
use reelrill_pg_session::endpoint_query::{BoundStatement, EndpointQuery};
use reelrill_pg_session::prepared::{Preparation, PreparedStatements};
use reelrill_pg_session::template::{self, StatementKind};
use reelrill_routing::{EndpointId, Nanos, Timestamp};
use slog::info;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long a response that has begun may pause.
const RESPONSE_PAUSE_LIMIT: Duration = Duration::from_millis(100);
/// How often a connection tells discovery that its endpoint answers.
const ALIVE_REPORT_INTERVAL: Nanos = 1_000_000_000;

/// A connection that is open, or was when it was last looked at.
pub struct UpstreamConnection {
    shared: Rc<Shared>,
    pub(super) stream: Async<TcpStream>,
    pub(super) buffer: Buffer,
    endpoint: EndpointId,
    /// Where it leads.
    pub address: SocketAddr,
    /// When it was last given back.
    pub idle_since: Timestamp,
    /// What its log line says, if it is dropped now.
    pub(super) close_reason: CloseReason,
    prepared: PreparedStatements,
    /// When discovery was last told that the endpoint answers.
    reported_alive_at: Timestamp,
    _permit: DescriptorPermit,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        info!(self.shared.log, "connection ended"; "with" => "instance", "member" => &*self.endpoint,
              "reason" => self.close_reason.code());
    }
}

/// What came of waiting for more of a response.
enum ReadResult {
    Bytes,
    /// The endpoint has closed the connection.
    Closed,
    /// A response that has begun has paused for [`RESPONSE_PAUSE_LIMIT`].
    Stalled,
    /// This router's memory for large messages is used up.
    MemoryLimit,
    Failed(io::Error),
}

/// Writes once, again where a signal interrupts it.
pub(super) async fn write_some(mut stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match stream.write(bytes).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            result => return result,
        }
    }
}

impl UpstreamConnection {
    /// A connection whose session has not begun.
    pub(super) fn new(
        shared: Rc<Shared>,
        stream: Async<TcpStream>,
        endpoint: EndpointId,
        address: SocketAddr,
        permit: DescriptorPermit,
    ) -> UpstreamConnection {
        let memory = shared.buffer_memory.clone();
        let max_prepared = shared.config.extensions.extended.limits.prepared;
        UpstreamConnection {
            idle_since: shared.clock.now(),
            shared,
            stream,
            buffer: Buffer::new(&memory),
            endpoint,
            address,
            close_reason: CloseReason::ConnectFailed,
            prepared: PreparedStatements::new(max_prepared),
            reported_alive_at: 0,
            _permit: permit,
        }
    }

    /// Closes the connection.
    pub fn close(mut self, reason: CloseReason) {
        self.close_reason = reason;
    }

    /// Still open and silent: an endpoint that closed it, or said something unasked, has done with it.
    pub fn is_open(&self) -> bool {
        let peeked = loop {
            match self.stream.get_ref().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                peeked => break peeked,
            }
        };
        let is_silent = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        is_silent && self.buffer.bytes().is_empty()
    }

    /// Executes what a request asks for, within the time that the router will wait (`wait`, in nanoseconds).
    /// `time_left` says how long that is when something has to be written again, or that nothing may be.
    pub async fn execute(
        &mut self,
        ask: &EndpointQuery,
        wait: Nanos,
        time_left: impl Fn() -> Option<Nanos>,
        progress: &AttemptProgress,
    ) -> Result<Response, ExchangeError> {
        let bound = match ask {
            EndpointQuery::Simple(simple) => {
                return self.query(&simple.with_timeout(wait), progress).await;
            }
            EndpointQuery::Bound(bound) => bound,
        };
        let response = self.execute_prepared(bound, wait, progress).await?;
        if !response.has_unknown_statement() || !response.is_ready {
            return Ok(response);
        }
        // It has lost the statement, and nothing has run: once more, with a Parse, if there still is time.
        let Some(wait) = time_left() else {
            return Ok(response);
        };
        count(&self.shared.counters.statements_reprepared);
        self.prepared.remove(bound.template().id);
        self.execute_prepared(bound, wait, progress).await
    }

    /// Sends one simple query and reads all of its response.
    pub async fn query(
        &mut self,
        text: &[u8],
        progress: &AttemptProgress,
    ) -> Result<Response, ExchangeError> {
        let mut message = Vec::with_capacity(text.len() + 6);
        frontend::put_query(&mut message, text);
        let executable_length = message.len();
        self.exchange(&message, executable_length, progress, Response::default())
            .await
    }

    /// Executes a prepared statement: all that it needs here in one write, a Parse only where it is lacking.
    async fn execute_prepared(
        &mut self,
        bound: &BoundStatement,
        wait: Nanos,
        progress: &AttemptProgress,
    ) -> Result<Response, ExchangeError> {
        let template = bound.template();
        let mut messages = Vec::new();
        let need = self.prepared.preparation(template.id);
        let name = template.statement_name();
        let confirmations: &[u8] = match need {
            Preparation::NotNeeded => b"2",
            Preparation::Needed { evict: None } => b"12",
            Preparation::Needed { evict: Some(old) } => {
                frontend::put_close(
                    &mut messages,
                    ObjectKind::Statement,
                    &template::statement_name(old),
                );
                b"312"
            }
        };
        if let (Preparation::Needed { .. }, StatementKind::Request(request)) =
            (need, &template.kind)
        {
            count(&self.shared.counters.statements_prepared);
            frontend::put_parse(&mut messages, &name, &request.text, &request.types);
        }
        bound.put_bind(&mut messages, wait);
        frontend::put_execute(&mut messages, "", 0);
        // From here on it may run, whether or not the Sync behind it arrives.
        let executable_length = messages.len();
        frontend::put_sync(&mut messages);
        let response = Response::for_prepared(confirmations);
        let response = self
            .exchange(&messages, executable_length, progress, response)
            .await?;
        if need != Preparation::NotNeeded && response.missing_confirmations() < b"12".len() {
            self.prepared.insert(template.id);
        }
        Ok(response)
    }

    /// Writes what asks for one response, and reads all of it. Once the first `executable_length` bytes are written,
    /// the request may run, and `progress` says so.
    async fn exchange(
        &mut self,
        messages: &[u8],
        executable_length: usize,
        progress: &AttemptProgress,
        response: Response,
    ) -> Result<Response, ExchangeError> {
        // Looked at again right before the write: what came unasked would be taken for this request's response.
        if !self.is_open() {
            self.close_reason = CloseReason::MalformedResponse;
            return Err(ExchangeError::StaleConnection);
        }
        progress.start_writing();
        self.write(messages, executable_length, progress).await?;
        self.read_response(response).await
    }

    async fn write(
        &mut self,
        messages: &[u8],
        executable_length: usize,
        progress: &AttemptProgress,
    ) -> Result<(), ExchangeError> {
        let mut written = 0;
        while written < messages.len() {
            match write_some(&self.stream, &messages[written..]).await {
                Ok(length) => written += length,
                Err(e) => {
                    self.close_reason = CloseReason::Reset;
                    let has_run = written >= executable_length;
                    let stage = if has_run { Stage::Read } else { Stage::Write };
                    return Err(ExchangeError::from_io(&e, stage));
                }
            }
            if written >= executable_length {
                progress.finish_writing();
            }
        }
        Ok(())
    }

    async fn read_response(&mut self, mut response: Response) -> Result<Response, ExchangeError> {
        let Err((close_reason, error)) = self.read_until_ready(&mut response).await else {
            self.report_alive_by(&response);
            return Ok(response);
        };
        self.close_reason = close_reason;
        if !response.is_complete() {
            return Err(error);
        }
        // A complete answer needs no ReadyForQuery, and a fatal error has none; what follows it spoils only the
        // connection.
        self.report_alive_by(&response);
        Ok(response)
    }

    /// Reads up to ReadyForQuery. An error ends the connection.
    async fn read_until_ready(
        &mut self,
        response: &mut Response,
    ) -> Result<(), (CloseReason, ExchangeError)> {
        const MALFORMED: (CloseReason, ExchangeError) = (
            CloseReason::MalformedResponse,
            ExchangeError::MalformedResponse,
        );
        loop {
            let progress = match frame::parse_backend(self.buffer.bytes()) {
                Ok(Some((kind, body, length))) => {
                    let progress = response.add_message(kind, body);
                    self.buffer.consume(length);
                    progress
                }
                Ok(None) => {
                    self.read_more(response).await?;
                    continue;
                }
                Err(_) => return Err(MALFORMED),
            };
            match progress {
                ResponseProgress::Incomplete => {}
                ResponseProgress::Ready => return Ok(()),
                ResponseProgress::Unexpected => return Err(MALFORMED),
            }
        }
    }

    async fn read_more(&mut self, so_far: &Response) -> Result<(), (CloseReason, ExchangeError)> {
        match self.wait_for_bytes(so_far).await {
            ReadResult::Bytes => Ok(()),
            ReadResult::Closed => Err((CloseReason::Eof, ExchangeError::ConnectionBroken)),
            ReadResult::Stalled => Err((
                CloseReason::MalformedResponse,
                ExchangeError::MalformedResponse,
            )),
            // The lack is the router's own: the endpoint is not to blame.
            ReadResult::MemoryLimit => {
                Err((CloseReason::NoMemory, ExchangeError::MalformedResponse))
            }
            ReadResult::Failed(e) => {
                let error = ExchangeError::from_io(&e, Stage::Read);
                Err((CloseReason::Reset, error))
            }
        }
    }

    /// Waits for more of a response. Once its first byte is there, the rest must not take long: a response whose
    /// length does not fit would otherwise hold its request until the client stops waiting.
    async fn wait_for_bytes(&mut self, so_far: &Response) -> ReadResult {
        let has_begun = !self.buffer.bytes().is_empty() || so_far.has_started();
        let stalled = async {
            if !has_begun {
                futures_lite::future::pending::<()>().await;
            }
            Timer::after(RESPONSE_PAUSE_LIMIT).await;
            ReadResult::Stalled
        };
        let filled = async {
            match self.buffer.fill(&self.stream).await {
                Ok(0) => ReadResult::Closed,
                Ok(_) => ReadResult::Bytes,
                Err(e) if MemoryLimitReached::caused(&e) => ReadResult::MemoryLimit,
                Err(e) => ReadResult::Failed(e),
            }
        };
        or(filled, stalled).await
    }

    /// Tells discovery that the endpoint answers for itself: at once that it drains, else now and then.
    fn report_alive_by(&mut self, response: &Response) {
        let is_draining = response.has_draining_error();
        let now = self.shared.clock.now();
        let since_last = now.saturating_sub(self.reported_alive_at);
        if is_draining || since_last > ALIVE_REPORT_INTERVAL {
            self.reported_alive_at = now;
            self.report_alive(is_draining);
        }
    }

    pub(super) fn report_alive(&self, is_draining: bool) {
        self.shared
            .report_endpoint_responded(&self.endpoint, is_draining);
    }
}
