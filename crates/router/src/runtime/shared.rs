//! The state that all tasks of the router's one thread share: configuration, clock, log, counters, resource budgets and
//! the phase of a graceful shutdown.

use crate::config::Config;
use crate::discovery::messages::RegistryEvent;
use crate::dispatcher::mailbox::MailboxSender;
use crate::extensions::ExtendedQueryMode;
use crate::observability::counters::Counters;
use crate::runtime::buffer::MemoryBudget;
pub use crate::runtime::cancellation::{CancellationKey, CancellationRegistry, CancellationSignal};
pub use crate::runtime::clock::Clock;
pub use crate::runtime::descriptor_budget::{
    CountGuard, DescriptorBudget, DescriptorPermit, EvictionPriority,
};
pub use crate::runtime::flag::Flag;
use crate::runtime::pipeline_memory::PipelineMemoryReleased;
use crate::runtime::shutdown::ShutdownSchedule;
use crate::runtime::turn::TurnClock;
use async_io::Timer;
use futures_lite::future::pending;
use reelrill_pg_session::extended::SharedResources;
use reelrill_pg_session::limits::SharedBudgets;
use reelrill_pg_session::request::ClassCatalog;
use reelrill_pg_session::template::TemplateStore;
use reelrill_routing::{EndpointId, ProcessorShare, Timestamp};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Holds the state that all tasks share. There is one for the process.
pub struct Shared {
    /// The configuration as read at the start.
    pub config: Config,
    /// The router's clock.
    pub clock: Clock,
    /// Measures the turn of the running task.
    pub turns: TurnClock,
    /// Grants processor time to the clients.
    pub processor_share: RefCell<ProcessorShare>,
    /// The root logger.
    pub log: Logger,
    /// The router's counters.
    pub counters: Counters,
    /// The file descriptors for client connections. Their budget is separate from that of `upstream_descriptors`, so
    /// that a burst of clients cannot keep the requests of other clients from the endpoints.
    pub client_descriptors: Rc<DescriptorBudget>,
    /// The file descriptors for connections to endpoints.
    pub upstream_descriptors: Rc<DescriptorBudget>,
    /// Raised once the endpoint list contains an endpoint that requests can be forwarded to.
    pub ready: Flag,
    /// Raised by SIGTERM or SIGINT.
    pub shutdown_started: Flag,
    /// The time at which the graceful shutdown started.
    pub shutdown_started_at: Cell<Option<Timestamp>>,
    /// The schedule of the graceful shutdown.
    pub shutdown_schedule: ShutdownSchedule,
    /// The time at which a connection was last accepted or a request last received.
    pub last_arrival: Cell<Timestamp>,
    /// Sends messages to the dispatcher.
    pub dispatcher: MailboxSender,
    /// Sends events to the endpoint registry. `None` if the endpoint list is the only source: it is then sent to the
    /// dispatcher.
    pub registry: Option<async_channel::Sender<RegistryEvent>>,
    /// The memory budget for the large buffers of all connections.
    pub buffer_memory: Rc<MemoryBudget>,
    /// Receives bytes that are discarded. All connections share it.
    pub discard_buffer: RefCell<Vec<u8>>,
    request_count: Cell<u64>,
    /// The resources that the prepared statements and pipelines of all clients share.
    pub session_resources: Rc<SharedResources>,
    /// Wakes the clients that wait for memory for their queued queries and responses.
    pub pipeline_memory_released: PipelineMemoryReleased,
    /// The clients that can cancel their requests.
    pub cancellations: CancellationRegistry,
}

/// The descriptors reserved for the listener, the reactor, the log, discovery and the libraries.
const RESERVED_DESCRIPTORS: usize = 24;
/// The percentage of the remaining descriptors that client connections may use. Clients with a request in progress hold
/// up to a third of all descriptors, and their upstream connections about as many. The clients' share also has room for
/// connections without a request.
const CLIENT_DESCRIPTORS_PERCENT: usize = 55;
/// The percentage of the memory limit that large buffers may use. The content of a buffer may be copied twice (into the
/// statement and into the attempt), and the rest of the process needs about 5 MB.
const LARGE_BUFFERS_PERCENT: usize = 20;
/// The percentage of the memory limit that the clients' queued queries and their responses may use.
const PIPELINES_PERCENT: usize = 20;
/// The maximum number of bytes that are read at once and discarded.
const DISCARD_BUFFER_SIZE: usize = 64 * 1024;

/// Creates the resources that the prepared statements and pipelines of all clients share.
fn new_session_resources(config: &Config) -> SharedResources {
    let extended = &config.extensions.extended;
    SharedResources {
        templates: TemplateStore::new(extended.limits.text_bytes, extended.data_type.oid()),
        limits: extended.limits,
        budgets: SharedBudgets::new(
            &extended.limits,
            config.memory_limit * PIPELINES_PERCENT / 100,
        ),
        classes: ClassCatalog::new(
            config.routing.class_names.clone(),
            config.routing.settings.classes.clone(),
        ),
        should_translate: extended.mode == ExtendedQueryMode::Translate,
    }
}

impl Shared {
    /// Creates the shared state, with descriptors and memory divided as the configuration requires.
    pub fn new(
        config: Config,
        log: Logger,
        dispatcher: MailboxSender,
        registry: Option<async_channel::Sender<RegistryEvent>>,
    ) -> Rc<Shared> {
        let available = config.descriptor_limit - RESERVED_DESCRIPTORS;
        let for_clients = available * CLIENT_DESCRIPTORS_PERCENT / 100;
        let clock = Clock::new();
        let deadlines = config.routing.settings.classes.iter().map(|c| c.deadline);
        let shutdown_schedule = ShutdownSchedule::new(deadlines.max().unwrap_or(0));
        let session_resources = new_session_resources(&config);
        let pipeline_bytes = session_resources.budgets.pipeline_bytes.clone();
        Rc::new(Shared {
            client_descriptors: DescriptorBudget::new(for_clients),
            upstream_descriptors: DescriptorBudget::new(available - for_clients),
            buffer_memory: MemoryBudget::new(config.memory_limit * LARGE_BUFFERS_PERCENT / 100),
            processor_share: RefCell::new(ProcessorShare::new(config.processors)),
            config,
            log,
            counters: Counters::default(),
            ready: Flag::default(),
            shutdown_started: Flag::default(),
            shutdown_started_at: Cell::new(None),
            shutdown_schedule,
            last_arrival: Cell::new(clock.now()),
            turns: TurnClock::new(clock),
            clock,
            dispatcher,
            registry,
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_SIZE]),
            request_count: Cell::new(0),
            session_resources: Rc::new(session_resources),
            pipeline_memory_released: PipelineMemoryReleased::new(pipeline_bytes),
            cancellations: CancellationRegistry::default(),
        })
    }

    /// Notifies the registry that an endpoint responded. If the registry's mailbox is full, the notification is
    /// dropped, because a later response leads to another one.
    pub fn report_endpoint_responded(&self, endpoint: &EndpointId, is_draining: bool) {
        if let Some(registry) = &self.registry {
            let _ = registry.try_send(RegistryEvent::EndpointResponded {
                endpoint: endpoint.clone(),
                is_draining,
            });
        }
    }

    /// Returns the time by which all responses must be sent, if a graceful shutdown is in progress.
    pub fn response_deadline(&self) -> Option<Timestamp> {
        self.shutdown_started_at
            .get()
            .map(|at| at.saturating_add(self.shutdown_schedule.response_window))
    }

    /// Returns the time at which the router stops reading, if a graceful shutdown is in progress.
    pub fn read_deadline(&self) -> Option<Timestamp> {
        self.shutdown_started_at
            .get()
            .map(|at| at.saturating_add(self.shutdown_schedule.read_window))
    }

    /// Returns the time until which requests are forwarded, if a graceful shutdown is in progress.
    fn forward_deadline(&self) -> Option<Timestamp> {
        self.shutdown_started_at
            .get()
            .map(|at| at.saturating_add(self.shutdown_schedule.forward_window))
    }

    /// Returns whether a request that is read now must be rejected because of a graceful shutdown.
    pub fn should_reject_new_requests(&self) -> bool {
        self.forward_deadline()
            .is_some_and(|last| self.clock.now() > last)
    }

    /// Waits until requests are rejected because of a graceful shutdown. Never returns if they already are.
    pub async fn rejection_started(&self) {
        if self.should_reject_new_requests() {
            pending::<()>().await;
        }
        self.shutdown_started.wait().await;
        while !self.should_reject_new_requests() {
            let last = self.forward_deadline().unwrap_or_default();
            Timer::at(self.clock.instant(last + 1)).await;
        }
    }

    /// Returns whether a request that arrives now may be left without a response because of a graceful shutdown.
    pub fn can_drop_new_input(&self) -> bool {
        let last = self
            .shutdown_started_at
            .get()
            .map(|at| at.saturating_add(self.shutdown_schedule.guarantee_window));
        last.is_some_and(|last| self.clock.now() > last)
    }

    /// Returns whether input is no longer read because its client may have written it in time for a guaranteed response.
    pub fn has_backlog_deadline_passed(&self) -> bool {
        let last = self
            .shutdown_started_at
            .get()
            .map(|at| at.saturating_add(self.shutdown_schedule.backlog_window));
        last.is_some_and(|last| self.clock.now() > last)
    }

    /// Returns whether the router has stopped reading because of a graceful shutdown.
    pub fn has_read_deadline_passed(&self) -> bool {
        self.read_deadline()
            .is_some_and(|last| self.clock.now() > last)
    }

    /// Returns a request id that the router has not used before.
    pub fn next_request_id(&self) -> u64 {
        self.request_count.set(self.request_count.get() + 1);
        self.request_count.get()
    }
}
