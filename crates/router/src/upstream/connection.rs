//! One connection to an endpoint. It carries one request at a time, and its end is logged once.
//!
//! Owns the socket, its read buffer, and the record of the statements prepared on the connection. It never writes a
//! request while there are unread bytes, which would be taken for its response.

use super::fault::{ExchangeError, Stage};
use super::response::{Response, ResponseProgress};
use super::statement_writer::{WriteConditions, WriteError, write_statement};
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

/// The longest pause within a response.
const RESPONSE_PAUSE_LIMIT: Duration = Duration::from_millis(100);
/// The maximum length of a response in bytes: the largest row, and room for the small messages around it.
const MAX_RESPONSE_LENGTH: u64 = 2 * frame::MAX_ROW_LENGTH as u64;
/// The length in bytes that the message of a simple query has besides its text: tag, length and terminating zero.
const QUERY_FRAMING_LENGTH: usize = 1 + 4 + 1;
/// The interval in nanoseconds at which a connection notifies discovery that its endpoint responds.
const RESPONSE_REPORT_INTERVAL: Nanos = 1_000_000_000;

/// Owns a connection to an endpoint. The endpoint may close it at any time.
pub struct UpstreamConnection {
    shared: Rc<Shared>,
    pub(super) stream: Async<TcpStream>,
    pub(super) buffer: Buffer,
    endpoint: EndpointId,
    /// The endpoint's address at the time of the connect.
    pub address: SocketAddr,
    /// The time at which the connection was last returned to the pool.
    pub idle_since: Timestamp,
    /// The reason that is logged when the connection is dropped.
    pub(super) close_reason: CloseReason,
    prepared: PreparedStatements,
    /// The time at which discovery was last notified that the endpoint responds.
    last_report_at: Timestamp,
    _permit: DescriptorPermit,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        info!(self.shared.log, "connection ended"; "with" => "instance", "member" => &*self.endpoint,
              "reason" => self.close_reason.code());
    }
}

/// The result of a wait for more bytes of a response.
enum ReadResult {
    /// Bytes were read into the buffer.
    Bytes,
    /// The endpoint has closed the connection.
    Closed,
    /// A response that has started paused for [`RESPONSE_PAUSE_LIMIT`].
    Stalled,
    /// The router's memory budget for large messages is exhausted.
    MemoryLimit,
    /// The read failed.
    Failed(io::Error),
}

/// Returns the message of a simple query.
fn query_message(text: &[u8]) -> Vec<u8> {
    let mut message = Vec::with_capacity(text.len() + QUERY_FRAMING_LENGTH);
    frontend::put_query(&mut message, text);
    message
}

/// Writes as many bytes as the socket accepts, and retries a write that a signal interrupts. Returns their number.
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
    /// Creates a connection on which the startup message has not been sent.
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
            last_report_at: 0,
            _permit: permit,
        }
    }

    /// Closes the connection and logs `reason`.
    pub fn close(mut self, reason: CloseReason) {
        self.close_reason = reason;
    }

    /// Lets other tasks run if the current turn has taken long enough.
    pub(super) async fn yield_if_over(&self) {
        self.shared.turns.yield_if_over().await;
    }

    /// Returns whether the connection is open and has no unread bytes. If the endpoint has closed it or sent unexpected
    /// bytes, it cannot be used.
    pub fn is_open(&self) -> bool {
        let peeked = loop {
            match self.stream.get_ref().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                peeked => break peeked,
            }
        };
        let has_no_input = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        has_no_input && self.buffer.bytes().is_empty()
    }

    /// Executes a statement. `response_time` is the time in nanoseconds that the router waits for the response, if the
    /// statement does not have to be written a second time.
    pub async fn execute(
        &mut self,
        statement: &EndpointQuery,
        response_time: Nanos,
        conditions: &WriteConditions<'_>,
    ) -> Result<Response, ExchangeError> {
        let bound = match statement {
            EndpointQuery::Simple(simple) => {
                let message = query_message(&simple.with_timeout(response_time));
                return self.send_query(message, conditions).await;
            }
            EndpointQuery::Bound(bound) => bound,
        };
        let response = self
            .execute_prepared(bound, response_time, conditions)
            .await?;
        if !response.has_unknown_statement() || !response.is_ready {
            return Ok(response);
        }
        // The endpoint does not have the statement and has executed nothing. If time is left, the request is written
        // again with a Parse.
        let Some(response_time) = (conditions.time_left)() else {
            return Ok(response);
        };
        count(&self.shared.counters.statements_reprepared);
        self.prepared.remove(bound.template().id);
        self.execute_prepared(bound, response_time, conditions)
            .await
    }

    /// Sends a simple query and reads its complete response.
    pub async fn query(
        &mut self,
        text: &[u8],
        conditions: &WriteConditions<'_>,
    ) -> Result<Response, ExchangeError> {
        self.send_query(query_message(text), conditions).await
    }

    async fn send_query(
        &mut self,
        message: Vec<u8>,
        conditions: &WriteConditions<'_>,
    ) -> Result<Response, ExchangeError> {
        let executable_length = message.len();
        self.exchange(message, executable_length, conditions, Response::default())
            .await
    }

    /// Executes a prepared statement. All messages that it needs are sent in one write, with a Parse only if the
    /// statement is not prepared on this connection.
    async fn execute_prepared(
        &mut self,
        bound: &BoundStatement,
        response_time: Nanos,
        conditions: &WriteConditions<'_>,
    ) -> Result<Response, ExchangeError> {
        let template = bound.template();
        let mut messages = Vec::new();
        let preparation = self.prepared.preparation(template.id);
        let name = template.statement_name();
        // The tags 1, 2 and 3 are those of ParseComplete, BindComplete and CloseComplete.
        let confirmations: &[u8] = match preparation {
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
            (preparation, &template.kind)
        {
            count(&self.shared.counters.statements_prepared);
            frontend::put_parse(&mut messages, &name, &request.text, &request.types);
        }
        bound.put_bind(&mut messages, response_time);
        frontend::put_execute(&mut messages, "", 0);
        // Once these bytes have arrived, the endpoint may execute the statement, even if the Sync never arrives.
        let executable_length = messages.len();
        frontend::put_sync(&mut messages);
        let response = Response::for_prepared(confirmations);
        let response = self
            .exchange(messages, executable_length, conditions, response)
            .await?;
        // If fewer confirmations are missing than ParseComplete and BindComplete, the Parse has succeeded, even if the
        // rest of the request failed.
        if preparation != Preparation::NotNeeded && response.missing_confirmations() < b"12".len() {
            self.prepared.insert(template.id);
        }
        Ok(response)
    }

    /// Writes the messages of one request, and reads its complete response. Once the first `executable_length` bytes
    /// are written, the endpoint may execute the request. The messages take no memory while the response is awaited.
    async fn exchange(
        &mut self,
        messages: Vec<u8>,
        executable_length: usize,
        conditions: &WriteConditions<'_>,
        response: Response,
    ) -> Result<Response, ExchangeError> {
        // Checked again immediately before the write, because unread bytes would be taken for the response to this
        // request.
        if !self.is_open() {
            self.close_reason = CloseReason::MalformedResponse;
            return Err(ExchangeError::StaleConnection);
        }
        self.write(&messages, executable_length, conditions).await?;
        drop(messages);
        self.read_response(response).await
    }

    async fn write(
        &mut self,
        messages: &[u8],
        executable_length: usize,
        conditions: &WriteConditions<'_>,
    ) -> Result<(), ExchangeError> {
        let written = write_statement(&self.stream, messages, executable_length, conditions).await;
        written.map_err(|error| match error {
            WriteError::NotPermitted => ExchangeError::Withdrawn,
            WriteError::Failed { error, stage } => {
                self.close_reason = CloseReason::Reset;
                ExchangeError::from_io(&error, stage)
            }
        })
    }

    async fn read_response(&mut self, mut response: Response) -> Result<Response, ExchangeError> {
        let Err((close_reason, error)) = self.read_until_ready(&mut response).await else {
            self.report_response(&response);
            return Ok(response);
        };
        self.close_reason = close_reason;
        if !response.is_complete() {
            return Err(error);
        }
        // A complete response is valid without ReadyForQuery, which does not follow a fatal error. Invalid bytes behind
        // it affect only the connection.
        self.report_response(&response);
        Ok(response)
    }

    /// Reads messages up to ReadyForQuery. After an error the connection must be closed, with the returned reason.
    async fn read_until_ready(
        &mut self,
        response: &mut Response,
    ) -> Result<(), (CloseReason, ExchangeError)> {
        const MALFORMED: (CloseReason, ExchangeError) = (
            CloseReason::MalformedResponse,
            ExchangeError::MalformedResponse,
        );
        let end = self.buffer.bytes_read() + MAX_RESPONSE_LENGTH;
        loop {
            let progress = match frame::parse_backend(self.buffer.bytes()) {
                Ok(Some((tag, body, length))) => {
                    let progress = response.add_message(tag, body);
                    self.buffer.consume(length);
                    progress
                }
                Ok(None) => {
                    self.yield_if_over().await;
                    if self.buffer.bytes_read() > end {
                        return Err(MALFORMED);
                    }
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
            // The shortage is the router's own. It is not a failure of the endpoint.
            ReadResult::MemoryLimit => {
                Err((CloseReason::NoMemory, ExchangeError::MalformedResponse))
            }
            ReadResult::Failed(e) => {
                let error = ExchangeError::from_io(&e, Stage::Read);
                Err((CloseReason::Reset, error))
            }
        }
    }

    /// Waits for more bytes of a response. Once its first byte has arrived, the rest must follow soon: otherwise a
    /// response with a wrong length would block its request until the client's timeout.
    async fn wait_for_bytes(&mut self, so_far: &Response) -> ReadResult {
        let has_started = !self.buffer.bytes().is_empty() || so_far.has_started();
        let stalled = async {
            if !has_started {
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

    /// Notifies discovery that the endpoint responds: at once if it is draining, otherwise at most once in
    /// [`RESPONSE_REPORT_INTERVAL`].
    fn report_response(&mut self, response: &Response) {
        let is_draining = response.has_draining_error();
        let now = self.shared.clock.now();
        let since_last = now.saturating_sub(self.last_report_at);
        if is_draining || since_last > RESPONSE_REPORT_INTERVAL {
            self.last_report_at = now;
            self.report_endpoint_responded(is_draining);
        }
    }

    /// Notifies discovery that the endpoint responds, and whether it is draining.
    pub(super) fn report_endpoint_responded(&self, is_draining: bool) {
        self.shared
            .report_endpoint_responded(&self.endpoint, is_draining);
    }
}
