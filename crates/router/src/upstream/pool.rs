//! The pool of one endpoint: its idle connections, and the attempts and health checks that wait for one.
//!
//! A task of its own, which owns the idle connections and the queue. It dials as many connections as wait, closes idle
//! ones before the endpoint would, and never writes to an endpoint that has drained or left the list.

use super::connect::{connect_timeout, open_connection};
use super::connection::UpstreamConnection;
use super::endpoint_status::EndpointStatus;
use super::exchange::{notify_dispatcher, run_attempt, run_health_check};
use super::pool_handle::{CommandSender, PoolCommand};
use crate::messages::{Attempt, AttemptResult, Message};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::{EvictionPriority, Shared};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::{or, pending};
use reelrill_routing::{AttemptOutcome, EndpointId, Nanos, Timestamp};
use std::collections::VecDeque;
use std::future::Future;
use std::ops::ControlFlow;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Part of the idle limit after which a pooled connection is closed: the endpoint's own clock must not close it under
/// a request.
const MAX_IDLE_FRACTION: f64 = 0.9;
/// Where the settings set no idle limit, in nanoseconds.
const DEFAULT_IDLE_LIMIT: f64 = 10e9;
/// Looks at idle connections in each such time, so that one is closed that much later at the most.
const IDLE_CHECKS: u64 = 16;
const _: () = assert!(
    MAX_IDLE_FRACTION * (1.0 + 1.0 / IDLE_CHECKS as f64) < 1.0,
    "an idle connection would outlive its limit"
);
/// A pool that has held nothing for this long is retired; a new one costs some kilobytes and no connection.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// What dials and attempts hand back; they wait for a place.
const EVENT_CAPACITY: usize = 16;

/// What a pool's own tasks tell it.
pub enum PoolEvent {
    /// A connection has come up, or has failed to.
    Dialed(Result<Box<UpstreamConnection>, AttemptOutcome>),
    /// A connection is ready for another request.
    Returned(Box<UpstreamConnection>),
}

/// What needs a connection.
enum Job {
    Attempt(Box<Attempt>),
    HealthCheck,
}

impl Job {
    fn is_wanted(&self) -> bool {
        match self {
            Job::Attempt(attempt) => attempt.is_still_needed(),
            Job::HealthCheck => true,
        }
    }
}

struct WaitingJob {
    since: Timestamp,
    job: Job,
}

/// Why a pool's task has woken up.
enum Wakeup {
    Command(PoolCommand),
    Event(PoolEvent),
    /// The handle has been dropped: the endpoint has left the list.
    HandleDropped,
    /// Time to look for connections that have been idle for too long.
    IdleCheck,
    /// Another pool has no descriptor left, and this one has an idle connection.
    DescriptorWanted,
    /// A descriptor may be free for what waits here.
    DescriptorFreed,
    /// What has waited longest got no descriptor in time.
    DescriptorTimeout,
    /// Nothing has happened for [`QUIET_TIME`].
    Quiet,
}

/// See the module.
pub struct EndpointPool {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    endpoint: EndpointId,
    status: Rc<EndpointStatus>,
    /// Where the handle finds this pool; gone once the handle has been dropped.
    command_sender: Weak<CommandSender>,
    /// The one used last is at the end.
    idle: Vec<UpstreamConnection>,
    waiting: VecDeque<WaitingJob>,
    /// Dials in progress.
    dialing: usize,
    events: Receiver<PoolEvent>,
    /// Each dial and each attempt in flight has a clone.
    event_sender: Sender<PoolEvent>,
    /// An idle connection is closed after this time.
    max_idle: Nanos,
}

impl EndpointPool {
    /// A pool without connections.
    pub fn new(
        shared: Rc<Shared>,
        executor: Rc<LocalExecutor<'static>>,
        endpoint: EndpointId,
        status: Rc<EndpointStatus>,
        command_sender: Weak<CommandSender>,
    ) -> EndpointPool {
        let (event_sender, events) = async_channel::bounded(EVENT_CAPACITY);
        let idle_limit = match shared.config.site.idle_close {
            0 => DEFAULT_IDLE_LIMIT,
            limit => limit as f64,
        };
        EndpointPool {
            shared,
            executor,
            endpoint,
            status,
            command_sender,
            idle: Vec::new(),
            waiting: VecDeque::new(),
            dialing: 0,
            events,
            event_sender,
            max_idle: (idle_limit * MAX_IDLE_FRACTION) as Nanos,
        }
    }

    /// Runs until the handle is dropped, or until the pool has held nothing for [`QUIET_TIME`].
    pub async fn run(mut self, commands: Receiver<PoolCommand>) {
        loop {
            let wakeup = self.next_wakeup(&commands).await;
            if self.handle(wakeup, &commands).await.is_break() {
                return;
            }
            self.assign_connections().await;
        }
    }

    async fn next_wakeup(&self, commands: &Receiver<PoolCommand>) -> Wakeup {
        let has_idle = !self.idle.is_empty();
        // Only a job that has no dial of its own waits for a descriptor.
        let lacks_descriptor = self.waiting.get(self.dialing).is_some();
        let event = async {
            let event = self.events.recv().await;
            event.map_or(Wakeup::HandleDropped, Wakeup::Event)
        };
        let command = async {
            let command = commands.recv().await;
            command.map_or(Wakeup::HandleDropped, Wakeup::Command)
        };
        let descriptor_freed = when(lacks_descriptor, async {
            self.shared.upstream_descriptors.permit_released().await;
            Wakeup::DescriptorFreed
        });
        let descriptor_timeout = self.descriptor_timeout();
        let descriptor_wanted = when(has_idle, async {
            self.shared
                .upstream_descriptors
                .eviction_requested(EvictionPriority::Idle)
                .await;
            Wakeup::DescriptorWanted
        });
        let idle_check = when(has_idle, async {
            Timer::after(Duration::from_nanos(self.max_idle / IDLE_CHECKS)).await;
            Wakeup::IdleCheck
        });
        let quiet = when(!has_idle && self.waiting.is_empty(), async {
            Timer::after(QUIET_TIME).await;
            Wakeup::Quiet
        });
        let descriptor = or(descriptor_freed, descriptor_timeout);
        let idle = or(or(descriptor_wanted, idle_check), quiet);
        or(event, or(command, or(descriptor, idle))).await
    }

    async fn descriptor_timeout(&self) -> Wakeup {
        match self.waiting.get(self.dialing) {
            Some(waiting) => {
                let at = waiting.since + connect_timeout(&self.shared);
                Timer::at(self.shared.clock.instant(at)).await;
            }
            None => pending().await,
        }
        Wakeup::DescriptorTimeout
    }

    /// Breaks when the pool's task is to end.
    async fn handle(
        &mut self,
        wakeup: Wakeup,
        commands: &Receiver<PoolCommand>,
    ) -> ControlFlow<()> {
        match wakeup {
            Wakeup::Command(PoolCommand::Attempt(attempt)) => self.enqueue(Job::Attempt(attempt)),
            Wakeup::Command(PoolCommand::HealthCheck) => self.enqueue(Job::HealthCheck),
            Wakeup::Command(PoolCommand::AddressChanged) => self.close_moved(),
            Wakeup::Event(PoolEvent::Returned(connection)) => self.keep(*connection),
            Wakeup::Event(PoolEvent::Dialed(result)) => self.on_dialed(result).await,
            Wakeup::HandleDropped => {
                // The endpoint has left the list: what still waits must not be sent to it.
                self.fail_waiting(AttemptOutcome::NotSent).await;
                self.idle
                    .drain(..)
                    .for_each(|c| c.close(CloseReason::AddressChanged));
                return ControlFlow::Break(());
            }
            Wakeup::IdleCheck => self.close_expired(),
            Wakeup::DescriptorWanted => self.evict_oldest(),
            Wakeup::DescriptorFreed => {}
            Wakeup::DescriptorTimeout => {
                // The one that has waited longest takes the first connection, so it is the first to fail.
                if let Some(waiting) = self.waiting.pop_front() {
                    self.fail(waiting.job, AttemptOutcome::NotSent).await;
                }
            }
            Wakeup::Quiet => return self.retire_if_unused(commands),
        }
        ControlFlow::Continue(())
    }

    fn enqueue(&mut self, job: Job) {
        let since = self.shared.clock.now();
        self.waiting.push_back(WaitingJob { since, job });
    }

    async fn on_dialed(&mut self, result: Result<Box<UpstreamConnection>, AttemptOutcome>) {
        self.dialing -= 1;
        match result {
            Ok(connection) => self.keep(*connection),
            Err(outcome) => self.on_dial_failed(outcome).await,
        }
    }

    /// One dial was begun for one that waits: without other dials it gets no connection.
    async fn on_dial_failed(&mut self, outcome: AttemptOutcome) {
        while self.waiting.len() > self.dialing {
            let Some(waiting) = self.waiting.pop_front() else {
                return;
            };
            self.fail(waiting.job, outcome).await;
        }
    }

    /// Ends the task if the pool holds no connection and no attempt.
    fn retire_if_unused(&self, commands: &Receiver<PoolCommand>) -> ControlFlow<()> {
        let in_flight = self.event_sender.sender_count() - 1;
        let holds_nothing = self.idle.is_empty() && self.waiting.is_empty() && in_flight == 0;
        if !holds_nothing || !commands.is_empty() {
            return ControlFlow::Continue(());
        }
        // The next command finds no pool and starts one. Nothing else runs between this step and the look at the
        // mailbox: all tasks share one thread.
        if let Some(command_sender) = self.command_sender.upgrade() {
            command_sender.take();
        }
        count(&self.shared.counters.pools_retired);
        ControlFlow::Break(())
    }

    fn close_expired(&mut self) {
        let now = self.shared.clock.now();
        let max_idle = self.max_idle;
        for connection in self.idle.extract_if(.., |c| has_expired(c, now, max_idle)) {
            connection.close(CloseReason::Idle);
        }
    }

    fn close_moved(&mut self) {
        let address = self.status.address();
        for connection in self.idle.extract_if(.., |c| c.address != address) {
            connection.close(CloseReason::AddressChanged);
        }
    }

    fn evict_oldest(&mut self) {
        if !self.idle.is_empty() {
            count(&self.shared.counters.connections_evicted);
            self.idle.remove(0).close(CloseReason::Evicted);
        }
    }

    fn keep(&mut self, mut connection: UpstreamConnection) {
        if connection.address != self.status.address() {
            return connection.close(CloseReason::AddressChanged);
        }
        // An idle connection must not keep a descriptor that another pool waits for.
        if self.waiting.is_empty() && self.shared.upstream_descriptors.has_waiters() {
            count(&self.shared.counters.connections_evicted);
            return connection.close(CloseReason::Evicted);
        }
        connection.idle_since = self.shared.clock.now();
        self.idle.push(connection);
    }

    /// Gives idle connections to what waits, and dials for the rest.
    async fn assign_connections(&mut self) {
        self.waiting.retain(|waiting| waiting.job.is_wanted());
        // The grace of a drain counts to the first byte: what waited for a connection meanwhile may be too late.
        if self.status.has_drain_grace_expired(&self.shared) {
            self.fail_waiting(AttemptOutcome::NotSent).await;
        }
        self.use_idle();
        self.dial_for_waiting();
    }

    fn use_idle(&mut self) {
        let now = self.shared.clock.now();
        while !self.waiting.is_empty() {
            // The one used last: the others may grow old and be closed.
            let Some(connection) = self.idle.pop() else {
                return;
            };
            if has_expired(&connection, now, self.max_idle) {
                connection.close(CloseReason::Idle);
            } else if let Some(waiting) = self.waiting.pop_front() {
                self.start(connection, waiting.job);
            }
        }
    }

    fn dial_for_waiting(&mut self) {
        while self.dialing < self.waiting.len() {
            let Some(permit) = self.shared.upstream_descriptors.try_acquire() else {
                return self
                    .shared
                    .upstream_descriptors
                    .request_eviction_including_stateful();
            };
            self.dialing += 1;
            let endpoint = self.endpoint.clone();
            let address = self.status.address();
            let dial = open_connection(self.shared.clone(), endpoint, address, permit);
            let pool = self.event_sender.clone();
            let task = async move {
                let result = dial.await.map(Box::new);
                // A connection that no pool takes ends with its log line.
                let _ = pool.send(PoolEvent::Dialed(result)).await;
            };
            self.executor.spawn(task).detach();
        }
    }

    fn start(&self, connection: UpstreamConnection, job: Job) {
        let shared = self.shared.clone();
        let pool = self.event_sender.clone();
        match job {
            Job::Attempt(attempt) => {
                let status = self.status.clone();
                let task = run_attempt(shared, status, pool, connection, attempt);
                self.executor.spawn(task).detach();
            }
            Job::HealthCheck => {
                let task = run_health_check(shared, pool, connection, self.endpoint.clone());
                self.executor.spawn(task).detach();
            }
        }
    }

    async fn fail_waiting(&mut self, outcome: AttemptOutcome) {
        while let Some(waiting) = self.waiting.pop_front() {
            self.fail(waiting.job, outcome).await;
        }
    }

    /// A job that got no connection has this outcome.
    async fn fail(&self, job: Job, outcome: AttemptOutcome) {
        let result = AttemptResult::from_outcome(outcome);
        let message = match job {
            Job::Attempt(attempt) => attempt.ended_message(result),
            Job::HealthCheck => Message::HealthCheckEnded {
                endpoint: self.endpoint.clone(),
                result,
            },
        };
        notify_dispatcher(&self.shared, message).await;
    }
}

/// Idle for too long, or closed by the endpoint.
fn has_expired(connection: &UpstreamConnection, now: Timestamp, max_idle: Nanos) -> bool {
    connection.idle_since + max_idle < now || !connection.is_open()
}

/// Waits for something under a condition; else for ever.
async fn when(condition: bool, future: impl Future<Output = Wakeup>) -> Wakeup {
    if condition {
        future.await
    } else {
        pending().await
    }
}
