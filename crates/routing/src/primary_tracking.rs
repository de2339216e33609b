//! Primary tracking: which endpoint of a replica set takes writes, and how to find it after a
//! failover.
//!
//! The role that an endpoint reports itself takes precedence over the list's, which may be seconds
//! late. While no primary is known or it is out of reach, requests that need it are queued, and one
//! write at a time is sent to the endpoint most likely to have taken over: a replica rejects it
//! without executing it and says what it is. Where only responses carry positions, a write now and
//! then goes to a replica first in the same way, to refresh its position. Owns each replica set's
//! primary and the state of the discovery; it must never send a read that has to be current to an
//! endpoint that has said that it is a replica.

use crate::balancer::Balancer;
use crate::endpoint_list::{EndpointIndex, EndpointList};
use crate::event::{ReplicationStatus, Role};
use crate::pending_request::PendingRequest;
use crate::settings::{Operation, ReportSource, StaleReadPolicy};
use crate::units::{Nanos, Timestamp};
use std::cmp::Reverse;

/// Connect failures in a row from which a primary counts as lost.
const LOST_PRIMARY_FAILURES: u32 = 2;
/// Attempts that a discovery or a position refresh leaves for the primary itself.
const ATTEMPTS_KEPT_FOR_PRIMARY: u32 = 2;

/// The primary of one replica set.
///
/// Invariant: `attempted` is empty when a primary has just been confirmed.
#[derive(Default)]
pub(crate) struct PrimaryState {
    /// The endpoint that has said last that it is the primary.
    confirmed: Option<EndpointIndex>,
    /// Since when it, or an endpoint that had failed, is available.
    available_since: Timestamp,
    /// When the next discovery attempt may be sent.
    next_discovery_at: Timestamp,
    /// Endpoints that this discovery has already tried.
    attempted: Vec<EndpointIndex>,
}

impl PrimaryState {
    fn confirm(&mut self, now: Timestamp, index: EndpointIndex) {
        if self.confirmed != Some(index) {
            self.confirmed = Some(index);
            self.available_since = now;
            self.attempted.clear();
        }
    }

    fn demote(&mut self, now: Timestamp, index: EndpointIndex) {
        if self.confirmed == Some(index) {
            self.confirmed = None;
            self.next_discovery_at = now;
        }
    }

    /// An endpoint of the replica set that had failed is available again.
    pub(crate) fn record_available(&mut self, now: Timestamp) {
        self.available_since = now;
    }

    /// An attempt has failed: without a known primary the next discovery attempt may be sent at
    /// once.
    pub(crate) fn record_failed_attempt(&mut self, now: Timestamp) {
        if self.confirmed.is_none() {
            self.next_discovery_at = now;
        }
    }

    /// The endpoint is no longer known.
    pub(crate) fn forget(&mut self, index: EndpointIndex) {
        self.attempted.retain(|other| *other != index);
        self.confirmed = self.confirmed.filter(|other| *other != index);
    }
}

impl EndpointList {
    /// Whether the endpoint has said itself that it is its replica set's primary.
    pub(crate) fn is_confirmed_primary(&self, index: EndpointIndex) -> bool {
        self.replica_sets
            .get(&self[index].replica_set)
            .is_some_and(|replica_set| replica_set.primary.confirmed == Some(index))
    }
}

impl Balancer {
    /// Takes over what an endpoint says of itself, in a response (`is_current`) or in a report of
    /// some time earlier.
    pub(crate) fn observe_replication(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        status: ReplicationStatus,
        is_current: bool,
    ) {
        let tick = self.tick;
        let endpoint = &mut self.endpoints[index];
        if let Some(position) = status.applied_position {
            // A position ahead of the clock would look fresh for ever.
            endpoint.applied_position = endpoint.applied_position.max(Some(position.min(now)));
            if is_current || now.saturating_sub(endpoint.observed_at) > tick {
                endpoint.observed_at = now;
            }
        }
        let Some(role) = status.role else { return };
        let has_role = endpoint.role.is_some();
        let replica_set = endpoint.replica_set;
        let replica_set = self.endpoints.replica_sets.entry(replica_set).or_default();
        let primary = &mut replica_set.primary;
        if !is_current && (primary.confirmed.is_some() || has_role) {
            return;
        }
        match role {
            Role::Primary => primary.confirm(now, index),
            Role::Replica => primary.demote(now, index),
        }
        self.endpoints[index].role = Some(role);
    }

    /// The primary as responses name it, else as the list does, unless that endpoint has said that
    /// it is a replica: the list is late, and a read sent to it could be stale. A draining one
    /// takes writes until half of the grace has passed, which leaves time for a connection, and
    /// never after the cutoff.
    pub(crate) fn current_primary(
        &self,
        now: Timestamp,
        replica_set: u32,
    ) -> Option<EndpointIndex> {
        let known = self.endpoints.replica_sets.get(&replica_set)?;
        let listed = || {
            known.endpoints.iter().copied().find(|&index| {
                let endpoint = &self.endpoints[index];
                endpoint.is_listed_as_primary && endpoint.role.is_none()
            })
        };
        let index = known.primary.confirmed.or_else(listed)?;
        let endpoint = &self.endpoints[index];
        let rules = &self.settings.rules;
        let drain_limit = rules.drain_cutoff().min(rules.drain_grace / 2);
        let is_usable = endpoint
            .draining_since
            .is_none_or(|since| now < since.saturating_add(drain_limit));
        (endpoint.is_listed && is_usable).then_some(index)
    }

    /// The primary, if it can take the request now. One that returns errors still is the only one.
    fn available_primary(&self, now: Timestamp, pending: &PendingRequest) -> Option<EndpointIndex> {
        let replica_set = pending.request.replica_set;
        let index = self.current_primary(now, replica_set)?;
        if self.endpoints[index].health.ejected_until > now {
            return None;
        }
        // What many routers have queued must not arrive in the same instant: each request at a time
        // of its own.
        let state = &self.endpoints.replica_sets[&replica_set].primary;
        let delay = pending.admission_draw * self.latency_cost.max_objective / 2.0;
        if pending.is_queued && now < state.available_since + delay as Nanos {
            return None;
        }
        self.admits_during_slow_start(now, index, pending)
            .then_some(index)
    }

    /// Where a request that needs the primary goes now; none if it has to be queued.
    pub(crate) fn select_primary(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let is_lost = self.is_primary_lost(now, pending);
        let primary = self
            .available_primary(now, pending)
            .filter(|index| !is_lost || !pending.has_tried(*index));
        if primary.is_some() {
            return primary;
        }
        // A read that must be current may take part in the discovery where endpoints reject reads
        // that they are behind for: with little traffic the next write may be seconds away.
        let is_rejected_by_replicas = self.settings.stale_reads == StaleReadPolicy::Reject
            || self.class(pending).operation == Operation::Write;
        let has_attempts =
            pending.attempts_sent + ATTEMPTS_KEPT_FOR_PRIMARY < self.settings.limits.max_attempts;
        if is_lost && is_rejected_by_replicas && has_attempts {
            self.discover_primary(now, pending)
        } else {
            None
        }
    }

    fn is_primary_lost(&self, now: Timestamp, pending: &PendingRequest) -> bool {
        let replica_set = pending.request.replica_set;
        let Some(index) = self.current_primary(now, replica_set) else {
            return true;
        };
        let failures = self.endpoints[index].health.consecutive_connect_failures;
        let state = &self.endpoints.replica_sets[&replica_set].primary;
        let is_wrongly_listed = state.confirmed.is_none() && pending.has_tried(index);
        failures >= LOST_PRIMARY_FAILURES || is_wrongly_listed
    }

    /// Primary discovery: one queued request at a time goes to the endpoint most likely to have
    /// taken over, the listed one or else the one with most of the log. An endpoint that is a
    /// replica rejects it at no cost.
    fn discover_primary(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let replica_set = pending.request.replica_set;
        let known = self.endpoints.replica_sets.get(&replica_set)?;
        let state = &known.primary;
        if now < state.next_discovery_at {
            return None;
        }
        let candidate = known
            .endpoints
            .iter()
            .copied()
            .filter(|&index| {
                state.confirmed != Some(index)
                    && !state.attempted.contains(&index)
                    && self.is_eligible(now, index, pending)
            })
            .max_by_key(|&index| {
                let endpoint = &self.endpoints[index];
                let by_name = Reverse(&endpoint.id);
                (
                    endpoint.is_listed_as_primary,
                    endpoint.applied_position,
                    by_name,
                )
            });
        let pause = (self.latency_cost.max_objective / 4.0) as Nanos;
        let state = &mut self.endpoints.replica_sets.get_mut(&replica_set)?.primary;
        state.next_discovery_at = now + pause;
        match candidate {
            Some(index) => state.attempted.push(index),
            None => state.attempted.clear(),
        }
        candidate
    }

    /// Position refresh: where only responses carry positions, replicas that get few reads fall out
    /// of the staleness bound, and then get none: their reads would load the primary. A new write
    /// first goes to such a replica, which rejects it without executing it and says its position.
    pub(crate) fn select_position_refresh(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let is_new_write =
            self.class(pending).operation == Operation::Write && pending.attempts_sent == 0;
        let has_attempts = self.settings.limits.max_attempts > ATTEMPTS_KEPT_FOR_PRIMARY;
        let only_responses_carry_positions =
            self.settings.reports == ReportSource::None && self.settings.has_applied_positions;
        if !is_new_write || !has_attempts || !only_responses_carry_positions {
            return None;
        }
        let bound = self.min_staleness_bound?;
        let replica_set = pending.request.replica_set;
        let primary = self.current_primary(now, replica_set)?;
        let index = self
            .endpoints
            .replica_set_endpoints(replica_set)
            .iter()
            .copied()
            .filter(|&index| {
                index != primary && self.needs_position_refresh(now, index, bound, pending)
            })
            .min_by_key(|&index| self.endpoints[index].applied_position)?;
        self.endpoints[index].position_refreshed_at = now;
        Some(index)
    }

    /// Not an endpoint that may hang, which would swallow the write, nor one in slow start: what it
    /// rejects counts as load, too.
    fn needs_position_refresh(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        bound: Nanos,
        pending: &PendingRequest,
    ) -> bool {
        let endpoint = &self.endpoints[index];
        let is_responsive =
            endpoint.in_flight.is_empty() || now < endpoint.health.last_response_at + bound;
        let last_known = endpoint
            .position_refreshed_at
            .max(endpoint.applied_position.unwrap_or(0));
        let is_outdated = last_known.saturating_add(bound / 2) < now;
        is_responsive
            && is_outdated
            && self.capacity_fraction(now, index) >= 1.0
            && self.is_eligible(now, index, pending)
    }
}
