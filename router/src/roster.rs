//! The list's actor: asks discovery when the decider says so, keeps the watch going, and tells what comes.

use crate::counters::count;
use crate::exchange::{Listed, Message};
use crate::http::{Connection, HttpError};
use crate::log::CloseReason;
use crate::shared::Shared;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use reelrill::{Entry, ListKind, State};
use serde_json::Value;
use slog::{debug, info, o, warn};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// How long one call of the watch may wait at discovery. Each call is work for a slow service.
const WATCH: Duration = Duration::from_secs(10);
/// Beyond a call's own wait, silence of this length is a failed call: a cut link stays open and quiet.
const SILENCE: Duration = Duration::from_millis(1800);

/// The wait of a call that is to be answered at once.
const NOW: Duration = Duration::from_millis(1);

/// Pause after a watch that was answered early without news; discovery takes a call for the same watch's next
/// one within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// What the decider asks of the roster.
#[derive(Debug, Clone, Copy)]
pub enum Call {
    Subscribe,
    Fetch,
}

#[derive(Debug, thiserror::Error)]
pub enum ListError {
    #[error("{0}: missing or wrong")]
    Field(&'static str),
    #[error("the list is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("discovery: {0}")]
    Http(#[from] HttpError),
    #[error("no answer from discovery in time")]
    Silent,
}

/// One answer of discovery.
#[derive(Debug)]
pub struct List {
    pub version: u64,
    pub whole: bool,
    pub entries: Vec<Listed>,
}

/// Reads a list in discovery's form.
pub fn read_list(value: &Value, zones: &[String]) -> Result<List, ListError> {
    let targets = value.get("targets").and_then(Value::as_array).ok_or(ListError::Field("targets"))?;
    Ok(List {
        version: value.get("rev").and_then(Value::as_u64).ok_or(ListError::Field("rev"))?,
        whole: value.get("all").and_then(Value::as_bool).ok_or(ListError::Field("all"))?,
        entries: targets.iter().map(|t| read_target(t, zones)).collect::<Result<_, _>>()?,
    })
}

fn read_target(target: &Value, zones: &[String]) -> Result<Listed, ListError> {
    let text = |key: &'static str| target.get(key).and_then(Value::as_str).ok_or(ListError::Field(key));
    let state = match text("state")? {
        "ready" => State::Serving,
        "draining" => State::Draining,
        "gone" => State::Gone,
        _ => return Err(ListError::Field("state")),
    };
    let endpoint = match text("endpoint").map(str::parse) {
        Ok(Ok(endpoint)) => endpoint,
        // One that is gone is dialled no more.
        _ if state == State::Gone => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        _ => return Err(ListError::Field("endpoint")),
    };
    let zone = text("az").ok().and_then(|az| zones.iter().position(|z| z == az)).unwrap_or(0);
    let group = target.get("pod_group").and_then(Value::as_u64).and_then(|g| u32::try_from(g).ok());
    let started_ms = target.get("boot_ms").and_then(Value::as_f64).unwrap_or(0.0);
    let entry = Entry {
        member: text("uid")?.into(),
        started: (started_ms.max(0.0) as u64).saturating_mul(1_000_000),
        primary: target.get("part").and_then(Value::as_str) == Some("master"),
        state,
        weight: target.get("capacity_hint").and_then(Value::as_f64).unwrap_or(1.0),
        group: group.ok_or(ListError::Field("pod_group"))?,
        zone: zone as u32,
    };
    Ok(Listed { entry, endpoint })
}

struct Roster {
    shared: Rc<Shared>,
    discovery: Cell<SocketAddr>,
    /// Taken out by a call while it runs, so that a call that is dropped half-way closes it.
    connection: Cell<Option<Connection>>,
    version: Cell<Option<u64>>,
}

enum Next {
    Answered(Result<List, ListError>),
    Asked(Call),
    /// The configuration names discovery here.
    At(SocketAddr),
    Ended,
}

/// Runs until the decider's end of `calls` is dropped. `places` brings the address of discovery whenever the
/// configuration has been read again.
pub async fn run(shared: Rc<Shared>, calls: Receiver<Call>, places: Receiver<SocketAddr>) {
    let (discovery, version) = (Cell::new(shared.config.discovery), Cell::new(shared.config.known.0));
    let roster = Roster { shared, discovery, connection: Cell::default(), version };
    let (mut watching, mut call) = (false, None);
    loop {
        let place = async {
            match places.recv().await {
                Ok(address) => Next::At(address),
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let asked = async { calls.recv().await.map_or(Next::Ended, Next::Asked) };
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

async fn silent<T>(after: Duration) -> Result<T, ListError> {
    Timer::after(after).await;
    Err(ListError::Silent)
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

    async fn make(&self, call: Call) -> Result<List, ListError> {
        match call {
            // Answered at once, changes or none: the brain waits for a word on its call.
            Call::Subscribe => self.call(&self.watch_path(NOW), NOW).await,
            Call::Fetch => self.call("/api/targets", NOW).await,
        }
    }

    fn watch_path(&self, wait: Duration) -> String {
        match self.version.get() {
            Some(v) => format!("/api/targets?since={v}&timeout_ms={}", wait.as_millis()),
            None => "/api/targets".to_owned(),
        }
    }

    /// One call that waits for changes.
    async fn watch(&self) -> Result<List, ListError> {
        let began = self.shared.clock.now();
        let answer = self.call(&self.watch_path(WATCH), WATCH).await?;
        let waited = Duration::from_nanos(self.shared.clock.now().saturating_sub(began));
        if answer.entries.is_empty() && waited < WATCH / 2 {
            // Answered early without news: calls that follow at once would keep both sides busy for nothing.
            Timer::after(PAUSE).await;
        }
        Ok(answer)
    }

    /// One call, on the kept-alive connection if there is one.
    async fn call(&self, path: &str, wait: Duration) -> Result<List, ListError> {
        count(&self.shared.counters.list_calls);
        let mut connection = match self.connection.take() {
            Some(kept) => kept,
            None => {
                let log = self.shared.log.new(o!());
                let open =
                    async { Ok(Connection::open(self.discovery.get(), &self.shared.memory, log).await?) };
                or(open, silent(SILENCE)).await?
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
        read_list(&serde_json::from_slice(&body)?, &self.shared.config.site.zones)
    }

    async fn tell(&self, answer: Result<List, ListError>) {
        let (kind, listed) = match answer {
            Ok(list) => {
                self.version.set(Some(list.version));
                debug!(self.shared.log, "list"; "rev" => list.version, "entries" => list.entries.len());
                (if list.whole { ListKind::Whole } else { ListKind::Changes }, list.entries)
            }
            Err(e) => {
                count(&self.shared.counters.list_failures);
                warn!(self.shared.log, "discovery call failed"; "error" => %e);
                (ListKind::Failed, Vec::new())
            }
        };
        // The decider ends last; without it there is nobody to tell.
        let _ = self.shared.decider.send(Message::List { kind, listed }).await;
    }
}
