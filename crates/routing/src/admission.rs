//! Admission control: tenants' quotas and load shedding.
//!
//! A request that would probably miss its latency objective is rejected at once, while the client
//! still has time to retry. The probability of rejection grows linearly with the latency expected
//! at the selected endpoint; requests over their tenant's quota, and reads that would go to the
//! primary, are rejected first. Owns the tenants' request rates; it must never reject an attempt
//! after the first one.

use crate::balancer::Balancer;
use crate::decaying_average::DecayingAverage;
use crate::endpoint_list::EndpointIndex;
use crate::event::Request;
use crate::latency_cost::PRIOR_WEIGHT;
use crate::pending_request::PendingRequest;
use crate::random::SplitMix64;
use crate::settings::Settings;
use crate::units::Timestamp;

/// Expected latency, in latency objectives, above which load shedding begins.
const SHED_START: f64 = 1.2;
/// Expected latency, in latency objectives, from which every request is shed.
const SHED_ALL: f64 = 2.1;
/// Factor on the expected latency, at the primary, of a read that a replica could serve.
const PRIMARY_READ_PENALTY: f64 = 2.0;
/// Factor on the expected latency of a request over its tenant's quota.
const OVER_QUOTA_PENALTY: f64 = 2.0;
/// Averaging window of a tenant's request rate, as a multiple of the longest latency objective.
const QUOTA_WINDOW: f64 = 4.0;
/// Nanoseconds per second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Returns the probability of rejecting a request whose expected latency is `expected_latency`
/// latency objectives; a value below 0 means never, above 1 always.
fn shed_probability(expected_latency: f64) -> f64 {
    (expected_latency - SHED_START) / (SHED_ALL - SHED_START)
}

/// Request rates of the tenants at this router.
///
/// Invariant: one average per tenant of the settings, in their order.
pub(crate) struct QuotaTracker {
    request_rates: Vec<DecayingAverage>,
    /// Averaging window, nanoseconds.
    window: f64,
}

impl QuotaTracker {
    pub(crate) fn new(settings: &Settings, max_objective: f64) -> QuotaTracker {
        QuotaTracker {
            request_rates: vec![DecayingAverage::default(); settings.tenants.len()],
            window: QUOTA_WINDOW * max_objective,
        }
    }

    /// Returns whether the request is over its tenant's quota, and counts it unless its client
    /// marked it as a retry. The tenant's rate is extrapolated from this router to all routers, and
    /// requests over the quota are chosen at random, in proportion to the excess.
    pub(crate) fn is_over_quota(
        &mut self,
        now: Timestamp,
        request: &Request,
        settings: &Settings,
        rng: &mut SplitMix64,
    ) -> bool {
        let index = request.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        let Some(tenant) = settings.tenants.get(index) else {
            return false;
        };
        let rate = &mut self.request_rates[index];
        rate.add(now, self.window, if request.is_retry { 0.0 } else { 1.0 });
        let (requests, _) = rate.totals(now, self.window);
        let routers = f64::from(settings.router_count.max(1));
        let requests_per_second = requests / (self.window / NANOS_PER_SECOND) * routers;
        rng.next_f64() < 1.0 - tenant.quota / requests_per_second
    }
}

impl Balancer {
    /// Returns whether load shedding rejects the request's first attempt at the endpoint. A
    /// recovery probe is never shed. Known limitation: a request is shed because of a queue at the
    /// selected endpoint, even if another endpoint of its replica set has none.
    pub(crate) fn is_shed(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> bool {
        if pending.attempts_sent > 0 || self.endpoints[index].health.is_ejected_for_errors {
            return false;
        }
        let expected_latency = self.expected_latency(now, index, pending);
        self.rng.next_f64() < shed_probability(expected_latency)
    }

    /// Returns a pessimistic estimate of the request's latency at the endpoint, in latency
    /// objectives of the request.
    fn expected_latency(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> f64 {
        let is_primary = self.current_primary(now, pending.request.replica_set) == Some(index);
        let mut penalty = 1.0;
        if is_primary && !self.needs_primary(pending) {
            penalty *= PRIMARY_READ_PENALTY;
        }
        if pending.is_over_quota {
            penalty *= OVER_QUOTA_PENALTY;
        }
        // A small number of samples may miss a queue: the fewer samples, the higher the estimate.
        let cost = &self.latency_cost;
        let samples = cost.load_sample_count(&self.endpoints, now, index);
        let uncertainty = 1.0 + 1.0 / (PRIOR_WEIGHT + samples);
        let load = cost.load(&self.endpoints, now, index);
        penalty * uncertainty * load * cost.min_objective / pending.latency_objective as f64
    }

    /// Returns whether any endpoint of the replica set may accept the request within the first half
    /// of the time from its arrival to its deadline.
    pub(crate) fn may_become_available(&self, now: Timestamp, pending: &PendingRequest) -> bool {
        let half_time = pending
            .deadline
            .saturating_sub(pending.request.time_left / 2)
            .max(now);
        self.endpoints
            .replica_set_endpoints(pending.request.replica_set)
            .iter()
            .any(|&index| self.endpoints[index].accepts_new_work(half_time))
    }
}
