//! Settings of a balancer: classes of requests, tenants, platform limits, and their validation.
//!
//! Plain data, fixed for the lifetime of a balancer; it must never hold state or policy.

use crate::units::Nanos;

/// Operation that the requests of a class perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A read, with the consistency that its response must have.
    Read(Consistency),
    /// A write, which only the primary executes.
    Write,
}

/// Consistency of a read: how recent the data in its response must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Data of any age, from any endpoint.
    Eventual,
    /// Data that is no older than this when the request is sent, nanoseconds.
    BoundedStaleness(Nanos),
    /// Data with all earlier writes of the same session (read-your-writes).
    ReadYourWrites,
    /// Data with all writes that were committed before the request arrived.
    Strong,
}

/// Idempotency of a class: whether a request that was possibly executed may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it twice has the same effect as once.
    Idempotent,
    /// The request carries a key, and the endpoints of the scope drop a duplicate within the
    /// class's deduplication window.
    IdempotencyKey(KeyScope),
    /// It must never be executed twice.
    NonIdempotent,
}

/// Set of endpoints that share their record of idempotency keys and so drop each other's
/// duplicates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one replica set.
    ReplicaSet,
}

/// Class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Operation of its requests.
    pub operation: Operation,
    /// Whether a request may be sent again after it was possibly executed.
    pub idempotency: Idempotency,
    /// Time for which endpoints remember a key, nanoseconds (for [`Idempotency::IdempotencyKey`]).
    pub deduplication_window: Nanos,
    /// Latency objective, nanoseconds: a response within this time has the full priority weight.
    pub latency_objective: Nanos,
    /// The latency objective grows by this multiple of the request's expected execution time (0:
    /// not at all).
    pub objective_stretch: f64,
    /// Deadline of a request over all its attempts, nanoseconds from its arrival.
    pub deadline: Nanos,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective still has.
    pub late_weight: f64,
}

/// Quota of a tenant.
#[derive(Debug, Clone, Copy)]
pub struct Tenant {
    /// Requests per second, summed over all routers.
    pub quota: f64,
}

/// Source of the load reports, in which endpoints state their role and applied position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// Every response and every health check result carries a report.
    Responses,
    /// Only health check results carry a report.
    HealthChecks,
    /// There are no reports.
    None,
}

/// Stale read policy: how an endpoint handles a read for which its data is too old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// It serves the read from the data that it has: only the router prevents stale reads.
    Serve,
    /// It rejects the read at once.
    Reject,
    /// It waits for the data up to this long, nanoseconds, and then rejects the read.
    Wait(Nanos),
}

/// Information about the primary in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRole {
    /// The list names the current primary, with a delay of some seconds.
    Delayed,
    /// The list names the primary as of its start and does not follow failovers.
    Initial,
    /// The list does not name the primary.
    None,
}

/// Limits of the platform that the router must keep.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Time after the notification within which sends to a draining or removed endpoint must stop,
    /// nanoseconds.
    pub drain_grace: Nanos,
    /// Whether endpoints that are removed or missing from the list may get new requests; draining
    /// ones never may.
    pub allows_unlisted_endpoints: bool,
    /// Slow start: capacity fraction of an endpoint that has just started, greater than 0 and at
    /// most 1.
    pub slow_start_initial_fraction: f64,
    /// Slow start: time from the start of an endpoint until it has its full capacity, nanoseconds.
    pub slow_start_duration: Nanos,
    /// An endpoint in slow start is overloaded by an average load above this multiple of its
    /// current capacity over `overload_window`.
    pub overload_multiple: f64,
    /// Averaging window of `overload_multiple`, nanoseconds.
    pub overload_window: Nanos,
    /// Without a subscription, the router counts as notified of a change of the list this long
    /// after it, nanoseconds.
    pub poll_interval: Nanos,
}

/// Longest delay by the operating system's scheduler between reading the clock and writing,
/// nanoseconds (from the operators' rules).
pub const SCHEDULING_DELAY: Nanos = 150_000_000;

impl Rules {
    /// Returns the time after the notification of a drain within which a send may still begin,
    /// nanoseconds. The grace counts to the first byte that is written, so the scheduling delay is
    /// subtracted from it; a grace that is no longer than the delay allows no send at all.
    pub fn drain_cutoff(&self) -> Nanos {
        self.drain_grace.saturating_sub(SCHEDULING_DELAY)
    }
}

/// Features that the platform allows, with their limits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest number of attempts for one request.
    pub max_attempts: u32,
    /// Whether health checks are allowed.
    pub allows_health_checks: bool,
    /// Whether attempts may be cancelled.
    pub allows_cancellation: bool,
    /// Whether a request may have two attempts in flight at once.
    pub allows_hedging: bool,
    /// Whether a rejection may advise the client when to retry.
    pub allows_retry_advice: bool,
    /// Longest retry advice that clients follow, nanoseconds.
    pub max_retry_advice: Nanos,
    /// Time after which a connection that is not established has failed, nanoseconds.
    pub connect_timeout: Nanos,
}

/// Settings of a balancer, fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of routers of this tier, including this one.
    pub router_count: u32,
    /// This router's zone.
    pub zone: u32,
    /// Shortest time between two batches of events, nanoseconds (0: none).
    pub min_batch_interval: Nanos,
    /// The classes, indexed by [`Request::class`](crate::Request::class).
    pub classes: Vec<Class>,
    /// The tenants, indexed by [`Request::tenant`](crate::Request::tenant); may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request over its tenant's quota, as a fraction of its class's priority weight.
    pub over_quota_weight: f64,
    /// Source of the load reports.
    pub reports: ReportSource,
    /// Whether responses carry the endpoint's applied position.
    pub has_applied_positions: bool,
    /// Whether requests carry the time since their session's last write
    /// ([`Request::since_write`](crate::Request::since_write)); if not, the balancer records the
    /// writes of each session.
    pub has_session_positions: bool,
    /// Stale read policy of the endpoints.
    pub stale_reads: StaleReadPolicy,
    /// Information about the primary in the endpoint list.
    pub list_role: ListRole,
    /// Whether the discovery service sends the endpoint list only to subscribers.
    pub is_subscription_required: bool,
    /// Limits of the platform that the router must keep.
    pub rules: Rules,
    /// Features that the platform allows.
    pub limits: Limits,
}

/// Error of [`Settings`] with a value out of range or in contradiction to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(
    /// The field, its value, and the expected range.
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
    /// Returns an error that names the first field whose value is out of range or contradicts
    /// another.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |text: String| Err(SettingsError(text));
        if self.classes.is_empty() {
            return invalid("classes: expected at least one class".into());
        }
        for (index, class) in self.classes.iter().enumerate() {
            if class.latency_objective == 0 || class.deadline == 0 {
                return invalid(format!(
                    "classes[{index}]: latency objective {} ns and deadline {} ns must be positive",
                    class.latency_objective, class.deadline
                ));
            }
            if class.latency_objective > class.deadline {
                return invalid(format!(
                    "classes[{index}]: latency objective {} ns must not exceed the deadline {} ns",
                    class.latency_objective, class.deadline
                ));
            }
        }
        let rules = &self.rules;
        // The messages name the fields as the configuration does, but in snake case: `cold_from`,
        // `fall_multiple`, `fall` and `warm_after` are `slow_start_initial_fraction`,
        // `overload_multiple`, `overload_window` and `slow_start_duration`.
        if !(rules.slow_start_initial_fraction > 0.0 && rules.overload_multiple > 0.0)
            || rules.overload_window == 0
            || rules.slow_start_duration == 0
        {
            return invalid(format!(
                "rules: cold_from {}, fall_multiple {}, fall {} ns and warm_after {} ns \
                 must be positive",
                rules.slow_start_initial_fraction,
                rules.overload_multiple,
                rules.overload_window,
                rules.slow_start_duration
            ));
        }
        if rules.slow_start_initial_fraction > 1.0 {
            return invalid(format!(
                "rules: cold_from {} must be at most 1, the full capacity",
                rules.slow_start_initial_fraction
            ));
        }
        if self.limits.max_attempts == 0 {
            return invalid("limits: max_attempts 0 must be at least 1".into());
        }
        Ok(())
    }
}
