//! The dispatcher: the one task that owns the [`Balancer`] and carries out what it decides.
//!
//! It turns [`Message`]s into the balancer's events and the balancer's actions into attempts, answers, health checks
//! and calls to discovery. It owns the table of pending requests, their deadlines, and the handles of all endpoint
//! pools. It never waits for another task: commands go into mailboxes that have room, or count as not sent.
//!
//! - [`mailbox`]: the order in which messages are read
//! - [`request_table`]: the state of each pending request
//! - [`deadlines`]: timers, attempt time limits and request deadlines
//! - `requests`: a request's arrival, its client's departure and its final answer
//! - `actions`: what the balancer decided
//! - `attempts`: the beginning and the result of an attempt
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
    AttemptOutcome, Balancer, EndpointId, Event, ListKind, ReplicationStatus, SettingsError,
};
use request_table::RequestTable;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Messages handled in a row before other tasks get a turn, such as the one that reads changes of the list.
const MAX_MESSAGES_IN_A_ROW: u32 = 32;

/// See the module.
pub struct Dispatcher {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    balancer: Balancer,
    /// The balancer works in the platform's time, everything else in the router's own.
    platform_clock: PlatformClock,
    discovery: Sender<EndpointListRequest>,
    pools: HashMap<EndpointId, PoolHandle>,
    requests: RequestTable,
    deadlines: DeadlineQueue,
    /// What the balancer has not been told yet.
    events: VecDeque<Event>,
}

impl Dispatcher {
    /// A dispatcher whose calls for the endpoint list go to `discovery`. Fails if the balancer refuses the settings.
    pub fn new(
        shared: Rc<Shared>,
        executor: Rc<LocalExecutor<'static>>,
        discovery: Sender<EndpointListRequest>,
    ) -> Result<Dispatcher, SettingsError> {
        let settings = shared.config.site.settings.clone();
        Ok(Dispatcher {
            balancer: Balancer::new(shared.config.seed, settings)?,
            platform_clock: PlatformClock::default(),
            shared,
            executor,
            discovery,
            pools: HashMap::new(),
            requests: RequestTable::default(),
            deadlines: DeadlineQueue::default(),
            events: VecDeque::new(),
        })
    }

    /// Runs until nobody is left to send a message.
    pub async fn run(mut self, mailbox: Mailbox) {
        self.on_list(ListKind::Cached, self.shared.config.known_list.1.clone());
        self.settle();
        let mut in_a_row = 0;
        loop {
            let waiting = mailbox.try_next();
            in_a_row = if waiting.is_some() { in_a_row + 1 } else { 0 };
            let message = match waiting {
                Some(message) => Some(message),
                None => match self.message_or_deadline(&mailbox).await {
                    Ok(message) => message,
                    Err(RecvError) => return,
                },
            };
            if let Some(message) = message {
                self.on_message(message);
            }
            self.settle();
            self.handle_expired_deadlines();
            if in_a_row >= MAX_MESSAGES_IN_A_ROW {
                in_a_row = 0;
                yield_now().await;
            }
        }
    }

    /// Waits for the next message, or until the first deadline expires (none).
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
            Message::RequestCancelled { request } => self.on_client_left(request),
            Message::AttemptEnded {
                request,
                attempt,
                result,
            } => self.finish_attempt(request, attempt, result),
            Message::HealthCheckEnded { endpoint, result } => {
                self.on_health_check_ended(endpoint, result)
            }
            Message::EndpointList { kind, listed } => self.on_list(kind, listed),
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

    /// Whatever is pending has its answer before the process may be killed.
    fn on_shutdown(&mut self) {
        let Some(last) = self.shared.response_deadline() else {
            return;
        };
        for (id, request) in self.requests.iter_mut() {
            if request.deadline > last {
                request.deadline = last;
                self.deadlines.add(last, DeadlineEntry::RequestDeadline(id));
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
                DeadlineEntry::RequestDeadline(request) => self.on_request_deadline(request),
            }
            self.settle();
        }
    }

    /// Feeds the balancer until it has nothing more to do.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = self.shared.clock.now();
            let platform_now = self.platform_clock.to_platform_time(now);
            self.balancer.handle(platform_now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
    }

    /// What can be believed of the status that an endpoint reported, in an attempt or a health check that ended so.
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
