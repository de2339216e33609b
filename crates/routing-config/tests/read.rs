//! Tests of the settings read from JSON: the meaning of each value, the defaults, and the errors of invalid fields.

use reelrill_routing::{
    Consistency, Idempotency, KeyScope, ListRole, Operation, ReportSource, StaleReadPolicy,
};
use reelrill_routing_config::{RoutingConfig, read};
use rstest::rstest;
use serde_json::{Value, json};

/// Returns settings with all required fields and an unknown key.
fn minimal_settings() -> Value {
    json!({
        "classes": [{"credit": 1.5, "hardLimit": 2_000_000_000u64, "onTime": 300_000_000, "repeat": "retryable"}],
        "ceilings": {"maxAttempts": 3, "mayCancel": true, "probes": false, "retryAfter": true, "secondCopies": false},
        "familyInfo": {"freshness": ["eventual"], "guards": "silent", "listRole": "trailing", "maxAge": [0],
            "originTime": 7, "sessionMarks": "kept", "stamps": true},
        "registryMode": "automatic",
        "report": {"columns": ["x0"], "source": "silent"},
        "rules": {"coldFrom": 0.2, "drainGrace": 11, "fall": 12, "fallMultiple": 2.0, "warmAfter": 13},
        "unknownKey": {"a": 1}
    })
}

/// Returns the minimal settings with the field at a JSON pointer set to `value`; its parent must exist.
fn with_field(pointer: &str, value: Value) -> Value {
    let mut settings = minimal_settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    settings.pointer_mut(parent).unwrap()[key] = value;
    settings
}

/// Returns the minimal settings with the existing value at a JSON pointer, such as a list item, replaced.
fn with_replaced(pointer: &str, value: Value) -> Value {
    let mut settings = minimal_settings();
    *settings.pointer_mut(pointer).unwrap() = value;
    settings
}

/// Returns the minimal settings without the field at a JSON pointer.
fn without_field(pointer: &str) -> Value {
    let mut settings = minimal_settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    assert!(parent.as_object_mut().unwrap().remove(key).is_some());
    settings
}

fn read_valid(settings: &Value) -> RoutingConfig {
    read(settings).unwrap()
}

fn error_text(settings: &Value) -> String {
    read(settings).unwrap_err().to_string()
}

/// Guards against a field of the JSON that is assigned to the wrong field of the balancer's settings.
#[test]
fn reads_required_fields() {
    let config = read_valid(&minimal_settings());
    let (settings, class) = (&config.settings, &config.settings.classes[0]);
    assert_eq!(
        (config.position_origin, settings.is_subscription_required),
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

/// Guards against a changed default of an optional field.
#[test]
fn uses_defaults_when_optional_fields_are_absent() {
    let config = read_valid(&minimal_settings());
    let (settings, class) = (&config.settings, &config.settings.classes[0]);
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
    assert_eq!((config.endpoint_idle_timeout, config.zones.len()), (0, 0));
    assert_eq!(config.class_names, [""]);
}

/// Guards against an optional field that is ignored, or that causes an error when it is null, which means the same as
/// absent.
#[rstest]
#[case("/groupSize", json!(5), |config: &RoutingConfig| config.settings.router_count == 5)]
#[case("/az", json!(2), |config: &RoutingConfig| config.settings.zone == 2)]
#[case("/period", json!(9), |config: &RoutingConfig| config.settings.min_batch_interval == 9)]
#[case("/zones", json!(["a", "b"]), |config: &RoutingConfig| config.zones == ["a", "b"])]
#[case("/realms", json!([{"name": "acme", "quotaRps": 2}]), |config: &RoutingConfig| config.settings.tenants[0].quota == 2.0)]
#[case("/overShareWorth", json!(0.25), |config: &RoutingConfig| config.settings.over_quota_weight == 0.25)]
#[case("/rules/droppedStayOpen", json!(true), |config: &RoutingConfig| config.settings.rules.allows_unlisted_endpoints)]
#[case("/rules/askEvery", json!(9), |config: &RoutingConfig| config.settings.rules.poll_interval == 9)]
#[case("/ceilings/maxRetryAfter", json!(9), |config: &RoutingConfig| config.settings.limits.max_retry_advice == 9)]
#[case("/ceilings/connectTimeout", json!(9), |config: &RoutingConfig| config.settings.limits.connect_timeout == 9)]
#[case("/ceilings/idleClose", json!(9), |config: &RoutingConfig| config.endpoint_idle_timeout == 9)]
fn reads_optional_field_and_uses_default_when_it_is_null(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] is_read: fn(&RoutingConfig) -> bool,
) {
    assert!(is_read(&read_valid(&with_field(pointer, value))));
    assert_eq!(
        format!("{:?}", read(&with_field(pointer, Value::Null)).unwrap()),
        format!("{:?}", read_valid(&minimal_settings()))
    );
}

/// Guards against a class that gets a weaker consistency than configured, and so returns stale data.
#[rstest]
#[case("eventual", Operation::Read(Consistency::Eventual))]
#[case("causal", Operation::Read(Consistency::ReadYourWrites))]
#[case("strong", Operation::Read(Consistency::Strong))]
#[case("lag_bound", Operation::Read(Consistency::BoundedStaleness(0)))]
#[case("mutate", Operation::Write)]
fn converts_freshness_to_operation(#[case] value: &str, #[case] operation: Operation) {
    let settings = with_replaced("/familyInfo/freshness/0", value.into());
    assert_eq!(
        read_valid(&settings).settings.classes[0].operation,
        operation
    );
}

/// Guards against a request that is executed twice because its class counts as idempotent, and against an error for a
/// `group` that is not used.
#[rstest]
#[case("retryable", Value::Null, Idempotency::Idempotent)]
#[case("retryable", json!("whatever"), Idempotency::Idempotent)]
#[case("fragile", json!(3), Idempotency::NonIdempotent)]
#[case("dedup", json!("all"), Idempotency::IdempotencyKey(KeyScope::All))]
#[case("dedup", json!("zone"), Idempotency::IdempotencyKey(KeyScope::Zone))]
#[case("dedup", json!("cell"), Idempotency::IdempotencyKey(KeyScope::ReplicaSet))]
fn converts_repeat_and_group_to_idempotency(
    #[case] repeat: &str,
    #[case] group: Value,
    #[case] idempotency: Idempotency,
) {
    let mut settings = with_field("/classes/0/group", group);
    if let Some(class) = settings.pointer_mut("/classes/0") {
        class["repeat"] = repeat.into();
    }
    assert_eq!(
        read_valid(&settings).settings.classes[0].idempotency,
        idempotency
    );
}

/// Guards against sending reads to an endpoint that is assumed to reject stale reads, but serves them.
#[rstest]
#[case("silent", Value::Null, StaleReadPolicy::Serve)]
#[case("bounce", json!(5), StaleReadPolicy::Reject)]
#[case("await", json!(5), StaleReadPolicy::Wait(5))]
#[case("await", Value::Null, StaleReadPolicy::Wait(0))]
fn converts_guards_to_stale_read_policy(
    #[case] value: &str,
    #[case] holds_for: Value,
    #[case] policy: StaleReadPolicy,
) {
    let mut settings = with_field("/familyInfo/guards", value.into());
    settings["familyInfo"]["holdsFor"] = holds_for;
    assert_eq!(read_valid(&settings).settings.stale_reads, policy);
}

/// Guards against two swapped values of a string field.
#[rstest]
#[case("/report/source", "piggyback", |config: &RoutingConfig| config.settings.reports == ReportSource::Responses)]
#[case("/report/source", "pull", |config: &RoutingConfig| config.settings.reports == ReportSource::HealthChecks)]
#[case("/report/source", "silent", |config: &RoutingConfig| config.settings.reports == ReportSource::None)]
#[case("/familyInfo/listRole", "trailing", |config: &RoutingConfig| config.settings.list_role == ListRole::Delayed)]
#[case("/familyInfo/listRole", "static", |config: &RoutingConfig| config.settings.list_role == ListRole::Initial)]
#[case("/familyInfo/listRole", "silent", |config: &RoutingConfig| config.settings.list_role == ListRole::None)]
#[case("/familyInfo/sessionMarks", "brought", |config: &RoutingConfig| config.settings.has_session_positions)]
#[case("/familyInfo/sessionMarks", "kept", |config: &RoutingConfig| !config.settings.has_session_positions)]
#[case("/registryMode", "subscribe", |config: &RoutingConfig| config.settings.is_subscription_required)]
#[case("/registryMode", "automatic", |config: &RoutingConfig| !config.settings.is_subscription_required)]
fn converts_string_values(
    #[case] pointer: &str,
    #[case] value: &str,
    #[case] is_applied: fn(&RoutingConfig) -> bool,
) {
    assert!(is_applied(&read_valid(&with_field(pointer, value.into()))));
}

/// Guards against a router that starts with a default in place of a required field, and against an error that does not
/// name the field.
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
fn names_required_field_when_it_is_absent_or_null(#[case] pointer: &str) {
    let path = pointer[1..].replace("/0", "[0]").replace('/', ".");
    let expected = format!("{path} is missing");
    assert_eq!(error_text(&without_field(pointer)), expected);
    assert_eq!(error_text(&with_field(pointer, Value::Null)), expected);
}

/// Guards against an error that does not identify the field, its value and the expected one, so that an operator can't
/// correct the settings.
#[rstest]
#[case(with_replaced("/familyInfo/freshness", json!([])), "familyInfo.freshness[0] is missing")]
#[case(with_replaced("/familyInfo/freshness/0", json!(3)), "familyInfo.freshness[0] is missing")]
#[case(with_replaced("/familyInfo/freshness/0", json!("new")), "familyInfo.freshness[0]: unknown value 'new'")]
#[case(with_replaced("/classes/0/repeat", json!("dedup")), "classes[0].group is missing")]
#[case(with_field("/realms", json!([{"name": "acme"}])), "realms[0].quotaRps is missing")]
#[case(with_field("/registryMode", json!("ask")), "registryMode: unknown value 'ask', expected one of subscribe, automatic")]
#[case(with_field("/classes/0/onTime", json!("soon")), "classes[0].onTime: invalid type: string \"soon\", expected a non-negative whole number")]
#[case(with_field("/classes/0/onTime", json!(1.5)), "classes[0].onTime: invalid value: floating point `1.5`, expected a non-negative whole number")]
#[case(with_field("/classes/0/onTime", json!(-1)), "classes[0].onTime: invalid value: integer `-1`, expected a non-negative whole number")]
#[case(with_field("/ceilings/maxAttempts", json!(5_000_000_000u64)), "ceilings.maxAttempts: 5000000000 exceeds the maximum 4294967295")]
#[case(with_field("/ceilings/probes", json!("yes")), "ceilings.probes: invalid type: string \"yes\", expected a boolean")]
#[case(with_field("/zones", json!(["a", 3])), "zones[1]: invalid type: integer `3`, expected a string")]
#[case(with_field("/rules", json!("none")), "rules: invalid type: string \"none\", expected an object")]
#[case(json!(3), "familyInfo is missing")]
fn names_path_and_value_when_field_is_invalid(#[case] settings: Value, #[case] expected: &str) {
    assert_eq!(error_text(&settings), expected);
}

/// Guards against a class of bounded staleness without a bound, which would be read as a bound of 0 or none.
#[test]
fn requires_max_age_when_freshness_is_lag_bound() {
    let mut settings = with_replaced("/familyInfo/freshness/0", "lag_bound".into());
    settings["familyInfo"]["maxAge"] = json!([]);
    assert_eq!(error_text(&settings), "familyInfo.maxAge[0] is missing");
    settings["familyInfo"]["maxAge"] = json!([5]);
    let operation = read_valid(&settings).settings.classes[0].operation;
    assert_eq!(operation, Operation::Read(Consistency::BoundedStaleness(5)));
}

/// Guards against whole numbers that are rejected or lose digits; the platform may also write them as floats.
#[rstest]
#[case(json!(3.0), 3)]
#[case(json!(2e9), 2_000_000_000)]
#[case(json!(0), 0)]
#[case(json!(u64::MAX), u64::MAX)]
fn accepts_whole_number_when_written_as_float(#[case] number: Value, #[case] expected: u64) {
    let settings = with_field("/rules/drainGrace", number);
    assert_eq!(read_valid(&settings).settings.rules.drain_grace, expected);
}
