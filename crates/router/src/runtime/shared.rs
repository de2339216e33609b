//! What all tasks of the one thread share: clock, log, counters, the descriptor budget and the phase.

use crate::config::Config;
use crate::dispatcher::mailbox::MailboxSender;
use crate::extensions::Mode;
use crate::messages::News;
use crate::observability::counters::Counters;
use crate::runtime::buffer::Memory;
use crate::runtime::shutdown::ShutdownSchedule;
use event_listener::{Event, IntoNotification as _};
use reelrill_pg_session::account::Accounts;
use reelrill_pg_session::admit::Catalog;
use reelrill_pg_session::plan::Common;
use reelrill_pg_session::template::Templates;
use reelrill_routing::{EndpointId, Timestamp};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix nanoseconds at the start plus monotonic time since: a step of the system's clock moves no timer.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        Clock {
            start: Instant::now(),
            unix: unix as u64,
        }
    }

    pub fn now(&self) -> Timestamp {
        self.unix + self.start.elapsed().as_nanos() as u64
    }

    /// The instant of a time, for timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + std::time::Duration::from_nanos(at.saturating_sub(self.unix))
    }
}

/// The descriptors of one side. A [`Slot`] holds one and gives it back when dropped.
pub struct DescriptorBudget {
    used: Cell<usize>,
    most: usize,
    freed: Event,
    /// Holders that could go, by what they are.
    useless: Event,
    idle: Event,
    stateful: Event,
    /// Holders of which nothing is known yet.
    fresh: Cell<usize>,
    /// Holders between requests that would lose nothing, also those too young to go.
    resting: Cell<usize>,
}

pub struct DescriptorPermit(Rc<DescriptorBudget>);

/// Counts a holder as one of a kind until dropped.
pub struct HolderCount {
    slots: Rc<DescriptorBudget>,
    kind: fn(&DescriptorBudget) -> &Cell<usize>,
}

impl HolderCount {
    fn new(
        slots: &Rc<DescriptorBudget>,
        kind: fn(&DescriptorBudget) -> &Cell<usize>,
    ) -> HolderCount {
        kind(slots).set(kind(slots).get() + 1);
        HolderCount {
            slots: slots.clone(),
            kind,
        }
    }
}

impl Drop for HolderCount {
    fn drop(&mut self) {
        let count = (self.kind)(&self.slots);
        count.set(count.get().saturating_sub(1));
    }
}

/// What somebody holds a slot for that others want.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// A connection that has never asked anything, has stalled, or is being closed: it goes first.
    Useless,
    /// A connection between requests.
    Idle,
    /// The same, with prepared statements that its client would have to prepare again: it goes last.
    Stateful,
}

impl DescriptorBudget {
    fn new(most: usize) -> Rc<DescriptorBudget> {
        let event = Event::new;
        let (freed, useless, idle, stateful) = (event(), event(), event(), event());
        Rc::new(DescriptorBudget {
            used: Cell::new(0),
            most,
            freed,
            useless,
            idle,
            stateful,
            fresh: Cell::new(0),
            resting: Cell::new(0),
        })
    }

    pub fn take(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.most {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Half are in use: a burst needs the rest.
    pub fn is_short(&self) -> bool {
        self.used.get() > self.most / 2
    }

    /// Somebody waits for a slot.
    pub fn is_wanted(&self) -> bool {
        self.freed.total_listeners() > 0
    }

    pub fn fresh(self: &Rc<Self>) -> HolderCount {
        HolderCount::new(self, |s| &s.fresh)
    }

    pub fn resting(self: &Rc<Self>) -> HolderCount {
        HolderCount::new(self, |s| &s.resting)
    }

    /// Asks the holder that has listened longest to give its slot up, the useless ones first. Where many are
    /// fresh, those that will turn out useless are waited for: the idle ones are in use. Says whether somebody was
    /// asked, or will be soon.
    pub fn want(&self) -> bool {
        self.useless.notify(1.additional()) > 0
            || self.fresh.get() * 4 > self.used.get()
            || self.idle.notify(1.additional()) > 0
            || self.resting.get() > 0
    }

    /// The same where there is no slot left: the holders that lose something go, if there is no other.
    pub fn need(&self) {
        if !self.want() {
            self.stateful.notify(1.additional());
        }
    }

    pub async fn wanted(&self, from: Holder) {
        match from {
            Holder::Useless => self.useless.listen().await,
            Holder::Idle => self.idle.listen().await,
            Holder::Stateful => self.stateful.listen().await,
        }
    }

    pub async fn freed(&self) {
        self.freed.listen().await;
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        // Those who wait differ in what they wait for: all look.
        self.0.freed.notify(usize::MAX);
    }
}

/// A condition that comes true once.
#[derive(Default)]
pub struct Flag {
    set: Cell<bool>,
    event: Event,
}

impl Flag {
    pub fn raise(&self) {
        self.set.set(true);
        self.event.notify(usize::MAX);
    }

    pub fn is_raised(&self) -> bool {
        self.set.get()
    }

    pub async fn wait(&self) {
        while !self.set.get() {
            self.event.listen().await;
        }
    }
}

pub struct Shared {
    pub config: Config,
    pub clock: Clock,
    pub log: Logger,
    pub counters: Counters,
    /// Descriptors for clients and for endpoints, apart: a flood of clients must not keep the requests of others
    /// from the endpoints.
    pub clients: Rc<DescriptorBudget>,
    pub upstream: Rc<DescriptorBudget>,
    /// The router knows endpoints to serve from.
    pub ready: Flag,
    /// SIGTERM has come.
    pub draining: Flag,
    /// When.
    pub ended_at: Cell<Option<Timestamp>>,
    /// What happens how long after that.
    pub shutdown: ShutdownSchedule,
    /// When a connection or a request last came in.
    pub last_arrival: Cell<Timestamp>,
    pub dispatcher: MailboxSender,
    /// Where the roster's word goes, and what endpoints say of themselves, if there are other sources.
    pub directory: Option<async_channel::Sender<News>>,
    /// What the buffers of all connections may grow to.
    pub memory: Rc<Memory>,
    /// Where bytes go that nobody wants; one for all connections.
    pub scratch: RefCell<Vec<u8>>,
    requests: Cell<u64>,
    /// What all clients' prepared statements and pipelines share.
    pub common: Rc<Common>,
    pub cancels: Cancels,
}

/// The clients that may call off what they wait for, by the numbers that BackendKeyData told them.
#[derive(Default)]
pub struct Cancels {
    clients: RefCell<HashMap<u32, (u32, Rc<Cancel>)>>,
    next: Cell<u32>,
}

/// A client's wish to call off what it waits for.
#[derive(Default)]
pub struct Cancel {
    wanted: Cell<bool>,
    event: Event,
}

impl Cancel {
    /// What was wished before does not count for what comes now.
    pub fn reset(&self) {
        self.wanted.set(false);
    }

    pub async fn wait(&self) {
        while !self.wanted.get() {
            self.event.listen().await;
        }
    }
}

impl Cancels {
    /// Numbers that no other open client has: the process, and a secret.
    pub fn register(&self, cancel: &Rc<Cancel>) -> (u32, u32) {
        let mut clients = self.clients.borrow_mut();
        // Clients are far fewer than numbers.
        let free = |n: &u32| *n != 0 && !clients.contains_key(n);
        let process = std::iter::successors(Some(self.next.get().wrapping_add(1)), |n| {
            Some(n.wrapping_add(1))
        });
        let process = process.into_iter().find(free).unwrap_or_default();
        self.next.set(process);
        let secret = rand::random();
        clients.insert(process, (secret, cancel.clone()));
        (process, secret)
    }

    pub fn remove(&self, process: u32) {
        self.clients.borrow_mut().remove(&process);
    }

    /// Calls off what a client waits for; says whether the numbers are those of one.
    pub fn cancel(&self, process: u32, secret: u32) -> bool {
        let clients = self.clients.borrow();
        let found = clients.get(&process).filter(|(known, _)| *known == secret);
        if let Some((_, cancel)) = found {
            cancel.wanted.set(true);
            cancel.event.notify(usize::MAX);
        }
        found.is_some()
    }
}

/// Kept back for the listener, the reactor, the log, discovery and what a library may open.
const SPARE: usize = 24;
/// The clients' part of the rest. Requests hold up to a third of all descriptors on the clients' side, and about
/// as many on the other; the clients' part has room for those that come and hold nothing.
const CLIENTS: (usize, usize) = (11, 20);
/// The part of the memory limit for large buffers. What a buffer holds may be copied twice on its way (statement,
/// attempt), and the rest of the process needs some 5 MB.
const LARGE: (usize, usize) = (1, 5);
/// What is thrown away is read in pieces of this size.
const SCRATCH: usize = 64 * 1024;

impl Shared {
    pub fn new(
        config: Config,
        log: Logger,
        dispatcher: MailboxSender,
        directory: Option<async_channel::Sender<News>>,
    ) -> Rc<Shared> {
        let most = config.sockets - SPARE;
        let for_clients = most * CLIENTS.0 / CLIENTS.1;
        let clock = Clock::new();
        let deadlines = config.site.settings.classes.iter().map(|c| c.deadline);
        let shutdown = ShutdownSchedule::new(deadlines.max().unwrap_or(0));
        let extended = &config.edge.extended;
        let common = Rc::new(Common {
            templates: Templates::new(extended.limits.text_bytes, extended.data_type.oid()),
            limits: extended.limits,
            accounts: Accounts::new(&extended.limits),
            catalog: Catalog::new(
                config.site.class_names.clone(),
                config.site.settings.classes.clone(),
            ),
            translate: extended.mode == Mode::Translate,
        });
        Rc::new(Shared {
            clients: DescriptorBudget::new(for_clients),
            upstream: DescriptorBudget::new(most - for_clients),
            memory: Memory::new(config.memory * LARGE.0 / LARGE.1),
            config,
            log,
            counters: Counters::default(),
            ready: Flag::default(),
            draining: Flag::default(),
            ended_at: Cell::new(None),
            shutdown,
            last_arrival: Cell::new(clock.now()),
            clock,
            dispatcher,
            directory,
            scratch: RefCell::new(vec![0; SCRATCH]),
            requests: Cell::new(0),
            common,
            cancels: Cancels::default(),
        })
    }

    /// An endpoint answered for itself. A full mailbox loses nothing: it will answer again.
    pub fn vouch(&self, endpoint: &EndpointId, leaving: bool) {
        if let Some(directory) = &self.directory {
            let _ = directory.try_send(News::Answered {
                endpoint: endpoint.clone(),
                leaving,
            });
        }
    }

    /// While the router is ending: when the last answer must be out.
    pub fn last_answer(&self) -> Option<Timestamp> {
        self.ended_at
            .get()
            .map(|at| at.saturating_add(self.shutdown.last_answer))
    }

    /// While the router is ending: when it stops reading.
    pub fn last_read(&self) -> Option<Timestamp> {
        self.ended_at
            .get()
            .map(|at| at.saturating_add(self.shutdown.last_read))
    }

    /// The router is ending, and a request that is read now is rejected.
    pub fn rejects_new(&self) -> bool {
        let last = self
            .ended_at
            .get()
            .map(|at| at.saturating_add(self.shutdown.last_forward));
        last.is_some_and(|last| self.clock.now() > last)
    }

    /// The router is ending, and what comes from now on is not owed an answer any more.
    pub fn owes_nothing_new(&self) -> bool {
        let last = self
            .ended_at
            .get()
            .map(|at| at.saturating_add(self.shutdown.last_owed));
        last.is_some_and(|last| self.clock.now() > last)
    }

    /// The router is ending, and reads nothing more.
    pub fn is_closed_to_new(&self) -> bool {
        self.last_read().is_some_and(|last| self.clock.now() > last)
    }

    /// A name for a request that no other has.
    pub fn next_request(&self) -> u64 {
        self.requests.set(self.requests.get() + 1);
        self.requests.get()
    }
}
