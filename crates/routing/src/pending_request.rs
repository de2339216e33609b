//! A request that has no final response yet: its limits of time, its attempts, and what was decided
//! for it at arrival.
//!
//! Plain state of one request; it must never decide what happens to the request.

use crate::endpoint_list::EndpointIndex;
use crate::event::Request;
use crate::units::{Nanos, Timestamp};

/// An attempt that is in flight or was possibly executed.
pub(crate) struct SentAttempt {
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointIndex,
    pub(crate) sent_at: Timestamp,
}

/// A request from its arrival to its final response.
///
/// Invariant: `in_flight <= attempts_sent`.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) deadline: Timestamp,
    /// When its latency objective, or if that is earlier its deadline, is over.
    pub(crate) objective_end: Timestamp,
    /// Latency objective, nanoseconds.
    pub(crate) latency_objective: Nanos,
    /// The position that its session needs, if any.
    pub(crate) required_position: Option<Timestamp>,
    pub(crate) attempts_sent: u32,
    pub(crate) possibly_executed: Vec<SentAttempt>,
    pub(crate) in_flight: u32,
    /// Endpoints that the next attempt avoids.
    pub(crate) tried: Vec<EndpointIndex>,
    pub(crate) is_over_quota: bool,
    /// One random number in `[0, 1)` for the request's whole life: an endpoint in slow start admits
    /// it or does not.
    pub(crate) admission_draw: f64,
    /// A streamed response has begun.
    pub(crate) is_streaming: bool,
    /// It waits in its replica set's queue, or was just taken from it to be dispatched again.
    pub(crate) is_queued: bool,
}

impl PendingRequest {
    pub(crate) fn arrived_at(&self) -> Timestamp {
        self.deadline.saturating_sub(self.request.time_left)
    }

    pub(crate) fn has_tried(&self, index: EndpointIndex) -> bool {
        self.tried.contains(&index)
    }

    /// The endpoints that it refers to.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        let executed = self.possibly_executed.iter().map(|sent| sent.endpoint);
        self.tried.iter().copied().chain(executed)
    }
}
