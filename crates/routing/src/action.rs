//! Output of the balancer: operations that the router carries out in order, as plain data without
//! policy.

use crate::units::{EndpointId, Nanos, RequestId, Timestamp};

/// Reason for rejecting or failing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The settings have no class with the request's index.
    UnknownClass,
    /// The endpoint list has no endpoint of the request's replica set.
    UnknownReplicaSet,
    /// Too little time is left until the deadline or, where a later response has no value, until
    /// the end of the latency objective.
    DeadlineTooClose,
    /// The request has had [`Limits::max_attempts`](crate::Limits::max_attempts) attempts.
    AttemptLimitReached,
    /// No endpoint of the replica set is expected to accept the request within the first half of
    /// the time from its arrival to its deadline.
    NoEligibleEndpoint,
    /// Load shedding: a response from the selected endpoint would probably be too late.
    LoadShed,
    /// The request was possibly executed, and its class or the deduplication window of its key does
    /// not allow another attempt.
    NotRetryable,
    /// An attempt got no response within its time limit.
    AttemptTimedOut,
    /// The retry budget is exhausted.
    RetryBudgetExhausted,
    /// An endpoint rejected the request as invalid.
    InvalidRequest,
}

/// Operation that the router carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time limit of the attempt, nanoseconds; `None` means the request's deadline.
        limit: Option<Nanos>,
        /// Latest time for writing the request: the deduplication window of an earlier, possibly
        /// executed attempt ends then, or the endpoint's data counts as older than the class's
        /// staleness bound. An attempt that can't be written by this time ends as
        /// [`AttemptOutcome::NotSent`](crate::AttemptOutcome::NotSent).
        write_by: Option<Timestamp>,
    },
    /// Return the final response that rejects the request: it was not executed, or the client may
    /// safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// Reason of the rejection.
        reason: RejectReason,
        /// Time after which the client is advised to retry, nanoseconds.
        retry_after: Option<Nanos>,
    },
    /// Return the final response that fails the request: its effect counts as unknown.
    Fail {
        /// The request.
        request: RequestId,
        /// Reason of the failure.
        reason: RejectReason,
    },
    /// Cancel an attempt in flight: its response is no longer needed.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0 in the order of the request's sends.
        attempt: u32,
    },
    /// Withdraw an attempt that has not been written yet, for example because it waits for a
    /// connection: its endpoint may no longer execute it. It ends as
    /// [`AttemptOutcome::NotSent`](crate::AttemptOutcome::NotSent). An attempt that has been
    /// written is not affected.
    Withdraw {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0 in the order of the request's sends.
        attempt: u32,
    },
    /// Deliver an [`Event::Timer`](crate::Event::Timer) after a delay.
    SetTimer {
        /// Delay from now, nanoseconds.
        after: Nanos,
        /// Token to return in the event.
        token: u64,
    },
    /// Send a health check to an endpoint.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Fetch the whole endpoint list once.
    FetchList,
}
