//! One client's connection: its startup, its messages in order, and when the router may close it.
//!
//! Owns the socket, the buffer and what the connection has asked for. Must never close a connection on which a whole
//! request has come that has no answer yet.

use super::connection_state::ConnectionState;
use super::extended_queries::ExtendedQueries;
use super::message_kind::MessageKind;
use super::reading::{LateReading, READ_AHEAD_LIMIT, is_whole};
use super::simple_queries::SimpleQueries;
use super::wait_limits::{ShutdownWait, WaitLimits};
use super::{closing, socket};
use crate::extensions::ExtendedQueryMode;
use crate::messages::{CancellationFlag, ClientRequest};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::{
    CancellationKey, CancellationSignal, CountGuard, DescriptorPermit, EvictionPriority, Shared,
};
use async_io::Async;
use futures_lite::future::or;
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

/// Serves one connection to its end and logs why it ended.
pub async fn serve(
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    _permit: DescriptorPermit,
    unproven: CountGuard,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut client = Client::new(shared, stream, unproven);
    let ended = client.session().await;
    let reason = ended.err().unwrap_or(CloseReason::Terminate);
    if reason.is_initiated_by_router() {
        // One that has never asked anything is not likely to do so just now, and its place is wanted.
        let is_expendable = client.state.is_unproven() && reason == CloseReason::Evicted;
        let longest = if is_expendable {
            closing::BETWEEN_REQUESTS_UNUSED
        } else {
            closing::BETWEEN_REQUESTS
        };
        client.lingering_close(longest).await;
    }
    if let Some(process) = client.cancellation_process {
        client.shared.cancellations.remove(process);
    }
    info!(client.shared.log, "connection ended"; "with" => "client", "reason" => reason.code());
}

/// One client's connection.
pub struct Client {
    pub(super) shared: Rc<Shared>,
    pub(super) stream: Async<TcpStream>,
    pub(super) buffer: Buffer,
    accepted: Timestamp,
    pub(super) state: ConnectionState,
    /// The client has ended its sending: nothing more will come.
    has_input_ended: bool,
    /// Its simple queries that have no answer yet.
    pub(super) simple_queries: SimpleQueries,
    /// Commands that are not supported are passed over up to the Sync that ends them.
    is_skipping_to_sync: bool,
    /// Its prepared statements and what it has pipelined, where extended queries are spoken.
    pub(super) extended_queries: Option<ExtendedQueries>,
    /// Told when the client, on another connection, cancels what it waits for.
    pub(super) cancellation: Rc<CancellationSignal>,
    /// The process number that such a cancellation names.
    cancellation_process: Option<u32>,
    /// During a shutdown: how much is read of it.
    pub(super) late_reading: LateReading,
}

/// What a connection between messages waits for.
enum Wait {
    CloseDue(CloseReason),
    Read(std::io::Result<usize>),
}

impl Client {
    fn new(shared: Rc<Shared>, stream: Async<TcpStream>, unproven: CountGuard) -> Client {
        let is_extended = shared.config.extensions.extended.mode != ExtendedQueryMode::Off;
        Client {
            stream,
            buffer: Buffer::new(&shared.buffer_memory),
            accepted: shared.clock.now(),
            state: ConnectionState::AwaitingStartup { unproven },
            has_input_ended: false,
            simple_queries: SimpleQueries::new(),
            is_skipping_to_sync: false,
            extended_queries: is_extended.then(|| ExtendedQueries::new(&shared)),
            cancellation: Rc::default(),
            cancellation_process: None,
            late_reading: LateReading::default(),
            shared,
        }
    }

    /// Serves the connection to its end. `Ok` is a client that said goodbye.
    async fn session(&mut self) -> Result<(), CloseReason> {
        self.startup().await?;
        self.state.on_startup_answered();
        loop {
            let is_extended = self.extended_queries.is_some();
            let (tag, body, len) = match frame::parse_frontend(self.buffer.bytes(), is_extended) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.wait_for_input().await?;
                    continue;
                }
                Err(e) => return Err(self.broken_frame(&e).await),
            };
            let kind = MessageKind::of(tag, body, is_extended);
            self.state.on_whole_message();
            match kind {
                MessageKind::ExtendedCommand => self.run_pipeline().await?,
                MessageKind::SimpleQuery => {
                    self.is_skipping_to_sync = false;
                    self.run_simple_queries().await?;
                }
                MessageKind::Sync => self.on_unsupported_sync(len).await?,
                MessageKind::Unsupported => self.on_unsupported(tag, len).await?,
                MessageKind::Terminate => return Ok(()),
                MessageKind::Malformed(error) => return Err(self.broken_command(&error).await),
                MessageKind::Violation(why) => return Err(self.fatal(why).await),
            }
        }
    }

    async fn startup(&mut self) -> Result<(), CloseReason> {
        loop {
            let (kind, len) = match frontend::parse_startup(self.buffer.bytes()) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.wait_for_input().await?;
                    continue;
                }
                Err(e) => return Err(self.broken_frame(&e).await),
            };
            self.buffer.consume(len);
            match kind {
                Startup::EncryptionRequest => self.write(b"N").await?,
                Startup::CancelRequest { process, secret } => {
                    self.on_cancel_request(CancellationKey { process, secret });
                    return Err(CloseReason::CancelRequest);
                }
                Startup::UnsupportedVersion => {
                    return Err(self.fatal("this protocol version is not spoken").await);
                }
                Startup::Session { minor } => return self.welcome(minor).await,
            }
        }
    }

    fn on_cancel_request(&self, key: CancellationKey) {
        count(&self.shared.counters.cancel_requests);
        if self.shared.cancellations.cancel(key) {
            count(&self.shared.counters.cancel_requests_matched);
        }
    }

    async fn welcome(&mut self, minor: u16) -> Result<(), CloseReason> {
        let mut key = CancellationKey::default();
        if self.extended_queries.is_some() {
            key = self.shared.cancellations.register(&self.cancellation);
            self.cancellation_process = Some(key.process);
        }
        let mut out = Vec::new();
        backend::put_session_start(&mut out, minor, key.process, key.secret);
        self.write(&out).await
    }

    /// Why a read has ended the connection, if it has.
    fn end_of_input(&self, read: &std::io::Result<usize>) -> Option<CloseReason> {
        match read {
            Ok(0) if self.buffer.bytes().is_empty() => Some(CloseReason::Eof),
            Ok(0) => Some(CloseReason::Truncated),
            Ok(_) => None,
            Err(_) => Some(CloseReason::Reset),
        }
    }

    /// Reads what has come, up to what may be read ahead, without waiting for more.
    pub(super) fn read_available(&mut self) -> Result<(), CloseReason> {
        while !self.has_input_ended {
            if self.buffer.bytes().len() >= READ_AHEAD_LIMIT || self.has_reading_ended() {
                // Nothing more is read: its end can stand behind what is left unread.
                self.has_input_ended = socket::has_hung_up(self.stream.get_ref());
                return Ok(());
            }
            match self.buffer.try_fill(self.stream.get_ref()) {
                Ok(n) => self.has_input_ended = n == 0,
                // Without memory it waits, as with a full buffer.
                Err(e) if MemoryLimitReached::caused(&e) => return Ok(()),
                Err(e) => match e.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock => return Ok(()),
                    _ => return Err(CloseReason::Reset),
                },
            }
        }
        Ok(())
    }

    /// Whether nothing more may be read, since the router is ending.
    fn has_reading_ended(&self) -> bool {
        self.late_reading
            .has_ended(&self.shared, &self.buffer, self.stream.get_ref())
    }

    /// Whether the buffer begins with a message that is complete, or can't be read: either is owed an answer.
    fn has_whole_message(&self) -> bool {
        is_whole(
            self.buffer.bytes(),
            self.state.has_started(),
            self.extended_queries.is_some(),
        )
    }

    /// Whether its client has gone: it has closed the connection, or said goodbye behind what it has sent.
    pub(super) fn has_left(&self) -> bool {
        let mut rest = self.buffer.bytes();
        while let Ok(Some((tag, _, len))) =
            frame::parse_frontend(rest, self.extended_queries.is_some())
        {
            if tag == b'X' {
                return true;
            }
            rest = &rest[len..];
        }
        self.has_input_ended
    }

    /// What ends the wait for the next message or its rest. A message that has stalled or drips in, or a connection
    /// that says nothing, must not hold a descriptor.
    fn wait_limits(&mut self, is_between: bool) -> WaitLimits {
        let now = self.shared.clock.now();
        let shutdown = match (is_between, self.state.is_unproven()) {
            (false, _) => ShutdownWait::RestOfMessage,
            (true, true) => ShutdownWait::FirstRequest {
                accepted: self.accepted,
            },
            (true, false) => ShutdownWait::None,
        };
        let (holder, since, timeout) = if self.state.is_unproven() {
            let timeout = Some(CloseReason::StartupTimeout);
            (EvictionPriority::Expendable, self.accepted, timeout)
        } else if is_between {
            (self.idle_holder(), now, None)
        } else {
            let since = self.state.on_partial_message(now);
            (
                EvictionPriority::Expendable,
                since,
                Some(CloseReason::Stalled),
            )
        };
        WaitLimits {
            holder,
            since,
            timeout,
            shutdown,
        }
    }

    fn idle_holder(&self) -> EvictionPriority {
        let extended = self.extended_queries.as_ref();
        if extended.is_some_and(ExtendedQueries::has_state) {
            EvictionPriority::Stateful
        } else {
            EvictionPriority::Idle
        }
    }

    /// Waits for more of the next message. Between messages the router may close the connection, but only
    /// after a look at what has come: a request that was read is answered.
    async fn wait_for_input(&mut self) -> Result<(), CloseReason> {
        if self.has_input_ended {
            return self.end_of_input(&Ok(0)).map_or(Ok(()), Err);
        }
        // A part of a message came too late to be owed an answer.
        if self.has_reading_ended() {
            return Err(CloseReason::Shutdown);
        }
        let is_between = self.buffer.bytes().is_empty();
        let limits = self.wait_limits(is_between);
        let is_idle = limits.holder == EvictionPriority::Idle;
        let _idle = is_idle.then(|| self.shared.client_descriptors.count_idle());
        let close_due = async { Wait::CloseDue(limits.close_due(&self.shared).await) };
        let read = async { Wait::Read(self.buffer.fill(&self.stream).await) };
        match or(read, close_due).await {
            Wait::Read(Err(e)) if MemoryLimitReached::caused(&e) => Err(self.no_memory().await),
            Wait::Read(read) => self.end_of_input(&read).map_or(Ok(()), Err),
            Wait::CloseDue(reason) => self.close_unless_input_came(reason, is_between),
        }
    }

    /// Decided and done in one step: what has come up to now is served first.
    fn close_unless_input_came(
        &mut self,
        reason: CloseReason,
        is_between: bool,
    ) -> Result<(), CloseReason> {
        let before = self.buffer.bytes().len();
        self.read_available()?;
        let has_begun = is_between && self.buffer.bytes().len() > before;
        if has_begun || self.has_whole_message() {
            count(&self.shared.counters.late_request_served);
            return Ok(());
        }
        if reason == CloseReason::Evicted {
            count(&self.shared.counters.connections_evicted);
        }
        Err(reason)
    }

    /// A request that was read at `received_at`.
    pub(super) fn incoming(
        &self,
        admitted: &ValidatedRequest,
        statement: Rc<EndpointQuery>,
        received_at: Timestamp,
    ) -> ClientRequest {
        ClientRequest {
            id: self.shared.next_request_id(),
            client_request_id: admitted.id.unwrap_or_else(rand::random),
            class: admitted.class,
            replica_set: admitted.replica_set,
            session: admitted.session.clone(),
            required_position: admitted.last_write_at,
            is_retry: admitted.is_retry,
            timeout: admitted.timeout,
            received_at,
            statement,
            cancelled: CancellationFlag::default(),
        }
    }

    /// Extended queries are not spoken: one error for the sequence, which ends with its Sync.
    async fn on_unsupported(&mut self, tag: u8, len: usize) -> Result<(), CloseReason> {
        self.buffer.consume(len);
        if std::mem::replace(&mut self.is_skipping_to_sync, true) {
            return Ok(());
        }
        count(&self.shared.counters.invalid_statements);
        let mut out = Vec::new();
        let why = format!(
            "message '{}' is not supported: use simple queries",
            char::from(tag)
        );
        backend::put_error_response(&mut out, false, sqlstate::FEATURE_NOT_SUPPORTED, &why, None);
        self.write(&out).await
    }

    /// The end of a sequence of commands that are not supported.
    async fn on_unsupported_sync(&mut self, len: usize) -> Result<(), CloseReason> {
        self.buffer.consume(len);
        self.is_skipping_to_sync = false;
        let mut out = Vec::new();
        backend::put_ready_for_query(&mut out);
        self.write(&out).await
    }

    /// Writes all of `bytes` to the client.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        socket::write_to_client(&self.stream, bytes).await
    }
}
