//! A request without a final response: its time limits, its attempts, and the decisions made at its
//! arrival.
//!
//! Plain state of one request; it must never make a decision about the request.

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
    /// End of its latency objective, or its deadline if that is earlier.
    pub(crate) objective_end: Timestamp,
    /// Latency objective, nanoseconds.
    pub(crate) latency_objective: Nanos,
    /// Log position, as a commit time, that its endpoint must have applied for the session, if any.
    pub(crate) required_position: Option<Timestamp>,
    pub(crate) attempts_sent: u32,
    /// Attempts that are in flight, or have ended without proof that they were never executed.
    pub(crate) possibly_executed: Vec<SentAttempt>,
    /// Number of attempts in flight.
    pub(crate) in_flight: u32,
    /// Endpoints that the next attempt must avoid, since earlier ones were sent there.
    pub(crate) tried: Vec<EndpointIndex>,
    pub(crate) is_over_quota: bool,
    /// Random number in `[0, 1)`, drawn once per request, that determines whether an endpoint in
    /// slow start admits it. A rejection at capacity doubles it, to at least 1.
    pub(crate) admission_draw: f64,
    /// Whether a streamed response has begun.
    pub(crate) is_streaming: bool,
    /// Whether it is in the queue of its replica set, or just removed from it for another dispatch.
    pub(crate) is_queued: bool,
}

impl PendingRequest {
    pub(crate) fn arrived_at(&self) -> Timestamp {
        self.deadline.saturating_sub(self.request.time_left)
    }

    pub(crate) fn has_tried(&self, index: EndpointIndex) -> bool {
        self.tried.contains(&index)
    }

    /// Returns the endpoints that it refers to; some may occur twice.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        let possibly_executed = self.possibly_executed.iter().map(|sent| sent.endpoint);
        self.tried.iter().copied().chain(possibly_executed)
    }
}
