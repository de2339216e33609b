//! The router's counters: totals since the start, printed on SIGUSR1 and at exit.
//!
//! The single thread that runs all tasks owns them; they need no synchronization. A counter only ever rises.
//! `docs/operate/counters.md` explains each to the operator.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Totals since the start of the process. [`fmt::Display`] writes them as `name=value`, separated by spaces.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)+
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name.get())),+];
                for (i, (name, value)) in all.iter().enumerate() {
                    let separator = if i > 0 { " " } else { "" };
                    write!(f, "{separator}{name}={value}")?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    clients,
    /// Failed accepts, mostly for lack of a file descriptor.
    accept_errors,
    /// Idle connections, to clients or endpoints, closed to free their file descriptors.
    connections_evicted,
    /// Idle client connections that were about to be closed when a request arrived, and stayed open for it.
    late_request_served,
    /// Requests received.
    requests,
    /// Statements and messages answered with an error by the router itself, because they are invalid or unsupported,
    /// and requests under an id that is already in use.
    invalid_statements,
    /// Requests answered with an endpoint's response.
    served,
    /// Requests rejected without a result; the client may retry.
    rejected,
    /// Requests answered with a failure; they may have been executed.
    failed,
    /// Requests whose client disconnected or cancelled before the answer.
    client_left,
    /// Requests that the balancer left unanswered beyond their deadline, so that the router answered them.
    deadline_exceeded,
    /// Requests rejected or failed with [`RejectReason::UnknownClass`](reelrill_routing::RejectReason).
    rejected_unknown_class,
    /// The same with `UnknownReplicaSet`.
    rejected_unknown_replica_set,
    /// The same with `DeadlineTooClose`.
    rejected_deadline_too_close,
    /// The same with `AttemptLimitReached`.
    rejected_attempt_limit_reached,
    /// The same with `NoEligibleEndpoint`.
    rejected_no_eligible_endpoint,
    /// The same with `LoadShed`.
    rejected_load_shed,
    /// The same with `NotRetryable`.
    rejected_not_retryable,
    /// The same with `AttemptTimedOut`.
    rejected_attempt_timed_out,
    /// The same with `RetryBudgetExhausted`.
    rejected_retry_budget_exhausted,
    /// The same with `InvalidRequest`.
    rejected_invalid_request,
    /// Attempts started. Each ends with exactly one of the outcomes below.
    attempts,
    /// Attempts with [`AttemptOutcome::Served`](reelrill_routing::AttemptOutcome).
    attempts_served,
    /// The same with `Error`.
    attempts_error,
    /// The same with `Overloaded`.
    attempts_overloaded,
    /// The same with `TimedOut`.
    attempts_timed_out,
    /// The same with `ConnectFailed`.
    attempts_connect_failed,
    /// The same with `ConnectionReset`.
    attempts_connection_reset,
    /// The same with `Cancelled`.
    attempts_cancelled,
    /// The same with `Abandoned`.
    attempts_abandoned,
    /// The same with `Misrouted`.
    attempts_misrouted,
    /// The same with `MalformedResponse`.
    attempts_malformed_response,
    /// The same with `NotSent`.
    attempts_not_sent,
    /// The same with `InvalidRequest`.
    attempts_invalid_request,
    /// Attempts that the router ended before they were written, so that they were never executed.
    attempts_unwritten,
    /// Those of `attempts_unwritten` whose client had disconnected or cancelled.
    attempts_unwritten_client_left,
    /// Requests whose client had disconnected before the dispatcher admitted them.
    client_left_before_admission,
    /// Parse messages for prepared statements sent to endpoints.
    statements_prepared,
    /// Prepared statements that an endpoint no longer had, and that were prepared again.
    statements_reprepared,
    /// Cancel requests received from clients.
    cancel_requests,
    /// Cancel requests whose key named an open client connection.
    cancel_requests_matched,
    /// Endpoints that the merge of several sources added to the endpoint list.
    endpoints_added,
    /// Endpoints that this merge removed from the endpoint list.
    endpoints_removed,
    /// DNS queries sent for service records.
    dns_queries,
    /// Connections to endpoints begun.
    connects,
    /// Connections to endpoints that failed because the endpoint had no capacity for another.
    connects_rejected,
    /// Connections to endpoints that were refused, or broke before the session was ready.
    connects_failed,
    /// Connections to endpoints that were not ready within the connect timeout.
    connects_timed_out,
    /// Health checks sent to endpoints.
    health_checks,
    /// Connection pools started, each at the first use of its endpoint.
    pools_started,
    /// Connection pools stopped after a time without use.
    pools_retired,
    /// Polls of the discovery service.
    list_polls,
    /// Polls answered with another HTTP status than 200.
    list_rejected,
    /// Polls without a complete response in time.
    list_timed_out,
    /// Polls whose connection could not be made or broke.
    list_connection_failed,
    /// Polls whose response was not a valid endpoint list.
    list_malformed,
}

/// Adds one to a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
