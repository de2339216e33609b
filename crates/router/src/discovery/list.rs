//! Converts an endpoint list from its wire form, found in the configuration and in the discovery service's responses.
//!
//! The wire types contain every field that is used; others are ignored. An optional field of the wrong type counts as
//! absent. This module does not decide whether an endpoint is usable.

use crate::messages::ListedEndpoint;
use reelrill_routing::{EndpointEntry, EndpointState};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// The value of `part` for the primary of a replica set.
const PRIMARY: &str = "master";
/// The weight of an endpoint whose capacity is not stated.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The error of a value that is not a valid endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// A field is missing or has the wrong type.
    #[error("{path}: {source}")]
    Field {
        /// The path of the field, such as `targets[3].state`, or of the object in which it is missing.
        path: String,
        /// The error of the field's value.
        source: serde_json::Error,
    },
    /// An endpoint that may get requests has no usable address.
    #[error("targets[{index}].endpoint: {}", describe_address(.value.as_deref()))]
    Address {
        /// The endpoint's index in the list, from 0.
        index: usize,
        /// The value of its address field, if that is a string.
        value: Option<String>,
    },
}

fn describe_address(value: Option<&str>) -> String {
    match value {
        Some(value) => format!("expected an IP address with a port, got '{value}'"),
        None => "missing or not a string".to_owned(),
    }
}

/// A complete endpoint list, or changes to one.
#[derive(Debug)]
pub struct List {
    /// The version of the list after these entries are applied.
    pub version: u64,
    /// Whether the entries are the complete list, not only changes.
    pub is_complete: bool,
    /// The endpoints.
    pub entries: Vec<ListedEndpoint>,
}

#[derive(Debug, Deserialize)]
struct WireList {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_complete: bool,
    targets: Vec<WireTarget>,
}

#[derive(Debug, Deserialize)]
struct WireTarget {
    uid: String,
    state: WireState,
    #[serde(rename = "pod_group")]
    replica_set: u32,
    #[serde(default, rename = "endpoint", deserialize_with = "optional_text")]
    address: Option<String>,
    #[serde(default, rename = "az", deserialize_with = "optional_text")]
    zone: Option<String>,
    #[serde(default, rename = "part", deserialize_with = "optional_text")]
    role: Option<String>,
    #[serde(default, rename = "boot_ms", deserialize_with = "optional_number")]
    started_ms: Option<f64>,
    #[serde(
        default,
        rename = "capacity_hint",
        deserialize_with = "optional_number"
    )]
    weight: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
    Gone,
}

/// Reads a string; a value of another type counts as absent.
fn optional_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().map(str::to_owned))
}

/// Reads a number; a value of another type counts as absent.
fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_f64())
}

/// Converts a list from its wire form. `zones` holds the zones' names, in the order of their numbers.
///
/// # Errors
/// Fails if a required field is missing or has an invalid value; the error names the field.
pub fn read_list(value: &Value, zones: &[String]) -> Result<List, ListError> {
    let list: WireList =
        serde_path_to_error::deserialize(value).map_err(|error| ListError::Field {
            path: error.path().to_string(),
            source: error.into_inner(),
        })?;
    let entries = list
        .targets
        .into_iter()
        .enumerate()
        .map(|(index, target)| target.into_listed(index, zones))
        .collect::<Result<_, _>>()?;
    Ok(List {
        version: list.version,
        is_complete: list.is_complete,
        entries,
    })
}

impl WireTarget {
    fn into_listed(self, index: usize, zones: &[String]) -> Result<ListedEndpoint, ListError> {
        let address = self.socket_address(index)?;
        let zone = self
            .zone
            .and_then(|name| zones.iter().position(|zone| *zone == name))
            // An unknown zone gets the number after the last one, so that it does not share the first zone's
            // idempotency keys.
            .unwrap_or(zones.len());
        let started_ms = self.started_ms.unwrap_or(0.0).max(0.0) as u64;
        let entry = EndpointEntry {
            endpoint: self.uid.as_str().into(),
            started: started_ms.saturating_mul(NANOS_PER_MILLISECOND),
            is_primary: self.role.as_deref() == Some(PRIMARY),
            state: self.state.into(),
            weight: self.weight.unwrap_or(DEFAULT_WEIGHT),
            replica_set: self.replica_set,
            zone: zone as u32,
        };
        Ok(ListedEndpoint { entry, address })
    }

    fn socket_address(&self, index: usize) -> Result<SocketAddr, ListError> {
        let parsed = self.address.as_deref().and_then(|text| text.parse().ok());
        match parsed {
            Some(address) => Ok(address),
            // A removed endpoint needs no address: the router does not connect to it any more.
            None if self.state == WireState::Gone => {
                Ok(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))
            }
            None => Err(ListError::Address {
                index,
                value: self.address.clone(),
            }),
        }
    }
}

impl From<WireState> for EndpointState {
    fn from(state: WireState) -> EndpointState {
        match state {
            WireState::Ready => EndpointState::Serving,
            WireState::Draining => EndpointState::Draining,
            WireState::Gone => EndpointState::Removed,
        }
    }
}

#[cfg(test)]
mod tests;
