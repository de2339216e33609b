//! Configuration of a balancer: classes of requests, tenants, platform limits and their validation.
//!
//! Plain data, fixed for the lifetime of a balancer; it must never hold state or policy.

use crate::units::Nanos;

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
    /// Data that is no older than this when the request is sent, nanoseconds.
    BoundedStaleness(Nanos),
    /// Data with all earlier writes of the same session (read-your-writes).
    ReadYourWrites,
    /// Data with all writes that were committed before the request arrived.
    Strong,
}

/// Whether a request that may already have been executed can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it twice has the same effect as once.
    Idempotent,
    /// Carries a key; the endpoints of the scope drop a duplicate for the class's deduplication
    /// window.
    IdempotencyKey(KeyScope),
    /// Must never be executed twice.
    NonIdempotent,
}

/// The endpoints that share their record of idempotency keys, and so drop each other's duplicates.
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
    /// Whether it may be sent again after it was possibly executed.
    pub idempotency: Idempotency,
    /// How long a key is remembered, nanoseconds (for [`Idempotency::IdempotencyKey`]).
    pub deduplication_window: Nanos,
    /// Latency objective, nanoseconds: a response within this time has the full priority weight.
    pub latency_objective: Nanos,
    /// The latency objective grows by this multiple of the request's expected work (0: not at all).
    pub objective_stretch: f64,
    /// Deadline of the request over all its attempts, nanoseconds.
    pub deadline: Nanos,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective still has.
    pub late_weight: f64,
}

/// One tenant's quota.
#[derive(Debug, Clone, Copy)]
pub struct Tenant {
    /// Requests per second within its quota, over all routers.
    pub quota: f64,
}

/// Where the endpoints' reports about themselves come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// With every response and health check result.
    Responses,
    /// With health check results only.
    HealthChecks,
    /// Nowhere.
    None,
}

/// What endpoints do with a read for which they are too far behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// They serve it from the data that they have: the router alone keeps reads fresh.
    Serve,
    /// They reject it at once.
    Reject,
    /// They wait for the data up to this long, nanoseconds, then reject it.
    Wait(Nanos),
}

/// What the endpoint list says about the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRole {
    /// It names the primary, some seconds late.
    Delayed,
    /// It names the primary as it was at the start.
    Initial,
    /// It does not name the primary.
    None,
}

/// Limits that the router has to keep.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// New work for a draining or removed endpoint must stop within this time of the notification,
    /// nanoseconds.
    pub drain_grace: Nanos,
    /// Only an entry in state draining forbids new work; absence from the list does not.
    pub allows_unlisted_endpoints: bool,
    /// Slow start: an endpoint that has just started has at least this fraction of its capacity (0
    /// to 1).
    pub slow_start_initial_fraction: f64,
    /// Slow start: time from its start until an endpoint has its full capacity, nanoseconds.
    pub slow_start_duration: Nanos,
    /// Load above this multiple of its current capacity for `overload_window` overloads a starting
    /// endpoint.
    pub overload_multiple: f64,
    /// Averaging window of `overload_multiple`, nanoseconds.
    pub overload_window: Nanos,
    /// Without a subscription, a change of the list counts as notified after this time,
    /// nanoseconds.
    pub poll_interval: Nanos,
}

/// Longest delay by the operating system's scheduler between reading the clock and writing,
/// nanoseconds (from the operators' rules).
pub const SCHEDULING_DELAY: Nanos = 150_000_000;

impl Rules {
    /// How long after the notification of a drain a send may still begin, nanoseconds. The
    /// scheduling delay is part of the grace, which counts to the first byte that is written; a
    /// grace that is no longer than the delay allows no send at all.
    pub fn drain_cutoff(&self) -> Nanos {
        self.drain_grace.saturating_sub(SCHEDULING_DELAY)
    }
}

/// Features that the platform allows, and their limits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Health checks are allowed.
    pub allows_health_checks: bool,
    /// Attempts may be cancelled.
    pub allows_cancellation: bool,
    /// A request may have two attempts in flight at once.
    pub allows_hedging: bool,
    /// Clients receive retry advice ...
    pub allows_retry_advice: bool,
    /// ... and follow it up to this length, nanoseconds.
    pub max_retry_advice: Nanos,
    /// A connection that is not established by then has failed, nanoseconds.
    pub connect_timeout: Nanos,
}

/// Configuration of a balancer, fixed at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of routers of this tier, this one included.
    pub router_count: u32,
    /// This router's zone.
    pub zone: u32,
    /// Shortest time between two batches of events, nanoseconds (0: none).
    pub min_batch_interval: Nanos,
    /// The classes, in the order that [`Request::class`](crate::Request::class) counts.
    pub classes: Vec<Class>,
    /// The tenants, in the order that [`Request::tenant`](crate::Request::tenant) counts; may be
    /// empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request over its tenant's quota, as a fraction of its class's priority weight.
    pub over_quota_weight: f64,
    /// Where reports come from.
    pub reports: ReportSource,
    /// Whether responses carry the endpoint's applied position.
    pub has_applied_positions: bool,
    /// Whether session reads carry the age of their session's last write; if not, the balancer
    /// remembers it.
    pub has_session_positions: bool,
    /// What endpoints do with reads for which they are too far behind.
    pub stale_reads: StaleReadPolicy,
    /// What the list says about the primary.
    pub list_role: ListRole,
    /// The endpoint list is sent only to subscribers.
    pub is_subscription_required: bool,
    /// The limits that the router has to keep.
    pub rules: Rules,
    /// The features that the platform allows.
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
    /// Validates the settings.
    ///
    /// # Errors
    /// Names the first field whose value is out of range or contradicts another.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |text: String| Err(SettingsError(text));
        if self.classes.is_empty() {
            return invalid("classes: none given".into());
        }
        for (i, class) in self.classes.iter().enumerate() {
            if class.latency_objective == 0 || class.deadline == 0 {
                return invalid(format!("classes[{i}]: aim and deadline must be positive"));
            }
            if class.latency_objective > class.deadline {
                return invalid(format!("classes[{i}]: the aim passes the deadline"));
            }
        }
        let rules = &self.rules;
        if !(rules.slow_start_initial_fraction > 0.0 && rules.overload_multiple > 0.0)
            || rules.overload_window == 0
            || rules.slow_start_duration == 0
        {
            return invalid(
                "rules: cold_from, fall_multiple, fall and warm_after must be positive".into(),
            );
        }
        if rules.slow_start_initial_fraction > 1.0 {
            return invalid("rules: cold_from is a share of 1 at the most".into());
        }
        if self.limits.max_attempts == 0 {
            return invalid("limits: max_attempts must be at least 1".into());
        }
        Ok(())
    }
}
