//! Defines the router's counters: totals since the start of the process, printed on SIGUSR1 and at exit.
//!
//! All tasks run on a single thread, so counters need no synchronization. A counter never decreases.
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
                for (index, (name, value)) in all.iter().enumerate() {
                    let separator = if index > 0 { " " } else { "" };
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
    /// Failed accepts of connections, mostly for lack of a file descriptor.
    accept_errors,
    /// Connections without a request in progress, to clients or endpoints, closed to free their file descriptors.
    connections_evicted,
    /// Client connections that were about to be closed when a request arrived, and stayed open to serve it.
    late_request_served,
    /// Requests received.
    requests,
    /// Statements and messages to which the router itself responded with an error, because they are invalid or
    /// unsupported, and requests with an id that is already in use.
    invalid_statements,
    /// Requests whose client received an endpoint's response.
    served,
    /// Requests rejected without a result; the client may retry.
    rejected,
    /// Requests that failed; they may have been executed.
    failed,
    /// Requests whose client disconnected or cancelled before the response.
    client_left,
    /// Waits of a client whose next request could not start because its response might not have fit in the memory for
    /// queued queries and responses.
    waits_for_pipeline_memory,
    /// Requests that the balancer had not finished by their deadline, so that the router responded by itself.
    deadline_exceeded,
    /// Requests rejected or failed with the reason [`RejectReason::UnknownClass`](reelrill_routing::RejectReason).
    rejected_unknown_class,
    /// Requests rejected or failed with the reason `UnknownReplicaSet`.
    rejected_unknown_replica_set,
    /// Requests rejected or failed with the reason `DeadlineTooClose`.
    rejected_deadline_too_close,
    /// Requests rejected or failed with the reason `AttemptLimitReached`.
    rejected_attempt_limit_reached,
    /// Requests rejected or failed with the reason `NoEligibleEndpoint`.
    rejected_no_eligible_endpoint,
    /// Requests rejected or failed with the reason `LoadShed`.
    rejected_load_shed,
    /// Requests rejected or failed with the reason `NotRetryable`.
    rejected_not_retryable,
    /// Requests rejected or failed with the reason `AttemptTimedOut`.
    rejected_attempt_timed_out,
    /// Requests rejected or failed with the reason `RetryBudgetExhausted`.
    rejected_retry_budget_exhausted,
    /// Requests rejected or failed with the reason `InvalidRequest`.
    rejected_invalid_request,
    /// Attempts started. Each ends with exactly one of the outcomes counted below.
    attempts,
    /// Attempts with the outcome [`AttemptOutcome::Served`](reelrill_routing::AttemptOutcome).
    attempts_served,
    /// Attempts with the outcome `Error`.
    attempts_error,
    /// Attempts with the outcome `Overloaded`.
    attempts_overloaded,
    /// Attempts with the outcome `TimedOut`.
    attempts_timed_out,
    /// Attempts with the outcome `ConnectFailed`.
    attempts_connect_failed,
    /// Attempts with the outcome `ConnectionReset`.
    attempts_connection_reset,
    /// Attempts with the outcome `Cancelled`.
    attempts_cancelled,
    /// Attempts with the outcome `Abandoned`.
    attempts_abandoned,
    /// Attempts with the outcome `Misrouted`.
    attempts_misrouted,
    /// Attempts with the outcome `MalformedResponse`.
    attempts_malformed_response,
    /// Attempts with the outcome `NotSent`.
    attempts_not_sent,
    /// Attempts with the outcome `InvalidRequest`.
    attempts_invalid_request,
    /// Attempts that the router ended before they were completely written to a connection, so that they were never
    /// executed.
    attempts_unwritten,
    /// Attempts among `attempts_unwritten` whose client had disconnected or cancelled.
    attempts_unwritten_client_left,
    /// Requests whose client had disconnected or cancelled before the dispatcher admitted them.
    client_left_before_admission,
    /// Turns of a task that kept all others from running for 20 ms or more.
    slow_turns,
    /// Pauses of clients that have used more than their share of processor time.
    client_pauses,
    /// Parse messages for prepared statements sent to endpoints.
    statements_prepared,
    /// Prepared statements that an endpoint no longer held, and that were prepared again.
    statements_reprepared,
    /// Cancel requests received from clients.
    cancel_requests,
    /// Cancel requests whose key named an open client connection.
    cancel_requests_matched,
    /// Endpoints that the merge of several sources added to the endpoint list.
    endpoints_added,
    /// Endpoints that the merge of several sources removed from the endpoint list.
    endpoints_removed,
    /// DNS queries sent for service records.
    dns_queries,
    /// Connections to endpoints started.
    connects,
    /// Connections to endpoints that failed because the endpoint had no capacity for another connection.
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
    /// Polls whose response had an HTTP status other than 200.
    list_rejected,
    /// Polls without a complete response in time.
    list_timed_out,
    /// Polls whose connection could not be established or broke.
    list_connection_failed,
    /// Polls whose response was not a valid endpoint list.
    list_malformed,
}

/// Adds one to a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
