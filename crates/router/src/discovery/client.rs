//! The list's actor: asks discovery when the decider says so, keeps the watch going, and tells what comes.

use crate::discovery::http::{Connection, HttpError};
use crate::discovery::list::{List, ListError, read_list};
use crate::messages::{Call, Message, News};
use crate::observability::counters::count;
use crate::observability::log::CloseReason;
use crate::runtime::shared::Shared;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{ListKind, Nanos, Timestamp};
use reelrill_service_discovery::watch::{self, Ask, ListService, Watch};
use slog::{debug, info, o, warn};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

struct DiscoveryClient {
    shared: Rc<Shared>,
    discovery: Cell<SocketAddr>,
    /// Taken out by a call while it runs, so that a call that is dropped half-way closes it.
    connection: Cell<Option<Connection>>,
    /// When the latest call began.
    began: Cell<Timestamp>,
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
    let service = if shared.config.site.settings.must_subscribe {
        ListService::Shared
    } else {
        ListService::LocalAgent
    };
    let mut watch = Watch::new(service, shared.config.known.0);
    let discovery = Cell::new(shared.config.discovery);
    let roster = DiscoveryClient {
        shared,
        discovery,
        connection: Cell::default(),
        began: Cell::default(),
    };
    // The call to be made next, and the pause before it.
    let first = watch.first_call(roster.shared.clock.now());
    let mut call: Option<(watch::Call, Nanos)> = first.map(|call| (call, 0));
    loop {
        let place = async {
            match places.recv().await {
                Ok(address) => Next::At(address),
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let keeps = watch.is_open();
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
            Some((call, pause)) => {
                let made = async {
                    if pause > 0 {
                        Timer::after(Duration::from_nanos(pause)).await;
                    }
                    Next::Answered(roster.call(&call).await)
                };
                // A new address ends the call to the old one, which may hang or be about to close. So does a wish
                // for the whole list a watch that waits; one that is being opened is answered soon.
                if keeps {
                    or(place, or(asked, made)).await
                } else {
                    or(place, made).await
                }
            }
            None => or(place, asked).await,
        };
        let now = roster.shared.clock.now();
        match next {
            Next::Answered(answer) => {
                let ended = match &answer {
                    Ok(l) => watch::Ended::Answered {
                        version: l.version,
                        news: !l.entries.is_empty(),
                    },
                    Err(CallError::Silent) => watch::Ended::Silent,
                    Err(CallError::Http(HttpError::Status(_))) => watch::Ended::TurnedAway,
                    Err(_) => watch::Ended::Failed,
                };
                let then = watch.ended(now, ended);
                if let watch::Then::Call {
                    call: next, after, ..
                } = then
                {
                    call = Some((next, after));
                }
                // What was asked for meanwhile has its answer in this one, but for a whole list.
                while let Ok(asked) = calls.try_recv() {
                    if matches!(asked, Call::Fetch) {
                        call = Some((watch.ask(now, Ask::Whole), 0));
                    }
                }
                roster.count(&answer);
                if !matches!(then, watch::Then::Call { quietly: true, .. }) {
                    roster.tell(answer).await;
                }
            }
            Next::Asked(Call::Subscribe) => call = Some((watch.ask(now, Ask::Changes), 0)),
            Next::Asked(Call::Fetch) => call = Some((watch.ask(now, Ask::Whole), 0)),
            Next::At(address) => {
                if roster.turn_to(address) {
                    watch.moved();
                }
                // Asked at once, also if the address is the old one: a call to it may have ended here.
                call = Some((watch.ask(now, Ask::Changes), 0));
            }
            Next::Ended => return,
        }
    }
}

async fn silent<T>(after: Nanos) -> Result<T, CallError> {
    Timer::after(Duration::from_nanos(after)).await;
    Err(CallError::Silent)
}

impl DiscoveryClient {
    /// Another address is another service. Says whether it is one.
    fn turn_to(&self, address: SocketAddr) -> bool {
        if self.discovery.replace(address) == address {
            return false;
        }
        info!(self.shared.log, "discovery has moved"; "address" => %address);
        if let Some(kept) = self.connection.take() {
            kept.end(CloseReason::Moved);
        }
        true
    }

    /// One call, on the kept-alive connection if there is one.
    async fn call(&self, call: &watch::Call) -> Result<List, CallError> {
        count(&self.shared.counters.list_calls);
        self.began.set(self.shared.clock.now());
        let path = match call.since {
            Some((v, wait)) => format!("/api/targets?since={v}&timeout_ms={}", wait / 1_000_000),
            None => "/api/targets".to_owned(),
        };
        let mut connection = match self.connection.take() {
            Some(kept) => kept,
            None => {
                let log = self.shared.log.new(o!());
                let open = async {
                    Ok(Connection::open(self.discovery.get(), &self.shared.memory, log).await?)
                };
                or(open, silent(call.connect)).await?
            }
        };
        let response = async {
            or(
                async { Ok(connection.request(&path).await?) },
                silent(call.patience),
            )
            .await?;
            Ok(connection.response().await?)
        };
        let body = match or(response, silent(call.whole_within)).await {
            Err(CallError::Silent) => {
                connection.end(CloseReason::Silent);
                return Err(CallError::Silent);
            }
            ended => ended?,
        };
        if connection.keeps() {
            self.connection.set(Some(connection));
        } else {
            connection.end(CloseReason::Eof);
        }
        Ok(read_list(
            &serde_json::from_slice(&body)?,
            &self.shared.config.site.zones,
        )?)
    }

    /// Counts a call that failed.
    fn count(&self, answer: &Result<List, CallError>) {
        let Err(e) = answer else { return };
        let c = &self.shared.counters;
        count(match e {
            CallError::Http(HttpError::Status(_)) => &c.list_turned_away,
            CallError::Http(HttpError::Io(_)) => &c.list_broken,
            CallError::Silent => &c.list_silent,
            CallError::Http(_) | CallError::List(_) | CallError::Json(_) => &c.list_unreadable,
        });
        let took = self.shared.clock.now().saturating_sub(self.began.get()) / 1_000_000;
        warn!(self.shared.log, "discovery call failed"; "error" => %e, "ms" => took);
    }

    async fn tell(&self, answer: Result<List, CallError>) {
        let took = self.shared.clock.now().saturating_sub(self.began.get()) / 1_000_000;
        let version = answer.as_ref().map_or(0, |list| list.version);
        let (kind, listed) = match answer {
            Ok(list) => {
                debug!(self.shared.log, "list"; "rev" => list.version, "whole" => list.whole,
                       "entries" => list.entries.len(), "ms" => took);
                (
                    if list.whole {
                        ListKind::Full
                    } else {
                        ListKind::Changes
                    },
                    list.entries,
                )
            }
            Err(_) => (ListKind::Failed, Vec::new()),
        };
        // Where there are other sources, the directory makes the one list of all. The decider ends last; without
        // it there is nobody to tell.
        match &self.shared.directory {
            Some(directory) => drop(
                directory
                    .send(News::DiscoveryClient {
                        kind,
                        listed,
                        version,
                    })
                    .await,
            ),
            None => drop(
                self.shared
                    .dispatcher
                    .send(Message::List { kind, listed })
                    .await,
            ),
        }
    }
}
