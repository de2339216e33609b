//! The clients' side: the listener, and one task for each connection.

mod pipeline;
mod simple;
mod socket;

use crate::extensions::Mode;
use crate::messages::{Answer, CancellationFlag, ClientRequest, FinalResponse};
use crate::observability::counters::count;
use crate::observability::log::CloseReason;
use crate::runtime::accept;
use crate::runtime::buffer::{Buffer, MemoryLimitReached};
use crate::runtime::shared::{Cancel, DescriptorPermit, Holder, HolderCount, Shared};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use pipeline::Pipeline;
use reelrill_pg_protocol::frame::{self, FrameError};
use reelrill_pg_protocol::frontend::{self, CommandError, Startup};
use reelrill_pg_protocol::{backend, code};
use reelrill_pg_session::admit::Admitted;
use reelrill_pg_session::bound::Ask;
use reelrill_routing::{Nanos, Timestamp};
use simple::Simples;
use slog::{info, warn};
use std::cell::Cell;
use std::io::{ErrorKind, Read as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long a client may take from connecting to the end of its first command, and from the first byte of any
/// other command to its last.
const FIRST: Duration = Duration::from_secs(2);
/// A connection that has asked nothing yet gives way to another only after this time: a request of the usual kind
/// comes right behind the startup.
const GRACE: Duration = Duration::from_millis(100);
/// An idle connection gives way after this time: its next request may be on its way.
const IDLE: Duration = Duration::from_millis(20);
/// How long the rest of what a client sends is thrown away after its last answer.
const LINGER: Duration = Duration::from_secs(4);
/// The pause after each piece thrown away: at full speed a client would use up the processor's share of others.
const PACE: Duration = Duration::from_millis(3);
/// While the router is ending, how long a new connection may take to send its first request.
const FIRST_REQUEST: Nanos = 400_000_000;
/// How much earlier than the end of all reading a connection is closed on which nothing whole has come: what comes in
/// between is still read.
const LAST_LOOK: Nanos = 50_000_000;
/// How long the rest of what a client sends is thrown away where the router closes a connection between requests.
const CLOSING: Duration = Duration::from_millis(500);
/// The same for one that has never asked anything and makes room for another.
const CLOSING_USELESS: Duration = Duration::from_millis(20);
/// What a connection may still send, beyond what lies in its socket, once all that is owed an answer has come.
const LATE_BYTES: u64 = 64 * 1024;
/// What a client may send ahead while it waits for an answer. Its end can only be read behind what it has sent.
const AHEAD: usize = 64 * 1024;

/// Accepts until the process ends. Without a free slot, connections wait in the kernel's backlog.
pub async fn listen(
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
) {
    loop {
        let slot = loop {
            if let Some(slot) = shared.clients.take() {
                break slot;
            }
            // Make room: a connection of no use goes, or the one idle longest; else one has to end by itself.
            shared.clients.need();
            let pause = async {
                Timer::after(Duration::from_millis(20)).await;
            };
            or(shared.clients.freed(), pause).await;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                count(&shared.counters.clients);
                shared.last_arrival.set(shared.clock.now());
                // Counted from here on, not from when its task first runs: in a burst that is many connections
                // later, and a connection in use would be asked to make room for those that say nothing.
                let fresh = shared.clients.fresh();
                executor
                    .spawn(serve(shared.clone(), stream, slot, fresh))
                    .detach();
                if shared.clients.is_short() {
                    // Ahead of the need: the next one must not wait in the backlog for room to be made.
                    shared.clients.want();
                }
            }
            Err(e) => {
                count(&shared.counters.accept_errors);
                warn!(shared.log, "accept failed"; "error" => %e);
                if let Some(pause) = accept::pause_after(&e) {
                    Timer::after(pause).await;
                }
            }
        }
    }
}

async fn serve(
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    _slot: DescriptorPermit,
    fresh: HolderCount,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let accepted = shared.clock.now();
    let (buffer, fresh) = (Buffer::new(&shared.memory), Some(fresh));
    let cancel = Rc::new(Cancel::default());
    let pipeline = (shared.config.edge.extended.mode != Mode::Off).then(|| Pipeline::new(&shared));
    let (begun, is_skipping, process, has_ended) = (None, false, None, false);
    let simple = Simples::new();
    let mut client = Client {
        shared,
        stream,
        buffer,
        accepted,
        fresh,
        begun,
        has_started: false,
        has_ended,
        is_skipping,
        simple,
        pipeline,
        cancel,
        process,
        late_reading: LateReading::default(),
    };
    let reason = client
        .session()
        .await
        .err()
        .unwrap_or(CloseReason::Terminate);
    if reason.is_ours() {
        // One that has never asked anything is not likely to do so just now, and its place is wanted.
        let is_useless = client.fresh.is_some() && reason == CloseReason::Evicted;
        client
            .linger(if is_useless { CLOSING_USELESS } else { CLOSING })
            .await;
    }
    if let Some(process) = client.process {
        client.shared.cancels.remove(process);
    }
    info!(client.shared.log, "connection ended"; "with" => "client", "reason" => reason.code());
}

struct Client {
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    accepted: Timestamp,
    /// No command has come yet.
    fresh: Option<HolderCount>,
    /// When a part of a message came whose rest has not.
    begun: Option<Timestamp>,
    /// Its startup has been answered.
    has_started: bool,
    /// The client has ended its sending: nothing more will come.
    has_ended: bool,
    /// Its simple queries that have no answer yet.
    simple: Simples,
    /// Extended commands are passed over up to the Sync that ends them.
    is_skipping: bool,
    /// Its prepared statements and what it has pipelined, where extended queries are spoken.
    pipeline: Option<Pipeline>,
    /// Its wish, on another connection, to call off what it waits for.
    cancel: Rc<Cancel>,
    /// The number that such a wish names.
    process: Option<u32>,
    /// While the router is ending: how much is read of it.
    late_reading: LateReading,
}

/// Bounds what is read from one connection late in a shutdown: a client that never pauses would otherwise be read, and
/// rejected, at full speed to the end of all reading.
#[derive(Default)]
struct LateReading {
    /// The count of bytes read from the connection at which reading ends; none: it is not late yet.
    until: Cell<Option<u64>>,
}

impl LateReading {
    /// Whether nothing more may be read from the connection.
    fn has_ended(&self, shared: &Shared, buffer: &Buffer, stream: &TcpStream) -> bool {
        if shared.is_closed_to_new() {
            return true;
        }
        if !shared.owes_nothing_new() {
            return false;
        }
        let until = self.until.get().unwrap_or_else(|| {
            // What lies in the socket may have come in time.
            let waiting = rustix::io::ioctl_fionread(stream).unwrap_or(0);
            buffer.bytes_read() + waiting + LATE_BYTES
        });
        self.until.set(Some(until));
        buffer.bytes_read() >= until
    }
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
                match frame::command(self.buffer.bytes(), self.pipeline.is_some()) {
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
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' if self.pipeline.is_some() => {
                    if let Err(e) = frontend::read(tag, body) {
                        return Err(self.broken_command(&e).await);
                    }
                    self.run_pipeline().await?;
                }
                b'Q' if backend::only_text(body).is_some() => {
                    self.is_skipping = false;
                    self.run_simple().await?;
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
                    if self.shared.cancels.cancel(process, secret) {
                        count(&self.shared.counters.cancels);
                    }
                    return Err(CloseReason::CancelRequest);
                }
                Startup::Version => {
                    return Err(self.fatal("this protocol version is not spoken").await);
                }
                Startup::Session { minor } => {
                    let mut out = Vec::new();
                    let (mut process, mut secret) = (0, 0);
                    if self.pipeline.is_some() {
                        (process, secret) = self.shared.cancels.register(&self.cancel);
                        self.process = Some(process);
                    }
                    backend::put_welcome(&mut out, minor, process, secret);
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
    fn look(&mut self) -> Result<(), CloseReason> {
        while !self.has_ended {
            if self.buffer.bytes().len() >= AHEAD || self.has_reading_ended() {
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
            self.pipeline.is_some(),
        )
    }

    /// Whether its client has gone: it has closed the connection, or said goodbye behind what it has sent.
    fn has_left(&self) -> bool {
        let mut rest = self.buffer.bytes();
        while let Ok(Some((tag, _, len))) = frame::command(rest, self.pipeline.is_some()) {
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
        let resting = if self.pipeline.as_ref().is_some_and(Pipeline::has_state) {
            Holder::Stateful
        } else {
            Holder::Idle
        };
        // A message that has stalled or drips in, or a connection that says nothing, must not hold a slot.
        let now = shared.clock.now();
        let (holder, since, limit) = match (self.fresh.is_some(), is_between) {
            (true, _) => (
                Holder::Useless,
                self.accepted,
                Some(CloseReason::StartupTimeout),
            ),
            (false, true) => (resting, now, None),
            (false, false) => (
                Holder::Useless,
                *self.begun.get_or_insert(now),
                Some(CloseReason::Stalled),
            ),
        };
        let _resting = (holder == Holder::Idle).then(|| shared.clients.resting());
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
                    + if holder == Holder::Useless {
                        GRACE
                    } else {
                        IDLE
                    },
            )
            .await;
            shared.clients.wanted(holder).await;
            Waited::Done(CloseReason::Evicted)
        };
        let outcome = async {
            shared.draining.wait().await;
            let now = shared.clock.now();
            let told = shared.ended_at.get().unwrap_or(now);
            let last = shared.last_read().unwrap_or(now).saturating_sub(LAST_LOOK);
            let until = match (is_between, self.fresh.is_some()) {
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
                    count(&shared.counters.reprieved);
                    return Ok(());
                }
                if reason == CloseReason::Evicted {
                    count(&shared.counters.evicted);
                }
                Err(reason)
            }
        }
    }

    /// A request that was read at `arrived`.
    fn incoming(
        &self,
        admitted: &Admitted,
        ask: Rc<Ask>,
        arrived: Timestamp,
        left: CancellationFlag,
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
            left,
        }
    }

    /// Extended queries are not spoken: one error for the sequence, which ends with its Sync.
    async fn on_unsupported(&mut self, tag: u8) -> Result<(), CloseReason> {
        count(&self.shared.counters.rejected);
        let mut out = Vec::new();
        let why = format!(
            "message '{}' is not supported: use simple queries",
            char::from(tag)
        );
        backend::put_error(&mut out, false, code::UNSUPPORTED, &why, None);
        self.write(&out).await
    }

    async fn broken_frame(&mut self, e: &FrameError) -> CloseReason {
        self.fatal(&e.to_string()).await;
        match e {
            FrameError::Oversized(_) => CloseReason::Oversized,
            FrameError::Malformed => CloseReason::Malformed,
        }
    }

    async fn broken_command(&mut self, e: &CommandError) -> CloseReason {
        self.last_words(e.code(), &e.to_string()).await;
        CloseReason::Malformed
    }

    /// The request was never taken: trying again is harmless.
    async fn no_memory(&mut self) -> CloseReason {
        self.last_words(code::TOO_MANY, "no memory for a message of this size now")
            .await;
        CloseReason::NoMemory
    }

    /// Says what is wrong; the connection is closed after it.
    async fn fatal(&mut self, why: &str) -> CloseReason {
        self.last_words(code::PROTOCOL_VIOLATION, why).await;
        CloseReason::Malformed
    }

    async fn last_words(&mut self, code: &str, why: &str) {
        count(&self.shared.counters.rejected);
        let mut out = Vec::new();
        backend::put_error(&mut out, true, code, why, None);
        if self.write(&out).await.is_ok() {
            self.linger(LINGER).await;
        }
    }

    /// Closes our side and throws away what still comes: to close with bytes unread would reset the connection,
    /// and the error might not arrive. Nothing is stored, and others get their turn after each piece.
    async fn linger(&mut self, longest: Duration) {
        self.buffer.release();
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let shared = &self.shared;
        let discard = async {
            let read = |mut s: &TcpStream| s.read(&mut shared.scratch.borrow_mut());
            loop {
                match self.stream.read_with(read).await {
                    Ok(1..) => {}
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Ok(0) | Err(_) => return,
                }
                Timer::after(PACE).await;
            }
        };
        let late = async {
            Timer::after(longest).await;
        };
        let evicted = async {
            Timer::after(GRACE).await;
            shared.clients.wanted(Holder::Useless).await;
        };
        or(discard, or(late, evicted)).await;
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        socket::write_to_client(&self.stream, bytes).await
    }
}

/// Whether `bytes` begin with a message that is complete, or can't be read.
fn is_whole(bytes: &[u8], has_started: bool, is_extended: bool) -> bool {
    if has_started {
        !matches!(frame::command(bytes, is_extended), Ok(None))
    } else {
        !matches!(frontend::startup(bytes), Ok(None))
    }
}

/// Reads what a client sends ahead. Where nothing more may be read it waits until the client hangs up, which is told
/// like an end: unread bytes would hide the end itself.
async fn read_ahead(
    shared: &Shared,
    buffer: &mut Buffer,
    stream: &Async<TcpStream>,
    late_reading: &LateReading,
) -> std::io::Result<usize> {
    let may_read =
        buffer.bytes().len() < AHEAD && !late_reading.has_ended(shared, buffer, stream.get_ref());
    if may_read {
        match buffer.fill(stream).await {
            // Without memory it waits, as with a full buffer.
            Err(e) if MemoryLimitReached::caused(&e) => {}
            read => return read,
        }
    }
    socket::hang_up(stream.get_ref()).await;
    Ok(0)
}

/// A served answer to a simple query.
fn put_answer(out: &mut Vec<u8>, answer: &Answer) {
    if let Some(c) = &answer.column {
        backend::put_column(
            out,
            &backend::Column {
                name: &c.name,
                kind: c.kind,
                format: c.format,
            },
        );
    }
    backend::put_value(out, &answer.value);
    backend::put_complete(out, &answer.tag);
}

/// Any other answer.
fn put_failure(out: &mut Vec<u8>, reply: &FinalResponse) {
    match reply {
        FinalResponse::Refused { retry_after } => {
            let after = retry_after.map(|span| span.div_ceil(1_000_000).to_string());
            let text = "refused: trying again is harmless";
            backend::put_error(out, false, code::TOO_MANY, text, after.as_deref());
        }
        FinalResponse::Failed(why) => backend::put_error(out, false, code::FAILED, why, None),
        FinalResponse::Cancelled => {
            backend::put_error(
                out,
                false,
                code::CANCELED,
                "called off by its client; it may have run",
                None,
            );
        }
        FinalResponse::Served(_) => {}
    }
}

#[cfg(test)]
mod tests;
