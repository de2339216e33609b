//! The settings as the platform writes them: one struct for each JSON object and one enum for each set of strings,
//! named after the keys and values in the JSON. The comments state the balancer's term for each.
//!
//! Every field is optional here, since null and absent mean the same; `convert` determines which fields are required
//! and the defaults of the others. Unknown keys are ignored. Times are in nanoseconds.

use crate::number::{WholeNumber32, WholeNumber64};
use crate::word::string_enum;
use reelrill_routing as routing;
use serde::Deserialize;
use serde_json::Value;

/// A `T`, or the JSON value as written if it is not a valid `T`. For fields that are only used with some values of
/// another field, and must not cause an error otherwise.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum ValidOrRaw<T> {
    Valid(T),
    Raw(Value),
}

/// The whole settings object.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "the settings object")]
pub struct SettingsDocument {
    /// The number of routers.
    pub group_size: Option<WholeNumber32>,
    /// The index of this router's zone.
    pub az: Option<WholeNumber32>,
    /// The names of the zones.
    pub zones: Option<Vec<String>>,
    /// The shortest time between two batches of events.
    pub period: Option<WholeNumber64>,
    /// The request classes.
    pub classes: Option<Vec<Class>>,
    /// The tenants.
    pub realms: Option<Vec<Realm>>,
    /// The weight of requests over their tenant's quota.
    pub over_share_worth: Option<f64>,
    /// Whether the endpoint list requires a subscription.
    pub registry_mode: Option<RegistryMode>,
    /// Consistency, positions and roles of the replica sets.
    pub family_info: Option<FamilyInfo>,
    /// The load reports.
    pub report: Option<Report>,
    /// Limits of the platform that the router must keep.
    pub rules: Option<Rules>,
    /// Features that the platform allows, with their limits.
    pub ceilings: Option<Ceilings>,
}

/// An item of `classes`: a request class. Its operation and consistency are in [`FamilyInfo`].
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Class {
    /// The name of the class.
    pub name: Option<String>,
    /// The idempotency.
    pub repeat: Option<Repeat>,
    /// The scope of idempotency keys; only used if `repeat` is `dedup`.
    pub group: Option<ValidOrRaw<Group>>,
    /// The deduplication window.
    pub window: Option<WholeNumber64>,
    /// The latency objective.
    pub on_time: Option<WholeNumber64>,
    /// The multiple of the expected execution time that is added to the latency objective.
    pub aim_stretch: Option<f64>,
    /// The deadline.
    pub hard_limit: Option<WholeNumber64>,
    /// The priority weight.
    pub credit: Option<f64>,
    /// The fraction of the priority weight of a response after the latency objective.
    pub late_worth: Option<f64>,
}

// `classes[].repeat`: the idempotency of a class.
string_enum! {
    pub enum Repeat {
        Retryable = "retryable",
        Fragile = "fragile",
        Dedup = "dedup",
    }
}

// `classes[].group`: the scope of idempotency keys.
string_enum! {
    pub enum Group {
        All = "all",
        Zone = "zone",
        Cell = "cell",
    }
}

impl From<Group> for routing::KeyScope {
    fn from(group: Group) -> Self {
        match group {
            Group::All => routing::KeyScope::All,
            Group::Zone => routing::KeyScope::Zone,
            Group::Cell => routing::KeyScope::ReplicaSet,
        }
    }
}

/// An item of `realms`: a tenant.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Realm {
    /// The quota over all routers, in requests per second.
    pub quota_rps: Option<f64>,
}

// `registryMode`: whether the discovery service sends the endpoint list only to subscribers.
string_enum! {
    pub enum RegistryMode {
        Subscribe = "subscribe",
        Automatic = "automatic",
    }
}

/// `familyInfo`: consistency, positions and roles of the replica sets.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct FamilyInfo {
    /// The operation and consistency of each class, indexed like `classes`.
    pub freshness: Option<Vec<ValidOrRaw<Freshness>>>,
    /// The staleness bound of each class, indexed like `classes`; only used if the class's freshness is `lag_bound`.
    pub max_age: Option<Vec<ValidOrRaw<WholeNumber64>>>,
    /// The stale read policy of the endpoints.
    pub guards: Option<Guards>,
    /// The longest wait of a stale read; only used if `guards` is `await`.
    pub holds_for: Option<WholeNumber64>,
    /// The information about the primary in the endpoint list.
    pub list_role: Option<ListRole>,
    /// Whether requests carry the time since their session's last write.
    pub session_marks: Option<SessionMarks>,
    /// Whether responses carry the endpoint's applied position.
    pub stamps: Option<bool>,
    /// The clock time that positions in the simulator's input are relative to.
    pub origin_time: Option<WholeNumber64>,
}

// `familyInfo.freshness[]`: the consistency of a class's reads, or `mutate` for a class of writes.
string_enum! {
    pub enum Freshness {
        Eventual = "eventual",
        LagBound = "lag_bound",
        Causal = "causal",
        Strong = "strong",
        Mutate = "mutate",
    }
}

// `familyInfo.guards`: the stale read policy of the endpoints.
string_enum! {
    pub enum Guards {
        Silent = "silent",
        Bounce = "bounce",
        Await = "await",
    }
}

// `familyInfo.listRole`: the information about the primary in the endpoint list.
string_enum! {
    pub enum ListRole {
        Trailing = "trailing",
        Static = "static",
        Silent = "silent",
    }
}

impl From<ListRole> for routing::ListRole {
    fn from(role: ListRole) -> Self {
        match role {
            ListRole::Trailing => routing::ListRole::Delayed,
            ListRole::Static => routing::ListRole::Initial,
            ListRole::Silent => routing::ListRole::None,
        }
    }
}

// `familyInfo.sessionMarks`: whether requests carry the time since their session's last write (`brought`), or the
// balancer records the writes of each session (`kept`).
string_enum! {
    pub enum SessionMarks {
        Brought = "brought",
        Kept = "kept",
    }
}

/// `report`: the load reports, in which endpoints state their role and applied position.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Report {
    /// The messages that carry load reports.
    pub source: Option<ReportSource>,
}

// `report.source`: the messages that carry load reports.
string_enum! {
    pub enum ReportSource {
        Piggyback = "piggyback",
        Pull = "pull",
        Silent = "silent",
    }
}

impl From<ReportSource> for routing::ReportSource {
    fn from(source: ReportSource) -> Self {
        match source {
            ReportSource::Piggyback => routing::ReportSource::Responses,
            ReportSource::Pull => routing::ReportSource::HealthChecks,
            ReportSource::Silent => routing::ReportSource::None,
        }
    }
}

/// `rules`: limits of the platform that the router must keep.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Rules {
    /// The drain grace.
    pub drain_grace: Option<WholeNumber64>,
    /// Whether endpoints that are removed or missing from the list may get new requests.
    pub dropped_stay_open: Option<bool>,
    /// Slow start: the initial capacity fraction.
    pub cold_from: Option<f64>,
    /// Slow start: the time until an endpoint has its full capacity.
    pub warm_after: Option<WholeNumber64>,
    /// Slow start: the multiple of the current capacity above which an endpoint is overloaded.
    pub fall_multiple: Option<f64>,
    /// Slow start: the window over which the load is averaged to detect an overload.
    pub fall: Option<WholeNumber64>,
    /// The time after which a router without a subscription counts as notified of a change of the endpoint list.
    pub ask_every: Option<WholeNumber64>,
}

/// `ceilings`: features that the platform allows, with their limits.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Ceilings {
    /// The largest number of attempts for one request.
    pub max_attempts: Option<WholeNumber32>,
    /// Whether health checks are allowed.
    pub probes: Option<bool>,
    /// Whether attempts may be cancelled.
    pub may_cancel: Option<bool>,
    /// Whether hedged requests are allowed.
    pub second_copies: Option<bool>,
    /// Whether a rejection may advise the client when to retry.
    pub retry_after: Option<bool>,
    /// The longest retry advice that clients follow.
    pub max_retry_after: Option<WholeNumber64>,
    /// The time after which a connection that is not established has failed.
    pub connect_timeout: Option<WholeNumber64>,
    /// The idle time after which endpoints close a connection.
    pub idle_close: Option<WholeNumber64>,
}
