//! The connection pool of one endpoint: its idle connections, and the attempts and health checks that wait for one.
//!
//! The pool is a task of its own, which owns the idle connections and the queue of jobs. It opens one connection for
//! each waiting job, closes idle connections before the endpoint would, and sends nothing to an endpoint whose drain
//! grace has expired or that was removed from the list.

use super::connect::{connect_timeout, open_connection};
use super::connection::UpstreamConnection;
use super::endpoint_status::EndpointStatus;
use super::exchange::{notify_dispatcher, run_attempt, run_health_check};
use super::pool_handle::{CommandSender, PoolCommand};
use crate::messages::{Attempt, AttemptResult, Message};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::{EvictionPriority, Shared};
use crate::runtime::turn::{self, TaskKind};
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

/// The fraction of the idle limit after which an idle connection is closed. It must be below 1, so that the endpoint,
/// which uses its own clock, does not close the connection while a request is sent.
const MAX_IDLE_FRACTION: f64 = 0.9;
/// The idle limit in nanoseconds if the settings contain none.
const DEFAULT_IDLE_LIMIT: f64 = 10e9;
/// The number of checks for expired connections during the maximum idle time. A connection is closed at most one check
/// interval too late.
const IDLE_CHECKS_PER_PERIOD: u64 = 16;
const _: () = assert!(
    MAX_IDLE_FRACTION * (1.0 + 1.0 / IDLE_CHECKS_PER_PERIOD as f64) < 1.0,
    "an idle connection could stay open beyond the idle limit"
);
/// The time without connections and jobs after which a pool is retired. Starting it again costs a few kilobytes and no
/// connection.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(2);
/// The capacity of the channel for the results of connects and exchanges, which wait while it is full.
const EVENT_CAPACITY: usize = 16;

/// An event that a pool receives from its own tasks.
pub enum PoolEvent {
    /// A connection was established, or could not be.
    ConnectEnded(Result<Box<UpstreamConnection>, AttemptOutcome>),
    /// A job returned its connection, which can be used for another request.
    Returned(Box<UpstreamConnection>),
}

/// A job that needs a connection.
enum Job {
    Attempt(Box<Attempt>),
    HealthCheck,
}

impl Job {
    /// Returns whether the result of the job is still of use.
    fn is_still_needed(&self) -> bool {
        match self {
            Job::Attempt(attempt) => attempt.is_still_needed(),
            Job::HealthCheck => true,
        }
    }
}

/// A job that waits for a connection.
struct WaitingJob {
    queued_at: Timestamp,
    job: Job,
}

/// The reason for which a pool's task wakes up.
enum Wakeup {
    /// The dispatcher sent a command.
    Command(PoolCommand),
    /// A task of the pool sent an event.
    Event(PoolEvent),
    /// The handle was dropped, because the endpoint was removed from the list.
    HandleDropped,
    /// It is time to close connections that have been idle for too long.
    IdleCheck,
    /// Another pool needs a file descriptor, and this one has an idle connection.
    EvictionRequested,
    /// A descriptor may be available for a waiting job.
    DescriptorReleased,
    /// The job that has waited longest has got no descriptor within the connect timeout.
    DescriptorTimeout,
    /// No event or command arrived for [`UNUSED_TIMEOUT`].
    UnusedTimeout,
}

/// Owns the idle connections of one endpoint and the jobs that wait for a connection.
pub struct EndpointPool {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    endpoint: EndpointId,
    status: Rc<EndpointStatus>,
    /// The place where the handle stores the sender of this pool's commands. It can no longer be upgraded once the
    /// handle has been dropped.
    command_sender: Weak<CommandSender>,
    /// The idle connections. The most recently used one is last.
    idle: Vec<UpstreamConnection>,
    waiting: VecDeque<WaitingJob>,
    /// The number of connects in progress.
    connecting: usize,
    events: Receiver<PoolEvent>,
    /// Each connect and each exchange in progress has a clone.
    event_sender: Sender<PoolEvent>,
    /// The time after which an idle connection is closed.
    max_idle: Nanos,
}

impl EndpointPool {
    /// Creates a pool without connections.
    pub fn new(
        shared: Rc<Shared>,
        executor: Rc<LocalExecutor<'static>>,
        endpoint: EndpointId,
        status: Rc<EndpointStatus>,
        command_sender: Weak<CommandSender>,
    ) -> EndpointPool {
        let (event_sender, events) = async_channel::bounded(EVENT_CAPACITY);
        let idle_limit = match shared.config.routing.endpoint_idle_timeout {
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
            connecting: 0,
            events,
            event_sender,
            max_idle: (idle_limit * MAX_IDLE_FRACTION) as Nanos,
        }
    }

    /// Runs until the handle is dropped, or until the pool has been empty for [`UNUSED_TIMEOUT`].
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
        // Only a job without a connect in progress waits for a descriptor.
        let lacks_descriptor = self.waiting.get(self.connecting).is_some();
        let event = async {
            let event = self.events.recv().await;
            event.map_or(Wakeup::HandleDropped, Wakeup::Event)
        };
        let command = async {
            let command = commands.recv().await;
            command.map_or(Wakeup::HandleDropped, Wakeup::Command)
        };
        let descriptor_released = wait_if(lacks_descriptor, async {
            self.shared.upstream_descriptors.permit_released().await;
            Wakeup::DescriptorReleased
        });
        let descriptor_timeout = self.descriptor_timeout();
        let eviction_requested = wait_if(has_idle, async {
            self.shared
                .upstream_descriptors
                .eviction_requested(EvictionPriority::Idle)
                .await;
            Wakeup::EvictionRequested
        });
        let idle_check = wait_if(has_idle, async {
            Timer::after(Duration::from_nanos(self.max_idle / IDLE_CHECKS_PER_PERIOD)).await;
            Wakeup::IdleCheck
        });
        let unused_timeout = wait_if(!has_idle && self.waiting.is_empty(), async {
            Timer::after(UNUSED_TIMEOUT).await;
            Wakeup::UnusedTimeout
        });
        let descriptor = or(descriptor_released, descriptor_timeout);
        let idle = or(or(eviction_requested, idle_check), unused_timeout);
        or(event, or(command, or(descriptor, idle))).await
    }

    async fn descriptor_timeout(&self) -> Wakeup {
        match self.waiting.get(self.connecting) {
            Some(waiting) => {
                let at = waiting.queued_at + connect_timeout(&self.shared);
                Timer::at(self.shared.clock.instant(at)).await;
            }
            None => pending().await,
        }
        Wakeup::DescriptorTimeout
    }

    /// Handles a wakeup. Returns [`ControlFlow::Break`] if the pool's task must end.
    async fn handle(
        &mut self,
        wakeup: Wakeup,
        commands: &Receiver<PoolCommand>,
    ) -> ControlFlow<()> {
        match wakeup {
            Wakeup::Command(PoolCommand::Attempt(attempt)) => self.enqueue(Job::Attempt(attempt)),
            Wakeup::Command(PoolCommand::HealthCheck) => self.enqueue(Job::HealthCheck),
            Wakeup::Command(PoolCommand::AddressChanged) => self.close_outdated(),
            Wakeup::Event(PoolEvent::Returned(connection)) => self.add_idle(*connection),
            Wakeup::Event(PoolEvent::ConnectEnded(result)) => self.on_connect_ended(result).await,
            Wakeup::HandleDropped => {
                // The endpoint was removed from the list: waiting jobs must not be sent to it.
                self.fail_waiting(AttemptOutcome::NotSent).await;
                self.idle
                    .drain(..)
                    .for_each(|c| c.close(CloseReason::AddressChanged));
                return ControlFlow::Break(());
            }
            Wakeup::IdleCheck => self.close_expired(),
            Wakeup::EvictionRequested => self.evict_oldest(),
            Wakeup::DescriptorReleased => {}
            Wakeup::DescriptorTimeout => {
                // The job that has waited longest would get the first connection, so it is the first to fail.
                if let Some(waiting) = self.waiting.pop_front() {
                    self.fail(waiting.job, AttemptOutcome::NotSent).await;
                }
            }
            Wakeup::UnusedTimeout => return self.retire_if_unused(commands),
        }
        ControlFlow::Continue(())
    }

    fn enqueue(&mut self, job: Job) {
        let queued_at = self.shared.clock.now();
        self.waiting.push_back(WaitingJob { queued_at, job });
    }

    async fn on_connect_ended(&mut self, result: Result<Box<UpstreamConnection>, AttemptOutcome>) {
        self.connecting -= 1;
        match result {
            Ok(connection) => self.add_idle(*connection),
            Err(outcome) => self.on_connect_failed(outcome).await,
        }
    }

    /// Fails the waiting jobs that exceed the number of connects still in progress: one connect was started for each
    /// job.
    async fn on_connect_failed(&mut self, outcome: AttemptOutcome) {
        while self.waiting.len() > self.connecting {
            let Some(waiting) = self.waiting.pop_front() else {
                return;
            };
            self.fail(waiting.job, outcome).await;
        }
    }

    /// Ends the task if the pool has no connection and no job.
    fn retire_if_unused(&self, commands: &Receiver<PoolCommand>) -> ControlFlow<()> {
        let in_flight = self.event_sender.sender_count() - 1;
        let is_empty = self.idle.is_empty() && self.waiting.is_empty() && in_flight == 0;
        if !is_empty || !commands.is_empty() {
            return ControlFlow::Continue(());
        }
        // The next command starts a new pool. No command can arrive between the check of the channel and the removal of
        // its sender, because all tasks share one thread.
        if let Some(command_sender) = self.command_sender.upgrade() {
            command_sender.take();
        }
        count(&self.shared.counters.pools_retired);
        ControlFlow::Break(())
    }

    fn close_expired(&mut self) {
        let now = self.shared.clock.now();
        let max_idle = self.max_idle;
        for connection in self.idle.extract_if(.., |c| is_expired(c, now, max_idle)) {
            connection.close(CloseReason::Idle);
        }
    }

    /// Closes idle connections to a previous address.
    fn close_outdated(&mut self) {
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

    /// Adds a connection to the idle ones, or closes it if it cannot be used again.
    fn add_idle(&mut self, mut connection: UpstreamConnection) {
        if connection.address != self.status.address() {
            return connection.close(CloseReason::AddressChanged);
        }
        // An idle connection must not hold a descriptor that another pool waits for.
        if self.waiting.is_empty() && self.shared.upstream_descriptors.has_waiters() {
            count(&self.shared.counters.connections_evicted);
            return connection.close(CloseReason::Evicted);
        }
        connection.idle_since = self.shared.clock.now();
        self.idle.push(connection);
    }

    /// Assigns idle connections to waiting jobs, and opens connections for the others.
    async fn assign_connections(&mut self) {
        self.waiting.retain(|waiting| waiting.job.is_still_needed());
        // Once the drain grace has expired, no request may be written. It may have expired while the jobs waited for a
        // connection.
        if self.status.has_drain_grace_expired(&self.shared) {
            self.fail_waiting(AttemptOutcome::NotSent).await;
        }
        self.assign_idle();
        self.connect_for_waiting();
    }

    fn assign_idle(&mut self) {
        let now = self.shared.clock.now();
        while !self.waiting.is_empty() {
            // Takes the most recently used connection, so that the others can expire.
            let Some(connection) = self.idle.pop() else {
                return;
            };
            if is_expired(&connection, now, self.max_idle) {
                connection.close(CloseReason::Idle);
            } else if let Some(waiting) = self.waiting.pop_front() {
                self.start(connection, waiting.job);
            }
        }
    }

    fn connect_for_waiting(&mut self) {
        while self.connecting < self.waiting.len() {
            let Some(permit) = self.shared.upstream_descriptors.try_acquire() else {
                return self.shared.upstream_descriptors.request_any_eviction();
            };
            self.connecting += 1;
            let endpoint = self.endpoint.clone();
            let address = self.status.address();
            let connect = open_connection(self.shared.clone(), endpoint, address, permit);
            let pool = self.event_sender.clone();
            let task = async move {
                let result = connect.await.map(Box::new);
                // If the pool has ended, the connection is closed.
                let _ = pool.send(PoolEvent::ConnectEnded(result)).await;
            };
            self.spawn(task);
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        turn::spawn(&self.shared, &self.executor, TaskKind::Upstream, task);
    }

    /// Starts a job on a connection.
    fn start(&self, connection: UpstreamConnection, job: Job) {
        let shared = self.shared.clone();
        let pool = self.event_sender.clone();
        match job {
            Job::Attempt(attempt) => {
                let status = self.status.clone();
                self.spawn(run_attempt(shared, status, pool, connection, attempt));
            }
            Job::HealthCheck => {
                let endpoint = self.endpoint.clone();
                self.spawn(run_health_check(shared, pool, connection, endpoint));
            }
        }
    }

    async fn fail_waiting(&mut self, outcome: AttemptOutcome) {
        while let Some(waiting) = self.waiting.pop_front() {
            self.fail(waiting.job, outcome).await;
        }
    }

    /// Reports the outcome of a job that got no connection.
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

/// Returns whether a connection has been idle for too long or cannot be used any more.
fn is_expired(connection: &UpstreamConnection, now: Timestamp, max_idle: Nanos) -> bool {
    connection.idle_since + max_idle < now || !connection.is_open()
}

/// Waits for `future` if `condition` is true, and forever otherwise.
async fn wait_if(condition: bool, future: impl Future<Output = Wakeup>) -> Wakeup {
    if condition {
        future.await
    } else {
        pending().await
    }
}
