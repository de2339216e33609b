//! The dispatcher: the one task that owns the [`Balancer`] and executes its actions.
//!
//! It converts [`Message`]s into events for the balancer, and the balancer's actions into attempts, responses, health
//! checks and requests to discovery. It owns the table of pending requests, their deadlines, and the handles of all
//! endpoint pools. It never waits for another task: if a pool's mailbox is full, the command counts as not sent.
//!
//! - [`mailbox`]: the order in which messages are read
//! - [`request_table`]: the state of each pending request
//! - [`deadlines`]: timers, attempt time limits and request deadlines
//! - `requests`: admission, cancellation, deadline and final response of a request
//! - `actions`: the execution of the balancer's actions
//! - `attempts`: the start and the result of an attempt
//! - `endpoint_list`: changes of the endpoint list

mod actions;
mod attempts;
mod deadlines;
mod endpoint_list;
pub mod mailbox;
mod request_table;
mod requests;

use crate::discovery::messages::EndpointListRequest;
use crate::messages::{AttemptResult, Message};
use crate::runtime::platform_clock::PlatformClock;
use crate::runtime::shared::Shared;
use crate::upstream::PoolHandle;
use async_channel::{RecvError, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use deadlines::{DeadlineEntry, DeadlineQueue};
use futures_lite::future::{or, yield_now};
use mailbox::Mailbox;
use reelrill_routing::{
    AttemptOutcome, Balancer, EndpointId, Event, ExecutedRequests, ListKind, ReplicationStatus,
    SettingsError,
};
use request_table::RequestTable;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The number of messages that are handled before the dispatcher yields to other tasks, such as the one that reads
/// changes of the endpoint list.
const MAX_CONSECUTIVE_MESSAGES: u32 = 32;

/// Owns the balancer and everything that depends on its decisions: pending requests, timers and pool handles.
pub struct Dispatcher {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    balancer: Balancer,
    /// Converts between the platform's time, which the balancer uses, and the router's, which everything else uses.
    platform_clock: PlatformClock,
    list_requests: Sender<EndpointListRequest>,
    pools: HashMap<EndpointId, PoolHandle>,
    requests: RequestTable,
    executed_requests: ExecutedRequests,
    deadlines: DeadlineQueue,
    /// Events that the balancer has not processed yet.
    events: VecDeque<Event>,
}

impl Dispatcher {
    /// Creates a dispatcher that sends its requests for the endpoint list to `list_requests`.
    ///
    /// # Errors
    /// Fails if the balancer rejects the settings.
    pub fn new(
        shared: Rc<Shared>,
        executor: Rc<LocalExecutor<'static>>,
        list_requests: Sender<EndpointListRequest>,
    ) -> Result<Dispatcher, SettingsError> {
        let settings = shared.config.routing.settings.clone();
        let executed_requests = ExecutedRequests::new(&settings.classes);
        Ok(Dispatcher {
            balancer: Balancer::new(shared.config.seed, settings)?,
            platform_clock: PlatformClock::default(),
            shared,
            executor,
            list_requests,
            pools: HashMap::new(),
            requests: RequestTable::default(),
            executed_requests,
            deadlines: DeadlineQueue::default(),
            events: VecDeque::new(),
        })
    }

    /// Runs until all senders of messages have been dropped.
    pub async fn run(mut self, mailbox: Mailbox) {
        self.on_endpoint_list(ListKind::Cached, self.shared.config.known_list.1.clone());
        self.process_events();
        let mut consecutive_messages = 0;
        loop {
            let queued = mailbox.try_next();
            consecutive_messages = if queued.is_some() {
                consecutive_messages + 1
            } else {
                0
            };
            let message = match queued {
                Some(message) => Some(message),
                None => match self.message_or_deadline(&mailbox).await {
                    Ok(message) => message,
                    Err(RecvError) => return,
                },
            };
            if let Some(message) = message {
                self.on_message(message);
            }
            self.process_events();
            self.handle_expired_deadlines();
            self.deadlines.compact(|entry| self.requests.needs(entry));
            if consecutive_messages >= MAX_CONSECUTIVE_MESSAGES {
                consecutive_messages = 0;
                yield_now().await;
            }
        }
    }

    /// Waits for the next message. Returns `None` if the first deadline expires before one arrives.
    async fn message_or_deadline(&self, mailbox: &Mailbox) -> Result<Option<Message>, RecvError> {
        let expiry = self.deadlines.next_expiry();
        let deadline = async {
            match expiry {
                Some(at) => Timer::at(self.shared.clock.instant(at)).await,
                None => futures_lite::future::pending().await,
            };
            Ok(None)
        };
        or(async { mailbox.next().await.map(Some) }, deadline).await
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Request {
                request,
                response_target,
            } => self.on_request(request, response_target),
            Message::RequestCancelled { request } => self.on_request_cancelled(request),
            Message::AttemptEnded {
                request,
                attempt,
                result,
            } => self.finish_attempt(request, attempt, result),
            Message::HealthCheckEnded { endpoint, result } => {
                self.on_health_check_ended(endpoint, result)
            }
            Message::EndpointList { kind, listed } => self.on_endpoint_list(kind, listed),
            Message::ShutdownStarted => self.on_shutdown(),
        }
    }

    fn on_health_check_ended(&mut self, endpoint: EndpointId, result: AttemptResult) {
        let report = self.plausible_status(&endpoint, result.outcome, result.report);
        self.events.push_back(Event::HealthCheckEnded {
            endpoint,
            outcome: result.outcome,
            report,
        });
    }

    /// Limits the deadlines of pending requests to the time by which a router in graceful shutdown must have sent all
    /// responses, so that each request gets one before the process may be killed.
    fn on_shutdown(&mut self) {
        let Some(latest) = self.shared.response_deadline() else {
            return;
        };
        for (id, request) in self.requests.iter_mut() {
            if request.deadline > latest {
                request.deadline = latest;
                self.deadlines
                    .add(latest, DeadlineEntry::RequestDeadline(id));
            }
        }
    }

    fn handle_expired_deadlines(&mut self) {
        let now = self.shared.clock.now();
        while let Some(entry) = self.deadlines.pop_expired(now) {
            match entry {
                DeadlineEntry::BalancerTimer(token) => {
                    self.events.push_back(Event::Timer { token });
                }
                DeadlineEntry::AttemptTimeout(request, number) => {
                    let timed_out = AttemptResult::from_outcome(AttemptOutcome::TimedOut);
                    self.finish_attempt(request, number, timed_out);
                }
                DeadlineEntry::WriteDeadline(request, number) => {
                    self.withdraw_attempt(request, number);
                }
                DeadlineEntry::RequestDeadline(request) => self.on_request_deadline(request),
            }
            self.process_events();
        }
    }

    /// Passes all queued events to the balancer and executes its actions, until no event is left.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = self.shared.clock.now();
            let platform_now = self.platform_clock.to_platform_time(now);
            self.balancer.handle(platform_now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
        }
    }

    /// Returns the replication status that an endpoint reported in an attempt or a health check. A position that is
    /// ahead of the platform's estimated time is left out.
    fn plausible_status(
        &mut self,
        endpoint: &EndpointId,
        outcome: AttemptOutcome,
        reported: ReplicationStatus,
    ) -> ReplicationStatus {
        let now = self.shared.clock.now();
        let is_only_endpoint = self.pools.len() <= 1;
        let applied_position = reported.applied_position.and_then(|at| match outcome {
            AttemptOutcome::MalformedResponse => self.platform_clock.plausible_position(now, at),
            _ => self
                .platform_clock
                .on_position(now, endpoint, at, is_only_endpoint),
        });
        ReplicationStatus {
            applied_position,
            ..reported
        }
    }
}
