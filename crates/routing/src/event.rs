//! Input of the balancer: what has happened, as plain data without policy.

use crate::units::{EndpointId, Nanos, RequestId, Timestamp};
use std::sync::Arc;

/// State of an endpoint in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Serving,
    /// Finishing its work in progress; it gets no new work.
    Draining,
    /// Removed (in changes only).
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When its process last started (0: long ago).
    pub started: Timestamp,
    /// Whether the list names it as its replica set's primary.
    pub is_primary: bool,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to others.
    pub weight: f64,
    /// Its replica set.
    pub replica_set: u32,
    /// Its zone.
    pub zone: u32,
}

/// What kind of list has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as this router last stored it, possibly outdated.
    Cached,
    /// A call to the discovery service failed, or the subscription broke; the old list stays valid.
    Failed,
}

/// A client's request, to be answered once.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, as counted in [`Settings::classes`](crate::Settings::classes).
    pub class: u32,
    /// The replica set whose endpoints may answer it.
    pub replica_set: u32,
    /// Its session, where it has one.
    pub session: Option<Arc<str>>,
    /// Time since its session's last write was committed, nanoseconds, where requests carry it.
    pub since_write: Option<Nanos>,
    /// Its tenant, as counted in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: Option<u32>,
    /// Expected execution time, nanoseconds, where the client states it.
    pub expected_execution_time: Option<Nanos>,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// Time until the client's deadline, nanoseconds.
    pub time_left: Nanos,
}

/// An endpoint's role, as it reports itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It applies the primary's log.
    Replica,
}

/// What an endpoint reports about itself: with a response as of that response, in a report as of
/// some time earlier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Its role.
    pub role: Option<Role>,
    /// All commits up to this time are applied there; for a served write, the time of its commit.
    pub applied_position: Option<Timestamp>,
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered.
    Served,
    /// The endpoint returned an error; an effect may have occurred.
    Error,
    /// Rejected before execution: the endpoint is at capacity or draining.
    Overloaded,
    /// No response in time; possibly executed.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; possibly executed.
    ConnectionReset,
    /// Cancelled by the router; possibly executed.
    Cancelled,
    /// Never sent.
    Abandoned,
    /// Rejected before execution: not the primary, or too far behind.
    Misrouted,
    /// The response can't be parsed; executed.
    MalformedResponse,
    /// The router had no connection to send it on in time: no evidence about the endpoint.
    NotSent,
    /// The endpoint rejected the request as invalid, as any other would.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt was never executed.
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

/// How an attempt ended. Every [`Action::Send`](crate::Action::Send) gets exactly one.
#[derive(Debug, Clone)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The attempt, counted from 0 in the order of the request's sends.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// What the response says about the endpoint.
    pub replication: ReplicationStatus,
    /// The report that came along, if any.
    pub report: ReplicationStatus,
    /// Time since it was sent, nanoseconds.
    pub latency: Nanos,
    /// The request is complete, by this outcome or before it.
    pub is_request_complete: bool,
}

/// What has happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A change of the endpoint list.
    List {
        /// What kind of list.
        kind: ListKind,
        /// Its entries; none with [`ListKind::Failed`].
        entries: Vec<EndpointEntry>,
    },
    /// A client's request.
    Request(Request),
    /// The end of an attempt.
    AttemptEnded(AttemptEnded),
    /// A streamed response has begun: the request's deadline no longer applies.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
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
        /// As given with [`Action::SetTimer`](crate::Action::SetTimer).
        token: u64,
    },
    /// The result of a health check.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// What the endpoint reported.
        report: ReplicationStatus,
    },
}
