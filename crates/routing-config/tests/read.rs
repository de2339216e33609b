//! The settings object: what each word means, what may be absent, and what is said of a field that is wrong.

use reelrill_routing::{
    Consistency, Idempotency, KeyScope, ListRole, Operation, ReportSource, StaleReadPolicy,
};
use reelrill_routing_config::{RoutingConfig, read};
use rstest::rstest;
use serde_json::{Value, json};

/// All fields that are needed, and a key that nobody knows.
fn least() -> Value {
    json!({
        "classes": [{"credit": 1.5, "hardLimit": 2_000_000_000u64, "onTime": 300_000_000, "repeat": "retryable"}],
        "ceilings": {"maxAttempts": 3, "mayCancel": true, "probes": false, "retryAfter": true, "secondCopies": false},
        "familyInfo": {"freshness": ["eventual"], "guards": "silent", "listRole": "trailing", "maxAge": [0],
            "originTime": 7, "sessionMarks": "kept", "stamps": true},
        "registryMode": "automatic",
        "report": {"columns": ["x0"], "source": "silent"},
        "rules": {"coldFrom": 0.2, "drainGrace": 11, "fall": 12, "fallMultiple": 2.0, "warmAfter": 13},
        "unheardOf": {"a": 1}
    })
}

/// The least settings with the value at a JSON pointer replaced; its parent has to exist.
fn with(pointer: &str, value: Value) -> Value {
    let mut settings = least();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    settings.pointer_mut(parent).unwrap()[key] = value;
    settings
}

/// The least settings with one item of a list replaced.
fn with_item(pointer: &str, value: Value) -> Value {
    let mut settings = least();
    *settings.pointer_mut(pointer).unwrap() = value;
    settings
}

fn without(pointer: &str) -> Value {
    let mut settings = least();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    assert!(parent.as_object_mut().unwrap().remove(key).is_some());
    settings
}

fn site(settings: &Value) -> RoutingConfig {
    read(settings).unwrap()
}

fn said(settings: &Value) -> String {
    read(settings).unwrap_err().to_string()
}

#[test]
fn fields_that_are_told_arrive() {
    let site = site(&least());
    let (settings, class) = (&site.settings, &site.settings.classes[0]);
    assert_eq!(
        (site.position_origin, settings.is_subscription_required),
        (7, false)
    );
    assert_eq!(
        (class.latency_objective, class.deadline),
        (300_000_000, 2_000_000_000)
    );
    assert_eq!(class.priority_weight, 1.5);
    assert_eq!(
        (settings.rules.drain_grace, settings.rules.overload_window),
        (11, 12)
    );
    assert_eq!(settings.rules.slow_start_duration, 13);
    assert_eq!(settings.rules.slow_start_initial_fraction, 0.2);
    assert_eq!(settings.rules.overload_multiple, 2.0);
    assert_eq!(settings.limits.max_attempts, 3);
    assert!(
        settings.limits.allows_cancellation
            && settings.limits.allows_retry_advice
            && settings.has_applied_positions
    );
    assert!(!settings.limits.allows_health_checks && !settings.limits.allows_hedging);
}

#[test]
fn fields_that_are_absent_have_their_defaults() {
    let site = site(&least());
    let (settings, class) = (&site.settings, &site.settings.classes[0]);
    assert_eq!(
        (
            settings.router_count,
            settings.zone,
            settings.min_batch_interval
        ),
        (1, 0, 0)
    );
    assert_eq!(
        (settings.tenants.len(), settings.over_quota_weight),
        (0, 1.0)
    );
    assert_eq!(
        (
            settings.rules.allows_unlisted_endpoints,
            settings.rules.poll_interval
        ),
        (false, 0)
    );
    assert_eq!(
        (
            settings.limits.max_retry_advice,
            settings.limits.connect_timeout
        ),
        (0, 0)
    );
    assert_eq!((class.deduplication_window, class.late_weight), (0, 0.0));
    assert_eq!(class.objective_stretch, 0.0);
    assert_eq!((site.endpoint_idle_timeout, site.zones.len()), (0, 0));
    assert_eq!(site.class_names, [""]);
}

#[rstest]
#[case("/groupSize", json!(5), |s: &RoutingConfig| s.settings.router_count == 5)]
#[case("/az", json!(2), |s: &RoutingConfig| s.settings.zone == 2)]
#[case("/period", json!(9), |s: &RoutingConfig| s.settings.min_batch_interval == 9)]
#[case("/zones", json!(["a", "b"]), |s: &RoutingConfig| s.zones == ["a", "b"])]
#[case("/realms", json!([{"name": "acme", "quotaRps": 2}]), |s: &RoutingConfig| s.settings.tenants[0].quota == 2.0)]
#[case("/overShareWorth", json!(0.25), |s: &RoutingConfig| s.settings.over_quota_weight == 0.25)]
#[case("/rules/droppedStayOpen", json!(true), |s: &RoutingConfig| s.settings.rules.allows_unlisted_endpoints)]
#[case("/rules/askEvery", json!(9), |s: &RoutingConfig| s.settings.rules.poll_interval == 9)]
#[case("/ceilings/maxRetryAfter", json!(9), |s: &RoutingConfig| s.settings.limits.max_retry_advice == 9)]
#[case("/ceilings/connectTimeout", json!(9), |s: &RoutingConfig| s.settings.limits.connect_timeout == 9)]
#[case("/ceilings/idleClose", json!(9), |s: &RoutingConfig| s.endpoint_idle_timeout == 9)]
fn optional_fields_are_read_and_may_be_null(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] has_arrived: fn(&RoutingConfig) -> bool,
) {
    assert!(has_arrived(&site(&with(pointer, value))));
    assert_eq!(
        format!("{:?}", read(&with(pointer, Value::Null)).unwrap()),
        format!("{:?}", site(&least()))
    );
}

#[rstest]
#[case("eventual", Operation::Read(Consistency::Eventual))]
#[case("causal", Operation::Read(Consistency::ReadYourWrites))]
#[case("strong", Operation::Read(Consistency::Strong))]
#[case("lag_bound", Operation::Read(Consistency::BoundedStaleness(0)))]
#[case("mutate", Operation::Write)]
fn each_freshness_has_its_operation(#[case] word: &str, #[case] operation: Operation) {
    let settings = with_item("/familyInfo/freshness/0", word.into());
    assert_eq!(site(&settings).settings.classes[0].operation, operation);
}

#[rstest]
#[case("retryable", Value::Null, Idempotency::Idempotent)]
#[case("retryable", json!("whatever"), Idempotency::Idempotent)]
#[case("fragile", json!(3), Idempotency::NonIdempotent)]
#[case("dedup", json!("all"), Idempotency::IdempotencyKey(KeyScope::All))]
#[case("dedup", json!("zone"), Idempotency::IdempotencyKey(KeyScope::Zone))]
#[case("dedup", json!("cell"), Idempotency::IdempotencyKey(KeyScope::ReplicaSet))]
fn each_kind_of_class_has_its_idempotency(
    #[case] repeat: &str,
    #[case] group: Value,
    #[case] idempotency: Idempotency,
) {
    let mut settings = with("/classes/0/group", group);
    if let Some(class) = settings.pointer_mut("/classes/0") {
        class["repeat"] = repeat.into();
    }
    assert_eq!(site(&settings).settings.classes[0].idempotency, idempotency);
}

#[rstest]
#[case("silent", Value::Null, StaleReadPolicy::Serve)]
#[case("bounce", json!(5), StaleReadPolicy::Reject)]
#[case("await", json!(5), StaleReadPolicy::Wait(5))]
#[case("await", Value::Null, StaleReadPolicy::Wait(0))]
fn each_guard_has_its_policy(
    #[case] word: &str,
    #[case] holds_for: Value,
    #[case] policy: StaleReadPolicy,
) {
    let mut settings = with("/familyInfo/guards", word.into());
    settings["familyInfo"]["holdsFor"] = holds_for;
    assert_eq!(site(&settings).settings.stale_reads, policy);
}

#[rstest]
#[case("/report/source", "piggyback", |s: &RoutingConfig| s.settings.reports == ReportSource::Responses)]
#[case("/report/source", "pull", |s: &RoutingConfig| s.settings.reports == ReportSource::HealthChecks)]
#[case("/report/source", "silent", |s: &RoutingConfig| s.settings.reports == ReportSource::None)]
#[case("/familyInfo/listRole", "trailing", |s: &RoutingConfig| s.settings.list_role == ListRole::Delayed)]
#[case("/familyInfo/listRole", "static", |s: &RoutingConfig| s.settings.list_role == ListRole::Initial)]
#[case("/familyInfo/listRole", "silent", |s: &RoutingConfig| s.settings.list_role == ListRole::None)]
#[case("/familyInfo/sessionMarks", "brought", |s: &RoutingConfig| s.settings.has_session_positions)]
#[case("/familyInfo/sessionMarks", "kept", |s: &RoutingConfig| !s.settings.has_session_positions)]
#[case("/registryMode", "subscribe", |s: &RoutingConfig| s.settings.is_subscription_required)]
#[case("/registryMode", "automatic", |s: &RoutingConfig| !s.settings.is_subscription_required)]
fn each_word_has_its_meaning(
    #[case] pointer: &str,
    #[case] word: &str,
    #[case] holds: fn(&RoutingConfig) -> bool,
) {
    assert!(holds(&site(&with(pointer, word.into()))));
}

#[rstest]
#[case("/classes")]
#[case("/classes/0/credit")]
#[case("/classes/0/hardLimit")]
#[case("/classes/0/onTime")]
#[case("/classes/0/repeat")]
#[case("/ceilings")]
#[case("/ceilings/maxAttempts")]
#[case("/ceilings/mayCancel")]
#[case("/ceilings/probes")]
#[case("/ceilings/retryAfter")]
#[case("/ceilings/secondCopies")]
#[case("/familyInfo")]
#[case("/familyInfo/freshness")]
#[case("/familyInfo/guards")]
#[case("/familyInfo/listRole")]
#[case("/familyInfo/maxAge")]
#[case("/familyInfo/originTime")]
#[case("/familyInfo/sessionMarks")]
#[case("/familyInfo/stamps")]
#[case("/registryMode")]
#[case("/report")]
#[case("/report/source")]
#[case("/rules")]
#[case("/rules/coldFrom")]
#[case("/rules/drainGrace")]
#[case("/rules/fall")]
#[case("/rules/fallMultiple")]
#[case("/rules/warmAfter")]
fn a_needed_field_that_is_absent_or_null_is_named(#[case] pointer: &str) {
    let path = pointer[1..].replace("/0", "[0]").replace('/', ".");
    let expected = format!("{path} is missing");
    assert_eq!(said(&without(pointer)), expected);
    assert_eq!(said(&with(pointer, Value::Null)), expected);
}

#[rstest]
#[case(with_item("/familyInfo/freshness", json!([])), "familyInfo.freshness[0] is missing")]
#[case(with_item("/familyInfo/freshness/0", json!(3)), "familyInfo.freshness[0] is missing")]
#[case(with_item("/familyInfo/freshness/0", json!("new")), "familyInfo.freshness[0]: unknown value 'new'")]
#[case(with_item("/classes/0/repeat", json!("dedup")), "classes[0].group is missing")]
#[case(with("/realms", json!([{"name": "acme"}])), "realms[0].quotaRps is missing")]
#[case(with("/registryMode", json!("ask")), "registryMode: unknown value 'ask', expected one of subscribe, automatic")]
#[case(with("/classes/0/onTime", json!("soon")), "classes[0].onTime: invalid type: string \"soon\", expected a non-negative whole number")]
#[case(with("/classes/0/onTime", json!(1.5)), "classes[0].onTime: invalid value: floating point `1.5`, expected a non-negative whole number")]
#[case(with("/classes/0/onTime", json!(-1)), "classes[0].onTime: invalid value: integer `-1`, expected a non-negative whole number")]
#[case(with("/ceilings/maxAttempts", json!(5_000_000_000u64)), "ceilings.maxAttempts: 5000000000 exceeds the maximum 4294967295")]
#[case(with("/ceilings/probes", json!("yes")), "ceilings.probes: invalid type: string \"yes\", expected a boolean")]
#[case(with("/zones", json!(["a", 3])), "zones[1]: invalid type: integer `3`, expected a string")]
#[case(with("/rules", json!("none")), "rules: invalid type: string \"none\", expected an object")]
#[case(json!(3), "familyInfo is missing")]
fn what_is_wrong_is_said_with_its_path(#[case] settings: Value, #[case] expected: &str) {
    assert_eq!(said(&settings), expected);
}

#[test]
fn a_bound_is_needed_where_data_has_one() {
    let mut settings = with_item("/familyInfo/freshness/0", "lag_bound".into());
    settings["familyInfo"]["maxAge"] = json!([]);
    assert_eq!(said(&settings), "familyInfo.maxAge[0] is missing");
    settings["familyInfo"]["maxAge"] = json!([5]);
    let operation = site(&settings).settings.classes[0].operation;
    assert_eq!(operation, Operation::Read(Consistency::BoundedStaleness(5)));
}

#[rstest]
#[case(json!(3.0), 3)]
#[case(json!(2e9), 2_000_000_000)]
#[case(json!(0), 0)]
#[case(json!(u64::MAX), u64::MAX)]
fn whole_numbers_may_be_written_as_floats(#[case] number: Value, #[case] expected: u64) {
    let settings = with("/rules/drainGrace", number);
    assert_eq!(site(&settings).settings.rules.drain_grace, expected);
}
