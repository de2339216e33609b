//! Turns the document into the balancer's settings: which fields are needed, and what the others default to.

use crate::document::{
    Ceilings, Class, Document, FamilyInfo, Freshness, Guards, Lenient, Realm, RegistryMode, Repeat,
    Rules, SessionMarks,
};
use crate::number::{SmallNumber, WholeNumber};
use crate::{RoutingConfig, SettingsReadError};
use reelrill_routing as routing;
use reelrill_routing::{Consistency, Idempotency, Nanos, Operation, StaleReadPolicy};
use serde_json::Value;

type Result<T> = std::result::Result<T, SettingsReadError>;

/// One router of one zone, unless the settings say otherwise.
const DEFAULT_ROUTER_COUNT: SmallNumber = SmallNumber(1);
/// Requests beyond a quota count in full, unless the settings say otherwise.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 1.0;

fn missing<T>(path: &str) -> Result<T> {
    Err(SettingsReadError::Missing {
        path: path.to_owned(),
    })
}

/// The value of a field that is needed.
fn required<T>(value: Option<T>, path: &str) -> Result<T> {
    value.map_or_else(|| missing(path), Ok)
}

/// The error of a field that is needed and holds something unexpected: anything but a word counts as missing.
fn unexpected<T>(value: Value, path: &str) -> Result<T> {
    match value {
        Value::String(word) => Err(SettingsReadError::UnknownWord {
            path: path.to_owned(),
            word,
        }),
        _ => missing(path),
    }
}

/// A whole number that is needed.
fn whole(value: Option<WholeNumber>, path: &str) -> Result<u64> {
    required(value, path).map(|number| number.0)
}

/// A whole number that is 0 where it is not told.
fn whole_or_zero(value: Option<WholeNumber>) -> u64 {
    value.map_or(0, |number| number.0)
}

/// The whole document.
pub fn site(document: Document) -> Result<RoutingConfig> {
    let family = required(document.family_info, "familyInfo")?;
    let ceilings = required(document.ceilings, "ceilings")?;
    let report = required(document.report, "report")?;
    let registry_mode = required(document.registry_mode, "registryMode")?;
    let stale_reads = stale_reads(&family)?;
    let list_role = required(family.list_role, "familyInfo.listRole")?;
    let session_marks = required(family.session_marks, "familyInfo.sessionMarks")?;
    let origin = whole(family.origin_time, "familyInfo.originTime")?;
    let positions = required(family.stamps, "familyInfo.stamps")?;
    let documents = required(document.classes, "classes")?;
    let class_names = documents.iter().map(class_name).collect();
    let endpoint_idle_timeout = whole_or_zero(ceilings.idle_close);
    let settings = routing::Settings {
        router_count: document.group_size.unwrap_or(DEFAULT_ROUTER_COUNT).0,
        zone: document.az.map_or(0, |zone| zone.0),
        min_batch_interval: whole_or_zero(document.period),
        classes: classes(documents, family)?,
        tenants: tenants(document.realms.unwrap_or_default())?,
        over_quota_weight: document
            .over_share_worth
            .unwrap_or(DEFAULT_OVER_QUOTA_WEIGHT),
        reports: required(report.source, "report.source")?.into(),
        has_applied_positions: positions,
        has_session_positions: session_marks == SessionMarks::Brought,
        stale_reads,
        list_role: list_role.into(),
        is_subscription_required: registry_mode == RegistryMode::Subscribe,
        rules: rules(&required(document.rules, "rules")?)?,
        limits: limits(&ceilings)?,
    };
    Ok(RoutingConfig {
        settings,
        origin,
        class_names,
        zones: document.zones.unwrap_or_default(),
        endpoint_idle_timeout,
    })
}

fn class_name(class: &Class) -> String {
    class.name.clone().unwrap_or_default()
}

fn stale_reads(family: &FamilyInfo) -> Result<StaleReadPolicy> {
    Ok(match required(family.guards, "familyInfo.guards")? {
        Guards::Silent => StaleReadPolicy::Serve,
        Guards::Bounce => StaleReadPolicy::Reject,
        Guards::Await => StaleReadPolicy::Wait(whole_or_zero(family.holds_for)),
    })
}

/// The classes, each with its place in the family's lists.
fn classes(documents: Vec<Class>, family: FamilyInfo) -> Result<Vec<routing::Class>> {
    let mut freshness = required(family.freshness, "familyInfo.freshness")?.into_iter();
    let mut max_age = required(family.max_age, "familyInfo.maxAge")?.into_iter();
    let mut classes = Vec::new();
    for (index, document) in documents.into_iter().enumerate() {
        let operation = operation(index, freshness.next(), max_age.next())?;
        classes.push(class(index, document, operation)?);
    }
    Ok(classes)
}

fn operation(
    index: usize,
    freshness: Option<Lenient<Freshness>>,
    max_age: Option<Lenient<WholeNumber>>,
) -> Result<Operation> {
    let freshness = match freshness {
        Some(Lenient::Expected(freshness)) => freshness,
        Some(Lenient::Other(other)) => {
            return unexpected(other, &format!("familyInfo.freshness[{index}]"));
        }
        None => return missing(&format!("familyInfo.freshness[{index}]")),
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

fn staleness_bound(index: usize, max_age: Option<Lenient<WholeNumber>>) -> Result<Nanos> {
    match max_age {
        Some(Lenient::Expected(age)) => Ok(age.0),
        _ => missing(&format!("familyInfo.maxAge[{index}]")),
    }
}

fn class(index: usize, class: Class, operation: Operation) -> Result<routing::Class> {
    let path = |key: &str| format!("classes[{index}].{key}");
    let idempotency = match required(class.repeat, &path("repeat"))? {
        Repeat::Retryable => Idempotency::Idempotent,
        Repeat::Fragile => Idempotency::NonIdempotent,
        Repeat::Dedup => Idempotency::IdempotencyKey(match class.group {
            Some(Lenient::Expected(group)) => group.into(),
            Some(Lenient::Other(other)) => return unexpected(other, &path("group")),
            None => return missing(&path("group")),
        }),
    };
    Ok(routing::Class {
        operation,
        idempotency,
        deduplication_window: whole_or_zero(class.window),
        latency_objective: whole(class.on_time, &path("onTime"))?,
        objective_stretch: class.aim_stretch.unwrap_or(0.0),
        deadline: whole(class.hard_limit, &path("hardLimit"))?,
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
        drain_grace: whole(rules.drain_grace, "rules.drainGrace")?,
        allows_unlisted_endpoints: rules.dropped_stay_open.unwrap_or(false),
        slow_start_initial_fraction: required(rules.cold_from, "rules.coldFrom")?,
        slow_start_duration: whole(rules.warm_after, "rules.warmAfter")?,
        overload_multiple: required(rules.fall_multiple, "rules.fallMultiple")?,
        overload_window: whole(rules.fall, "rules.fall")?,
        poll_interval: whole_or_zero(rules.ask_every),
    })
}

fn limits(ceilings: &Ceilings) -> Result<routing::Limits> {
    Ok(routing::Limits {
        max_attempts: required(ceilings.max_attempts, "ceilings.maxAttempts")?.0,
        allows_health_checks: required(ceilings.probes, "ceilings.probes")?,
        allows_cancellation: required(ceilings.may_cancel, "ceilings.mayCancel")?,
        allows_hedging: required(ceilings.second_copies, "ceilings.secondCopies")?,
        allows_retry_advice: required(ceilings.retry_after, "ceilings.retryAfter")?,
        max_retry_advice: whole_or_zero(ceilings.max_retry_after),
        connect_timeout: whole_or_zero(ceilings.connect_timeout),
    })
}
