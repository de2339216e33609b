//! A list in discovery's form: read from the configuration and from the roster's answers.

use crate::messages::ListedEndpoint;
use reelrill_routing::{EndpointEntry, EndpointState};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Why a value is no list: the field at fault.
#[derive(Debug, thiserror::Error)]
#[error("{0}: missing or wrong")]
pub struct ListError(pub &'static str);

/// One answer of discovery.
#[derive(Debug)]
pub struct List {
    pub version: u64,
    pub is_complete: bool,
    pub entries: Vec<ListedEndpoint>,
}

/// Reads a list in discovery's form.
pub fn read_list(value: &Value, zones: &[String]) -> Result<List, ListError> {
    let targets = value
        .get("targets")
        .and_then(Value::as_array)
        .ok_or(ListError("targets"))?;
    Ok(List {
        version: value
            .get("rev")
            .and_then(Value::as_u64)
            .ok_or(ListError("rev"))?,
        is_complete: value
            .get("all")
            .and_then(Value::as_bool)
            .ok_or(ListError("all"))?,
        entries: targets
            .iter()
            .map(|t| read_target(t, zones))
            .collect::<Result<_, _>>()?,
    })
}

fn read_target(target: &Value, zones: &[String]) -> Result<ListedEndpoint, ListError> {
    let text = |key: &'static str| {
        target
            .get(key)
            .and_then(Value::as_str)
            .ok_or(ListError(key))
    };
    let state = match text("state")? {
        "ready" => EndpointState::Serving,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        _ => return Err(ListError("state")),
    };
    let address = match text("endpoint").map(str::parse) {
        Ok(Ok(address)) => address,
        // One that is gone is dialled no more.
        _ if state == EndpointState::Removed => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        _ => return Err(ListError("endpoint")),
    };
    let zone = text("az")
        .ok()
        .and_then(|az| zones.iter().position(|z| z == az))
        .unwrap_or(0);
    let replica_set = target
        .get("pod_group")
        .and_then(Value::as_u64)
        .and_then(|g| u32::try_from(g).ok());
    let started_ms = target.get("boot_ms").and_then(Value::as_f64).unwrap_or(0.0);
    let entry = EndpointEntry {
        endpoint: text("uid")?.into(),
        started: (started_ms.max(0.0) as u64).saturating_mul(1_000_000),
        primary: target.get("part").and_then(Value::as_str) == Some("master"),
        state,
        weight: target
            .get("capacity_hint")
            .and_then(Value::as_f64)
            .unwrap_or(1.0),
        replica_set: replica_set.ok_or(ListError("pod_group"))?,
        zone: zone as u32,
    };
    Ok(ListedEndpoint { entry, address })
}
