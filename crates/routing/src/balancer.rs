//! The balancer: handles events by combining the decisions of the other modules, and returns
//! actions.
//!
//! In normal operation it follows the query cost calibrator, a routing method of federated
//! databases: an endpoint's calibrated cost is its running average of observed over estimated
//! latency, reads rotate over the eligible replicas within 20% of the cheapest, and a failed
//! endpoint has infinite cost. A request is dispatched to an endpoint, queued until one is
//! available, or gets its final response at once. Owns the pending requests, the timer, and the
//! state of each module; it must never read a clock or do I/O.

use crate::action::{Action, RejectReason};
use crate::admission::QuotaTracker;
use crate::discovery_backoff::ListSubscription;
use crate::endpoint_list::{Attempt, EndpointIndex, EndpointList};
use crate::event::{AttemptEnded, AttemptOutcome, EndpointEntry, Event, ListKind, Request};
use crate::latency_cost::LatencyCost;
use crate::pending_request::PendingRequest;
use crate::random::SplitMix64;
use crate::replica_selection::Rotation;
use crate::retry::RetryBudget;
use crate::session_consistency::SessionCommits;
use crate::settings::{Class, Consistency, Operation, Settings, SettingsError};
use crate::units::{EndpointId, Nanos, RequestId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Token of the balancer's only timer.
const TIMER_TOKEN: u64 = 1;
/// Timer ticks per shortest latency objective.
const TICKS_PER_OBJECTIVE: Nanos = 12;
/// Shortest time between two timer ticks, nanoseconds.
const MIN_TICK: Nanos = 1_000_000;

/// Load balancer of one router, which turns events into actions.
///
/// Invariants: each pending request gets exactly one final response, unless its client disconnects
/// or the router reports it as complete; `replica_sets_with_queue` holds exactly the replica sets
/// whose queue is not empty; a timer is set while any request is pending or a call to the discovery
/// service is scheduled.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: SplitMix64,
    pub(crate) endpoints: EndpointList,
    pub(crate) latency_cost: LatencyCost,
    pub(crate) rotation: Rotation,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) sessions: SessionCommits,
    quotas: QuotaTracker,
    subscription: ListSubscription,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    pub(crate) replica_sets_with_queue: BTreeSet<u32>,
    is_timer_set: bool,
    /// Shortest staleness bound of all classes, nanoseconds.
    pub(crate) min_staleness_bound: Option<Nanos>,
    /// Time between two timer ticks, nanoseconds.
    pub(crate) tick: Nanos,
}

impl Balancer {
    /// Creates a balancer without endpoints. `seed` determines its random choices.
    ///
    /// # Errors
    /// Returns an error if [`Settings::validate`] rejects the settings.
    pub fn new(seed: u64, settings: Settings) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let objectives = || settings.classes.iter().map(|class| class.latency_objective);
        let min_objective = objectives().min().unwrap_or(1);
        let max_objective = objectives().max().unwrap_or(1);
        let staleness_bounds = settings.classes.iter().filter_map(staleness_bound);
        let tick = (min_objective / TICKS_PER_OBJECTIVE)
            .max(settings.min_batch_interval)
            .max(MIN_TICK);
        Ok(Balancer {
            rng: SplitMix64::new(seed),
            endpoints: EndpointList::default(),
            latency_cost: LatencyCost::new(min_objective, max_objective),
            rotation: Rotation::default(),
            retry_budget: RetryBudget::new(),
            sessions: SessionCommits::default(),
            quotas: QuotaTracker::new(&settings, max_objective as f64),
            subscription: ListSubscription::new(&settings, tick),
            pending: BTreeMap::new(),
            replica_sets_with_queue: BTreeSet::new(),
            is_timer_set: false,
            min_staleness_bound: staleness_bounds.min(),
            tick,
            settings,
        })
    }

    /// Returns the number of endpoints in memory, including removed ones not yet forgotten.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Handles an event at `now` and appends the actions to carry out, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, &entries),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, ended, actions),
            Event::ResponseStarted {
                request, endpoint, ..
            } => self.on_response_started(now, request, &endpoint),
            Event::ClientDisconnected { request } => self.complete(request, actions),
            Event::Timer { token } if token == TIMER_TOKEN => {
                self.is_timer_set = false;
                self.retry_all_queued(now, actions);
            }
            Event::Timer { .. } => {}
            // A health check does not detect a full connection table, a cut link or a hang, so its
            // success ends no ejection.
            Event::HealthCheckEnded {
                endpoint, report, ..
            } => {
                if let Some(index) = self.endpoints.find(&endpoint) {
                    let replica_set = self.endpoints[index].replica_set;
                    let primary = self.current_primary(now, replica_set);
                    self.observe_replication(now, index, report, false);
                    self.on_primary_observed(now, replica_set, primary, actions);
                }
            }
        }
        if self.subscription.start_due_call(now) {
            actions.push(Action::Subscribe);
        }
        self.set_timer(actions);
    }

    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let is_needed = !self.pending.is_empty() || self.subscription.is_pending();
        if is_needed && !self.is_timer_set {
            self.is_timer_set = true;
            actions.push(Action::SetTimer {
                after: self.tick,
                token: TIMER_TOKEN,
            });
        }
    }

    pub(crate) fn class(&self, pending: &PendingRequest) -> &Class {
        &self.settings.classes[pending.request.class as usize]
    }

    /// Returns whether only the primary may execute the request.
    pub(crate) fn needs_primary(&self, pending: &PendingRequest) -> bool {
        matches!(
            self.class(pending).operation,
            Operation::Write | Operation::Read(Consistency::Strong)
        )
    }

    fn on_list(&mut self, now: Timestamp, kind: ListKind, entries: &[EndpointEntry]) {
        match kind {
            ListKind::Failed => return self.subscription.record_failure(now, &mut self.rng),
            ListKind::Cached => self.subscription.record_cached_list(now, &mut self.rng),
            ListKind::Changes | ListKind::Full => self.subscription.record_success(),
        }
        let rotation = &self.rotation;
        let rng = &mut self.rng;
        self.endpoints
            .apply(now, kind, entries, &self.settings, || {
                rotation.initial_position(rng)
            });
        self.forget_expired_endpoints(now);
    }

    /// Forgets endpoints that left the list longer ago than the slow start lasts and to which no
    /// pending request refers.
    fn forget_expired_endpoints(&mut self, now: Timestamp) {
        let retention = self.settings.rules.slow_start_duration;
        let expired = self.endpoints.expired(now, retention);
        if expired.is_empty() {
            return;
        }
        let referenced: BTreeSet<EndpointIndex> = self
            .pending
            .values()
            .flat_map(PendingRequest::endpoints)
            .collect();
        for index in expired {
            if !referenced.contains(&index) {
                self.endpoints.forget(index);
            }
        }
    }

    fn on_request(&mut self, now: Timestamp, request: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class as usize) else {
            actions.push(Action::Reject {
                request: request.id,
                reason: RejectReason::UnknownClass,
                retry_after: None,
            });
            return;
        };
        let latency_objective = latency_objective(class, &request);
        let required_position = self.required_position(now, &request);
        let is_over_quota = self
            .quotas
            .is_over_quota(now, &request, &self.settings, &mut self.rng);
        let recent_requests = self.latency_cost.record_request(now);
        self.retry_budget.deposit(recent_requests);
        let pending = PendingRequest {
            deadline: now.saturating_add(request.time_left),
            objective_end: now.saturating_add(latency_objective.min(request.time_left)),
            latency_objective,
            required_position,
            attempts_sent: 0,
            possibly_executed: Vec::new(),
            in_flight: 0,
            tried: Vec::new(),
            is_over_quota,
            admission_draw: self.rng.next_f64(),
            is_streaming: false,
            is_queued: false,
            request,
        };
        self.dispatch(now, pending, actions);
    }

    fn on_response_started(&mut self, now: Timestamp, request: RequestId, endpoint: &EndpointId) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.is_streaming = true;
        }
        if let Some(index) = self.endpoints.find(endpoint) {
            self.record_response(now, index);
        }
    }

    fn on_attempt_ended(&mut self, now: Timestamp, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let Some(index) = self.endpoints.find(&ended.endpoint) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        let replica_set = endpoint.replica_set;
        let is_ended_attempt =
            |attempt: &Attempt| attempt.request == ended.request && attempt.number == ended.attempt;
        let Some(position) = endpoint.in_flight.iter().position(is_ended_attempt) else {
            return;
        };
        let attempt = endpoint.in_flight.swap_remove(position);
        let primary = self.current_primary(now, replica_set);
        self.record_outcome(now, index, &attempt, &ended);
        self.on_primary_observed(now, replica_set, primary, actions);
        self.record_session_write(now, attempt, &ended);
        if let Some(pending) = self.pending.remove(&ended.request) {
            self.continue_request(now, pending, &ended, actions);
        }
        self.retry_queued(now, replica_set, actions);
    }

    /// Withdraws reads from the replica set's former primary, if an observation has shown that it is
    /// not the primary any more.
    fn on_primary_observed(
        &self,
        now: Timestamp,
        replica_set: u32,
        former_primary: Option<EndpointIndex>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(former_primary) = former_primary
            && self.current_primary(now, replica_set) != Some(former_primary)
        {
            self.withdraw_outdated_reads(now, former_primary, actions);
        }
    }

    /// Records the commit time of a write for its session. A write that was only possibly executed
    /// is recorded, too; its commit time, if it has one, is known only to be before now.
    fn record_session_write(&mut self, now: Timestamp, attempt: Attempt, ended: &AttemptEnded) {
        if !attempt.is_write || ended.outcome.is_never_executed() {
            return;
        }
        let is_served = ended.outcome == AttemptOutcome::Served;
        let commit = ended
            .replication
            .applied_position
            .filter(|_| is_served)
            .unwrap_or(now);
        let is_recorded_here = !self.settings.has_session_positions;
        let session = attempt.session.filter(|_| is_recorded_here);
        self.sessions.record_write(session, commit);
    }

    /// Retries or finishes a request after the end of one of its attempts.
    fn continue_request(
        &mut self,
        now: Timestamp,
        mut pending: PendingRequest,
        ended: &AttemptEnded,
        actions: &mut Vec<Action>,
    ) {
        pending.in_flight = pending.in_flight.saturating_sub(1);
        if ended.outcome.is_never_executed() {
            pending
                .possibly_executed
                .retain(|sent| sent.number != ended.attempt);
        }
        if !ended.is_request_complete && pending.in_flight == 0 && !pending.is_streaming {
            return self.retry_or_finish(now, pending, ended.outcome, actions);
        }
        self.pending.insert(ended.request, pending);
        if ended.is_request_complete {
            self.complete(ended.request, actions);
        }
    }

    /// Gives the request its final response: a rejection if the client may safely repeat the
    /// request, else a failure.
    pub(crate) fn reject_or_fail(
        &mut self,
        now: Timestamp,
        pending: PendingRequest,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_safe_to_reject(now, &pending) {
            return self.fail(pending, reason, actions);
        }
        let limits = &self.settings.limits;
        let longest_advice = limits.max_retry_advice as f64;
        // Between half of the longest advice and all of it, so that the clients of many rejected
        // requests do not retry at the same instant.
        let advice = (longest_advice * (0.5 + self.rng.next_f64() / 2.0)) as Nanos;
        actions.push(Action::Reject {
            request: pending.request.id,
            reason,
            retry_after: limits.allows_retry_advice.then_some(advice),
        });
        self.complete_request(pending, actions);
    }

    /// Gives the request the final response that leaves its effect unknown.
    pub(crate) fn fail(
        &mut self,
        pending: PendingRequest,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Fail {
            request: pending.request.id,
            reason,
        });
        self.complete_request(pending, actions);
    }

    fn complete(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            self.complete_request(pending, actions);
        }
    }

    /// Removes a request that has its final response or needs none from the queue, and cancels its
    /// attempts in flight.
    fn complete_request(&mut self, pending: PendingRequest, actions: &mut Vec<Action>) {
        let id = pending.request.id;
        if pending.is_queued {
            self.remove_from_queue(id, pending.request.replica_set);
        }
        if pending.in_flight == 0 || !self.settings.limits.allows_cancellation {
            return;
        }
        for sent in pending.possibly_executed {
            let is_in_flight = self.endpoints[sent.endpoint]
                .in_flight
                .iter()
                .any(|attempt| attempt.request == id && attempt.number == sent.number);
            if is_in_flight {
                actions.push(Action::Cancel {
                    request: id,
                    attempt: sent.number,
                });
            }
        }
    }
}

fn staleness_bound(class: &Class) -> Option<Nanos> {
    match class.operation {
        Operation::Read(Consistency::BoundedStaleness(bound)) => Some(bound),
        _ => None,
    }
}

/// Returns the request's latency objective, nanoseconds: that of its class, extended in proportion
/// to its expected execution time.
fn latency_objective(class: &Class, request: &Request) -> Nanos {
    let execution_time = request.expected_execution_time.unwrap_or(0) as f64;
    let extension = (execution_time * class.objective_stretch) as Nanos;
    class
        .latency_objective
        .saturating_add(extension)
        .min(class.deadline)
        .max(1)
}
