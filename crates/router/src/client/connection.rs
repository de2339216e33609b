//! One client's connection: its startup, its messages in order, and when the router may close it.
//!
//! Owns the socket, the buffer and what the connection has asked for. Must never close a connection on which a whole
//! request has come that has no answer yet.

use super::extended_queries::ExtendedQueries;
use super::reading::{LateReading, READ_AHEAD_LIMIT, is_whole};
use super::simple_queries::SimpleQueries;
use super::{closing, socket};
use crate::extensions::Mode;
use crate::messages::{CancellationFlag, ClientRequest};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::{
    CancellationKey, CancellationSignal, DescriptorPermit, HolderGuard, HolderKind, Shared,
};
use async_io::{Async, Timer};
use futures_lite::future::or;
use reelrill_pg_protocol::frame;
use reelrill_pg_protocol::frontend::{self, Startup};
use reelrill_pg_protocol::{backend, code};
use reelrill_pg_session::admit::Admitted;
use reelrill_pg_session::bound::Ask;
use reelrill_routing::{Nanos, Timestamp};
use slog::info;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// How long a client may take from connecting to the end of its first command, and from the first byte of any
/// other command to its last.
const FIRST: Duration = Duration::from_secs(2);
/// A connection that has asked nothing yet gives way to another only after this time: a request of the usual kind
/// comes right behind the startup.
pub(super) const EVICTABLE_AFTER: Duration = Duration::from_millis(100);
/// An idle connection gives way after this time: its next request may be on its way.
const IDLE: Duration = Duration::from_millis(20);
/// While the router is ending, how long a new connection may take to send its first request.
const FIRST_REQUEST: Nanos = 400_000_000;
/// How much earlier than the end of all reading a connection is closed on which nothing whole has come: what comes in
/// between is still read.
const LAST_LOOK: Nanos = 50_000_000;

pub async fn serve(
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    _permit: DescriptorPermit,
    unproven: HolderGuard,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let accepted = shared.clock.now();
    let (buffer, unproven) = (Buffer::new(&shared.memory), Some(unproven));
    let cancellation = Rc::new(CancellationSignal::default());
    let extended_queries =
        (shared.config.edge.extended.mode != Mode::Off).then(|| ExtendedQueries::new(&shared));
    let (begun, is_skipping, process, has_ended) = (None, false, None, false);
    let simple_queries = SimpleQueries::new();
    let mut client = Client {
        shared,
        stream,
        buffer,
        accepted,
        unproven,
        begun,
        has_started: false,
        has_ended,
        is_skipping,
        simple_queries,
        extended_queries,
        cancellation,
        process,
        late_reading: LateReading::default(),
    };
    let reason = client
        .session()
        .await
        .err()
        .unwrap_or(CloseReason::Terminate);
    if reason.is_initiated_by_router() {
        // One that has never asked anything is not likely to do so just now, and its place is wanted.
        let is_expendable = client.unproven.is_some() && reason == CloseReason::Evicted;
        client
            .lingering_close(if is_expendable {
                closing::BETWEEN_REQUESTS_UNUSED
            } else {
                closing::BETWEEN_REQUESTS
            })
            .await;
    }
    if let Some(process) = client.process {
        client.shared.cancellations.remove(process);
    }
    info!(client.shared.log, "connection ended"; "with" => "client", "reason" => reason.code());
}

pub struct Client {
    pub(super) shared: Rc<Shared>,
    pub(super) stream: Async<TcpStream>,
    pub(super) buffer: Buffer,
    pub(super) accepted: Timestamp,
    /// No command has come yet.
    pub(super) unproven: Option<HolderGuard>,
    /// When a part of a message came whose rest has not.
    pub(super) begun: Option<Timestamp>,
    /// Its startup has been answered.
    pub(super) has_started: bool,
    /// The client has ended its sending: nothing more will come.
    pub(super) has_ended: bool,
    /// Its simple queries that have no answer yet.
    pub(super) simple_queries: SimpleQueries,
    /// Extended commands are passed over up to the Sync that ends them.
    pub(super) is_skipping: bool,
    /// Its prepared statements and what it has pipelined, where extended queries are spoken.
    pub(super) extended_queries: Option<ExtendedQueries>,
    /// Its wish, on another connection, to call off what it waits for.
    pub(super) cancellation: Rc<CancellationSignal>,
    /// The number that such a wish names.
    pub(super) process: Option<u32>,
    /// While the router is ending: how much is read of it.
    pub(super) late_reading: LateReading,
}

/// What a connection between messages waits for, or what has come.
enum Waited {
    Done(CloseReason),
    Read(std::io::Result<usize>),
}

impl Client {
    /// Serves the connection to its end. `Ok` is a client that said goodbye.
    async fn session(&mut self) -> Result<(), CloseReason> {
        self.startup().await?;
        self.has_started = true;
        loop {
            let (tag, body, len) =
                match frame::command(self.buffer.bytes(), self.extended_queries.is_some()) {
                    Ok(Some(message)) => {
                        self.begun = None;
                        message
                    }
                    Ok(None) => {
                        self.next().await?;
                        continue;
                    }
                    Err(e) => return Err(self.broken_frame(&e).await),
                };
            match tag {
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S'
                    if self.extended_queries.is_some() =>
                {
                    if let Err(e) = frontend::read(tag, body) {
                        return Err(self.broken_command(&e).await);
                    }
                    self.run_pipeline().await?;
                }
                b'Q' if backend::only_text(body).is_some() => {
                    self.is_skipping = false;
                    self.run_simple_queries().await?;
                }
                b'Q' => return Err(self.fatal("a query that is no text").await),
                b'X' => return Ok(()),
                // A client that has pipelined other commands gets its error at the Sync that ends them.
                b'S' => {
                    self.buffer.consume(len);
                    self.is_skipping = false;
                    let mut out = Vec::new();
                    backend::put_ready(&mut out);
                    self.write(&out).await?;
                }
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                    self.buffer.consume(len);
                    if !std::mem::replace(&mut self.is_skipping, true) {
                        self.on_unsupported(tag).await?;
                    }
                }
                _ => return Err(self.fatal("an unknown message").await),
            }
        }
    }

    async fn startup(&mut self) -> Result<(), CloseReason> {
        loop {
            let (kind, len) = match frontend::startup(self.buffer.bytes()) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.next().await?;
                    continue;
                }
                Err(e) => return Err(self.broken_frame(&e).await),
            };
            self.buffer.consume(len);
            match kind {
                Startup::Encryption => self.write(b"N").await?,
                Startup::Cancel { process, secret } => {
                    count(&self.shared.counters.cancel_requests);
                    if self
                        .shared
                        .cancellations
                        .cancel(CancellationKey { process, secret })
                    {
                        count(&self.shared.counters.cancel_requests_matched);
                    }
                    return Err(CloseReason::CancelRequest);
                }
                Startup::Version => {
                    return Err(self.fatal("this protocol version is not spoken").await);
                }
                Startup::Session { minor } => {
                    let mut out = Vec::new();
                    let mut key = CancellationKey::default();
                    if self.extended_queries.is_some() {
                        key = self.shared.cancellations.register(&self.cancellation);
                        self.process = Some(key.process);
                    }
                    backend::put_welcome(&mut out, minor, key.process, key.secret);
                    return self.write(&out).await;
                }
            }
        }
    }

    /// Why a read has ended the connection, if it has.
    fn gone(&self, read: &std::io::Result<usize>) -> Option<CloseReason> {
        match read {
            Ok(0) if self.buffer.bytes().is_empty() => Some(CloseReason::Eof),
            Ok(0) => Some(CloseReason::Truncated),
            Ok(_) => None,
            Err(_) => Some(CloseReason::Reset),
        }
    }

    /// Reads what has come, up to what may be read ahead, without waiting for more.
    pub(super) fn look(&mut self) -> Result<(), CloseReason> {
        while !self.has_ended {
            if self.buffer.bytes().len() >= READ_AHEAD_LIMIT || self.has_reading_ended() {
                // Nothing more is read: its end can stand behind what is left unread.
                self.has_ended = socket::has_hung_up(self.stream.get_ref());
                return Ok(());
            }
            match self.buffer.fill_now(self.stream.get_ref()) {
                Ok(n) => self.has_ended = n == 0,
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
            self.has_started,
            self.extended_queries.is_some(),
        )
    }

    /// Whether its client has gone: it has closed the connection, or said goodbye behind what it has sent.
    pub(super) fn has_left(&self) -> bool {
        let mut rest = self.buffer.bytes();
        while let Ok(Some((tag, _, len))) = frame::command(rest, self.extended_queries.is_some()) {
            if tag == b'X' {
                return true;
            }
            rest = &rest[len..];
        }
        self.has_ended
    }

    /// Waits for more of the next message. Between messages the router may close the connection, but only
    /// after a look at what has come: a request that was read is answered.
    async fn next(&mut self) -> Result<(), CloseReason> {
        let shared = self.shared.clone();
        let is_between = self.buffer.bytes().is_empty();
        if self.has_ended {
            return Err(if is_between {
                CloseReason::Eof
            } else {
                CloseReason::Truncated
            });
        }
        // A part of a message came too late to be owed an answer.
        if self.has_reading_ended() {
            return Err(CloseReason::Shutdown);
        }
        let resting = if self
            .extended_queries
            .as_ref()
            .is_some_and(ExtendedQueries::has_state)
        {
            HolderKind::Stateful
        } else {
            HolderKind::Idle
        };
        // A message that has stalled or drips in, or a connection that says nothing, must not hold a slot.
        let now = shared.clock.now();
        let (holder, since, limit) = match (self.unproven.is_some(), is_between) {
            (true, _) => (
                HolderKind::Expendable,
                self.accepted,
                Some(CloseReason::StartupTimeout),
            ),
            (false, true) => (resting, now, None),
            (false, false) => (
                HolderKind::Expendable,
                *self.begun.get_or_insert(now),
                Some(CloseReason::Stalled),
            ),
        };
        let _resting = (holder == HolderKind::Idle).then(|| shared.clients.count_idle());
        let since = shared.clock.instant(since);
        let late = async {
            match limit {
                Some(reason) => {
                    Timer::at(since + FIRST).await;
                    Waited::Done(reason)
                }
                None => futures_lite::future::pending().await,
            }
        };
        let evicted = async {
            Timer::at(
                since
                    + if holder == HolderKind::Expendable {
                        EVICTABLE_AFTER
                    } else {
                        IDLE
                    },
            )
            .await;
            shared.clients.eviction_requested(holder).await;
            Waited::Done(CloseReason::Evicted)
        };
        let outcome = async {
            shared.draining.wait().await;
            let now = shared.clock.now();
            let told = shared.ended_at.get().unwrap_or(now);
            let last = shared.last_read().unwrap_or(now).saturating_sub(LAST_LOOK);
            let until = match (is_between, self.unproven.is_some()) {
                // What has begun to come is waited for: once its last byte is here, it is owed an answer.
                (false, _) => last,
                // Its client would meet the same on any further connection, and lose its first request.
                (true, true) => last.min(self.accepted.max(told).saturating_add(FIRST_REQUEST)),
                (true, false) => now,
            };
            if until > now {
                Timer::at(shared.clock.instant(until)).await;
            }
            Waited::Done(CloseReason::Shutdown)
        };
        let read = async { Waited::Read(self.buffer.fill(&self.stream).await) };
        match or(read, or(late, or(outcome, evicted))).await {
            Waited::Read(Err(e)) if MemoryLimitReached::caused(&e) => Err(self.no_memory().await),
            Waited::Read(read) => self.gone(&read).map_or(Ok(()), Err),
            Waited::Done(reason) => {
                // Decided and done in one step: what has come up to now is served first.
                let before = self.buffer.bytes().len();
                self.look()?;
                let is_begun = is_between && self.buffer.bytes().len() > before;
                if is_begun || self.has_whole_message() {
                    count(&shared.counters.late_request_served);
                    return Ok(());
                }
                if reason == CloseReason::Evicted {
                    count(&shared.counters.connections_evicted);
                }
                Err(reason)
            }
        }
    }

    /// A request that was read at `arrived`.
    pub(super) fn incoming(
        &self,
        admitted: &Admitted,
        ask: Rc<Ask>,
        arrived: Timestamp,
    ) -> ClientRequest {
        ClientRequest {
            request: self.shared.next_request(),
            id: admitted.id.unwrap_or_else(rand::random),
            class: admitted.class,
            replica_set: admitted.replica_set,
            session: admitted.session.clone(),
            after: admitted.after,
            is_retry: admitted.is_retry,
            wait: admitted.wait,
            arrived,
            ask,
            left: CancellationFlag::default(),
        }
    }

    /// Extended queries are not spoken: one error for the sequence, which ends with its Sync.
    async fn on_unsupported(&mut self, tag: u8) -> Result<(), CloseReason> {
        count(&self.shared.counters.invalid_statements);
        let mut out = Vec::new();
        let why = format!(
            "message '{}' is not supported: use simple queries",
            char::from(tag)
        );
        backend::put_error(&mut out, false, code::UNSUPPORTED, &why, None);
        self.write(&out).await
    }

    pub(super) async fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        socket::write_to_client(&self.stream, bytes).await
    }
}
