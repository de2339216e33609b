//! Slow start: an endpoint that has just started gets a growing fraction of its usual load.
//!
//! Its capacity grows linearly from an initial fraction to the full capacity. A router does not
//! know the load that the others send, so each admits a request with a probability proportional to
//! the capacity: the sum over all routers then stays within the limit, whatever their number. One
//! random number per request decides for all its attempts. Owns no state; it must never admit load
//! that the operators' overload rule forbids ([`Rules::overload_multiple`] over
//! [`Rules::overload_window`]). Known limitation: it may delay the recovery of a busy replica set.

use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::pending_request::PendingRequest;
use crate::settings::{Consistency, Operation, Rules};
use crate::units::Timestamp;

/// Fraction of the overload multiple up to which a starting primary admits writes. The multiple
/// allows for random variation in one window, but not for the worst of all windows of a slow start.
const PRIMARY_WRITE_MARGIN: f64 = 0.85;

/// Returns the fraction of its full capacity that an endpoint started at `started` has at `now`.
pub(crate) fn capacity_fraction(rules: &Rules, started: Timestamp, now: Timestamp) -> f64 {
    if started == 0 || now >= started.saturating_add(rules.slow_start_duration) {
        return 1.0;
    }
    let progress = now.saturating_sub(started) as f64 / rules.slow_start_duration as f64;
    let initial = rules.slow_start_initial_fraction;
    initial + (1.0 - initial) * progress
}

impl Balancer {
    /// Returns the fraction of its full capacity that the endpoint has.
    pub(crate) fn capacity_fraction(&self, now: Timestamp, index: EndpointIndex) -> f64 {
        capacity_fraction(&self.settings.rules, self.endpoints[index].started, now)
    }

    /// Returns whether the slow start of the endpoint, if any, admits the request.
    pub(crate) fn admits_during_slow_start(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> bool {
        if self.capacity_fraction(now, index) >= 1.0 {
            return true;
        }
        let is_primary = self.current_primary(now, pending.request.replica_set) == Some(index);
        // Retries from all other endpoints would otherwise accumulate at the starting one.
        if pending.attempts_sent > 0 && !is_primary {
            return false;
        }
        // A queued request does not become admissible as the capacity grows: otherwise the new
        // requests of a window and those queued in the seconds before would arrive together.
        let capacity_at_arrival = self.capacity_fraction(now.min(pending.arrived_at()), index);
        let load_multiple = self.slow_start_load_multiple(is_primary, pending);
        pending.admission_draw < capacity_at_arrival * load_multiple
    }

    /// Returns the load, as a multiple of its capacity, up to which a starting endpoint admits
    /// requests of the same class. Writes have no other endpoint and get most of the overload
    /// multiple; reads get half of it.
    fn slow_start_load_multiple(&self, is_primary: bool, pending: &PendingRequest) -> f64 {
        let multiple = self.settings.rules.overload_multiple;
        match self.class(pending).operation {
            Operation::Write if is_primary => PRIMARY_WRITE_MARGIN * multiple,
            Operation::Read(
                Consistency::Eventual
                | Consistency::BoundedStaleness(_)
                | Consistency::ReadYourWrites,
            ) if !is_primary => multiple / 2.0,
            // If no other endpoint is eligible, all reads of the replica set are sent to this one:
            // it admits the share of one endpoint.
            Operation::Write | Operation::Read(_) => {
                let endpoint_count = self
                    .endpoints
                    .replica_set_endpoints(pending.request.replica_set)
                    .len();
                multiple / 2.0 / endpoint_count as f64
            }
        }
    }
}
