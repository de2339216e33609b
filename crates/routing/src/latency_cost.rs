//! Calibrated cost of endpoints: a running average of observed over estimated latency, as in the
//! query cost calibrator, where the estimate is the request's latency objective.
//!
//! Two estimates are kept. The calibrated cost averages over a long window and ranks replicas. The
//! load estimate averages over a short window, in shortest latency objectives, and shows queueing.
//! Attempts in flight count with their age, as censored observations do in the mean of a lifetime:
//! the estimate rises with a hang, a cut link, a slow machine or a queue before any time-out. This
//! could mislead where one class is far slower than its objective. Each average starts from a
//! prior: the replica set's mean, or the mean of all endpoints of the same role. Owns the averages
//! and the router's request rate; it must never eject or select an endpoint.

use crate::decaying_average::DecayingAverage;
use crate::endpoint_list::{Attempt, EndpointIndex, EndpointList};
use crate::units::{Nanos, Timestamp};

/// Averaging window of the calibrated cost, in longest latency objectives.
const COST_WINDOW: f64 = 2.0;
/// Samples that the calibrated cost of an endpoint covers at least, at this router's request rate.
const COST_MIN_SAMPLES: f64 = 2.0;
/// Samples that the load estimate of an endpoint covers at least, at this router's request rate.
const LOAD_MIN_SAMPLES: f64 = 1.0;
/// Samples that the load estimate of a role covers at least, at this router's request rate.
const ROLE_LOAD_MIN_SAMPLES: f64 = 8.0;
/// Window of the request rate, in longest latency objectives.
const REQUEST_RATE_WINDOW: f64 = 8.0;
/// Weight, in samples, of the replica set's mean in each endpoint's average: an endpoint without
/// recent samples drifts back to it.
pub(crate) const PRIOR_WEIGHT: f64 = 1.0;
/// Samples, each at the latency objective, with which a replica set's mean starts.
const REPLICA_SET_PRIOR_WEIGHT: f64 = 0.2;
/// Least weight, in samples, of the load estimate of a role.
const ROLE_PRIOR_MIN_WEIGHT: f64 = 0.2;

/// Latency samples of one endpoint.
#[derive(Default)]
pub(crate) struct LatencySamples {
    /// In the latency objectives of their requests.
    cost: DecayingAverage,
    /// In shortest latency objectives.
    load: DecayingAverage,
    /// When the latest attempt that it has served was sent.
    latest_served_send: Timestamp,
}

impl LatencySamples {
    /// An attempt that was sent at `sent_at` was served.
    pub(crate) fn record_served(&mut self, sent_at: Timestamp) {
        self.latest_served_send = self.latest_served_send.max(sent_at);
    }
}

/// A mean and the number of samples that it stands for.
struct Prior {
    sum: f64,
    weight: f64,
}

/// Calibrated costs and load estimates.
///
/// Invariant: `0 < min_objective <= max_objective`.
pub(crate) struct LatencyCost {
    /// Shortest latency objective of all classes, nanoseconds.
    pub(crate) min_objective: f64,
    /// Longest latency objective of all classes, nanoseconds.
    pub(crate) max_objective: f64,
    /// This router's requests: how fast evidence comes in.
    requests: DecayingAverage,
    /// Load samples of all replicas, in shortest latency objectives.
    replica_load: DecayingAverage,
    /// Load samples of all primaries, in shortest latency objectives.
    primary_load: DecayingAverage,
}

impl LatencyCost {
    pub(crate) fn new(min_objective: Nanos, max_objective: Nanos) -> LatencyCost {
        LatencyCost {
            min_objective: min_objective as f64,
            max_objective: max_objective as f64,
            requests: DecayingAverage::default(),
            replica_load: DecayingAverage::default(),
            primary_load: DecayingAverage::default(),
        }
    }

    /// Counts a request; returns the number of recent requests.
    pub(crate) fn record_request(&mut self, now: Timestamp) -> f64 {
        self.requests
            .add(now, REQUEST_RATE_WINDOW * self.max_objective, 1.0);
        self.requests.count_at_last_sample()
    }

    /// Mean time between this router's requests, nanoseconds.
    fn request_interval(&self, now: Timestamp) -> f64 {
        let window = REQUEST_RATE_WINDOW * self.max_objective;
        let (_, requests) = self.requests.totals(now, window);
        window / requests.max(1.0)
    }

    /// Time constant of an endpoint's calibrated cost, nanoseconds: never so short that a router
    /// with few requests would have no evidence.
    fn cost_window(&self, list: &EndpointList, now: Timestamp) -> f64 {
        let sample_interval = self.request_interval(now) * list.len() as f64;
        (COST_WINDOW * self.max_objective).max(COST_MIN_SAMPLES * sample_interval)
    }

    /// Time constant of an endpoint's load estimate, nanoseconds.
    fn load_window(&self, list: &EndpointList, now: Timestamp) -> f64 {
        let sample_interval = self.request_interval(now) * list.len() as f64;
        self.min_objective.max(LOAD_MIN_SAMPLES * sample_interval)
    }

    /// Time constant of a role's load estimate, nanoseconds.
    fn role_load_window(&self, now: Timestamp) -> f64 {
        self.min_objective
            .max(ROLE_LOAD_MIN_SAMPLES * self.request_interval(now))
    }

    /// Observed over estimated latency of the replica set's endpoints together. It starts at one.
    pub(crate) fn replica_set_factor(
        &self,
        list: &EndpointList,
        now: Timestamp,
        replica_set: u32,
    ) -> f64 {
        let window = self.cost_window(list, now);
        let mut observed = REPLICA_SET_PRIOR_WEIGHT;
        let mut estimated = REPLICA_SET_PRIOR_WEIGHT;
        for &index in list.replica_set_endpoints(replica_set) {
            let (sum, count) = list[index].latency.cost.totals(now, window);
            observed += sum;
            estimated += count;
        }
        observed / estimated
    }

    /// Calibrated cost of an endpoint, in latency objectives.
    pub(crate) fn calibrated_cost(
        &self,
        list: &EndpointList,
        now: Timestamp,
        index: EndpointIndex,
    ) -> f64 {
        let endpoint = &list[index];
        let in_flight_age: f64 = endpoint
            .in_flight
            .iter()
            .map(|attempt| age(now, attempt) / attempt.latency_objective)
            .sum();
        let window = self.cost_window(list, now);
        let prior = self.replica_set_factor(list, now, endpoint.replica_set);
        let (sum, count) = endpoint.latency.cost.totals(now, window);
        (sum + in_flight_age + prior) / (count + PRIOR_WEIGHT)
    }

    /// Latency of an endpoint over a short window, in shortest latency objectives.
    pub(crate) fn load(&self, list: &EndpointList, now: Timestamp, index: EndpointIndex) -> f64 {
        let endpoint = &list[index];
        // An attempt that was overtaken by one sent a shortest objective later is not in a queue:
        // it runs for long, or its response is lost. Over a shorter time, endpoints with several
        // cores overtake by chance.
        let overtaken_before = endpoint.latency.latest_served_send;
        let margin = self.min_objective as Nanos;
        let in_flight_age: f64 = endpoint
            .in_flight
            .iter()
            .filter(|attempt| attempt.sent_at.saturating_add(margin) >= overtaken_before)
            .map(|attempt| age(now, attempt) / self.min_objective)
            .sum();
        let prior = self.role_prior(list, now, index);
        let window = self.load_window(list, now);
        let (sum, count) = endpoint.latency.load.totals(now, window);
        (sum + in_flight_age + prior.sum) / (count + prior.weight)
    }

    /// Number of samples in the endpoint's load estimate.
    pub(crate) fn load_sample_count(
        &self,
        list: &EndpointList,
        now: Timestamp,
        index: EndpointIndex,
    ) -> f64 {
        let window = self.load_window(list, now);
        list[index].latency.load.totals(now, window).1
    }

    /// The mean load of endpoints of the same role: of all replica sets together, and of the other
    /// endpoints of its own, as far as these have recent samples.
    fn role_prior(&self, list: &EndpointList, now: Timestamp, index: EndpointIndex) -> Prior {
        let is_primary = list.is_confirmed_primary(index);
        let role_load = if is_primary {
            &self.primary_load
        } else {
            &self.replica_load
        };
        let (sum, count) = role_load.totals(now, self.role_load_window(now));
        let mut observed = sum / count.max(1.0);
        let mut weight = count.clamp(ROLE_PRIOR_MIN_WEIGHT, 1.0);
        let window = self.load_window(list, now);
        for &other in list.replica_set_endpoints(list[index].replica_set) {
            if other == index || list.is_confirmed_primary(other) != is_primary {
                continue;
            }
            let (sum, count) = list[other].latency.load.totals(now, window);
            observed += sum;
            weight += count;
        }
        Prior {
            sum: observed / weight.max(1.0),
            weight: weight.min(1.0),
        }
    }

    /// Adds a sample of the calibrated cost: a response, or none in time.
    pub(crate) fn record_cost(
        &self,
        list: &mut EndpointList,
        now: Timestamp,
        index: EndpointIndex,
        latency: f64,
        latency_objective: f64,
    ) {
        let window = self.cost_window(list, now);
        list[index]
            .latency
            .cost
            .add(now, window, latency / latency_objective);
    }

    /// Adds a sample of the endpoint's load estimate only.
    pub(crate) fn record_load(
        &self,
        list: &mut EndpointList,
        now: Timestamp,
        index: EndpointIndex,
        latency: f64,
    ) {
        let window = self.load_window(list, now);
        let sample = latency / self.min_objective;
        list[index].latency.load.add(now, window, sample);
    }

    /// Adds a served attempt to the load estimates of the endpoint and of its role. Only served
    /// attempts count for the role, so that one faulty endpoint is not taken for all.
    pub(crate) fn record_served_load(
        &mut self,
        list: &mut EndpointList,
        now: Timestamp,
        index: EndpointIndex,
        latency: f64,
    ) {
        self.record_load(list, now, index, latency);
        let window = self.role_load_window(now);
        let role_load = if list.is_confirmed_primary(index) {
            &mut self.primary_load
        } else {
            &mut self.replica_load
        };
        role_load.add(now, window, latency / self.min_objective);
    }
}

/// Time since the attempt was sent, nanoseconds.
fn age(now: Timestamp, attempt: &Attempt) -> f64 {
    now.saturating_sub(attempt.sent_at) as f64
}
