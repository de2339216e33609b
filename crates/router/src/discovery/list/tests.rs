//! What is read from a list in its wire form, and what the errors name.

use super::*;
use serde_json::json;

fn target() -> Value {
    json!({"uid": "s-1", "endpoint": "127.0.0.1:7001", "state": "ready", "pod_group": 3, "az": "b",
           "part": "master", "boot_ms": 5, "capacity_hint": 2, "unknown": [1]})
}

fn read(target: Value) -> Result<ListedEndpoint, String> {
    let value = json!({"rev": 7, "all": true, "targets": [target], "unknown": {}});
    let list = read_list(&value, &["a".to_owned(), "b".to_owned()]).map_err(|e| e.to_string())?;
    assert_eq!((list.version, list.is_complete), (7, true));
    list.entries.into_iter().next().ok_or("empty".to_owned())
}

fn with(key: &str, value: Value) -> Value {
    let mut changed = target();
    changed[key] = value;
    changed
}

#[test]
fn a_target_with_all_fields_is_converted_and_unknown_fields_are_ignored() {
    let listed = read(target()).unwrap();
    let entry = &listed.entry;
    assert_eq!(listed.address, "127.0.0.1:7001".parse().unwrap());
    assert_eq!(&*entry.endpoint, "s-1");
    assert_eq!(entry.state, EndpointState::Serving);
    assert_eq!((entry.replica_set, entry.zone), (3, 1));
    assert_eq!((entry.is_primary, entry.weight), (true, 2.0));
    assert_eq!(entry.started, 5_000_000);
}

#[test]
fn optional_fields_of_another_type_count_as_absent() {
    let mut changed = target();
    for key in ["az", "part", "boot_ms", "capacity_hint"] {
        changed[key] = json!({"of": "another type"});
    }
    let entry = read(changed).unwrap().entry;
    // The zone behind the last one that the settings name: it shares no idempotency keys with these.
    assert_eq!((entry.zone, entry.started), (2, 0));
    assert_eq!((entry.is_primary, entry.weight), (false, 1.0));
}

#[test]
fn a_removed_endpoint_needs_no_address() {
    let mut changed = with("state", json!("gone"));
    changed["endpoint"] = Value::Null;
    let listed = read(changed).unwrap();
    assert_eq!(listed.entry.state, EndpointState::Removed);
    assert_eq!(listed.address.port(), 0);
}

#[test]
fn an_error_names_the_field_at_fault() {
    let cases = [
        (with("state", json!("up")), "targets[0].state: "),
        (with("pod_group", json!(-1)), "targets[0].pod_group: "),
        (with("uid", json!(4)), "targets[0].uid: "),
        (
            with("endpoint", json!("nowhere")),
            "targets[0].endpoint: 'nowhere' is no socket address",
        ),
        (with("endpoint", json!(1)), "targets[0].endpoint: missing"),
        (json!({"uid": "s-1"}), "targets[0]: missing field `state`"),
    ];
    for (target, expected) in cases {
        let error = read(target).unwrap_err();
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
