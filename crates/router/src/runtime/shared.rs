//! What all tasks of the one thread share: clock, log, counters, the descriptor budget and the phase.

use crate::config::Config;
use crate::discovery::messages::RegistryEvent;
use crate::dispatcher::mailbox::MailboxSender;
use crate::extensions::Mode;
use crate::observability::counters::Counters;
use crate::runtime::buffer::MemoryBudget;
pub use crate::runtime::cancellation::{CancellationKey, CancellationRegistry, CancellationSignal};
pub use crate::runtime::clock::Clock;
pub use crate::runtime::descriptor_budget::{
    DescriptorBudget, DescriptorPermit, HolderGuard, HolderKind,
};
pub use crate::runtime::flag::Flag;
use crate::runtime::shutdown::ShutdownSchedule;
use reelrill_pg_session::extended::SharedResources;
use reelrill_pg_session::limits::SharedBudgets;
use reelrill_pg_session::request::ClassCatalog;
use reelrill_pg_session::template::TemplateStore;
use reelrill_routing::{EndpointId, Timestamp};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What all tasks share; one for the process.
pub struct Shared {
    /// The configuration as read at the start.
    pub config: Config,
    /// The router's time.
    pub clock: Clock,
    /// Where log lines go.
    pub log: Logger,
    /// What the router counts.
    pub counters: Counters,
    /// Descriptors for clients and for endpoints, apart: a flood of clients must not keep the requests of others
    /// from the endpoints.
    pub clients: Rc<DescriptorBudget>,
    pub upstream: Rc<DescriptorBudget>,
    /// The router knows endpoints to serve from.
    pub ready: Flag,
    /// SIGTERM has come.
    pub draining: Flag,
    /// When SIGTERM came.
    pub ended_at: Cell<Option<Timestamp>>,
    /// What happens how long after that.
    pub shutdown: ShutdownSchedule,
    /// When a connection or a request last came in.
    pub last_arrival: Cell<Timestamp>,
    /// Takes what clients ask for.
    pub dispatcher: MailboxSender,
    /// Where the endpoint list and what endpoints say of themselves go, if there are other sources.
    pub directory: Option<async_channel::Sender<RegistryEvent>>,
    /// What the buffers of all connections may grow to.
    pub memory: Rc<MemoryBudget>,
    /// Where bytes go that nobody wants; one for all connections.
    pub scratch: RefCell<Vec<u8>>,
    requests: Cell<u64>,
    /// What all clients' prepared statements and pipelines share.
    pub common: Rc<SharedResources>,
    /// The clients that may cancel what they wait for.
    pub cancellations: CancellationRegistry,
}

/// Kept back for the listener, the reactor, the log, discovery and what a library may open.
const RESERVED_DESCRIPTORS: usize = 24;
/// The clients' part of the rest. Requests hold up to a third of all descriptors on the clients' side, and about
/// as many on the other; the clients' part has room for those that come and hold nothing.
const CLIENT_DESCRIPTORS_PERCENT: usize = 55;
/// The part of the memory limit for large buffers. What a buffer holds may be copied twice on its way (statement,
/// attempt), and the rest of the process needs some 5 MB.
const LARGE_BUFFERS_PERCENT: usize = 20;
/// What is thrown away is read in pieces of this size.
const SCRATCH_SIZE: usize = 64 * 1024;

/// What all clients' prepared statements and pipelines share.
fn session_common(config: &Config) -> SharedResources {
    let extended = &config.edge.extended;
    SharedResources {
        templates: TemplateStore::new(extended.limits.text_bytes, extended.data_type.oid()),
        limits: extended.limits,
        budgets: SharedBudgets::new(&extended.limits),
        classes: ClassCatalog::new(
            config.site.class_names.clone(),
            config.site.settings.classes.clone(),
        ),
        should_translate: extended.mode == Mode::Translate,
    }
}

impl Shared {
    /// Divides descriptors and memory as the configuration says.
    pub fn new(
        config: Config,
        log: Logger,
        dispatcher: MailboxSender,
        directory: Option<async_channel::Sender<RegistryEvent>>,
    ) -> Rc<Shared> {
        let available = config.sockets - RESERVED_DESCRIPTORS;
        let for_clients = available * CLIENT_DESCRIPTORS_PERCENT / 100;
        let clock = Clock::new();
        let deadlines = config.site.settings.classes.iter().map(|c| c.deadline);
        let shutdown = ShutdownSchedule::new(deadlines.max().unwrap_or(0));
        let common = session_common(&config);
        Rc::new(Shared {
            clients: DescriptorBudget::new(for_clients),
            upstream: DescriptorBudget::new(available - for_clients),
            memory: MemoryBudget::new(config.memory * LARGE_BUFFERS_PERCENT / 100),
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
            scratch: RefCell::new(vec![0; SCRATCH_SIZE]),
            requests: Cell::new(0),
            common: Rc::new(common),
            cancellations: CancellationRegistry::default(),
        })
    }

    /// An endpoint answered for itself. A full mailbox loses nothing: it will answer again.
    pub fn report_alive(&self, endpoint: &EndpointId, is_draining: bool) {
        if let Some(directory) = &self.directory {
            let _ = directory.try_send(RegistryEvent::EndpointResponded {
                endpoint: endpoint.clone(),
                is_draining,
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
