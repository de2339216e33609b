//! Outlier detection and recovery: ejects endpoints after failures and determines when they may get
//! requests again.
//!
//! An endpoint that returns an error is ejected (its cost is infinite) until a response, if need be
//! to a recovery probe, shows that it has recovered. An endpoint that is at capacity or unreachable
//! is ejected for a time that grows exponentially with consecutive failures; for an unreachable one
//! the time is randomised, so that many routers do not return to it at once. Owns each endpoint's
//! health; it must never select the endpoint for a request.

use crate::balancer::Balancer;
use crate::endpoint_list::{Attempt, EndpointIndex};
use crate::event::{AttemptEnded, AttemptOutcome, Role};
use crate::units::{Nanos, Timestamp};

/// Number of consecutive malformed responses, or of consecutive broken connections, that count as a
/// fault of the endpoint: fewer may be caused by the network.
const FAULT_THRESHOLD: u32 = 3;
/// Smallest latency, in latency objectives, that is recorded for an error, and the one recorded for
/// a rejection at capacity: quick failures must not make an endpoint cheap.
const FAILURE_LATENCY: f64 = 2.0;
/// Longest time until an ejected endpoint gets another request, nanoseconds, before randomisation.
const MAX_EJECTION: Nanos = 5_000_000_000;
/// Largest number of times that the time between recovery probes doubles.
const MAX_PROBE_DOUBLINGS: u32 = 8;
/// Largest number of consecutive rejections that lengthen the ejection of an endpoint at capacity,
/// which doubles with each.
const MAX_OVERLOAD_DOUBLINGS: u32 = 6;
/// Largest number of consecutive failures that lengthen the ejection of an unreachable endpoint,
/// which doubles with each.
const MAX_CONNECT_DOUBLINGS: u32 = 8;

/// Health of one endpoint, derived from the outcomes of its attempts.
///
/// Invariant: a response sets all failure counters to 0 and ends the ejection for errors; an error
/// counts as a response and then ejects the endpoint again.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    /// Time of its latest response, or else of its first entry in the list.
    pub(crate) last_response_at: Timestamp,
    /// Whether it returned an error: its cost is infinite until a response shows that it has
    /// recovered.
    pub(crate) is_ejected_for_errors: bool,
    /// Earliest time of the next recovery probe while it is ejected for errors.
    probe_at: Timestamp,
    /// Recovery probes since its last response.
    recovery_probes: u32,
    /// End of its ejection for being at capacity or unreachable: it gets no requests until then.
    pub(crate) ejected_until: Timestamp,
    pub(crate) consecutive_overloads: u32,
    pub(crate) consecutive_connect_failures: u32,
    consecutive_malformed: u32,
    consecutive_resets: u32,
    /// Time of the first of the consecutive connect failures.
    unreachable_since: Timestamp,
}

impl EndpointHealth {
    /// Creates the health of an endpoint that appears in the list at `now`.
    pub(crate) fn new(now: Timestamp) -> EndpointHealth {
        EndpointHealth {
            last_response_at: now,
            ..EndpointHealth::default()
        }
    }

    /// Returns whether a recovery probe may be sent to the ejected endpoint.
    pub(crate) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.probe_at <= now
    }

    /// Records that a recovery probe is sent and schedules the next one, with exponential backoff
    /// from the longest latency objective.
    pub(crate) fn record_probe(&mut self, now: Timestamp, max_objective: f64) {
        self.recovery_probes += 1;
        let doublings = self.recovery_probes.min(MAX_PROBE_DOUBLINGS);
        let delay = (max_objective as Nanos) << doublings;
        self.probe_at = now + MAX_EJECTION.min(delay);
    }

    fn has_failed(&self) -> bool {
        self.is_ejected_for_errors || self.consecutive_connect_failures > 0
    }

    fn record_response(&mut self, now: Timestamp) {
        self.last_response_at = now;
        self.is_ejected_for_errors = false;
        self.recovery_probes = 0;
        self.consecutive_overloads = 0;
        self.consecutive_connect_failures = 0;
        self.consecutive_malformed = 0;
        self.consecutive_resets = 0;
    }

    fn eject_until_recovered(&mut self, probe_at: Timestamp) {
        self.is_ejected_for_errors = true;
        self.probe_at = probe_at;
    }

    fn record_overload(&mut self, now: Timestamp, tick: Nanos) {
        let overloads = (self.consecutive_overloads + 1).min(MAX_OVERLOAD_DOUBLINGS);
        self.consecutive_overloads = overloads;
        // One timer tick after the first rejection, twice as long after each further one.
        self.ejected_until = now + (tick << overloads) / 2;
    }

    /// Counts a connect failure and returns the number of consecutive ones, up to
    /// [`MAX_CONNECT_DOUBLINGS`].
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
    /// Updates the replication status, health and latency of an endpoint from the outcome of an
    /// attempt.
    pub(crate) fn record_outcome(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        attempt: &Attempt,
        ended: &AttemptEnded,
    ) {
        let mut replication = ended.replication;
        if attempt.is_write && ended.outcome == AttemptOutcome::Served {
            // The position of a served write is that of its own commit; earlier commits may be
            // missing at the endpoint.
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
            // A replica can't execute a write, so the error is no evidence of a fault.
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

    /// Records a rejection by an endpoint at capacity or draining: a short ejection, which grows
    /// with each consecutive rejection, and a sample of its load but not of its cost. When all
    /// queues are full, nothing is served in time, and no latency of a response would show the
    /// overload.
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
        // The first recovery probe is due after a quarter to three quarters of the longest latency
        // objective, so that many routers do not send theirs at once.
        let delay = self.latency_cost.max_objective * (0.25 + self.rng.next_f64() / 2.0);
        list[index]
            .health
            .eject_until_recovered(now + delay as Nanos);
    }

    /// Counts a malformed response. A response may be damaged in transit, so only several in a row
    /// count as an error of the endpoint.
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

    /// Counts a broken connection. A single one may break on its own; a process that dies breaks
    /// all of its connections and refuses new ones.
    fn record_reset(&mut self, now: Timestamp, index: EndpointIndex) {
        let health = &mut self.endpoints[index].health;
        health.consecutive_resets += 1;
        if health.consecutive_resets >= FAULT_THRESHOLD {
            self.record_unreachable(now, index);
        }
    }

    /// Records an attempt without a response. The response may merely be lost, so this is no sample
    /// of the endpoint's load, unless its last response was a rejection at capacity.
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

    /// Ejects an unreachable endpoint for a growing, randomised time. A dead process, a cut link
    /// and a full connection table can't be told apart, and a health check detects none of them. If
    /// the whole replica set is unreachable, a failed connect costs little and a long ejection
    /// much, so the longest time is shorter then.
    fn record_unreachable(&mut self, now: Timestamp, index: EndpointIndex) {
        let jitter = 0.5 + self.rng.next_f64();
        let failures = self.endpoints[index].health.record_connect_failure(now);
        let replica_set = self.endpoints[index].replica_set;
        let has_alternative = self
            .endpoints
            .replica_set_endpoints(replica_set)
            .iter()
            .any(|&other| other != index && self.endpoints[other].accepts_new_work(now));
        let longest_ejection = if has_alternative {
            MAX_EJECTION as f64
        } else {
            self.latency_cost.max_objective
        };
        // Half of the shortest latency objective after the first failure, before randomisation.
        let base = self.latency_cost.min_objective / 4.0;
        let ejection = (base * f64::from(1u32 << failures)).min(longest_ejection);
        self.endpoints[index].health.ejected_until = now + (ejection * jitter) as Nanos;
    }

    /// Records a response: resets the endpoint's failures and starts its slow start if its process
    /// appears to have restarted.
    pub(crate) fn record_response(&mut self, now: Timestamp, index: EndpointIndex) {
        let max_objective = self.latency_cost.max_objective as Nanos;
        let endpoint = &mut self.endpoints[index];
        // Reachable again after connect failures: if its process had died, its position would not
        // have advanced. The list shows a restart only seconds later, when all routers together
        // would already have overloaded the endpoint. A short unreachable time is no evidence: the
        // usual replication lag is longer, and a wrong slow start costs capacity.
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
