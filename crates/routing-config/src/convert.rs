//! Converts the settings as the platform writes them to the balancer's settings: checks the required fields and applies
//! the defaults of the others.

use crate::document::{
    Ceilings, Class, FamilyInfo, Freshness, Guards, Realm, RegistryMode, Repeat, Rules,
    SessionMarks, SettingsDocument, ValidOrRaw,
};
use crate::number::{WholeNumber32, WholeNumber64};
use crate::{RoutingConfig, SettingsReadError};
use reelrill_routing as routing;
use reelrill_routing::{Consistency, Idempotency, Nanos, Operation, StaleReadPolicy};
use serde_json::Value;

type Result<T> = std::result::Result<T, SettingsReadError>;

/// The number of routers if `groupSize` is absent.
const DEFAULT_ROUTER_COUNT: WholeNumber32 = WholeNumber32(1);
/// The weight of requests over their tenant's quota if `overShareWorth` is absent: the same as within the quota.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 1.0;

/// Returns the error of a required field that is absent.
fn missing_field<T>(path: &str) -> Result<T> {
    Err(SettingsReadError::Missing {
        path: path.to_owned(),
    })
}

/// Returns the value of a required field, or an error if it is absent.
fn required<T>(value: Option<T>, path: &str) -> Result<T> {
    value.map_or_else(|| missing_field(path), Ok)
}

/// Returns the error of a required string field with an invalid value; a value that is not a string counts as missing.
fn invalid_string<T>(value: Value, path: &str) -> Result<T> {
    match value {
        Value::String(value) => Err(SettingsReadError::UnknownValue {
            path: path.to_owned(),
            value,
        }),
        _ => missing_field(path),
    }
}

/// Returns the value of a required whole number, or an error if it is absent.
fn required_number(value: Option<WholeNumber64>, path: &str) -> Result<u64> {
    required(value, path).map(|number| number.0)
}

/// Returns the value of an optional whole number; 0 if it is absent.
fn number_or_zero(value: Option<WholeNumber64>) -> u64 {
    value.map_or(0, |number| number.0)
}

/// Converts the whole settings object.
///
/// # Errors
/// Fails if a required field is absent, or a field that is used has an invalid value.
pub fn routing_config(document: SettingsDocument) -> Result<RoutingConfig> {
    let family_info = required(document.family_info, "familyInfo")?;
    let ceilings = required(document.ceilings, "ceilings")?;
    let report = required(document.report, "report")?;
    let registry_mode = required(document.registry_mode, "registryMode")?;
    let stale_reads = stale_read_policy(&family_info)?;
    let list_role = required(family_info.list_role, "familyInfo.listRole")?;
    let session_marks = required(family_info.session_marks, "familyInfo.sessionMarks")?;
    let position_origin = required_number(family_info.origin_time, "familyInfo.originTime")?;
    let has_positions = required(family_info.stamps, "familyInfo.stamps")?;
    let class_documents = required(document.classes, "classes")?;
    let class_names = class_documents.iter().map(class_name).collect();
    let endpoint_idle_timeout = number_or_zero(ceilings.idle_close);
    let settings = routing::Settings {
        router_count: document.group_size.unwrap_or(DEFAULT_ROUTER_COUNT).0,
        zone: document.az.map_or(0, |zone| zone.0),
        min_batch_interval: number_or_zero(document.period),
        classes: classes(class_documents, family_info)?,
        tenants: tenants(document.realms.unwrap_or_default())?,
        over_quota_weight: document
            .over_share_worth
            .unwrap_or(DEFAULT_OVER_QUOTA_WEIGHT),
        reports: required(report.source, "report.source")?.into(),
        has_applied_positions: has_positions,
        has_session_positions: session_marks == SessionMarks::Brought,
        stale_reads,
        list_role: list_role.into(),
        is_subscription_required: registry_mode == RegistryMode::Subscribe,
        rules: rules(&required(document.rules, "rules")?)?,
        limits: limits(&ceilings)?,
    };
    Ok(RoutingConfig {
        settings,
        position_origin,
        class_names,
        zones: document.zones.unwrap_or_default(),
        endpoint_idle_timeout,
    })
}

fn class_name(class: &Class) -> String {
    class.name.clone().unwrap_or_default()
}

fn stale_read_policy(family_info: &FamilyInfo) -> Result<StaleReadPolicy> {
    Ok(match required(family_info.guards, "familyInfo.guards")? {
        Guards::Silent => StaleReadPolicy::Serve,
        Guards::Bounce => StaleReadPolicy::Reject,
        Guards::Await => StaleReadPolicy::Wait(number_or_zero(family_info.holds_for)),
    })
}

/// Converts the classes, each with the items of `familyInfo.freshness` and `familyInfo.maxAge` at its index.
fn classes(class_documents: Vec<Class>, family_info: FamilyInfo) -> Result<Vec<routing::Class>> {
    let mut freshness = required(family_info.freshness, "familyInfo.freshness")?.into_iter();
    let mut max_age = required(family_info.max_age, "familyInfo.maxAge")?.into_iter();
    let mut classes = Vec::new();
    for (index, document) in class_documents.into_iter().enumerate() {
        let operation = operation(index, freshness.next(), max_age.next())?;
        classes.push(class(index, document, operation)?);
    }
    Ok(classes)
}

/// Returns the operation of the class at `index` from its items of `familyInfo.freshness` and `familyInfo.maxAge`.
fn operation(
    index: usize,
    freshness: Option<ValidOrRaw<Freshness>>,
    max_age: Option<ValidOrRaw<WholeNumber64>>,
) -> Result<Operation> {
    let freshness = match freshness {
        Some(ValidOrRaw::Valid(freshness)) => freshness,
        Some(ValidOrRaw::Raw(other)) => {
            return invalid_string(other, &format!("familyInfo.freshness[{index}]"));
        }
        None => return missing_field(&format!("familyInfo.freshness[{index}]")),
    };
    Ok(match freshness {
        Freshness::Eventual => Operation::Read(Consistency::Eventual),
        Freshness::LagBound => Operation::Read(Consistency::BoundedStaleness(staleness_bound(
            index, max_age,
        )?)),
        Freshness::Causal => Operation::Read(Consistency::ReadYourWrites),
        Freshness::Strong => Operation::Read(Consistency::Strong),
        Freshness::Mutate => Operation::Write,
    })
}

/// Returns the staleness bound of a class; a value that is not a whole number counts as missing.
fn staleness_bound(index: usize, max_age: Option<ValidOrRaw<WholeNumber64>>) -> Result<Nanos> {
    match max_age {
        Some(ValidOrRaw::Valid(age)) => Ok(age.0),
        _ => missing_field(&format!("familyInfo.maxAge[{index}]")),
    }
}

fn class(index: usize, class: Class, operation: Operation) -> Result<routing::Class> {
    let path = |key: &str| format!("classes[{index}].{key}");
    let idempotency = match required(class.repeat, &path("repeat"))? {
        Repeat::Retryable => Idempotency::Idempotent,
        Repeat::Fragile => Idempotency::NonIdempotent,
        Repeat::Dedup => Idempotency::IdempotencyKey(match class.group {
            Some(ValidOrRaw::Valid(group)) => group.into(),
            Some(ValidOrRaw::Raw(other)) => return invalid_string(other, &path("group")),
            None => return missing_field(&path("group")),
        }),
    };
    Ok(routing::Class {
        operation,
        idempotency,
        deduplication_window: number_or_zero(class.window),
        latency_objective: required_number(class.on_time, &path("onTime"))?,
        objective_stretch: class.aim_stretch.unwrap_or(0.0),
        deadline: required_number(class.hard_limit, &path("hardLimit"))?,
        priority_weight: required(class.credit, &path("credit"))?,
        late_weight: class.late_worth.unwrap_or(0.0),
    })
}

fn tenants(realms: Vec<Realm>) -> Result<Vec<routing::Tenant>> {
    let mut tenants = Vec::new();
    for (index, realm) in realms.into_iter().enumerate() {
        let quota = required(realm.quota_rps, &format!("realms[{index}].quotaRps"))?;
        tenants.push(routing::Tenant { quota });
    }
    Ok(tenants)
}

fn rules(rules: &Rules) -> Result<routing::Rules> {
    Ok(routing::Rules {
        drain_grace: required_number(rules.drain_grace, "rules.drainGrace")?,
        allows_unlisted_endpoints: rules.dropped_stay_open.unwrap_or(false),
        slow_start_initial_fraction: required(rules.cold_from, "rules.coldFrom")?,
        slow_start_duration: required_number(rules.warm_after, "rules.warmAfter")?,
        overload_multiple: required(rules.fall_multiple, "rules.fallMultiple")?,
        overload_window: required_number(rules.fall, "rules.fall")?,
        poll_interval: number_or_zero(rules.ask_every),
    })
}

fn limits(ceilings: &Ceilings) -> Result<routing::Limits> {
    Ok(routing::Limits {
        max_attempts: required(ceilings.max_attempts, "ceilings.maxAttempts")?.0,
        allows_health_checks: required(ceilings.probes, "ceilings.probes")?,
        allows_cancellation: required(ceilings.may_cancel, "ceilings.mayCancel")?,
        allows_hedging: required(ceilings.second_copies, "ceilings.secondCopies")?,
        allows_retry_advice: required(ceilings.retry_after, "ceilings.retryAfter")?,
        max_retry_advice: number_or_zero(ceilings.max_retry_after),
        connect_timeout: number_or_zero(ceilings.connect_timeout),
    })
}
