//! The clients' side: the listener, and one task for each connection.

use crate::buffer::Buffer;
use crate::counters::count;
use crate::exchange::{Incoming, Message, Reply};
use crate::log::CloseReason;
use crate::pgwire::codec::{self, FrameError, Startup};
use crate::pgwire::comment::Comment;
use crate::shared::{Fresh, Holder, Shared, Slot};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt as _;
use futures_lite::future::or;
use reelrill::{Need, Repeat, RequestId, Time};
use slog::{info, warn};
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
/// A client that does not read its answer for this long has lost it.
const WRITING: Duration = Duration::from_secs(5);
/// How long the rest of what a client sends is thrown away after its last answer.
const LINGER: Duration = Duration::from_secs(4);
/// The pause after each piece thrown away: at full speed a client would use up the processor's share of others.
const PACE: Duration = Duration::from_millis(3);
/// While the router is ending, how long a new connection may take to send its first request.
const FIRST_REQUEST: Duration = Duration::from_millis(400);
/// What a client may send ahead while it waits for an answer.
const AHEAD: usize = 16 * 1024;
/// The longest wait that a client may ask for, an hour: beyond it the figure is an error.
const LONGEST_WAIT_MS: u64 = 3_600_000;

/// Accepts until the process ends. Without a free slot, connections wait in the kernel's backlog.
pub async fn listen(shared: Rc<Shared>, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
    loop {
        let slot = loop {
            if let Some(slot) = shared.clients.take() {
                break slot;
            }
            // Make room: a connection of no use goes, or the one idle longest; else one has to end by itself.
            shared.clients.want();
            let pause = async {
                Timer::after(Duration::from_millis(20)).await;
            };
            or(shared.clients.freed(), pause).await;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                count(&shared.counters.clients);
                shared.last_arrival.set(shared.clock.now());
                executor.spawn(serve(shared.clone(), stream, slot)).detach();
                if shared.clients.is_short() {
                    // Ahead of the need: the next one must not wait in the backlog for room to be made.
                    shared.clients.want();
                }
            }
            Err(e) => {
                // Out of descriptors, or the client has gone meanwhile: neither may spin or end the router.
                count(&shared.counters.accept_errors);
                warn!(shared.log, "accept failed"; "error" => %e);
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: Async<TcpStream>, _slot: Slot) {
    let _ = stream.get_ref().set_nodelay(true);
    let accepted = shared.clock.now();
    let (buffer, fresh) = (Buffer::new(&shared.memory), Some(shared.clients.fresh()));
    let mut client = Client { shared, stream, buffer, accepted, fresh, begun: None, is_skipping: false };
    let reason = client.session().await.err().unwrap_or(CloseReason::Terminate);
    info!(client.shared.log, "connection ended"; "with" => "client", "reason" => reason.code());
}

struct Client {
    shared: Rc<Shared>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    accepted: Time,
    /// No command has come yet.
    fresh: Option<Fresh>,
    /// When a part of a message came whose rest has not.
    begun: Option<Time>,
    /// Extended commands are passed over up to the Sync that ends them.
    is_skipping: bool,
}

/// What a client waits for, or that it has gone.
enum Waited<T> {
    Done(T),
    Read(std::io::Result<usize>),
}

impl Client {
    /// Serves the connection to its end. `Ok` is a client that said goodbye.
    async fn session(&mut self) -> Result<(), CloseReason> {
        self.startup().await?;
        loop {
            let (tag, body, len) = match codec::command(self.buffer.bytes()) {
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
                b'Q' => {
                    let text =
                        codec::text(body).filter(|(_, rest)| rest.is_empty()).map(|(t, _)| t.to_owned());
                    self.buffer.consume(len);
                    match text {
                        Some(text) => {
                            self.is_skipping = false;
                            self.on_query(&text).await?;
                        }
                        None => return Err(self.fatal("a query that is no text").await),
                    }
                }
                b'X' => return Ok(()),
                // A client that has pipelined other commands gets its error at the Sync that ends them.
                b'S' => {
                    self.buffer.consume(len);
                    self.is_skipping = false;
                    let mut out = Vec::new();
                    codec::put_ready(&mut out);
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
            let (kind, len) = match codec::startup(self.buffer.bytes()) {
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
                Startup::Cancel => return Err(CloseReason::CancelRequest),
                Startup::Version => return Err(self.fatal("this protocol version is not spoken").await),
                Startup::Session { minor } => {
                    let mut out = Vec::new();
                    codec::put_welcome(&mut out, minor);
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

    /// Waits for more of the next message. Between messages the router may close the connection, but only
    /// after a look at what has come: a request that was read is answered.
    async fn next(&mut self) -> Result<(), CloseReason> {
        let shared = self.shared.clone();
        let is_between = self.buffer.bytes().is_empty();
        // A message that has stalled or drips in, or a connection that says nothing, must not hold a slot.
        let now = shared.clock.now();
        let (holder, since, limit) = match (self.fresh.is_some(), is_between) {
            (true, _) => (Holder::Useless, self.accepted, Some(CloseReason::StartupTimeout)),
            (false, true) => (Holder::Idle, now, None),
            (false, false) => (Holder::Useless, *self.begun.get_or_insert(now), Some(CloseReason::Stalled)),
        };
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
            Timer::at(since + if holder == Holder::Idle { IDLE } else { GRACE }).await;
            shared.clients.wanted(holder).await;
            Waited::Done(CloseReason::Evicted)
        };
        let ending = async {
            shared.ending.wait().await;
            if self.fresh.is_some() {
                // Its client would meet the same on any further connection, and lose its first request.
                Timer::after(FIRST_REQUEST).await;
            }
            Waited::Done(CloseReason::Shutdown)
        };
        let read = async { Waited::Read(self.buffer.fill(&self.stream).await) };
        match or(read, or(late, or(ending, evicted))).await {
            Waited::Read(Err(e)) if e.kind() == ErrorKind::OutOfMemory => Err(self.no_memory().await),
            Waited::Read(read) => self.gone(&read).map_or(Ok(()), Err),
            Waited::Done(reason) => {
                if reason == CloseReason::Evicted {
                    count(&shared.counters.evicted);
                }
                Err(reason)
            }
        }
    }

    async fn on_query(&mut self, text: &str) -> Result<(), CloseReason> {
        self.shared.last_arrival.set(self.shared.clock.now());
        self.fresh = None;
        let mut out = Vec::new();
        if text.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() {
            // The front sends clients once this is answered: only a router that can serve says so.
            let shared = self.shared.clone();
            self.attend(shared.ready.wait()).await?;
            codec::put(&mut out, b'I', &[]);
        } else {
            match self.read_request(text) {
                Ok(incoming) => match self.ask(incoming).await? {
                    Reply::Served(answer) => {
                        codec::put(&mut out, b'T', &[&answer.columns]);
                        codec::put(&mut out, b'D', &[&answer.row]);
                        codec::put(&mut out, b'C', &[&answer.tag]);
                    }
                    Reply::Refused { retry_after } => {
                        let after = retry_after.map(|span| span.div_ceil(1_000_000).to_string());
                        let text = "refused: trying again is harmless";
                        codec::put_error(&mut out, false, codec::TOO_MANY, text, after.as_deref());
                    }
                    Reply::Failed(why) => codec::put_error(&mut out, false, codec::FAILED, why, None),
                },
                Err(why) => {
                    count(&self.shared.counters.rejected);
                    codec::put_error(&mut out, false, codec::SYNTAX, &why, None);
                }
            }
        }
        codec::put_ready(&mut out);
        self.write(&out).await
    }

    fn read_request(&self, text: &str) -> Result<Incoming, String> {
        let c = Comment::read(text).map_err(|e| e.to_string())?;
        let site = &self.shared.config.site;
        let class = site.class_names.iter().position(|name| name == c.class);
        let unknown = || format!("unknown class '{}'", c.class);
        let class = class.ok_or_else(unknown)?;
        let known = site.settings.classes.get(class).ok_or_else(unknown)?;
        if c.wait_ms == 0 || c.wait_ms > LONGEST_WAIT_MS {
            return Err("d: out of range".to_owned());
        }
        if c.is_write != (known.need == Need::Write) {
            return Err(format!("class '{}' does not go with this statement", c.class));
        }
        if matches!(known.repeat, Repeat::Keyed(_)) && !c.has_key {
            return Err("k: missing".to_owned());
        }
        let has_session = matches!(known.need, Need::Session | Need::Write);
        Ok(Incoming {
            request: self.shared.next_request(),
            id: c.id,
            class: class as u32,
            group: c.group,
            session: has_session.then(|| c.key.into()),
            after: c.after().filter(|_| known.need == Need::Session),
            is_retry: c.is_retry,
            wait: (c.wait_ms * 1_000_000).min(known.deadline),
            arrived: self.shared.clock.now(),
            statement: c.statement(text),
        })
    }

    /// Hands the request to the decider and waits for its one answer, with an eye on the client.
    async fn ask(&mut self, incoming: Incoming) -> Result<Reply, CloseReason> {
        // Its client may have gone while it waited in the backlog: instances must not work for nobody.
        if self.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n == 0) {
            return Err(CloseReason::LeftWaiting);
        }
        let request: RequestId = incoming.request;
        let (reply, answered) = async_channel::bounded(1);
        let shared = self.shared.clone();
        if shared.decider.send(Message::Request { incoming, reply }).await.is_err() {
            return Ok(Reply::Failed("the router is ending"));
        }
        match self.attend(answered.recv()).await {
            Ok(reply) => Ok(reply.unwrap_or(Reply::Failed("the router is ending"))),
            Err(reason) => {
                // The decider ends last; without it there is nobody to tell.
                let _ = shared.decider.send(Message::ClientLeft { request }).await;
                Err(reason)
            }
        }
    }

    /// Waits while reading on: an end, a reset or a goodbye meanwhile means that the client has left.
    async fn attend<T>(&mut self, what: impl Future<Output = T>) -> Result<T, CloseReason> {
        let mut what = std::pin::pin!(what);
        loop {
            if matches!(codec::command(self.buffer.bytes()), Ok(Some((b'X', ..)))) {
                return Err(CloseReason::LeftWaiting);
            }
            // What is pipelined stays in the buffer, which must not grow without an end.
            let full = self.buffer.bytes().len() >= AHEAD;
            let read = async {
                if full {
                    futures_lite::future::pending::<()>().await;
                }
                Waited::Read(self.buffer.fill(&self.stream).await)
            };
            match or(async { Waited::Done(what.as_mut().await) }, read).await {
                Waited::Done(done) => return Ok(done),
                Waited::Read(Ok(0)) => return Err(CloseReason::LeftWaiting),
                Waited::Read(Ok(_)) => {}
                Waited::Read(Err(_)) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Extended queries are not spoken: one error for the sequence, which ends with its Sync.
    async fn on_unsupported(&mut self, tag: u8) -> Result<(), CloseReason> {
        count(&self.shared.counters.rejected);
        let mut out = Vec::new();
        let why = format!("message '{}' is not supported: use simple queries", char::from(tag));
        codec::put_error(&mut out, false, codec::UNSUPPORTED, &why, None);
        self.write(&out).await
    }

    async fn broken_frame(&mut self, e: &FrameError) -> CloseReason {
        self.fatal(&e.to_string()).await;
        match e {
            FrameError::Oversized(_) => CloseReason::Oversized,
            FrameError::Malformed => CloseReason::Malformed,
        }
    }

    /// The request was never taken: trying again is harmless.
    async fn no_memory(&mut self) -> CloseReason {
        self.last_words(codec::TOO_MANY, "no memory for a message of this size now").await;
        CloseReason::NoMemory
    }

    /// Says what is wrong; the connection is closed after it.
    async fn fatal(&mut self, why: &str) -> CloseReason {
        self.last_words(codec::PROTOCOL_VIOLATION, why).await;
        CloseReason::Malformed
    }

    async fn last_words(&mut self, code: &str, why: &str) {
        count(&self.shared.counters.rejected);
        let mut out = Vec::new();
        codec::put_error(&mut out, true, code, why, None);
        if self.write(&out).await.is_ok() {
            self.linger().await;
        }
    }

    /// Closes our side and throws away what still comes: to close with bytes unread would reset the connection,
    /// and the error might not arrive. Nothing is stored, and others get their turn after each piece.
    async fn linger(&mut self) {
        self.buffer.release();
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let shared = &self.shared;
        let discard = async {
            let read = |mut s: &TcpStream| s.read(&mut shared.scratch.borrow_mut());
            while self.stream.read_with(read).await.is_ok_and(|n| n > 0) {
                Timer::after(PACE).await;
            }
        };
        let late = async {
            Timer::after(LINGER).await;
        };
        let evicted = async {
            Timer::after(GRACE).await;
            shared.clients.wanted(Holder::Useless).await;
        };
        or(discard, or(late, evicted)).await;
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        let late = async {
            Timer::after(WRITING).await;
            Err(CloseReason::NotReading)
        };
        let write = async { (&self.stream).write_all(bytes).await.map_err(|_| CloseReason::Reset) };
        or(write, late).await
    }
}
