//! Replica selection: which endpoint answers a read.
//!
//! Reads rotate (round robin) over the sufficiently fresh replicas whose calibrated cost is within
//! 20% of the cheapest, as in the query cost calibrator; the two cheapest take part in any case,
//! unless one costs far more. An ejected endpoint gets a recovery probe when one is due. The
//! primary takes reads only when it is far cheaper than every replica, or when none can. Owns the
//! order of the rotation; it must never choose an endpoint that is draining, ejected or not fresh
//! enough.

use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::pending_request::PendingRequest;
use crate::random::SplitMix64;
use crate::units::Timestamp;

/// Highest cost in the rotation, as a multiple of the cheapest replica's (from the design).
const ROTATION_COST_RATIO: f64 = 1.2;
/// Replicas that take part in the rotation up to [`OUTLIER_COST_RATIO`].
const MIN_ROTATION: usize = 2;
/// An endpoint that costs more than this multiple of the cheapest leaves the rotation in any case;
/// the primary takes reads when it is cheaper than every replica by this factor.
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
    /// The place of a new endpoint: last, in a random order. Routers that learn of the same
    /// endpoints at the same moment must not all turn to the same one first.
    pub(crate) fn initial_position(&self, rng: &mut SplitMix64) -> f64 {
        self.selections + rng.next_f64()
    }

    /// The next place at the end.
    fn next_position(&mut self) -> f64 {
        self.selections += 1.0;
        self.selections
    }
}

/// A replica that may answer the read, and its calibrated cost.
struct Candidate {
    index: EndpointIndex,
    cost: f64,
}

/// What the endpoints of a replica set offer for a read.
struct ReadCandidates {
    /// Replicas, the cheapest first.
    replicas: Vec<Candidate>,
    /// An ejected endpoint whose recovery probe is due.
    probe: Option<EndpointIndex>,
    primary: Option<EndpointIndex>,
}

impl Balancer {
    /// Accepts new work, is not ejected, and admits this request if it is in slow start.
    pub(crate) fn is_eligible(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.accepts_new_work(now)
            && !endpoint.health.is_ejected
            && self.admits_during_slow_start(now, index, pending)
    }

    /// Where a read goes that a replica may answer; none if it has to be queued.
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
        let primary_cost = candidates
            .primary
            .map(|index| OUTLIER_COST_RATIO * self.calibrated_cost(now, index));
        let cheapest = candidates.replicas.first().map(|replica| replica.cost);
        let is_primary_preferred = match (cheapest, primary_cost) {
            (Some(cheapest), Some(primary_cost)) => cheapest > primary_cost,
            _ => cheapest.is_none(),
        };
        if is_primary_preferred {
            return candidates.primary;
        }
        if let Some(index) = self.select_by_rotation(now, &candidates.replicas, pending) {
            return Some(index);
        }
        // All of the rotation is in slow start: the read goes to a more expensive replica, but not
        // to one that hangs while the primary does not: otherwise all routers would use that one as
        // their reserve.
        let highest_cost = primary_cost.unwrap_or(f64::INFINITY);
        candidates
            .replicas
            .iter()
            .find(|replica| {
                replica.cost <= highest_cost
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
            if endpoint.health.is_ejected {
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

    /// The replica whose turn it is and that admits the read. A replica in slow start loses its
    /// turn whether it takes the read or not.
    fn select_by_rotation(
        &mut self,
        now: Timestamp,
        replicas: &[Candidate],
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let cheapest = replicas.first()?.cost;
        let mut rotation: Vec<EndpointIndex> = Vec::new();
        for (rank, replica) in replicas.iter().enumerate() {
            let ratio = if rank < MIN_ROTATION {
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
