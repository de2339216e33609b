//! What goes into the decision module and what comes out: plain data, no policy.

use std::sync::Arc;

/// A point on the host's clock, nanoseconds. It starts at no special value and only goes forward.
pub type Timestamp = u64;
/// A length of time, nanoseconds.
pub type Nanos = u64;
/// Identifies a client's request; never given twice to one balancer.
pub type RequestId = u64;
/// An endpoint's own name, such as `10.0.0.7:5432`; the same at every router, and kept over restarts.
pub type EndpointId = Arc<str>;

/// What a class of requests does to the data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A read, and how recent the data that answers it has to be.
    Read(Consistency),
    /// A write: only the primary takes it.
    Write,
}

/// How recent the data that answers a read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Any endpoint may answer.
    Eventual,
    /// Data no older than this when the request is sent.
    BoundedStaleness(Nanos),
    /// All that the session has written.
    ReadYourWrites,
    /// All that was written before the request came in.
    Strong,
}

/// Whether a request that may already have been executed can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it twice has the same effect as once.
    Idempotent,
    /// Carries a key; the endpoints of the scope drop a duplicate for the class's deduplication window.
    IdempotencyKey(KeyScope),
    /// Must never be executed twice.
    NonIdempotent,
}

/// The endpoints that share their record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one replica set.
    ReplicaSet,
}

/// One class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// What data may answer it.
    pub operation: Operation,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// How long a key is remembered (for [`Idempotency::IdempotencyKey`]).
    pub deduplication_window: Nanos,
    /// An answer within this time earns full worth.
    pub latency_objective: Nanos,
    /// The aim grows by this multiple of the request's own work (0: not at all).
    pub objective_stretch: f64,
    /// The client's whole patience over all its tries.
    pub deadline: Nanos,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// Share of the worth that a late answer still earns.
    pub late_weight: f64,
}

/// One tenant's share.
#[derive(Debug, Clone, Copy)]
pub struct Tenant {
    /// Requests a second inside its share, over all routers.
    pub quota: f64,
}

/// Where the endpoints' reports about themselves come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// With every answer and probe result.
    Answers,
    /// With probe results only.
    Probes,
    /// Nowhere.
    Silent,
}

/// What endpoints do with a read for which they are too far behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// They answer from what they have: the router alone keeps reads fresh.
    Serve,
    /// They reject it at once.
    Reject,
    /// They wait up to this long to catch up, then reject it.
    Wait(Nanos),
}

/// How far the list's word on the primary can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRole {
    /// It names the primary, some seconds late.
    Late,
    /// It names the primary as it was at the start.
    Start,
    /// It does not name the primary.
    Silent,
}

/// Figures of the rules that bind the router.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// New work to a draining or gone endpoint must stop within this time of being told.
    pub drain_grace: Nanos,
    /// Only an entry that says draining binds; being dropped from the list does not.
    pub only_draining_binds: bool,
    /// A cold endpoint starts with at least this share of its capacity.
    pub slow_start_initial_fraction: f64,
    /// And is warm after this time at the latest.
    pub slow_start_duration: Nanos,
    /// Work beyond this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this time pushes a cold endpoint over.
    pub overload_window: Nanos,
    /// Without a subscription, the list counts as known after this time.
    pub poll_interval: Nanos,
}

/// A process may be held up for this long between reading its clock and writing.
pub const SCHEDULING_DELAY: Nanos = 150_000_000;

impl Rules {
    /// How long after a drain was learned of a send may still begin. The scheduling delay is part of the grace, which
    /// counts to the first byte that is written; a grace that is no longer than the delay allows no send at all.
    pub fn drain_cutoff(&self) -> Nanos {
        self.drain_grace.saturating_sub(SCHEDULING_DELAY)
    }
}

/// What the router may do.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Probes are allowed.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub hedging: bool,
    /// Clients receive retry advice ...
    pub retry_advice: bool,
    /// ... and heed it up to this long.
    pub max_retry_advice: Nanos,
    /// A connection not made by then has failed.
    pub connect_timeout: Nanos,
}

/// All that a balancer is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of routers of this tier, this one included.
    pub router_count: u32,
    /// This router's zone.
    pub zone: u32,
    /// Shortest time between two rounds of events (0: none).
    pub round: Nanos,
    /// The classes, in the order that [`Request::class`] counts.
    pub classes: Vec<Class>,
    /// The tenants, in the order that [`Request::tenant`] counts; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// Where reports come from.
    pub reports: ReportSource,
    /// Whether answers carry positions.
    pub positions: bool,
    /// Whether session reads carry the age of their session's last write; if not, the balancer remembers.
    pub sessions_carry_position: bool,
    /// What endpoints do with reads for which they are too far behind.
    pub stale_reads: StaleReadPolicy,
    /// What the list says of the primary.
    pub list_role: ListRole,
    /// The list comes only to those that subscribe.
    pub must_subscribe: bool,
    /// The rules' figures.
    pub rules: Rules,
    /// What is allowed.
    pub limits: Limits,
}

/// Why [`Settings`] can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(
    /// The field, and what is wrong with it.
    pub String,
);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Says what contradicts itself in the settings, if anything does.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |text: String| Err(SettingsError(text));
        if self.classes.is_empty() {
            return bad("classes: none given".into());
        }
        for (i, c) in self.classes.iter().enumerate() {
            if c.latency_objective == 0 || c.deadline == 0 {
                return bad(format!("classes[{i}]: aim and deadline must be positive"));
            }
            if c.latency_objective > c.deadline {
                return bad(format!("classes[{i}]: the aim passes the deadline"));
            }
        }
        let r = &self.rules;
        if !(r.slow_start_initial_fraction > 0.0 && r.overload_multiple > 0.0)
            || r.overload_window == 0
            || r.slow_start_duration == 0
        {
            return bad(
                "rules: cold_from, fall_multiple, fall and warm_after must be positive".into(),
            );
        }
        if r.slow_start_initial_fraction > 1.0 {
            return bad("rules: cold_from is a share of 1 at the most".into());
        }
        if self.limits.max_attempts == 0 {
            return bad("limits: max_attempts must be at least 1".into());
        }
        Ok(())
    }
}

/// What the list says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Serving,
    /// Finishing its work; nothing new.
    Draining,
    /// Removed (in changes only).
    Removed,
}

/// One line of the list of endpoints.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it last started (0: long past).
    pub started: Timestamp,
    /// The list takes it for its replica set's primary.
    pub primary: bool,
    /// Its state.
    pub state: EndpointState,
    /// Its size as compared with others.
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
    /// The whole list as this router last had it, maybe old.
    Cached,
    /// A call to the list failed, or the subscription broke; the old list stands.
    Failed,
}

/// A client's request, to be answered once.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, as counted in [`Settings::classes`].
    pub class: u32,
    /// The replica set whose endpoints may answer it.
    pub replica_set: u32,
    /// Its session, where it has one.
    pub session: Option<Arc<str>>,
    /// How long ago its session's last write was committed, where requests carry this.
    pub since_write: Option<Nanos>,
    /// Its tenant, as counted in [`Settings::tenants`].
    pub tenant: Option<u32>,
    /// Anticipated work, where told.
    pub work: Option<Nanos>,
    /// The client marked it as a further try.
    pub is_retry: bool,
    /// Time until the client gives up.
    pub time_left: Nanos,
}

/// An endpoint's role, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It leads its replica set.
    Primary,
    /// It follows.
    Replica,
}

/// What an endpoint said of itself: with an answer as of that answer, in a report as of some time earlier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Its role.
    pub role: Option<Role>,
    /// All commits up to this time are applied there; for a served write, the time of its commit.
    pub applied_position: Option<Timestamp>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered.
    Served,
    /// The endpoint returned an error; an effect may have occurred.
    Error,
    /// Turned away unseen: the endpoint is full or draining.
    Overloaded,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Abandoned,
    /// Turned away untouched: not the primary, or too far behind.
    Misrouted,
    /// An answer came that can't be read; it has run.
    MalformedResponse,
    /// The host had no means of sending it in time: it says nothing of the endpoint.
    NotSent,
    /// The endpoint takes the request for none, as any other would.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Whether this ending proves that the attempt never ran.
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

/// How an attempt ended. Every [`Action::Send`] gets exactly one.
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
    /// What the answer said of the endpoint.
    pub replication: ReplicationStatus,
    /// The report that came along, if any.
    pub report: ReplicationStatus,
    /// Time since it was sent.
    pub latency: Nanos,
    /// The request is over, by this outcome or before it.
    pub closed: bool,
}

/// What has happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the endpoints.
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
    /// A streamed answer has begun: the request's deadline ceases to apply.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The client has left; nothing more is owed.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// As given with [`Action::SetTimer`].
        token: u64,
    },
    /// The result of a probe.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// What the endpoint reported.
        report: ReplicationStatus,
    },
}

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No such class.
    UnknownClass,
    /// The list names no endpoint of its replica set.
    UnknownReplicaSet,
    /// Too little of its time is left for an answer that is worth something.
    DeadlineTooClose,
    /// It has had as many attempts as are allowed.
    AttemptLimitReached,
    /// No endpoint of its replica set can take it within half of its time.
    NoEligibleEndpoint,
    /// The endpoint in turn is likely to answer too late: overload.
    LoadShed,
    /// It may have run, and its class or its key's window does not allow another attempt.
    NotRetryable,
    /// An attempt was silent until its time was over.
    AttemptTimedOut,
    /// The reserve of further attempts is spent.
    RetryBudgetExhausted,
    /// An endpoint took it for no request.
    InvalidRequest,
}

/// What the router is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Give the attempt up after this time; none: when the client gives up.
        limit: Option<Nanos>,
        /// It must not begin to run later than this: a copy that may have run is then forgotten by its key. Counts
        /// where a host has to wait before it can send; one that comes too late ends as [`Ending::Unsent`].
        by: Option<Timestamp>,
    },
    /// Final answer: not done, and trying again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RejectReason,
        /// How long the client should stay away.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed, with no assurance about its effect.
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
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// From now.
        after: Nanos,
        /// Handed back with the event.
        token: u64,
    },
    /// Ask an endpoint for its health.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
}
