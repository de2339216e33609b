//! Outlier detection and recovery: which endpoints are ejected after failures, and when they may
//! return.
//!
//! An endpoint that returns an error is ejected (its cost is infinite) until a response, if need be
//! to a recovery probe, shows that it has recovered. An endpoint that is at capacity or out of
//! reach is ejected for a time that grows exponentially with consecutive failures; the time out of
//! reach is randomised, so that many routers do not return in step. Owns each endpoint's health; it
//! must never choose where a request goes.

use crate::balancer::Balancer;
use crate::endpoint_list::{Attempt, EndpointIndex};
use crate::event::{AttemptEnded, AttemptOutcome, Role};
use crate::units::{Nanos, Timestamp};

/// Malformed responses, or broken connections, in a row that are taken for a fault of the endpoint:
/// fewer may come from the network.
const FAULT_THRESHOLD: u32 = 3;
/// Least latency, in latency objectives, that an error or a rejection at capacity counts as: quick
/// failures must not make an endpoint cheap.
const FAILURE_LATENCY: f64 = 2.0;
/// Longest time until an ejected endpoint gets another request, nanoseconds (from the design).
const MAX_EJECTION: Nanos = 5_000_000_000;
/// Highest exponent of the time between recovery probes.
const MAX_PROBE_DOUBLINGS: u32 = 8;
/// Highest exponent of the ejection of an endpoint at capacity.
const MAX_OVERLOAD_DOUBLINGS: u32 = 6;
/// Highest exponent of the ejection of an endpoint out of reach.
const MAX_CONNECT_DOUBLINGS: u32 = 8;

/// Health of one endpoint as its attempts show it.
///
/// Invariant: a response sets all failure counters to 0 and ends the ejection for errors; an error
/// counts as a response and then ejects the endpoint again.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    /// Latest sign of life.
    pub(crate) last_response_at: Timestamp,
    /// It returned an error: its cost is infinite until a response shows that it has recovered.
    pub(crate) is_ejected: bool,
    /// When an ejected endpoint may get a recovery probe.
    probe_at: Timestamp,
    /// Recovery probes since its last response.
    recovery_probes: u32,
    /// At capacity or out of reach: it gets no new work until then.
    pub(crate) ejected_until: Timestamp,
    pub(crate) consecutive_overloads: u32,
    pub(crate) consecutive_connect_failures: u32,
    consecutive_malformed: u32,
    consecutive_resets: u32,
    /// When the first of the consecutive connect failures occurred.
    unreachable_since: Timestamp,
}

impl EndpointHealth {
    /// Health of an endpoint that was just learned of.
    pub(crate) fn new(now: Timestamp) -> EndpointHealth {
        EndpointHealth {
            last_response_at: now,
            ..EndpointHealth::default()
        }
    }

    /// Whether a recovery probe may be sent to the ejected endpoint.
    pub(crate) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.probe_at <= now
    }

    /// A recovery probe is sent: plans the next one, with exponential backoff from the longest
    /// latency objective.
    pub(crate) fn record_probe(&mut self, now: Timestamp, max_objective: f64) {
        self.recovery_probes += 1;
        let doublings = self.recovery_probes.min(MAX_PROBE_DOUBLINGS);
        let delay = (max_objective as Nanos) << doublings;
        self.probe_at = now + MAX_EJECTION.min(delay);
    }

    fn has_failed(&self) -> bool {
        self.is_ejected || self.consecutive_connect_failures > 0
    }

    fn record_response(&mut self, now: Timestamp) {
        self.last_response_at = now;
        self.is_ejected = false;
        self.recovery_probes = 0;
        self.consecutive_overloads = 0;
        self.consecutive_connect_failures = 0;
        self.consecutive_malformed = 0;
        self.consecutive_resets = 0;
    }

    fn eject_until_recovered(&mut self, probe_at: Timestamp) {
        self.is_ejected = true;
        self.probe_at = probe_at;
    }

    fn record_overload(&mut self, now: Timestamp, tick: Nanos) {
        let overloads = (self.consecutive_overloads + 1).min(MAX_OVERLOAD_DOUBLINGS);
        self.consecutive_overloads = overloads;
        self.ejected_until = now + (tick << overloads) / 2;
    }

    /// Returns the number of consecutive connect failures, up to the highest exponent of the
    /// backoff.
    fn record_connect_failure(&mut self, now: Timestamp) -> u32 {
        if self.consecutive_connect_failures == 0 {
            self.unreachable_since = now;
        }
        let failures = (self.consecutive_connect_failures + 1).min(MAX_CONNECT_DOUBLINGS);
        self.consecutive_connect_failures = failures;
        failures
    }
}

impl Balancer {
    /// Takes over what the outcome of an attempt shows about its endpoint.
    pub(crate) fn record_outcome(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        attempt: &Attempt,
        ended: &AttemptEnded,
    ) {
        let mut replication = ended.replication;
        if attempt.is_write && ended.outcome == AttemptOutcome::Served {
            // The position of a served write is its own commit, and earlier ones may be missing.
            replication.applied_position = None;
        }
        self.observe_replication(now, index, ended.report, false);
        self.observe_replication(now, index, replication, true);
        let latency = ended.latency as f64;
        match ended.outcome {
            AttemptOutcome::Served => self.record_served(now, index, attempt, latency),
            AttemptOutcome::Misrouted | AttemptOutcome::InvalidRequest => {
                self.record_response(now, index);
            }
            AttemptOutcome::Overloaded => self.record_overload(now, index, attempt),
            AttemptOutcome::Error
                if attempt.is_write && replication.role == Some(Role::Replica) =>
            {
                self.record_response(now, index);
            }
            AttemptOutcome::Error => self.record_error(now, index, attempt, latency),
            AttemptOutcome::MalformedResponse => {
                self.record_malformed(now, index, attempt, latency);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                self.record_no_response(now, index, attempt, latency);
            }
            AttemptOutcome::ConnectionReset => self.record_reset(now, index),
            AttemptOutcome::ConnectFailed => self.record_unreachable(now, index),
            AttemptOutcome::Abandoned | AttemptOutcome::NotSent => {}
        }
    }

    fn record_served(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        attempt: &Attempt,
        latency: f64,
    ) {
        let list = &mut self.endpoints;
        list[index].latency.record_served(attempt.sent_at);
        self.latency_cost
            .record_cost(list, now, index, latency, attempt.latency_objective);
        self.latency_cost
            .record_served_load(list, now, index, latency);
        self.record_response(now, index);
    }

    /// At capacity or draining: no sample of its cost, but a short ejection that grows as this
    /// repeats, and a sample of its load: with all queues full nothing is served in time, and no
    /// latency would show it.
    fn record_overload(&mut self, now: Timestamp, index: EndpointIndex, attempt: &Attempt) {
        let list = &mut self.endpoints;
        list[index].health.record_overload(now, self.tick);
        let latency = FAILURE_LATENCY * attempt.latency_objective;
        self.latency_cost.record_load(list, now, index, latency);
    }

    fn record_error(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        attempt: &Attempt,
        latency: f64,
    ) {
        self.record_response(now, index);
        let objective = attempt.latency_objective;
        let latency = latency.max(FAILURE_LATENCY * objective);
        let list = &mut self.endpoints;
        self.latency_cost
            .record_cost(list, now, index, latency, objective);
        let delay = self.latency_cost.max_objective * (0.25 + self.rng.next_f64() / 2.0);
        list[index]
            .health
            .eject_until_recovered(now + delay as Nanos);
    }

    /// Any endpoint's response may be damaged in transit, so a single one shows no fault.
    fn record_malformed(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        attempt: &Attempt,
        latency: f64,
    ) {
        let health = &mut self.endpoints[index].health;
        health.consecutive_malformed += 1;
        if health.consecutive_malformed >= FAULT_THRESHOLD {
            self.record_error(now, index, attempt, latency);
        }
    }

    /// One connection may break on its own; a process that dies breaks all and refuses new ones.
    fn record_reset(&mut self, now: Timestamp, index: EndpointIndex) {
        let health = &mut self.endpoints[index].health;
        health.consecutive_resets += 1;
        if health.consecutive_resets >= FAULT_THRESHOLD {
            self.record_unreachable(now, index);
        }
    }

    /// The response may only be lost: no sample of its load, unless the endpoint says that it is at
    /// capacity.
    fn record_no_response(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        attempt: &Attempt,
        latency: f64,
    ) {
        let list = &mut self.endpoints;
        self.latency_cost
            .record_cost(list, now, index, latency, attempt.latency_objective);
        if list[index].health.consecutive_overloads > 0 {
            self.latency_cost.record_load(list, now, index, latency);
        }
    }

    /// A dead process, a cut link and a full connection table look alike, and a health check shows
    /// none of them: the endpoint is ejected for a growing, randomised time. With the whole replica
    /// set out of reach a failed connect costs little and a long ejection much, so the limit is
    /// lower there.
    fn record_unreachable(&mut self, now: Timestamp, index: EndpointIndex) {
        let jitter = 0.5 + self.rng.next_f64();
        let failures = self.endpoints[index].health.record_connect_failure(now);
        let replica_set = self.endpoints[index].replica_set;
        let has_alternative = self
            .endpoints
            .replica_set_endpoints(replica_set)
            .iter()
            .any(|&other| other != index && self.endpoints[other].accepts_new_work(now));
        let longest = if has_alternative {
            MAX_EJECTION as f64
        } else {
            self.latency_cost.max_objective
        };
        let base = self.latency_cost.min_objective / 4.0;
        let pause = (base * f64::from(1u32 << failures)).min(longest);
        self.endpoints[index].health.ejected_until = now + (pause * jitter) as Nanos;
    }

    /// The endpoint has shown a sign of life.
    pub(crate) fn record_response(&mut self, now: Timestamp, index: EndpointIndex) {
        let max_objective = self.latency_cost.max_objective as Nanos;
        let endpoint = &mut self.endpoints[index];
        // Reachable again: if its process had died, its position would have stood still. The list
        // shows the restart seconds later, when all routers together would have overloaded it. A
        // short time out of reach proves nothing: the usual lag is longer, and a wrong slow start
        // costs capacity.
        let unreachable_for = now.saturating_sub(endpoint.health.unreachable_since);
        let position = endpoint.applied_position.unwrap_or(0);
        let is_behind = position.saturating_add(unreachable_for / 2) < now;
        let has_restarted = endpoint.health.consecutive_connect_failures > 0
            && unreachable_for > max_objective
            && is_behind
            && endpoint.role != Some(Role::Primary);
        if has_restarted {
            endpoint.started = endpoint.started.max(now);
        }
        let has_recovered = endpoint.health.has_failed();
        endpoint.health.record_response(now);
        let replica_set = endpoint.replica_set;
        if has_recovered {
            let replica_set = self.endpoints.replica_sets.entry(replica_set).or_default();
            replica_set.primary.record_available(now);
        }
    }
}
