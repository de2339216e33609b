//! What all tasks of the one thread share: clock, log, counters, the descriptor budget and the phase.

use crate::config::Config;
use crate::counters::Counters;
use crate::exchange::Message;
use event_listener::Event;
use reelrill::Time;
use slog::Logger;
use std::cell::Cell;
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
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        Clock { start: Instant::now(), unix: unix as u64 }
    }

    pub fn now(&self) -> Time {
        self.unix + self.start.elapsed().as_nanos() as u64
    }

    /// The instant of a time, for timers.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + std::time::Duration::from_nanos(at.saturating_sub(self.unix))
    }
}

/// The descriptors of both sides together.
struct Budget {
    used: Cell<usize>,
    most: usize,
    freed: Event,
}

/// Descriptors in use on one side, which never takes more than its own part, nor what the budget lacks.
/// A [`Slot`] holds one and gives it back when dropped.
pub struct Slots {
    budget: Rc<Budget>,
    used: Cell<usize>,
    most: usize,
    wanted: Event,
}

pub struct Slot(Rc<Slots>);

impl Slots {
    fn new(budget: &Rc<Budget>, most: usize) -> Rc<Slots> {
        Rc::new(Slots { budget: budget.clone(), used: Cell::new(0), most, wanted: Event::new() })
    }

    pub fn take(self: &Rc<Self>) -> Option<Slot> {
        if self.used.get() >= self.most || self.budget.used.get() >= self.budget.most {
            return None;
        }
        self.used.set(self.used.get() + 1);
        self.budget.used.set(self.budget.used.get() + 1);
        Some(Slot(self.clone()))
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Somebody waits for a slot.
    pub fn is_wanted(&self) -> bool {
        self.budget.freed.total_listeners() > 0
    }

    /// Asks the holder that has listened longest to give its slot up.
    pub fn want(&self) {
        self.wanted.notify(1);
    }

    pub async fn wanted(&self) {
        self.wanted.listen().await;
    }

    pub async fn freed(&self) {
        self.budget.freed.listen().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        self.0.budget.used.set(self.0.budget.used.get().saturating_sub(1));
        // Those who wait differ in what they may take: all look.
        self.0.budget.freed.notify(usize::MAX);
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
    /// Descriptors for clients and for instances. Clients come first: their part is the larger, since a request
    /// in the backlog counts as taken.
    pub clients: Rc<Slots>,
    pub upstream: Rc<Slots>,
    /// The router knows instances to serve from.
    pub ready: Flag,
    /// SIGTERM has come.
    pub ending: Flag,
    /// When a connection or a request last came in.
    pub last_arrival: Cell<Time>,
    pub decider: async_channel::Sender<Message>,
}

/// Kept back for the listener, the reactor, the log, discovery and what a library may open.
const SPARE: usize = 24;

impl Shared {
    pub fn new(config: Config, log: Logger, decider: async_channel::Sender<Message>) -> Rc<Shared> {
        let most = config.sockets - SPARE;
        let budget = Rc::new(Budget { used: Cell::new(0), most, freed: Event::new() });
        let clock = Clock::new();
        Rc::new(Shared {
            clients: Slots::new(&budget, most * 4 / 5),
            upstream: Slots::new(&budget, most * 2 / 5),
            config,
            log,
            counters: Counters::default(),
            ready: Flag::default(),
            ending: Flag::default(),
            last_arrival: Cell::new(clock.now()),
            clock,
            decider,
        })
    }
}
