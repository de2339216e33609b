//! The actor that owns the balancer: it turns messages into events, actions into orders, and keeps the table
//! of requests, attempt numbers, timers and deadlines. It never waits for another actor.

pub mod mailbox;

use crate::messages::{
    Attempt, AttemptProgress, AttemptResult, Call, CancellationFlag, ClientRequest, FinalResponse,
    ListedEndpoint, Message, ResponseTarget,
};
use crate::observability::counters::count;
use crate::runtime::platform_clock::PlatformClock;
use crate::runtime::shared::Shared;
use crate::upstream::{PoolCommand, PoolHandle};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::{or, yield_now};
use mailbox::Mailbox;
use reelrill_pg_session::bound::Ask;
use reelrill_routing::*;
use slog::{debug, error, warn};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// The final answer leaves this long before the client gives up: it has to travel.
const MARGIN: Nanos = 8_000_000;

/// Messages handled in a row before other tasks get a turn, such as the one that reads changes of the list.
const MAX_MESSAGES_IN_A_ROW: u32 = 32;

/// An attempt that is out. Dropping `hold` tells its peer that it has been given up.
struct Out {
    number: u32,
    endpoint: EndpointId,
    sent: Timestamp,
    progress: AttemptProgress,
    _hold: Sender<()>,
}

struct Open {
    /// The client's name for the request.
    id: u64,
    /// Taken once the final answer is given, or the client has left.
    reply: Option<ResponseTarget>,
    deadline: Timestamp,
    ask: Rc<Ask>,
    left: CancellationFlag,
    class: u32,
    sends: u32,
    out: Vec<Out>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Limit(RequestId, u32),
    Deadline(RequestId),
}

pub struct Dispatcher {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    balancer: Balancer,
    /// The decisions live in the platform's time, everything else in the router's.
    platform: PlatformClock,
    roster: Sender<Call>,
    pools: HashMap<EndpointId, PoolHandle>,
    open: HashMap<RequestId, Open>,
    /// The clients' names of the requests that are owed an answer.
    named: HashSet<u64>,
    due: BinaryHeap<Reverse<(Timestamp, Due)>>,
    events: VecDeque<Event>,
}

impl Dispatcher {
    pub fn new(
        shared: Rc<Shared>,
        executor: Rc<LocalExecutor<'static>>,
        roster: Sender<Call>,
    ) -> Result<Dispatcher, SettingsError> {
        Ok(Dispatcher {
            balancer: Balancer::new(shared.config.seed, shared.config.site.settings.clone())?,
            platform: PlatformClock::default(),
            shared,
            executor,
            roster,
            pools: HashMap::new(),
            open: HashMap::new(),
            named: HashSet::new(),
            due: BinaryHeap::new(),
            events: VecDeque::new(),
        })
    }

    pub async fn run(mut self, mailbox: Mailbox) {
        self.on_list(ListKind::Cached, self.shared.config.known.1.clone());
        self.settle();
        let mut in_a_row = 0;
        loop {
            let next = self
                .due
                .peek()
                .map(|Reverse((at, _))| self.shared.clock.instant(*at));
            let timer = async {
                match next {
                    Some(at) => Timer::at(at).await,
                    None => futures_lite::future::pending().await,
                };
                Ok(None)
            };
            let message = match mailbox.try_next() {
                Some(message) => {
                    in_a_row += 1;
                    Ok(Some(message))
                }
                None => {
                    in_a_row = 0;
                    or(async { mailbox.next().await.map(Some) }, timer).await
                }
            };
            match message {
                Ok(Some(message)) => self.on_message(message),
                Ok(None) => {}
                Err(_) => return,
            }
            self.settle();
            self.on_due();
            if in_a_row >= MAX_MESSAGES_IN_A_ROW {
                in_a_row = 0;
                yield_now().await;
            }
        }
    }

    /// The router is ending: whatever is open has its answer before the process may be killed.
    fn on_shutdown(&mut self) {
        let Some(last) = self.shared.last_answer() else {
            return;
        };
        for (request, open) in &mut self.open {
            if open.deadline > last {
                open.deadline = last;
                self.due.push(Reverse((last, Due::Deadline(*request))));
            }
        }
    }

    fn on_due(&mut self) {
        let now = self.shared.clock.now();
        while let Some(Reverse((at, _))) = self.due.peek()
            && *at <= now
        {
            match self.due.pop() {
                Some(Reverse((_, Due::Timer(token)))) => {
                    self.events.push_back(Event::Timer { token })
                }
                Some(Reverse((_, Due::Limit(request, number)))) => {
                    self.resolve(
                        request,
                        number,
                        AttemptResult::silent(AttemptOutcome::TimedOut),
                    );
                }
                Some(Reverse((_, Due::Deadline(request)))) => self.on_deadline(request),
                None => {}
            }
            self.settle();
        }
    }

    /// What is still out has timed out; the balancer then gives the final answer, or else the host does.
    fn on_deadline(&mut self, request: RequestId) {
        // Also after the final answer: where attempts may not be cancelled, a silent one would stay for ever.
        let out = self.open.get(&request);
        let numbers: Vec<u32> =
            out.map_or(Vec::new(), |o| o.out.iter().map(|a| a.number).collect());
        for number in numbers {
            self.resolve(
                request,
                number,
                AttemptResult::silent(AttemptOutcome::TimedOut),
            );
        }
        self.settle();
        if let Some(open) = self.open.get(&request).filter(|o| o.reply.is_some()) {
            count(&self.shared.counters.overdue);
            warn!(self.shared.log, "overdue"; "request" => format_args!("{:016x}", open.id));
            let was_sent = open.sends > 0;
            let never = FinalResponse::Refused { retry_after: None };
            self.answer(
                request,
                if was_sent {
                    FinalResponse::Failed("no answer in time")
                } else {
                    never
                },
            );
            self.events.push_back(Event::ClientLeft { request });
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Request { incoming, reply } => self.on_request(incoming, reply),
            Message::ClientLeft { request } => {
                if self.conclude(request).is_some() {
                    count(&self.shared.counters.client_left);
                    self.events.push_back(Event::ClientLeft { request });
                    self.settle();
                    self.withdraw(request);
                }
            }
            Message::AttemptEnded {
                request,
                attempt,
                ended,
            } => self.resolve(request, attempt, ended),
            Message::Probed { endpoint, ended } => {
                let report = self.believed(&endpoint, ended.outcome, ended.report);
                self.events.push_back(Event::ProbeEnded {
                    endpoint,
                    outcome: ended.outcome,
                    report,
                });
            }
            Message::List { kind, listed } => self.on_list(kind, listed),
            Message::ShutdownStarted => self.on_shutdown(),
        }
    }

    /// What was never written is called off whatever the settings say of cancelling: the endpoint knows nothing of it.
    fn withdraw(&mut self, request: RequestId) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let unwritten: Vec<u32> = open
            .out
            .iter()
            .filter(|a| !a.progress.is_written())
            .map(|a| a.number)
            .collect();
        for number in unwritten {
            self.resolve(
                request,
                number,
                AttemptResult::silent(AttemptOutcome::Abandoned),
            );
        }
    }

    fn on_request(&mut self, incoming: ClientRequest, reply: ResponseTarget) {
        count(&self.shared.counters.requests);
        let (request, id) = (incoming.request, incoming.id);
        if incoming.left.is_raised() {
            // Its client has gone while it waited here: nothing is owed, and nothing begins.
            count(&self.shared.counters.client_left);
            return count(&self.shared.counters.left_unread);
        }
        if self.shared.rejects_new() {
            // Its client kept a connection open that is about to close: whatever is forwarded now may find the
            // process killed.
            count(&self.shared.counters.refused);
            let _ = reply
                .to
                .try_send((reply.part, FinalResponse::Refused { retry_after: None }));
            return;
        }
        if !self.named.insert(id) {
            // An id names one request: endpoints would take a second one under it for its copy.
            count(&self.shared.counters.rejected);
            let _ = reply.to.try_send((
                reply.part,
                FinalResponse::Failed("this id is already in use"),
            ));
            return;
        }
        let now = self.shared.clock.now();
        debug!(self.shared.log, "taken"; "request" => format_args!("{id:016x}"), "class" => incoming.class,
               "group" => incoming.replica_set, "session" => incoming.session.as_deref(), "after" => incoming.after);
        let deadline = incoming
            .arrived
            .saturating_add(incoming.wait.saturating_sub(MARGIN));
        let deadline = self
            .shared
            .last_answer()
            .map_or(deadline, |last| deadline.min(last));
        let (ask, left, class) = (incoming.ask, incoming.left, incoming.class);
        let open = Open {
            id,
            reply: Some(reply),
            deadline,
            ask,
            left,
            class,
            sends: 0,
            out: Vec::new(),
        };
        self.open.insert(request, open);
        self.due.push(Reverse((deadline, Due::Deadline(request))));
        self.events.push_back(Event::Request(Request {
            id: request,
            class: incoming.class,
            replica_set: incoming.replica_set,
            session: incoming.session,
            since_write: incoming
                .after
                .map(|at| self.platform.platform(now).saturating_sub(at)),
            tenant: None,
            work: None,
            is_retry: incoming.is_retry,
            time_left: deadline.saturating_sub(now),
        }));
    }

    /// The list: peers come, move and go with it.
    fn on_list(&mut self, kind: ListKind, listed: Vec<ListedEndpoint>) {
        let now = self.shared.clock.now();
        // Where only draining binds, one that has left the list may still be sent to.
        let binds = !self.shared.config.site.settings.rules.only_draining_binds;
        if binds && matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: BTreeSet<&EndpointId> = listed.iter().map(|l| &l.entry.endpoint).collect();
            self.pools.retain(|endpoint, _| named.contains(endpoint));
        }
        for ListedEndpoint { entry, address } in &listed {
            self.platform.on_start(now, entry.started);
            if entry.state == EndpointState::Removed {
                if binds {
                    self.pools.remove(&entry.endpoint);
                }
                continue;
            }
            let pool = self
                .pools
                .entry(entry.endpoint.clone())
                .or_insert_with(|| PoolHandle::new(*address));
            pool.update(*address, entry.state == EndpointState::Draining, now);
        }
        if !self.pools.is_empty() {
            self.shared.ready.raise();
        }
        let entries = listed.into_iter().map(|l| l.entry).collect();
        self.events.push_back(Event::List { kind, entries });
    }

    /// Feeds the balancer until it has nothing more to do.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = self.shared.clock.now();
            self.balancer
                .handle(self.platform.platform(now), event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
    }

    fn act(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                limit,
                by,
            } => {
                let by = by.map(|by| self.platform.own(by));
                self.send(now, request, endpoint, limit, by);
            }
            Action::Reject {
                request,
                reason,
                retry_after,
            } => {
                self.given_up(request, reason);
                self.answer(request, FinalResponse::Refused { retry_after });
            }
            Action::Fail { request, reason } => {
                self.given_up(request, reason);
                self.answer(request, FinalResponse::Failed("not served"));
            }
            Action::Cancel { request, attempt } => {
                self.resolve(
                    request,
                    attempt,
                    AttemptResult::silent(AttemptOutcome::Cancelled),
                );
            }
            Action::SetTimer { after, token } => {
                self.due
                    .push(Reverse((now.saturating_add(after), Due::Timer(token))));
            }
            Action::Probe { endpoint } => {
                let pool = self.pools.get(&endpoint);
                let sent = pool.map(|p| {
                    p.send(
                        &self.shared,
                        &self.executor,
                        &endpoint,
                        PoolCommand::HealthCheck,
                    )
                });
                if sent != Some(Ok(())) {
                    let (outcome, report) =
                        (AttemptOutcome::ConnectFailed, ReplicationStatus::default());
                    self.events.push_back(Event::ProbeEnded {
                        endpoint,
                        outcome,
                        report,
                    });
                }
            }
            // A call that still waits in the mailbox will do for this one, too.
            Action::Subscribe => drop(self.roster.try_send(Call::Subscribe)),
            Action::FetchList => drop(self.roster.try_send(Call::Fetch)),
        }
    }

    /// Counts why the balancer gives a request up.
    fn given_up(&self, request: RequestId, reason: RejectReason) {
        let c = &self.shared.counters;
        count(match reason {
            RejectReason::UnknownClass => &c.gave_class,
            RejectReason::UnknownReplicaSet => &c.gave_group,
            RejectReason::DeadlineTooClose => &c.gave_late,
            RejectReason::AttemptLimitReached => &c.gave_attempts,
            RejectReason::NoEligibleEndpoint => &c.gave_nobody,
            RejectReason::LoadShed => &c.gave_crowded,
            RejectReason::NotRetryable => &c.gave_unsafe,
            RejectReason::AttemptTimedOut => &c.gave_silent,
            RejectReason::RetryBudgetExhausted => &c.gave_reserve,
            RejectReason::InvalidRequest => &c.gave_unfit,
        });
        if let Some(open) = self.open.get(&request) {
            debug!(self.shared.log, "given up"; "request" => format_args!("{:016x}", open.id),
                   "class" => open.class, "sends" => open.sends, "cause" => ?reason);
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        request: RequestId,
        endpoint: EndpointId,
        limit: Option<Nanos>,
        by: Option<Timestamp>,
    ) {
        let most = self.shared.config.site.settings.limits.max_attempts;
        let Some(open) = self.open.get_mut(&request) else {
            error!(self.shared.log, "send for no request"; "request" => request);
            return;
        };
        count(&self.shared.counters.attempts);
        let number = open.sends;
        open.sends += 1;
        let (hold, abandoned) = async_channel::bounded(1);
        let progress = AttemptProgress::default();
        open.out.push(Out {
            number,
            endpoint: endpoint.clone(),
            sent: now,
            progress: progress.clone(),
            _hold: hold,
        });
        if open.reply.is_none() || now >= open.deadline || number >= most {
            return self.resolve(
                request,
                number,
                AttemptResult::silent(AttemptOutcome::Abandoned),
            );
        }
        let until = limit.map_or(open.deadline, |l| open.deadline.min(now.saturating_add(l)));
        let left = open.left.clone();
        let ask = open.ask.clone();
        let attempt = Attempt {
            request,
            number,
            ask,
            until,
            write_by: by,
            abandoned,
            client_left: left,
            progress,
        };
        let order = PoolCommand::Attempt(Box::new(attempt));
        let ordered = match self.pools.get(&endpoint) {
            Some(pool) => pool
                .send(&self.shared, &self.executor, &endpoint, order)
                .map_err(|_| AttemptOutcome::NotSent),
            None => Err(AttemptOutcome::ConnectFailed),
        };
        if let Err(outcome) = ordered {
            return self.resolve(request, number, AttemptResult::silent(outcome));
        }
        if limit.is_some() {
            self.due.push(Reverse((until, Due::Limit(request, number))));
        }
    }

    /// The one outcome of an attempt. A second one finds no attempt and changes nothing.
    fn resolve(&mut self, request: RequestId, number: u32, ended: AttemptResult) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(at) = open.out.iter().position(|a| a.number == number) else {
            return;
        };
        let out = open.out.swap_remove(at);
        let c = &self.shared.counters;
        let mut outcome = ended.outcome;
        if !out.progress.is_written()
            && matches!(
                outcome,
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Abandoned
            )
        {
            // It was still waiting for a connection, or on its way into one that is dropped now: it has never run.
            count(&c.unwritten);
            let is_left = open.left.is_raised();
            if is_left {
                count(&c.withdrawn);
            }
            outcome = if is_left || outcome == AttemptOutcome::Abandoned {
                AttemptOutcome::Abandoned
            } else {
                AttemptOutcome::NotSent
            };
        }
        count(match outcome {
            AttemptOutcome::Served => &c.ok,
            AttemptOutcome::Error => &c.errors,
            AttemptOutcome::Overloaded => &c.full,
            AttemptOutcome::TimedOut => &c.timed_out,
            AttemptOutcome::ConnectFailed => &c.connect_failed,
            AttemptOutcome::ConnectionReset => &c.reset,
            AttemptOutcome::Cancelled => &c.cancelled,
            AttemptOutcome::Abandoned => &c.moot,
            AttemptOutcome::Misrouted => &c.missed,
            AttemptOutcome::MalformedResponse => &c.spoilt,
            AttemptOutcome::NotSent => &c.unsent,
            AttemptOutcome::InvalidRequest => &c.unfit,
        });
        let latency = self.shared.clock.now().saturating_sub(out.sent);
        let class = self
            .shared
            .config
            .site
            .settings
            .classes
            .get(open.class as usize);
        let is_commit = outcome == AttemptOutcome::Served
            && class.is_some_and(|c| c.operation == Operation::Write);
        let mut replication = self.believed(&out.endpoint, outcome, ended.replication);
        if is_commit {
            // Its session's reads must see it. It is no evidence of how far the endpoint is.
            replication.applied_position = ended.replication.applied_position;
        }
        let report = self.believed(&out.endpoint, outcome, ended.report);
        let Some(open) = self.open.get(&request) else {
            return;
        };
        debug!(self.shared.log, "attempt ended"; "request" => format_args!("{:016x}", open.id),
               "class" => open.class, "number" => number, "member" => &*out.endpoint,
               "ending" => ?outcome, "ns" => latency, "position" => ?ended.replication.applied_position);
        if let Some(answer) = ended.answer {
            self.answer(request, FinalResponse::Served(answer));
        }
        let closed = self.open.get(&request).is_none_or(|o| o.reply.is_none());
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request,
            endpoint: out.endpoint,
            attempt: number,
            outcome,
            replication,
            report,
            latency,
            closed,
        }));
        self.forget(request);
    }

    /// What can be believed of what an endpoint tells of itself, in an attempt or a probe that ended so.
    fn believed(
        &mut self,
        endpoint: &EndpointId,
        outcome: AttemptOutcome,
        told: ReplicationStatus,
    ) -> ReplicationStatus {
        let (now, is_only) = (self.shared.clock.now(), self.pools.len() <= 1);
        let applied_position = told.applied_position.and_then(|at| match outcome {
            AttemptOutcome::MalformedResponse => self.platform.plausible(now, at),
            _ => self.platform.on_position(now, endpoint, at, is_only),
        });
        ReplicationStatus {
            applied_position,
            ..told
        }
    }

    /// Nothing is owed for the request from now on; returns where its answer was to go.
    fn conclude(&mut self, request: RequestId) -> Option<ResponseTarget> {
        let open = self.open.get_mut(&request)?;
        let reply = open.reply.take()?;
        self.named.remove(&open.id);
        Some(reply)
    }

    /// Gives the final answer, if it is still owed.
    fn answer(&mut self, request: RequestId, reply: FinalResponse) {
        let Some(to) = self.conclude(request) else {
            return;
        };
        let c = &self.shared.counters;
        count(match &reply {
            FinalResponse::Served(_) => &c.served,
            FinalResponse::Refused { .. } => &c.refused,
            FinalResponse::Failed(_) | FinalResponse::Cancelled => &c.failed,
        });
        // A client that has just gone no longer listens; it says so by itself.
        let _ = to.to.try_send((to.part, reply));
        self.forget(request);
    }

    /// A request stays in the table until it is answered and nothing is out for it.
    fn forget(&mut self, request: RequestId) {
        if self
            .open
            .get(&request)
            .is_some_and(|o| o.reply.is_none() && o.out.is_empty())
        {
            self.open.remove(&request);
        }
    }
}
