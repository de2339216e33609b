//! Output of the balancer: what the router has to carry out, in order, as plain data without
//! policy.

use crate::units::{EndpointId, Nanos, RequestId, Timestamp};

/// Why a request was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No such class.
    UnknownClass,
    /// The list names no endpoint of its replica set.
    UnknownReplicaSet,
    /// Too little time is left for a response that still has value.
    DeadlineTooClose,
    /// It has had as many attempts as are allowed.
    AttemptLimitReached,
    /// No endpoint of its replica set is expected to accept it within half of its time.
    NoEligibleEndpoint,
    /// Overload: the selected endpoint would probably respond too late.
    LoadShed,
    /// Possibly executed, and its class or its key's deduplication window does not allow another
    /// attempt.
    NotRetryable,
    /// An attempt had no response until its time was over.
    AttemptTimedOut,
    /// The retry budget is exhausted.
    RetryBudgetExhausted,
    /// An endpoint rejected it as invalid.
    InvalidRequest,
}

/// What the router has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time limit of the attempt, nanoseconds; none: the request's deadline.
        limit: Option<Nanos>,
        /// It must not be written later than this: the deduplication window of an earlier, possibly
        /// executed attempt is then over. An attempt that can't be written by then ends as
        /// [`AttemptOutcome::NotSent`](crate::AttemptOutcome::NotSent).
        write_by: Option<Timestamp>,
    },
    /// Final response: not executed, or safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RejectReason,
        /// Retry-After advice, nanoseconds.
        retry_after: Option<Nanos>,
    },
    /// Final response: failed; its effect is unknown.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RejectReason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Delay from now, nanoseconds.
        after: Nanos,
        /// Handed back with the event.
        token: u64,
    },
    /// Send an endpoint a health check.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Fetch the whole endpoint list once.
    FetchList,
}
