//! The list's actor: asks discovery when the decider says so, keeps the watch going, and tells what comes.

use crate::counters::count;
use crate::exchange::{Call, Message, News};
use crate::http::{Connection, HttpError};
use crate::list::{List, ListError, read_list};
use crate::log::CloseReason;
use crate::shared::Shared;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use reelrill::{ListKind, Time};
use slog::{debug, info, o, warn};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long one call of the watch may wait at discovery. Each call is work for a slow service.
const WATCH: Duration = Duration::from_secs(10);
/// A connection that is not made by then has failed.
const CONNECT: Duration = Duration::from_millis(1800);
/// Beyond a call's own wait, silence of this length is a failed call: a cut link stays open and quiet. Far longer
/// than discovery lets a call wait for its turn (it ends one with 503, seen after 2 s): a call that is repeated while
/// it still waits is served twice, the first time for nobody.
const SILENCE: Duration = Duration::from_millis(5000);
/// The wait of a call that is to be answered at once.
const NOW: Duration = Duration::ZERO;

/// Pause after a watch that was answered early without news; discovery takes a call for the same watch's next
/// one within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    List(#[from] ListError),
    #[error("the list is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("discovery: {0}")]
    Http(#[from] HttpError),
    #[error("no answer from discovery in time")]
    Silent,
}

struct Roster {
    shared: Rc<Shared>,
    discovery: Cell<SocketAddr>,
    /// Taken out by a call while it runs, so that a call that is dropped half-way closes it.
    connection: Cell<Option<Connection>>,
    version: Cell<Option<u64>>,
    /// When the latest call began.
    began: Cell<Time>,
}

enum Next {
    Answered(Result<List, CallError>),
    Asked(Call),
    /// The configuration names discovery here.
    At(SocketAddr),
    Ended,
}

/// Runs until the decider's end of `calls` is dropped. `places` brings the address of discovery whenever the
/// configuration has been read again.
pub async fn run(shared: Rc<Shared>, calls: Receiver<Call>, places: Receiver<SocketAddr>) {
    let (discovery, version) = (Cell::new(shared.config.discovery), Cell::new(shared.config.known.0));
    let roster = Roster { shared, discovery, connection: Cell::default(), version, began: Cell::default() };
    let (mut watching, mut call) = (false, None);
    loop {
        let place = async {
            match places.recv().await {
                Ok(address) => Next::At(address),
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let keeps = watching;
        let asked = async {
            loop {
                match calls.recv().await {
                    // The watch that runs is what is asked for: to break it off would cost another call.
                    Ok(Call::Subscribe) if keeps => {}
                    Ok(call) => return Next::Asked(call),
                    Err(_) => return Next::Ended,
                }
            }
        };
        let next = match call.take() {
            // A new address ends the call to the old one, which may hang or be about to close.
            Some(call) => or(place, async { Next::Answered(roster.make(call).await) }).await,
            // The next call of a watch must follow at once: a later one would start a new watch.
            None if watching => or(place, or(asked, async { Next::Answered(roster.watch().await) })).await,
            None => or(place, asked).await,
        };
        match next {
            Next::Answered(answer) => {
                watching = answer.is_ok();
                // What was asked for meanwhile has its answer in this one.
                while let Ok(asked) = calls.try_recv() {
                    call = matches!(asked, Call::Fetch).then_some(asked).or(call);
                }
                roster.tell(answer).await;
            }
            Next::Asked(asked) => call = Some(asked),
            Next::At(address) => {
                roster.turn_to(address);
                // Asked at once, also if the address is the old one: a call to it may have ended here.
                call = Some(Call::Subscribe);
            }
            Next::Ended => return,
        }
    }
}

async fn silent<T>(after: Duration) -> Result<T, CallError> {
    Timer::after(after).await;
    Err(CallError::Silent)
}

impl Roster {
    /// Another address is another service: versions of the old one mean nothing there, so the whole list is
    /// asked for.
    fn turn_to(&self, address: SocketAddr) {
        if self.discovery.replace(address) == address {
            return;
        }
        info!(self.shared.log, "discovery has moved"; "address" => %address);
        self.version.set(None);
        if let Some(kept) = self.connection.take() {
            kept.end(CloseReason::Moved);
        }
    }

    async fn make(&self, call: Call) -> Result<List, CallError> {
        match call {
            // Answered at once if the list is not the newest; else nothing is to be told. A short call first
            // would be a second one for the same service.
            Call::Subscribe => self.since().await,
            Call::Fetch => self.call("/api/targets", NOW).await,
        }
    }

    /// A call that waits for something newer than the version known; without one it asks for the whole list, which
    /// waits for nothing, so that its silence is noticed sooner.
    async fn since(&self) -> Result<List, CallError> {
        match self.version.get() {
            Some(v) => {
                let path = format!("/api/targets?since={v}&timeout_ms={}", WATCH.as_millis());
                self.call(&path, WATCH).await
            }
            None => self.call("/api/targets", NOW).await,
        }
    }

    /// One call that waits for changes.
    async fn watch(&self) -> Result<List, CallError> {
        let began = self.shared.clock.now();
        let answer = self.since().await?;
        let waited = Duration::from_nanos(self.shared.clock.now().saturating_sub(began));
        if answer.entries.is_empty() && waited < WATCH / 2 {
            // Answered early without news: calls that follow at once would keep both sides busy for nothing.
            Timer::after(PAUSE).await;
        }
        Ok(answer)
    }

    /// One call, on the kept-alive connection if there is one.
    async fn call(&self, path: &str, wait: Duration) -> Result<List, CallError> {
        count(&self.shared.counters.list_calls);
        self.began.set(self.shared.clock.now());
        let mut connection = match self.connection.take() {
            Some(kept) => kept,
            None => {
                let log = self.shared.log.new(o!());
                let open =
                    async { Ok(Connection::open(self.discovery.get(), &self.shared.memory, log).await?) };
                or(open, silent(CONNECT)).await?
            }
        };
        let body = match or(async { Ok(connection.get(path).await) }, silent(wait + SILENCE)).await {
            Ok(answered) => answered?,
            Err(e) => {
                connection.end(CloseReason::Silent);
                return Err(e);
            }
        };
        if connection.keeps() {
            self.connection.set(Some(connection));
        } else {
            connection.end(CloseReason::Eof);
        }
        Ok(read_list(&serde_json::from_slice(&body)?, &self.shared.config.site.zones)?)
    }

    async fn tell(&self, answer: Result<List, CallError>) {
        let took = self.shared.clock.now().saturating_sub(self.began.get()) / 1_000_000;
        let version = answer.as_ref().map_or(0, |list| list.version);
        let (kind, listed) = match answer {
            Ok(list) => {
                self.version.set(Some(list.version));
                debug!(self.shared.log, "list"; "rev" => list.version, "whole" => list.whole,
                       "entries" => list.entries.len(), "ms" => took);
                (if list.whole { ListKind::Whole } else { ListKind::Changes }, list.entries)
            }
            Err(e) => {
                let c = &self.shared.counters;
                count(match &e {
                    CallError::Http(HttpError::Status(_)) => &c.list_turned_away,
                    CallError::Http(HttpError::Io(_)) => &c.list_broken,
                    CallError::Silent => &c.list_silent,
                    CallError::Http(_) | CallError::List(_) | CallError::Json(_) => &c.list_unreadable,
                });
                warn!(self.shared.log, "discovery call failed"; "error" => %e, "ms" => took);
                (ListKind::Failed, Vec::new())
            }
        };
        // Where there are other sources, the directory makes the one list of all. The decider ends last; without
        // it there is nobody to tell.
        match &self.shared.directory {
            Some(directory) => drop(directory.send(News::Roster { kind, listed, version }).await),
            None => drop(self.shared.decider.send(Message::List { kind, listed }).await),
        }
    }
}
