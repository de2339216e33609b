//! Calibrated cost of endpoints: a running average of observed over estimated latency, as in the
//! query cost calibrator. The estimate is the request's latency objective.
//!
//! There are two averages per endpoint. The calibrated cost has a long window and ranks replicas.
//! The load estimate has a short window, is a multiple of the shortest latency objective, and shows
//! queueing. Attempts in flight contribute their age, like censored observations in a mean
//! lifetime: the estimates rise with a hang, a cut link, a slow machine or a queue before any
//! timeout. Known limitation: a class that is far slower than its objective distorts the estimates.
//! Each average starts from a prior: the mean of the replica set, or of all endpoints of the same
//! role. Owns the averages and the router's request rate; it must never eject or select an
//! endpoint.

use crate::decaying_average::DecayingAverage;
use crate::endpoint_list::{Attempt, EndpointIndex, EndpointList};
use crate::units::{Nanos, Timestamp};

/// Averaging window of the calibrated cost, as a multiple of the longest latency objective.
const COST_WINDOW: f64 = 2.0;
/// Smallest number of samples in the averaging window of an endpoint's calibrated cost, at this
/// router's request rate.
const COST_MIN_SAMPLES: f64 = 2.0;
/// Smallest number of samples in the averaging window of an endpoint's load estimate, at this
/// router's request rate.
const LOAD_MIN_SAMPLES: f64 = 1.0;
/// Smallest number of samples in the averaging window of a role's load estimate, at this router's
/// request rate.
const ROLE_LOAD_MIN_SAMPLES: f64 = 8.0;
/// Averaging window of the request rate, as a multiple of the longest latency objective.
const REQUEST_RATE_WINDOW: f64 = 8.0;
/// Weight, in samples, of the prior in the calibrated cost of each endpoint: without recent
/// samples, the cost returns to the mean of the replica set.
pub(crate) const PRIOR_WEIGHT: f64 = 1.0;
/// Weight, in samples at the latency objective, with which the mean of a replica set starts.
const REPLICA_SET_PRIOR_WEIGHT: f64 = 0.2;
/// Smallest weight, in samples, of the load estimate of a role in the prior.
const ROLE_PRIOR_MIN_WEIGHT: f64 = 0.2;

/// Latency samples of one endpoint.
#[derive(Default)]
pub(crate) struct LatencySamples {
    /// Samples of the calibrated cost, each as a multiple of its request's latency objective.
    cost: DecayingAverage,
    /// Samples of the load estimate, as multiples of the shortest latency objective.
    load: DecayingAverage,
    /// Send time of the attempt that was sent last among those that it has served.
    latest_served_send: Timestamp,
}

impl LatencySamples {
    /// Records that an attempt sent at `sent_at` was served.
    pub(crate) fn record_served(&mut self, sent_at: Timestamp) {
        self.latest_served_send = self.latest_served_send.max(sent_at);
    }
}

/// Prior of an average: the weighted sum of its samples, and their weight in samples.
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
    /// Requests of this router: their rate limits the rate of samples.
    requests: DecayingAverage,
    /// Load samples of all replicas, as multiples of the shortest latency objective.
    replica_load: DecayingAverage,
    /// Load samples of all primaries, as multiples of the shortest latency objective.
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

    /// Counts a request and returns the number of recent requests.
    pub(crate) fn record_request(&mut self, now: Timestamp) -> f64 {
        self.requests
            .add(now, REQUEST_RATE_WINDOW * self.max_objective, 1.0);
        self.requests.count_at_last_sample()
    }

    /// Returns the mean time between this router's requests, nanoseconds.
    fn request_interval(&self, now: Timestamp) -> f64 {
        let window = REQUEST_RATE_WINDOW * self.max_objective;
        let (_, requests) = self.requests.totals(now, window);
        window / requests.max(1.0)
    }

    /// Returns the averaging window of an endpoint's calibrated cost, nanoseconds: long enough for
    /// a router with few requests to have samples.
    fn cost_window(&self, list: &EndpointList, now: Timestamp) -> f64 {
        let sample_interval = self.request_interval(now) * list.len() as f64;
        (COST_WINDOW * self.max_objective).max(COST_MIN_SAMPLES * sample_interval)
    }

    /// Returns the averaging window of an endpoint's load estimate, nanoseconds.
    fn load_window(&self, list: &EndpointList, now: Timestamp) -> f64 {
        let sample_interval = self.request_interval(now) * list.len() as f64;
        self.min_objective.max(LOAD_MIN_SAMPLES * sample_interval)
    }

    /// Returns the averaging window of a role's load estimate, nanoseconds.
    fn role_load_window(&self, now: Timestamp) -> f64 {
        self.min_objective
            .max(ROLE_LOAD_MIN_SAMPLES * self.request_interval(now))
    }

    /// Returns observed over estimated latency, pooled over the replica set's endpoints; 1 without
    /// samples.
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

    /// Returns the calibrated cost of an endpoint, as a multiple of the latency objective.
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

    /// Returns the load estimate of an endpoint: its latency over a short window, as a multiple of
    /// the shortest latency objective.
    pub(crate) fn load(&self, list: &EndpointList, now: Timestamp, index: EndpointIndex) -> f64 {
        let endpoint = &list[index];
        // If an attempt that was sent later, by more than the shortest latency objective, has been
        // served already, this one is not in a queue: it takes long to execute, or its response is
        // lost. Within a shorter time, endpoints with several cores complete attempts out of order
        // by chance.
        let latest_served_send = endpoint.latency.latest_served_send;
        let margin = self.min_objective as Nanos;
        let in_flight_age: f64 = endpoint
            .in_flight
            .iter()
            .filter(|attempt| attempt.sent_at.saturating_add(margin) >= latest_served_send)
            .map(|attempt| age(now, attempt) / self.min_objective)
            .sum();
        let prior = self.role_prior(list, now, index);
        let window = self.load_window(list, now);
        let (sum, count) = endpoint.latency.load.totals(now, window);
        (sum + in_flight_age + prior.sum) / (count + prior.weight)
    }

    /// Returns the number of samples in the endpoint's load estimate.
    pub(crate) fn load_sample_count(
        &self,
        list: &EndpointList,
        now: Timestamp,
        index: EndpointIndex,
    ) -> f64 {
        let window = self.load_window(list, now);
        list[index].latency.load.totals(now, window).1
    }

    /// Returns the prior of an endpoint's load estimate: the mean over the endpoints of the same
    /// role in all replica sets, combined with the recent samples of the others in its own replica
    /// set.
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

    /// Adds a sample to the calibrated cost of an endpoint: the latency of a response, or the time
    /// spent without one, nanoseconds.
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

    /// Adds a sample, nanoseconds, to the load estimate of the endpoint but not of its role.
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

    /// Adds the latency of a served attempt, nanoseconds, to the load estimates of the endpoint and
    /// of its role. Only served attempts count for the role, so that one faulty endpoint does not
    /// raise the estimates of all.
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

/// Returns the time since the attempt was sent, nanoseconds.
fn age(now: Timestamp, attempt: &Attempt) -> f64 {
    now.saturating_sub(attempt.sent_at) as f64
}
