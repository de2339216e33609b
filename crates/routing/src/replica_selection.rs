//! Replica selection: selects the endpoint for a read.
//!
//! Reads rotate (round robin) over the sufficiently fresh replicas whose calibrated cost is within
//! 20% of the cheapest, as in the query cost calibrator; the second cheapest takes part up to twice
//! the cheapest cost. A read is sent as a recovery probe to an ejected endpoint for which one is
//! due. The primary gets reads only if it is far cheaper than every replica, or if no replica is
//! available. Owns the order of the rotation; it must never select an endpoint that is draining or
//! not fresh enough, nor, other than for a recovery probe, an ejected one.

use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::pending_request::PendingRequest;
use crate::random::SplitMix64;
use crate::units::Timestamp;

/// Highest cost in the rotation, as a multiple of the cheapest replica's cost.
const ROTATION_COST_RATIO: f64 = 1.2;
/// Number of cheapest replicas that take part in the rotation up to [`OUTLIER_COST_RATIO`].
const MIN_ROTATION_SIZE: usize = 2;
/// Highest cost, as a multiple of the cheapest replica's cost, of the [`MIN_ROTATION_SIZE`]
/// cheapest replicas in the rotation. The primary gets reads if every replica costs more than this
/// multiple of the primary's cost.
const OUTLIER_COST_RATIO: f64 = 2.0;

/// Round-robin order of the endpoints at this router.
///
/// Invariant: `selections` is no less than any endpoint's `rotation_position` that was set by a
/// selection.
#[derive(Default)]
pub(crate) struct Rotation {
    selections: f64,
}

impl Rotation {
    /// Returns the position of a new endpoint: last, and random among several new ones. Routers
    /// that get the same new endpoints at the same moment must not all select the same one first.
    pub(crate) fn initial_position(&self, rng: &mut SplitMix64) -> f64 {
        self.selections + rng.next_f64()
    }

    /// Returns the position of an endpoint that moves to the end of the rotation.
    fn next_position(&mut self) -> f64 {
        self.selections += 1.0;
        self.selections
    }
}

/// Replica that may serve the read, with its calibrated cost.
struct Candidate {
    index: EndpointIndex,
    cost: f64,
}

/// Endpoints of a replica set that may serve a read.
struct ReadCandidates {
    /// Replicas that are not ejected, the cheapest first.
    replicas: Vec<Candidate>,
    /// Endpoint that is ejected for errors and whose recovery probe is due.
    probe: Option<EndpointIndex>,
    /// The primary, if it is eligible.
    primary: Option<EndpointIndex>,
}

impl Balancer {
    /// Returns whether the endpoint accepts new requests, is not ejected, and admits this request
    /// if it is in slow start.
    pub(crate) fn is_eligible(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.accepts_new_work(now)
            && !endpoint.health.is_ejected_for_errors
            && self.admits_during_slow_start(now, index, pending)
    }

    /// Selects the endpoint for a read that a replica may serve; `None` if the read must be queued.
    pub(crate) fn select_read_endpoint(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let candidates = self.read_candidates(now, pending);
        if let Some(index) = candidates.probe.filter(|_| pending.attempts_sent == 0) {
            let max_objective = self.latency_cost.max_objective;
            self.endpoints[index]
                .health
                .record_probe(now, max_objective);
            return Some(index);
        }
        // The primary is preferred to replicas that cost more than this.
        let max_replica_cost = candidates
            .primary
            .map(|index| OUTLIER_COST_RATIO * self.calibrated_cost(now, index));
        let cheapest = candidates.replicas.first().map(|replica| replica.cost);
        let is_primary_preferred = match (cheapest, max_replica_cost) {
            (Some(cheapest), Some(max_replica_cost)) => cheapest > max_replica_cost,
            _ => cheapest.is_none(),
        };
        if is_primary_preferred {
            return candidates.primary;
        }
        if let Some(index) = self.select_by_rotation(now, &candidates.replicas, pending) {
            return Some(index);
        }
        // No replica of the rotation admits the read, since all are in slow start. A more expensive
        // replica gets it, unless that one hangs while the primary does not: otherwise all routers
        // would fall back to the hanging replica.
        let max_replica_cost = max_replica_cost.unwrap_or(f64::INFINITY);
        candidates
            .replicas
            .iter()
            .find(|replica| {
                replica.cost <= max_replica_cost
                    && self.admits_during_slow_start(now, replica.index, pending)
            })
            .map(|replica| replica.index)
            .or(candidates.primary)
    }

    fn read_candidates(&self, now: Timestamp, pending: &PendingRequest) -> ReadCandidates {
        let replica_set = pending.request.replica_set;
        let primary = self.current_primary(now, replica_set);
        let mut replicas = Vec::new();
        let mut probe = None;
        for &index in self.endpoints.replica_set_endpoints(replica_set) {
            let endpoint = &self.endpoints[index];
            let is_primary = primary == Some(index);
            if pending.has_tried(index)
                || !endpoint.accepts_new_work(now)
                || !is_primary && !self.is_fresh_enough(now, index, pending)
            {
                continue;
            }
            if endpoint.health.is_ejected_for_errors {
                let is_due = endpoint.health.is_probe_due(now);
                if probe.is_none() && is_due && self.admits_during_slow_start(now, index, pending) {
                    probe = Some(index);
                }
            } else if !is_primary {
                let cost = self.calibrated_cost(now, index);
                replicas.push(Candidate { index, cost });
            }
        }
        replicas.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let primary = primary
            .filter(|index| !pending.has_tried(*index) && self.is_eligible(now, *index, pending));
        ReadCandidates {
            replicas,
            probe,
            primary,
        }
    }

    /// Returns the next replica in the rotation that admits the read. A replica in slow start loses
    /// its turn whether it admits the read or not.
    fn select_by_rotation(
        &mut self,
        now: Timestamp,
        replicas: &[Candidate],
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let cheapest = replicas.first()?.cost;
        let mut rotation: Vec<EndpointIndex> = Vec::new();
        for (rank, replica) in replicas.iter().enumerate() {
            let ratio = if rank < MIN_ROTATION_SIZE {
                OUTLIER_COST_RATIO
            } else {
                ROTATION_COST_RATIO
            };
            if replica.cost <= ratio * cheapest {
                rotation.push(replica.index);
            }
        }
        rotation.sort_by(|&a, &b| {
            let a = self.endpoints[a].rotation_position;
            a.total_cmp(&self.endpoints[b].rotation_position)
        });
        for index in rotation {
            self.endpoints[index].rotation_position = self.rotation.next_position();
            if self.admits_during_slow_start(now, index, pending) {
                return Some(index);
            }
        }
        None
    }

    fn calibrated_cost(&self, now: Timestamp, index: EndpointIndex) -> f64 {
        self.latency_cost
            .calibrated_cost(&self.endpoints, now, index)
    }
}
