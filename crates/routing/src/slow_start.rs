//! Slow start: an endpoint that has just started gets a growing part of its usual load.
//!
//! Its capacity grows linearly from an initial fraction to all of it. No router knows how much the
//! others send, so each admits a request with a probability in proportion to the capacity: the sum
//! over all routers keeps to the limit, however many there are. One random number per request
//! decides, for all its attempts. Owns no state; it must never let work through that the operators'
//! overload rule forbids. It could delay the return of a busy replica set.

use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::pending_request::PendingRequest;
use crate::settings::{Consistency, Operation, Rules};
use crate::units::Timestamp;

/// Part of the overload multiple that a starting primary takes of its writes. The multiple covers
/// chance in one window, and not the worst of all windows of the slow start.
const PRIMARY_WRITE_MARGIN: f64 = 0.85;

/// The fraction of its full capacity that an endpoint started at `started` has at `now`.
pub(crate) fn capacity_fraction(rules: &Rules, started: Timestamp, now: Timestamp) -> f64 {
    if started == 0 || now >= started.saturating_add(rules.slow_start_duration) {
        return 1.0;
    }
    let progress = now.saturating_sub(started) as f64 / rules.slow_start_duration as f64;
    let initial = rules.slow_start_initial_fraction;
    initial + (1.0 - initial) * progress
}

impl Balancer {
    /// The fraction of its full capacity that the endpoint has.
    pub(crate) fn capacity_fraction(&self, now: Timestamp, index: EndpointIndex) -> f64 {
        capacity_fraction(&self.settings.rules, self.endpoints[index].started, now)
    }

    /// Whether the endpoint may take the request as far as its slow start goes.
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
        // Retries would find their way to the starting endpoint from everywhere.
        if pending.attempts_sent > 0 && !is_primary {
            return false;
        }
        // What is queued does not become admissible as the capacity grows: otherwise the requests
        // of a window and the queued ones of the seconds before would come together.
        let capacity_at_arrival = self.capacity_fraction(now.min(pending.arrived_at()), index);
        let load_multiple = self.slow_start_load_multiple(is_primary, pending);
        pending.admission_draw < capacity_at_arrival * load_multiple
    }

    /// Load, as a multiple of the capacity, that a starting endpoint takes. Writes have no other
    /// endpoint and get most of the overload multiple, reads half.
    fn slow_start_load_multiple(&self, is_primary: bool, pending: &PendingRequest) -> f64 {
        let multiple = self.settings.rules.overload_multiple;
        match self.class(pending).operation {
            Operation::Write if is_primary => PRIMARY_WRITE_MARGIN * multiple,
            Operation::Read(
                Consistency::Eventual
                | Consistency::BoundedStaleness(_)
                | Consistency::ReadYourWrites,
            ) if !is_primary => multiple / 2.0,
            // When no other endpoint is eligible, all reads of the replica set come here: it takes
            // one endpoint's part.
            Operation::Write | Operation::Read(_) => {
                let members = self
                    .endpoints
                    .replica_set_endpoints(pending.request.replica_set)
                    .len();
                multiple / 2.0 / members as f64
            }
        }
    }
}
