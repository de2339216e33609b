//! Primary tracking: the endpoint of a replica set that accepts writes, and its discovery after a
//! failover.
//!
//! The role that an endpoint reports for itself takes precedence over the role in the list, which
//! may be seconds late. While no primary is known or it is unreachable, requests that need it are
//! queued, and one write at a time is sent to the endpoint most likely to have been promoted: a
//! replica rejects it without executing it and reports its role. Where only responses carry
//! positions, some writes are first sent to a replica in the same way, to refresh its position.
//! Owns the primary of each replica set and the state of the discovery; it must never send a
//! strongly consistent read to an endpoint that has reported itself as a replica.

use crate::balancer::Balancer;
use crate::endpoint_list::{EndpointIndex, EndpointList};
use crate::event::{ReplicationStatus, Role};
use crate::pending_request::PendingRequest;
use crate::settings::{Operation, ReportSource, StaleReadPolicy};
use crate::units::{Nanos, Timestamp};
use std::cmp::Reverse;

/// Number of consecutive connect failures from which a primary counts as unreachable.
const UNREACHABLE_PRIMARY_FAILURES: u32 = 2;
/// Number of a request's attempts that primary discovery and position refreshes must leave for the
/// primary itself.
const ATTEMPTS_RESERVED_FOR_PRIMARY: u32 = 2;
/// Largest number of discovery attempts in one replica set per longest latency objective, unless an
/// attempt fails before: the next one may then be sent at once.
const DISCOVERY_ATTEMPTS_PER_OBJECTIVE: f64 = 4.0;

/// Primary of one replica set, and the state of its discovery.
///
/// Invariant: `attempted` is empty when a primary has just been confirmed.
#[derive(Default)]
pub(crate) struct PrimaryState {
    /// The endpoint that was the last to report itself as the primary, and not as a replica since.
    confirmed: Option<EndpointIndex>,
    /// Time at which a new primary was confirmed or a failed endpoint of the replica set became
    /// available again, whichever is later.
    available_since: Timestamp,
    /// Earliest time of the next discovery attempt.
    next_discovery_at: Timestamp,
    /// Endpoints that the current discovery has already tried.
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

    /// Records that an endpoint of the replica set that had failed is available again.
    pub(crate) fn record_available(&mut self, now: Timestamp) {
        self.available_since = now;
    }

    /// Records a failed attempt: if no primary is confirmed, the next discovery attempt may be sent
    /// at once.
    pub(crate) fn record_failed_attempt(&mut self, now: Timestamp) {
        if self.confirmed.is_none() {
            self.next_discovery_at = now;
        }
    }

    /// Removes all references to an endpoint that is being forgotten.
    pub(crate) fn forget(&mut self, index: EndpointIndex) {
        self.attempted.retain(|other| *other != index);
        self.confirmed = self.confirmed.filter(|other| *other != index);
    }
}

impl EndpointList {
    /// Returns whether the endpoint is the primary of its replica set by its own report.
    pub(crate) fn is_confirmed_primary(&self, index: EndpointIndex) -> bool {
        self.replica_sets
            .get(&self[index].replica_set)
            .is_some_and(|replica_set| replica_set.primary.confirmed == Some(index))
    }
}

impl Balancer {
    /// Records the replication status that an endpoint reports, with a response (`is_current`) or
    /// in a load report as of some earlier time.
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
            // A position ahead of the clock would count as fresh for ever.
            endpoint.applied_position = endpoint.applied_position.max(Some(position.min(now)));
            if is_current || now.saturating_sub(endpoint.observed_at) > tick {
                endpoint.observed_at = now;
            }
        }
        let Some(role) = status.role else { return };
        let has_reported_role = endpoint.role.is_some();
        let replica_set = endpoint.replica_set;
        let replica_set = self.endpoints.replica_sets.entry(replica_set).or_default();
        let primary = &mut replica_set.primary;
        // A load report may be older than a failover, so it does not override a known role.
        if !is_current && (primary.confirmed.is_some() || has_reported_role) {
            return;
        }
        match role {
            Role::Primary => primary.confirm(now, index),
            Role::Replica => primary.demote(now, index),
        }
        self.endpoints[index].role = Some(role);
    }

    /// Returns the endpoint that has reported itself as the primary, else the one that the list
    /// names unless it has reported a role: the list is late, and a read sent to a replica could be
    /// stale. A draining primary is returned until half of the grace has passed, which leaves time
    /// for establishing a connection, and never after the cutoff.
    pub(crate) fn current_primary(
        &self,
        now: Timestamp,
        replica_set: u32,
    ) -> Option<EndpointIndex> {
        let replica_set_state = self.endpoints.replica_sets.get(&replica_set)?;
        let listed = || {
            replica_set_state.endpoints.iter().copied().find(|&index| {
                let endpoint = &self.endpoints[index];
                endpoint.is_listed_as_primary && endpoint.role.is_none()
            })
        };
        let index = replica_set_state.primary.confirmed.or_else(listed)?;
        let endpoint = &self.endpoints[index];
        let rules = &self.settings.rules;
        let drain_limit = rules.drain_cutoff().min(rules.drain_grace / 2);
        let is_usable = endpoint
            .draining_since
            .is_none_or(|since| now < since.saturating_add(drain_limit));
        (endpoint.is_listed && is_usable).then_some(index)
    }

    /// Returns the primary if it can accept the request now. An ejection for errors does not
    /// exclude it, since there is no other primary.
    fn available_primary(&self, now: Timestamp, pending: &PendingRequest) -> Option<EndpointIndex> {
        let replica_set = pending.request.replica_set;
        let index = self.current_primary(now, replica_set)?;
        if self.endpoints[index].health.ejected_until > now {
            return None;
        }
        // When the primary becomes available, the queued requests of many routers must not arrive
        // at the same instant: each is delayed by a random time of its own, which is shorter than
        // half of the longest latency objective unless a rejection at capacity has raised its draw.
        let state = &self.endpoints.replica_sets[&replica_set].primary;
        let delay = pending.admission_draw * self.latency_cost.max_objective / 2.0;
        if pending.is_queued && now < state.available_since + delay as Nanos {
            return None;
        }
        self.admits_during_slow_start(now, index, pending)
            .then_some(index)
    }

    /// Selects the endpoint for a request that needs the primary; `None` if it must be queued.
    pub(crate) fn select_primary(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let should_discover = self.should_discover_primary(now, pending);
        let primary = self
            .available_primary(now, pending)
            .filter(|index| !should_discover || !pending.has_tried(*index));
        if primary.is_some() {
            return primary;
        }
        // A strongly consistent read may take part in the discovery where endpoints reject reads
        // for which their data is too old: with little traffic the next write may be seconds away.
        let is_rejected_by_replicas = self.settings.stale_reads == StaleReadPolicy::Reject
            || self.class(pending).operation == Operation::Write;
        let has_attempts = pending.attempts_sent + ATTEMPTS_RESERVED_FOR_PRIMARY
            < self.settings.limits.max_attempts;
        if should_discover && is_rejected_by_replicas && has_attempts {
            self.discover_primary(now, pending)
        } else {
            None
        }
    }

    /// Returns whether primary discovery is needed: no usable primary is known, it is unreachable,
    /// or an attempt has shown that the list names the wrong endpoint.
    fn should_discover_primary(&self, now: Timestamp, pending: &PendingRequest) -> bool {
        let replica_set = pending.request.replica_set;
        let Some(index) = self.current_primary(now, replica_set) else {
            return true;
        };
        let failures = self.endpoints[index].health.consecutive_connect_failures;
        let state = &self.endpoints.replica_sets[&replica_set].primary;
        let is_wrongly_listed = state.confirmed.is_none() && pending.has_tried(index);
        failures >= UNREACHABLE_PRIMARY_FAILURES || is_wrongly_listed
    }

    /// Selects the endpoint for a discovery attempt: one request at a time is sent to the endpoint
    /// most likely to have been promoted, the listed primary or else the one with the latest
    /// applied position. An endpoint that is a replica rejects the request at no cost.
    fn discover_primary(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let replica_set = pending.request.replica_set;
        let replica_set_state = self.endpoints.replica_sets.get(&replica_set)?;
        let state = &replica_set_state.primary;
        if now < state.next_discovery_at {
            return None;
        }
        let candidate = replica_set_state
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
        let interval =
            (self.latency_cost.max_objective / DISCOVERY_ATTEMPTS_PER_OBJECTIVE) as Nanos;
        let state = &mut self.endpoints.replica_sets.get_mut(&replica_set)?.primary;
        state.next_discovery_at = now + interval;
        match candidate {
            Some(index) => state.attempted.push(index),
            None => state.attempted.clear(),
        }
        candidate
    }

    /// Selects the replica for a position refresh, if one is needed. Where only responses carry
    /// positions, the known position of a replica that gets few reads becomes older than the
    /// staleness bound; the replica then gets no reads at all, and these load the primary. A new
    /// write is therefore sent first to such a replica, which rejects it without executing it and
    /// reports its position.
    pub(crate) fn select_position_refresh(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let is_new_write =
            self.class(pending).operation == Operation::Write && pending.attempts_sent == 0;
        let has_attempts = self.settings.limits.max_attempts > ATTEMPTS_RESERVED_FOR_PRIMARY;
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

    /// Returns whether an endpoint should get a position refresh: its known position, and the last
    /// refresh sent to it, must be older than half of the staleness bound `bound`. It must not be
    /// one that may hang, since the write would be lost there, nor one in slow start, since a
    /// rejection counts as load, too.
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
