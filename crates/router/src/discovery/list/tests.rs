//! Tests of the conversion of a list from its wire form, and of the fields that its errors name.

use super::*;
use serde_json::json;

fn target() -> Value {
    json!({"uid": "s-1", "endpoint": "127.0.0.1:7001", "state": "ready", "pod_group": 3, "az": "b",
           "part": "master", "boot_ms": 5, "capacity_hint": 2, "unknown": [1]})
}

fn read_target(target: Value) -> Result<ListedEndpoint, String> {
    let value = json!({"rev": 7, "all": true, "targets": [target], "unknown": {}});
    let list = read_list(&value, &["a".to_owned(), "b".to_owned()]).map_err(|e| e.to_string())?;
    assert_eq!((list.version, list.is_complete), (7, true));
    list.entries.into_iter().next().ok_or("empty".to_owned())
}

fn target_with(key: &str, value: Value) -> Value {
    let mut changed = target();
    changed[key] = value;
    changed
}

/// Guards against a field that is read under a wrong name or in a wrong unit, and against unknown fields that make the
/// list invalid.
#[test]
fn converts_a_target_with_all_fields_and_ignores_unknown_fields() {
    let listed = read_target(target()).unwrap();
    let entry = &listed.entry;
    assert_eq!(listed.address, "127.0.0.1:7001".parse().unwrap());
    assert_eq!(&*entry.endpoint, "s-1");
    assert_eq!(entry.state, EndpointState::Serving);
    assert_eq!((entry.replica_set, entry.zone), (3, 1));
    assert_eq!((entry.is_primary, entry.weight), (true, 2.0));
    assert_eq!(entry.started, 5_000_000);
}

/// Guards against a whole list that is rejected because one optional field has an unexpected type.
#[test]
fn optional_fields_of_another_type_count_as_absent() {
    let mut changed = target();
    for key in ["az", "part", "boot_ms", "capacity_hint"] {
        changed[key] = json!({"of": "another type"});
    }
    let entry = read_target(changed).unwrap().entry;
    // Zone 2 is the number after the last configured zone: an unknown zone shares no idempotency keys with a known one.
    assert_eq!((entry.zone, entry.started), (2, 0));
    assert_eq!((entry.is_primary, entry.weight), (false, 1.0));
}

/// Guards against a removal that is rejected because the removed endpoint has no address any more.
#[test]
fn a_removed_endpoint_needs_no_address() {
    let mut changed = target_with("state", json!("gone"));
    changed["endpoint"] = Value::Null;
    let listed = read_target(changed).unwrap();
    assert_eq!(listed.entry.state, EndpointState::Removed);
    assert_eq!(listed.address.port(), 0);
}

/// Guards against an error that does not name the field that makes a list invalid.
#[test]
fn an_error_names_the_field_at_fault() {
    let cases = [
        (target_with("state", json!("up")), "targets[0].state: "),
        (
            target_with("pod_group", json!(-1)),
            "targets[0].pod_group: ",
        ),
        (target_with("uid", json!(4)), "targets[0].uid: "),
        (
            target_with("endpoint", json!("nowhere")),
            "targets[0].endpoint: expected an IP address with a port, got 'nowhere'",
        ),
        (
            target_with("endpoint", json!(1)),
            "targets[0].endpoint: missing",
        ),
        (json!({"uid": "s-1"}), "targets[0]: missing field `state`"),
    ];
    for (target, expected) in cases {
        let error = read_target(target).unwrap_err();
        assert!(error.starts_with(expected), "{error}");
    }
    for field in ["rev", "all", "targets"] {
        let mut list = json!({"rev": 7, "all": true, "targets": []});
        list.as_object_mut().unwrap().remove(field);
        let error = read_list(&list, &[]).unwrap_err().to_string();
        assert!(
            error.contains(&format!("missing field `{field}`")),
            "{error}"
        );
    }
}
