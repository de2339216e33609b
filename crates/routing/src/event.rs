//! Input of the balancer: events at the router, as plain data without policy.

use crate::units::{EndpointId, Nanos, RequestId, Timestamp};
use std::sync::Arc;

/// State of an endpoint in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Serving,
    /// Completing its requests in flight: sends of new ones must stop within
    /// [`Rules::drain_grace`](crate::Rules::drain_grace) after the notification.
    Draining,
    /// Removed (only in [`ListKind::Changes`]).
    Removed,
}

/// Entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time of the last start of its process (0: long ago).
    pub started: Timestamp,
    /// Whether the list names it as the primary of its replica set.
    pub is_primary: bool,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Its replica set.
    pub replica_set: u32,
    /// Its zone.
    pub zone: u32,
}

/// Kind of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as this router last stored it, possibly outdated.
    Cached,
    /// A call to the discovery service failed, or the subscription broke; the previous list stays
    /// valid.
    Failed,
}

/// A client's request, which gets exactly one final response.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](crate::Settings::classes).
    pub class: u32,
    /// The replica set whose endpoints may execute it.
    pub replica_set: u32,
    /// Its session, if it has one.
    pub session: Option<Arc<str>>,
    /// Time since the last write of its session was committed, nanoseconds, if requests carry it
    /// ([`Settings::has_session_positions`](crate::Settings::has_session_positions)).
    pub since_write: Option<Nanos>,
    /// Index of its tenant in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: Option<u32>,
    /// Expected execution time, nanoseconds, if the client states it.
    pub expected_execution_time: Option<Nanos>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Time until the client's deadline, nanoseconds.
    pub time_left: Nanos,
}

/// Role that an endpoint reports for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It applies the primary's log.
    Replica,
}

/// Replication status that an endpoint reports: as of the response that carries it, or in a load
/// report as of some earlier time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Its role.
    pub role: Option<Role>,
    /// Position in the log, as a commit time: all commits up to this time are applied at the
    /// endpoint. For a served write, the time of its own commit.
    pub applied_position: Option<Timestamp>,
}

/// Outcome of an attempt or a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Executed, with a response.
    Served,
    /// The endpoint returned an error; possibly executed, so an effect may have occurred.
    Error,
    /// Rejected before execution: the endpoint is at capacity or draining.
    Overloaded,
    /// No response in time; possibly executed.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke; possibly executed.
    ConnectionReset,
    /// Cancelled by the router; possibly executed.
    Cancelled,
    /// Never sent: the client disconnected or the deadline passed before.
    Abandoned,
    /// Rejected before execution: the endpoint is not the primary, or too far behind it.
    Misrouted,
    /// Executed, but the response can't be parsed.
    MalformedResponse,
    /// Not sent, since the router had no connection to the endpoint in time: no evidence about the
    /// endpoint.
    NotSent,
    /// The endpoint rejected the request as invalid, as any other endpoint would.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Returns whether this outcome proves that the attempt was never executed.
    pub fn is_never_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Overloaded
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::Abandoned
                | AttemptOutcome::Misrouted
                | AttemptOutcome::NotSent
                | AttemptOutcome::InvalidRequest
        )
    }
}

/// End of an attempt. Every [`Action::Send`](crate::Action::Send) gets exactly one.
#[derive(Debug, Clone)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of the attempt, counted from 0 in the order of the request's sends.
    pub attempt: u32,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// Replication status of the endpoint as of the response; empty if the response carries none.
    pub replication: ReplicationStatus,
    /// Replication status in the load report that came with the response; empty without a report.
    pub report: ReplicationStatus,
    /// Time since the attempt was sent, nanoseconds.
    pub latency: Nanos,
    /// Whether the request needs no further attempt: it has its final response, by this outcome or
    /// an earlier one, or its client has disconnected.
    pub is_request_complete: bool,
}

/// Event that the router passes to the balancer.
#[derive(Debug, Clone)]
pub enum Event {
    /// An update of the endpoint list.
    List {
        /// Kind of the update.
        kind: ListKind,
        /// Entries of the list; none with [`ListKind::Failed`].
        entries: Vec<EndpointEntry>,
    },
    /// A client's request.
    Request(Request),
    /// The end of an attempt.
    AttemptEnded(AttemptEnded),
    /// The start of a streamed response: the request's deadline no longer applies.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt, as in [`AttemptEnded::attempt`].
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The client has disconnected; no response is needed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Token of the [`Action::SetTimer`](crate::Action::SetTimer).
        token: u64,
    },
    /// The end of a health check.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Outcome of the health check.
        outcome: AttemptOutcome,
        /// Replication status that the endpoint reported.
        report: ReplicationStatus,
    },
}
