//! What all tasks of the one thread share: clock, log, counters, the descriptor budget and the phase.

use crate::config::Config;
use crate::discovery::messages::RegistryEvent;
use crate::dispatcher::mailbox::MailboxSender;
use crate::extensions::Mode;
use crate::observability::counters::Counters;
use crate::runtime::buffer::Memory;
pub use crate::runtime::cancellation::{Cancel, Cancels};
pub use crate::runtime::clock::Clock;
pub use crate::runtime::descriptor_budget::{
    DescriptorBudget, DescriptorPermit, Holder, HolderCount,
};
pub use crate::runtime::flag::Flag;
use crate::runtime::shutdown::ShutdownSchedule;
use reelrill_pg_session::account::Accounts;
use reelrill_pg_session::admit::Catalog;
use reelrill_pg_session::plan::Common;
use reelrill_pg_session::template::Templates;
use reelrill_routing::{EndpointId, Timestamp};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

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
    pub directory: Option<async_channel::Sender<RegistryEvent>>,
    /// What the buffers of all connections may grow to.
    pub memory: Rc<Memory>,
    /// Where bytes go that nobody wants; one for all connections.
    pub scratch: RefCell<Vec<u8>>,
    requests: Cell<u64>,
    /// What all clients' prepared statements and pipelines share.
    pub common: Rc<Common>,
    pub cancels: Cancels,
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
        directory: Option<async_channel::Sender<RegistryEvent>>,
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
            let _ = directory.try_send(RegistryEvent::EndpointResponded {
                endpoint: endpoint.clone(),
                is_draining: leaving,
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
