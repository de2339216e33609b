//! The settings object as it is written: one struct for each JSON object, with the platform's keys.
//!
//! Every field is optional here, since null and absent mean the same; `convert` says which are needed and what the
//! others default to. Keys that are not named here are ignored. Times are in nanoseconds.

use crate::number::{SmallNumber, WholeNumber};
use crate::word::words;
use reelrill_routing as routing;
use serde::Deserialize;
use serde_json::Value;

/// A value where only some uses need it to be a `T`.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Lenient<T> {
    Expected(T),
    Other(Value),
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "the settings object")]
pub struct Document {
    pub group_size: Option<SmallNumber>,
    pub az: Option<SmallNumber>,
    pub zones: Option<Vec<String>>,
    pub period: Option<WholeNumber>,
    pub classes: Option<Vec<Class>>,
    pub realms: Option<Vec<Realm>>,
    pub over_share_worth: Option<f64>,
    pub registry_mode: Option<RegistryMode>,
    pub family_info: Option<FamilyInfo>,
    pub report: Option<Report>,
    pub rules: Option<Rules>,
    pub ceilings: Option<Ceilings>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Class {
    pub name: Option<String>,
    pub repeat: Option<Repeat>,
    /// Decides only where `repeat` is `dedup`.
    pub group: Option<Lenient<Group>>,
    pub window: Option<WholeNumber>,
    pub on_time: Option<WholeNumber>,
    pub aim_stretch: Option<f64>,
    pub hard_limit: Option<WholeNumber>,
    pub credit: Option<f64>,
    pub late_worth: Option<f64>,
}

words! {
    pub enum Repeat {
        Retryable = "retryable",
        Fragile = "fragile",
        Dedup = "dedup",
    }
}

words! {
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

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Realm {
    pub quota_rps: Option<f64>,
}

words! {
    pub enum RegistryMode {
        Subscribe = "subscribe",
        Automatic = "automatic",
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct FamilyInfo {
    /// One for each class.
    pub freshness: Option<Vec<Lenient<Freshness>>>,
    /// One for each class; it decides only where the freshness is `lag_bound`.
    pub max_age: Option<Vec<Lenient<WholeNumber>>>,
    pub guards: Option<Guards>,
    pub holds_for: Option<WholeNumber>,
    pub list_role: Option<ListRole>,
    pub session_marks: Option<SessionMarks>,
    pub stamps: Option<bool>,
    pub origin_time: Option<WholeNumber>,
}

words! {
    pub enum Freshness {
        Eventual = "eventual",
        LagBound = "lag_bound",
        Causal = "causal",
        Strong = "strong",
        Mutate = "mutate",
    }
}

words! {
    pub enum Guards {
        Silent = "silent",
        Bounce = "bounce",
        Await = "await",
    }
}

words! {
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

words! {
    pub enum SessionMarks {
        Brought = "brought",
        Kept = "kept",
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Report {
    pub source: Option<ReportSource>,
}

words! {
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

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Rules {
    pub drain_grace: Option<WholeNumber>,
    pub dropped_stay_open: Option<bool>,
    pub cold_from: Option<f64>,
    pub warm_after: Option<WholeNumber>,
    pub fall_multiple: Option<f64>,
    pub fall: Option<WholeNumber>,
    pub ask_every: Option<WholeNumber>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "an object")]
pub struct Ceilings {
    pub max_attempts: Option<SmallNumber>,
    pub probes: Option<bool>,
    pub may_cancel: Option<bool>,
    pub second_copies: Option<bool>,
    pub retry_after: Option<bool>,
    pub max_retry_after: Option<WholeNumber>,
    pub connect_timeout: Option<WholeNumber>,
    pub idle_close: Option<WholeNumber>,
}
