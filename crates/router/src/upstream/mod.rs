//! The connection pool of one endpoint: idle connections, the attempts that wait for one, and probes.
//!
//! A fleet's list has thousands of endpoints, and a router uses few of them at a time. A [`PoolHandle`] holds what
//! the list says of its endpoint; the pool's task and mailboxes are started by the first command and retired after
//! a quiet time, in which the pool has no connection, no waiting attempt and nothing in flight.

mod connection;
mod fault;

use crate::messages::{Attempt, AttemptResult, CancellationFlag, Message};
use crate::observability::counters::count;
use crate::observability::log::CloseReason;
use crate::runtime::shared::{Holder, Shared};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use connection::{Fault, UpstreamConnection};
use fault::Blame;
use futures_lite::future::or;
use reelrill_routing::{AttemptOutcome, EndpointId, Nanos, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Part of the idle limit after which a pooled connection is retired: the endpoint's own clock must not
/// close it under a request.
const RETIRE: f64 = 0.9;
/// Looks at idle connections in each such time, so that one goes that much later at the most.
const SWEEPS: u64 = 16;
const _: () = assert!(
    RETIRE * (1.0 + 1.0 / SWEEPS as f64) < 1.0,
    "an idle connection would outlive its limit"
);
/// Commands that may wait for a pool. The channel allocates all of its slots at once.
const MAILBOX: usize = 256;
/// A pool that has held nothing for this long is retired; a new one costs some kilobytes and no connection.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// What dials and attempts hand back; they wait for a place.
const HANDED_BACK: usize = 16;

/// What the list says of the endpoint now; read again before each send.
struct Told {
    address: Cell<SocketAddr>,
    leaving: Cell<Option<Timestamp>>,
}

impl Told {
    /// It leaves, and the grace for what is on its way is over.
    fn is_closed_to_new(&self, shared: &Shared) -> bool {
        let cutoff = shared.config.site.settings.rules.drain_cutoff();
        self.leaving
            .get()
            .is_some_and(|t| shared.clock.now() >= t.saturating_add(cutoff))
    }
}

impl Attempt {
    /// Neither given up by the decider nor left by its client.
    fn is_wanted(&self) -> bool {
        !self.given_up.is_closed() && !self.left.is_raised()
    }

    /// How long the endpoint may take if the request is written now; none: it must not be written any more. Asked in
    /// the step that writes, since the attempt may have waited for its turn, and again for each further write.
    fn time_left(&self, shared: &Shared, told: &Told) -> Option<Nanos> {
        let now = shared.clock.now();
        let is_late = now >= self.until || self.by.is_some_and(|by| now >= by);
        let may_begin = self.is_wanted() && !is_late && !told.is_closed_to_new(shared);
        may_begin.then(|| self.until - now)
    }
}

pub enum PoolCommand {
    Attempt(Box<Attempt>),
    Probe,
    /// The endpoint or the state has changed.
    Told,
}

/// Where a running pool takes its commands; empty while there is none.
type Commands = RefCell<Option<Sender<PoolCommand>>>;

/// The dispatcher's view of one listed endpoint. Dropping it ends the pool: attempts that still wait are not sent.
pub struct PoolHandle {
    told: Rc<Told>,
    commands: Rc<Commands>,
}

impl PoolHandle {
    pub fn new(address: SocketAddr) -> PoolHandle {
        let told = Told {
            address: Cell::new(address),
            leaving: Cell::new(None),
        };
        PoolHandle {
            told: Rc::new(told),
            commands: Rc::default(),
        }
    }

    /// Takes over what the list says now. A drain that is already known keeps its start.
    pub fn update(&self, address: SocketAddr, is_draining: bool, now: Timestamp) {
        let draining_since = self.told.leaving.get().unwrap_or(now);
        self.told.leaving.set(is_draining.then_some(draining_since));
        if self.told.address.replace(address) != address
            && let Some(commands) = &*self.commands.borrow()
        {
            // A full mailbox means that the pool is about to look anyway.
            let _ = commands.try_send(PoolCommand::Told);
        }
    }

    /// Hands a command to the pool, which is started if none is running. Fails while its mailbox is full.
    pub fn send(
        &self,
        shared: &Rc<Shared>,
        executor: &Rc<LocalExecutor<'static>>,
        endpoint: &EndpointId,
        order: PoolCommand,
    ) -> Result<(), PoolBusy> {
        let mut commands = self.commands.borrow_mut();
        let commands = commands.get_or_insert_with(|| self.start(shared, executor, endpoint));
        commands.try_send(order).map_err(|_| PoolBusy)
    }

    fn start(
        &self,
        shared: &Rc<Shared>,
        executor: &Rc<LocalExecutor<'static>>,
        endpoint: &EndpointId,
    ) -> Sender<PoolCommand> {
        count(&shared.counters.pools_started);
        let (commands, inbox) = async_channel::bounded(MAILBOX);
        let (news, back) = async_channel::bounded(HANDED_BACK);
        let pool = EndpointPool {
            shared: shared.clone(),
            executor: executor.clone(),
            endpoint: endpoint.clone(),
            told: self.told.clone(),
            commands: Rc::downgrade(&self.commands),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            dialling: 0,
            news,
        };
        executor.spawn(pool.run(inbox, back)).detach();
        commands
    }
}

/// The pool's mailbox is full: the command was not taken.
#[derive(Debug, PartialEq, Eq)]
pub struct PoolBusy;

/// What is to be done on a connection; without an attempt it is a probe.
type Job = Option<Box<Attempt>>;

enum News {
    Dialled(Result<Box<UpstreamConnection>, AttemptOutcome>),
    Back(Box<UpstreamConnection>),
}

struct EndpointPool {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    endpoint: EndpointId,
    told: Rc<Told>,
    /// Gone once the handle has been dropped.
    commands: Weak<Commands>,
    idle: Vec<UpstreamConnection>,
    /// Those without a connection, and since when.
    waiting: VecDeque<(Timestamp, Job)>,
    dialling: usize,
    news: Sender<News>,
}

enum Next {
    PoolCommand(Option<PoolCommand>),
    News(News),
    /// Time to look for connections that are too old.
    Sweep,
    /// Another peer has no descriptor left, and this one has an idle connection.
    Spare,
    /// A descriptor may be free for what waits here.
    Freed,
    /// What has waited longest got no descriptor in time.
    Late,
    /// Nothing has happened for [`QUIET_TIME`].
    Quiet,
}

impl EndpointPool {
    async fn run(mut self, inbox: Receiver<PoolCommand>, back: Receiver<News>) {
        let limit = self.shared.config.site.idle_close;
        let retire = (if limit == 0 { 10e9 } else { limit as f64 } * RETIRE) as u64;
        loop {
            let news = async {
                match back.recv().await {
                    Ok(news) => Next::News(news),
                    Err(_) => Next::PoolCommand(None),
                }
            };
            let sweep = async {
                if self.idle.is_empty() {
                    futures_lite::future::pending::<()>().await;
                }
                Timer::after(Duration::from_nanos(retire / SWEEPS)).await;
                Next::Sweep
            };
            let spare = async {
                if self.idle.is_empty() {
                    futures_lite::future::pending::<()>().await;
                }
                self.shared.upstream.wanted(Holder::Idle).await;
                Next::Spare
            };
            // Only what has no dial of its own waits for a descriptor.
            let lacking = self
                .waiting
                .get(self.dialling)
                .map(|(since, _)| since + self.patience());
            let late = async {
                match lacking {
                    Some(at) => Timer::at(self.shared.clock.instant(at)).await,
                    None => futures_lite::future::pending().await,
                };
                Next::Late
            };
            let freed = async {
                if lacking.is_none() {
                    futures_lite::future::pending::<()>().await;
                }
                self.shared.upstream.freed().await;
                Next::Freed
            };
            let quiet = async {
                if !self.idle.is_empty() || !self.waiting.is_empty() {
                    futures_lite::future::pending::<()>().await;
                }
                Timer::after(QUIET_TIME).await;
                Next::Quiet
            };
            let order = async { Next::PoolCommand(inbox.recv().await.ok()) };
            match or(
                news,
                or(order, or(or(freed, late), or(or(spare, sweep), quiet))),
            )
            .await
            {
                Next::PoolCommand(Some(PoolCommand::Attempt(attempt))) => self.wait(Some(attempt)),
                Next::PoolCommand(Some(PoolCommand::Probe)) => self.wait(None),
                Next::PoolCommand(Some(PoolCommand::Told)) => self.drop_moved(),
                Next::PoolCommand(None) => {
                    // The endpoint has left the list: what still waits must not be sent to it.
                    while let Some((_, job)) = self.waiting.pop_front() {
                        self.unsent(job, AttemptOutcome::NotSent).await;
                    }
                    self.idle.drain(..).for_each(|l| l.end(CloseReason::Moved));
                    return;
                }
                Next::News(News::Back(connection)) => self.keep(*connection),
                Next::News(News::Dialled(result)) => {
                    self.dialling -= 1;
                    match result {
                        Ok(connection) => self.keep(*connection),
                        Err(outcome) => self.dial_failed(outcome).await,
                    }
                }
                Next::Spare if !self.idle.is_empty() => {
                    count(&self.shared.counters.evicted);
                    self.idle.remove(0).end(CloseReason::Evicted);
                }
                Next::Spare | Next::Freed => {}
                Next::Quiet => {
                    if self.is_unused(&inbox) {
                        // The next command finds no pool and starts one. Nothing else runs between this step and
                        // the look at the mailbox: all tasks share one thread.
                        if let Some(commands) = self.commands.upgrade() {
                            commands.take();
                        }
                        count(&self.shared.counters.pools_retired);
                        return;
                    }
                }
                Next::Late => {
                    // The one that has waited longest takes the first connection, so it is the first to give up.
                    if let Some((_, job)) = self.waiting.pop_front() {
                        self.unsent(job, AttemptOutcome::NotSent).await;
                    }
                }
                Next::Sweep => {
                    let now = self.shared.clock.now();
                    let old =
                        |l: &mut UpstreamConnection| l.idle_since + retire < now || !l.is_open();
                    for connection in self.idle.extract_if(.., old) {
                        connection.end(CloseReason::Idle);
                    }
                }
            }
            self.dispatch(retire).await;
        }
    }

    /// Holds no connection and no attempt: each dial and each attempt in flight has a sender of its own.
    fn is_unused(&self, inbox: &Receiver<PoolCommand>) -> bool {
        let in_flight = self.news.sender_count() - 1;
        self.idle.is_empty() && self.waiting.is_empty() && inbox.is_empty() && in_flight == 0
    }

    fn wait(&mut self, job: Job) {
        self.waiting.push_back((self.shared.clock.now(), job));
    }

    /// How long a connection may take to come up, a wait for a descriptor included.
    fn patience(&self) -> Nanos {
        match self.shared.config.site.settings.limits.connect_timeout {
            0 => 1_000_000_000,
            limit => limit,
        }
    }

    fn drop_moved(&mut self) {
        let address = self.told.address.get();
        for connection in self.idle.extract_if(.., |l| l.address != address) {
            connection.end(CloseReason::Moved);
        }
    }

    fn keep(&mut self, mut connection: UpstreamConnection) {
        if connection.address != self.told.address.get() {
            return connection.end(CloseReason::Moved);
        }
        // An idle connection must not keep a descriptor that another peer waits for.
        if self.waiting.is_empty() && self.shared.upstream.is_wanted() {
            count(&self.shared.counters.evicted);
            return connection.end(CloseReason::Evicted);
        }
        connection.idle_since = self.shared.clock.now();
        self.idle.push(connection);
    }

    /// One dial was begun for one that waits: without other dials it gets no connection.
    async fn dial_failed(&mut self, outcome: AttemptOutcome) {
        while self.waiting.len() > self.dialling {
            let Some((_, job)) = self.waiting.pop_front() else {
                return;
            };
            self.unsent(job, outcome).await;
        }
    }

    async fn unsent(&self, job: Job, outcome: AttemptOutcome) {
        let message = match job {
            Some(a) => Message::AttemptEnded {
                request: a.request,
                attempt: a.number,
                ended: AttemptResult::silent(outcome),
            },
            None => Message::Probed {
                endpoint: self.endpoint.clone(),
                ended: AttemptResult::silent(outcome),
            },
        };
        // The decider ends last; without it there is nobody to tell.
        let _ = self.shared.dispatcher.send(message).await;
    }

    /// Gives idle connections to those that wait, and dials for the rest.
    async fn dispatch(&mut self, retire: u64) {
        self.waiting
            .retain(|(_, job)| job.as_ref().is_none_or(|a| a.is_wanted()));
        let now = self.shared.clock.now();
        // The grace counts to the first byte: what waited for a connection meanwhile may be too late.
        if self.told.is_closed_to_new(&self.shared) {
            while let Some((_, job)) = self.waiting.pop_front() {
                self.unsent(job, AttemptOutcome::NotSent).await;
            }
        }
        while !self.waiting.is_empty() {
            // The one used last: the others may grow old and be retired.
            let Some(connection) = self.idle.pop() else {
                break;
            };
            if connection.idle_since + retire < now || !connection.is_open() {
                connection.end(CloseReason::Idle);
            } else if let Some((_, job)) = self.waiting.pop_front() {
                self.begin(connection, job);
            }
        }
        while self.dialling < self.waiting.len() {
            let Some(slot) = self.shared.upstream.take() else {
                return self.shared.upstream.need();
            };
            self.dialling += 1;
            let (endpoint, address) = (self.endpoint.clone(), self.told.address.get());
            let (dial, news) = (
                UpstreamConnection::dial(self.shared.clone(), endpoint, address, slot),
                self.news.clone(),
            );
            let task = async move {
                // A link nobody takes ends with its log line.
                let _ = news.send(News::Dialled(dial.await.map(Box::new))).await;
            };
            self.executor.spawn(task).detach();
        }
    }

    fn begin(&self, connection: UpstreamConnection, job: Job) {
        let (shared, news, endpoint) = (
            self.shared.clone(),
            self.news.clone(),
            self.endpoint.clone(),
        );
        match job {
            Some(a) => self
                .executor
                .spawn(attempt(shared, self.told.clone(), news, connection, a))
                .detach(),
            None => self
                .executor
                .spawn(probe(shared, news, connection, endpoint))
                .detach(),
        }
    }
}

/// One attempt on its connection. Given up, it drops the connection: a late answer has nowhere to go.
async fn attempt(
    shared: Rc<Shared>,
    told: Rc<Told>,
    news: Sender<News>,
    mut connection: UpstreamConnection,
    a: Box<Attempt>,
) {
    let time_left = || a.time_left(&shared, &told);
    let Some(wait) = time_left() else {
        let _ = news.send(News::Back(Box::new(connection))).await;
        if a.is_wanted() {
            let ended = AttemptResult::silent(AttemptOutcome::NotSent);
            let _ = shared
                .dispatcher
                .send(Message::AttemptEnded {
                    request: a.request,
                    attempt: a.number,
                    ended,
                })
                .await;
        }
        return;
    };
    let given_up = async {
        // Nothing is ever sent: it ends when the decider drops its end.
        let _ = a.given_up.recv().await;
        None
    };
    let Some(result) = or(
        async { Some(connection.ask(&a.ask, wait, time_left, &a.written).await) },
        given_up,
    )
    .await
    else {
        return;
    };
    let ended = match result {
        Err(Fault::Stale) => AttemptResult::silent(AttemptOutcome::NotSent),
        Err(Fault::NotWritten(Blame::Endpoint)) => {
            AttemptResult::silent(AttemptOutcome::ConnectFailed)
        }
        Err(Fault::NotWritten(Blame::Host | Blame::Nobody)) => {
            AttemptResult::silent(AttemptOutcome::NotSent)
        }
        Err(Fault::Broken) => AttemptResult::silent(AttemptOutcome::ConnectionReset),
        Err(Fault::Spoilt) => AttemptResult::silent(AttemptOutcome::MalformedResponse),
        Ok(response) => {
            let (replication, report, ready) =
                (response.replication, response.report, response.ready);
            let (outcome, answer) = response.outcome();
            if ready {
                let _ = news.send(News::Back(Box::new(connection))).await;
            }
            AttemptResult {
                outcome,
                replication,
                report,
                answer,
            }
        }
    };
    let _ = shared
        .dispatcher
        .send(Message::AttemptEnded {
            request: a.request,
            attempt: a.number,
            ended,
        })
        .await;
}

async fn probe(
    shared: Rc<Shared>,
    news: Sender<News>,
    mut connection: UpstreamConnection,
    endpoint: EndpointId,
) {
    count(&shared.counters.probes);
    let limit = Duration::from_nanos(
        shared
            .config
            .site
            .settings
            .limits
            .connect_timeout
            .max(100_000_000),
    );
    let late = async {
        Timer::after(limit).await;
        None
    };
    let ended = match or(
        async {
            Some(
                connection
                    .query(b"SHOW gauges", &CancellationFlag::default())
                    .await,
            )
        },
        late,
    )
    .await
    {
        None => AttemptResult::silent(AttemptOutcome::TimedOut),
        Some(Err(_)) => AttemptResult::silent(AttemptOutcome::ConnectionReset),
        Some(Ok(response)) => {
            let report = response
                .text()
                .map(connection::read_report)
                .unwrap_or_default();
            let (replication, ready) = (response.replication, response.ready);
            let (outcome, _) = response.outcome();
            if ready {
                let _ = news.send(News::Back(Box::new(connection))).await;
            }
            AttemptResult {
                outcome,
                replication,
                report,
                answer: None,
            }
        }
    };
    let _ = shared
        .dispatcher
        .send(Message::Probed { endpoint, ended })
        .await;
}
