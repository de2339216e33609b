//! Runs one client's connection: its startup, its messages in order, and its close.
//!
//! Owns the socket, the buffer and the client's queries. Must never close a connection on which a complete request has
//! arrived that has no response yet.

use super::connection_state::ConnectionState;
use super::extended_queries::ExtendedQueries;
use super::input_backlog::{InputBacklog, ReadEnd};
use super::message_kind::MessageKind;
use super::reading::{READ_AHEAD_LIMIT, ShutdownReadLimit, starts_with_complete_message};
use super::rejection::Rejection;
use super::simple_queries::SimpleQueries;
use super::start_gate::StartGate;
use super::terminate_scan::TerminateScan;
use super::turn_end::ProcessorUse;
use super::{closing, socket};
use crate::extensions::ExtendedQueryMode;
use crate::messages::{CancellationFlag, ClientRequest};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::{
    CancellationKey, CancellationSignal, CountGuard, DescriptorPermit, Shared,
};
use crate::runtime::turn::{TaskKind, TaskMeter, run_metered};
use async_io::Async;
use reelrill_pg_protocol::frame;
use reelrill_pg_protocol::frontend::{self, Startup};
use reelrill_pg_protocol::{backend, sqlstate};
use reelrill_pg_session::endpoint_query::EndpointQuery;
use reelrill_pg_session::request::ValidatedRequest;
use reelrill_routing::Timestamp;
use slog::info;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Serves one connection to its end and logs the close reason.
pub async fn serve(
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    _permit: DescriptorPermit,
    unused: CountGuard,
) {
    let meter = Rc::new(TaskMeter::default());
    let client = ClientConnection::new(shared.clone(), stream, unused, meter.clone());
    run_metered(&shared, TaskKind::Client, &meter, serve_to_end(client)).await;
}

async fn serve_to_end(mut client: ClientConnection) {
    let _ = client.stream.get_ref().set_nodelay(true);
    let ended = client.run().await;
    let reason = ended.err().unwrap_or(CloseReason::Terminate);
    let mut discarded_bytes = 0;
    if reason.is_initiated_by_router() {
        // An unused connection is unlikely to send a request just now, and its descriptor is needed.
        let is_expendable = client.state.is_unused() && reason == CloseReason::Evicted;
        let max_linger = if is_expendable {
            closing::LINGER_UNUSED
        } else {
            closing::LINGER_BETWEEN_REQUESTS
        };
        discarded_bytes = client.lingering_close(max_linger).await;
    }
    if let Some(process) = client.cancellation_process {
        client.shared.cancellations.remove(process);
    }
    let processing_time = Duration::from_nanos(client.meter.used(&client.shared.turns));
    info!(client.shared.log, "connection ended"; "with" => "client", "reason" => reason.code(),
          "discarded_bytes" => discarded_bytes, "processing_us" => processing_time.as_micros());
}

/// Owns one client's connection, its buffer and its queries.
pub struct ClientConnection {
    pub(super) shared: Rc<Shared>,
    pub(super) stream: Async<TcpStream>,
    pub(super) buffer: Buffer,
    /// Measures the processor time that the connection's task has used.
    pub(super) meter: Rc<TaskMeter>,
    pub(super) processor_use: ProcessorUse,
    pub(super) accepted_at: Timestamp,
    pub(super) state: ConnectionState,
    /// Whether the client has closed its sending side, so that no more input will arrive.
    pub(super) has_input_ended: bool,
    /// The client's simple queries that have no response yet.
    pub(super) simple_queries: SimpleQueries,
    /// Whether unsupported commands are skipped up to the next Sync.
    is_skipping_to_sync: bool,
    /// The client's prepared statements and pipeline, if extended queries are enabled.
    pub(super) extended_queries: Option<ExtendedQueries>,
    /// Signalled when the client sends a cancel request on another connection.
    pub(super) cancellation: Rc<CancellationSignal>,
    /// The process number by which a cancel request identifies this connection.
    cancellation_process: Option<u32>,
    /// Limits how much is read from the connection late in a graceful shutdown.
    pub(super) shutdown_read_limit: ShutdownReadLimit,
    /// Whether the client may have written input that has not reached the router's socket yet.
    pub(super) backlog: InputBacklog,
    terminate_scan: TerminateScan,
    /// Delays the start of requests while the client's disconnect may be hidden.
    pub(super) start_gate: StartGate,
    /// The progress of messages that are rejected without being stored.
    pub(super) rejection: Rejection,
}

impl ClientConnection {
    fn new(
        shared: Rc<Shared>,
        stream: Async<TcpStream>,
        unused: CountGuard,
        meter: Rc<TaskMeter>,
    ) -> ClientConnection {
        let is_extended = shared.config.extensions.extended.mode != ExtendedQueryMode::Off;
        ClientConnection {
            stream,
            buffer: Buffer::new(&shared.buffer_memory),
            accepted_at: shared.clock.now(),
            meter,
            processor_use: ProcessorUse::default(),
            state: ConnectionState::new(unused),
            has_input_ended: false,
            simple_queries: SimpleQueries::new(&shared),
            is_skipping_to_sync: false,
            extended_queries: is_extended.then(|| ExtendedQueries::new(&shared)),
            cancellation: Rc::default(),
            cancellation_process: None,
            shutdown_read_limit: ShutdownReadLimit::default(),
            backlog: InputBacklog::default(),
            terminate_scan: TerminateScan::default(),
            start_gate: StartGate::default(),
            rejection: Rejection::default(),
            shared,
        }
    }

    /// Serves the connection to its end. Returns `Ok` if the client sent Terminate, otherwise the close reason.
    async fn run(&mut self) -> Result<(), CloseReason> {
        self.startup().await?;
        let budget = &self.shared.client_descriptors;
        self.state.on_startup_complete(|| budget.count_unused());
        loop {
            self.end_turn().await;
            if self.rejection.is_in_progress() && !self.buffer.is_skipping() {
                self.finish_rejection().await?;
                continue;
            }
            let is_extended = self.extended_queries.is_some();
            let (tag, body, len) = match frame::parse_frontend(self.buffer.bytes(), is_extended) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.wait_for_input().await?;
                    continue;
                }
                Err(e) => return Err(self.close_on_frame_error(&e).await),
            };
            let kind = MessageKind::of(tag, body, is_extended);
            self.state.on_complete_message();
            match kind {
                MessageKind::ExtendedCommand => self.run_pipeline().await?,
                MessageKind::SimpleQuery => {
                    self.is_skipping_to_sync = false;
                    self.run_simple_queries().await?;
                }
                MessageKind::Sync => self.on_unsupported_sync(len).await?,
                MessageKind::Unsupported => self.on_unsupported(tag, len).await?,
                MessageKind::Terminate => return Ok(()),
                MessageKind::Malformed(error) => {
                    return Err(self.close_on_command_error(&error).await);
                }
                MessageKind::Violation(message) => {
                    return Err(self.close_on_protocol_violation(message).await);
                }
            }
        }
    }

    /// Responds to a message that was rejected and has been read completely, and to the messages behind it.
    async fn finish_rejection(&mut self) -> Result<(), CloseReason> {
        self.state.on_complete_message();
        if self.rejection.is_simple_query() {
            self.run_simple_queries().await
        } else {
            self.run_pipeline().await
        }
    }

    async fn startup(&mut self) -> Result<(), CloseReason> {
        loop {
            self.end_turn().await;
            let (kind, len) = match frontend::parse_startup(self.buffer.bytes()) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.wait_for_input().await?;
                    continue;
                }
                Err(e) => return Err(self.close_on_frame_error(&e).await),
            };
            self.buffer.consume(len);
            match kind {
                Startup::EncryptionRequest => {
                    self.write(b"N").await?;
                    self.on_local_message();
                }
                Startup::CancelRequest { process, secret } => {
                    self.on_cancel_request(CancellationKey { process, secret });
                    return Err(CloseReason::CancelRequest);
                }
                Startup::UnsupportedVersion => {
                    return Err(self
                        .close_on_protocol_violation("this protocol version is not spoken")
                        .await);
                }
                Startup::Session { minor } => return self.send_session_start(minor).await,
            }
        }
    }

    fn on_cancel_request(&self, key: CancellationKey) {
        count(&self.shared.counters.cancel_requests);
        if self.shared.cancellations.cancel(key) {
            count(&self.shared.counters.cancel_requests_matched);
        }
    }

    async fn send_session_start(&mut self, minor: u16) -> Result<(), CloseReason> {
        let mut key = CancellationKey::default();
        if self.extended_queries.is_some() {
            key = self.shared.cancellations.register(&self.cancellation);
            self.cancellation_process = Some(key.process);
        }
        let mut out = Vec::new();
        backend::put_session_start(&mut out, minor, key.process, key.secret);
        self.write(&out).await
    }

    /// Returns the close reason if a read with this result ends the connection.
    pub(super) fn end_of_input(&self, read: &std::io::Result<usize>) -> Option<CloseReason> {
        match read {
            Ok(0) if self.is_between_messages() => Some(CloseReason::Eof),
            Ok(0) => Some(CloseReason::Truncated),
            Ok(_) => None,
            Err(_) => Some(CloseReason::Reset),
        }
    }

    /// Reads the input received so far, up to the read-ahead limit, without waiting for more.
    pub(super) fn read_available(&mut self) -> Result<(), CloseReason> {
        let end = self.read_until_empty()?;
        let now = self.shared.clock.now();
        self.backlog.on_read(now, self.buffer.bytes_read(), end);
        Ok(())
    }

    fn read_until_empty(&mut self) -> Result<ReadEnd, CloseReason> {
        while !self.has_input_ended {
            if self.buffer.bytes().len() >= READ_AHEAD_LIMIT || self.has_reached_read_limit() {
                // The end of input may follow bytes that stay unread, so it is detected without reading.
                self.has_input_ended = socket::has_disconnected(self.stream.get_ref());
                return Ok(ReadEnd::LimitReached);
            }
            match self.buffer.try_fill(self.stream.get_ref()) {
                Ok(len) => self.has_input_ended = len == 0,
                // At the memory limit, further input stays in the socket, as with a full buffer.
                Err(e) if MemoryLimitReached::caused(&e) => return Ok(ReadEnd::LimitReached),
                Err(e) => match e.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock => return Ok(ReadEnd::SocketEmpty),
                    _ => return Err(CloseReason::Reset),
                },
            }
        }
        Ok(ReadEnd::SocketEmpty)
    }

    /// Returns whether nothing more may be read because of a graceful shutdown.
    pub(super) fn has_reached_read_limit(&self) -> bool {
        self.shutdown_read_limit.is_reached(
            &self.shared,
            &self.buffer,
            self.stream.get_ref(),
            &self.backlog,
        )
    }

    /// Returns whether no part of the next message has been received.
    pub(super) fn is_between_messages(&self) -> bool {
        self.buffer.bytes().is_empty() && !self.rejection.is_in_progress()
    }

    /// Returns whether the input begins with a message that is complete or can't be parsed. Either requires a
    /// response.
    pub(super) fn has_complete_message(&self) -> bool {
        if self.rejection.is_in_progress() {
            return !self.buffer.is_skipping();
        }
        starts_with_complete_message(
            self.buffer.bytes(),
            self.state.is_startup_complete(),
            self.extended_queries.is_some(),
        )
    }

    /// Returns whether the client has disconnected: it has closed the connection, or the buffer contains a Terminate.
    pub(super) fn has_disconnected(&mut self) -> bool {
        let is_extended = self.extended_queries.is_some();
        self.has_input_ended || self.terminate_scan.is_in(&self.buffer, is_extended)
    }

    /// Converts a request that was read at `received_at` to the form that the dispatcher receives.
    pub(super) fn client_request(
        &self,
        request: &ValidatedRequest,
        statement: Rc<EndpointQuery>,
        received_at: Timestamp,
    ) -> ClientRequest {
        ClientRequest {
            id: self.shared.next_request_id(),
            client_request_id: request.id.unwrap_or_else(rand::random),
            class: request.class,
            replica_set: request.replica_set,
            session: request.session.clone(),
            required_position: request.last_write_at,
            is_retry: request.is_retry,
            timeout: request.timeout,
            received_at,
            statement,
            cancelled: CancellationFlag::default(),
        }
    }

    /// Handles a command of an extended query while extended queries are off: sends one error for all commands up to
    /// the next Sync.
    async fn on_unsupported(&mut self, tag: u8, len: usize) -> Result<(), CloseReason> {
        self.buffer.consume(len);
        self.on_local_message();
        if std::mem::replace(&mut self.is_skipping_to_sync, true) {
            return Ok(());
        }
        count(&self.shared.counters.invalid_statements);
        let mut out = Vec::new();
        let message = format!(
            "message '{}' is not supported: use simple queries",
            char::from(tag)
        );
        backend::put_error_response(
            &mut out,
            false,
            sqlstate::FEATURE_NOT_SUPPORTED,
            &message,
            None,
        );
        self.write(&out).await
    }

    /// Handles the Sync that ends a sequence of unsupported commands.
    async fn on_unsupported_sync(&mut self, len: usize) -> Result<(), CloseReason> {
        self.buffer.consume(len);
        self.is_skipping_to_sync = false;
        let mut out = Vec::new();
        backend::put_ready_for_query(&mut out);
        self.write(&out).await?;
        self.on_local_message();
        Ok(())
    }

    /// Writes all of `bytes` to the client.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        socket::write_to_client(&self.stream, bytes).await?;
        self.start_gate.on_written(self.shared.clock.now());
        Ok(())
    }

    /// Returns whether requests may start now, although the client may have left behind unread input.
    pub(super) fn may_start_requests(&mut self) -> bool {
        let now = self.shared.clock.now();
        let has_backlog = self.backlog.may_exist_at(now);
        self.start_gate.may_start(now, has_backlog)
    }
}
