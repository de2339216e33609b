//! Reads the platform's settings from JSON. The simulator adapter receives them in its input, the router in its
//! configuration file.
//!
//! The settings are deserialized into the structs of `document`, one for each JSON object, and converted to the
//! balancer's [`Settings`] by `convert`. An error names the field by its path. Contradictions between fields are
//! detected by [`Settings::validate`], not here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod convert;
mod document;
mod error;
mod number;
mod word;

pub use error::SettingsReadError;

use document::SettingsDocument;
use reelrill_routing::{Nanos, Settings, Timestamp};
use serde_json::Value;

/// Holds the balancer's settings, and the settings that only the program around the balancer uses.
#[derive(Debug, Clone)]
pub struct RoutingConfig {
    /// The balancer's settings.
    pub settings: Settings,
    /// The clock time that replication positions in the simulator's input are relative to, in nanoseconds.
    pub position_origin: Timestamp,
    /// The names of the classes, indexed by [`Request::class`](reelrill_routing::Request::class); empty for a class
    /// without a name.
    pub class_names: Vec<String>,
    /// The names of the zones, indexed by [`EndpointEntry::zone`](reelrill_routing::EndpointEntry::zone).
    pub zones: Vec<String>,
    /// The idle time after which endpoints close a connection, in nanoseconds (0: not configured).
    pub endpoint_idle_timeout: Nanos,
}

/// Reads the settings object.
///
/// # Errors
/// Fails if a required field is absent or null, or a field has an invalid value.
pub fn read(value: &Value) -> Result<RoutingConfig, SettingsReadError> {
    // A value that is not an object is read as an object without fields; the error then names the first required field.
    let document = if value.is_object() {
        serde_path_to_error::deserialize(value).map_err(SettingsReadError::at_path)?
    } else {
        SettingsDocument::default()
    };
    convert::routing_config(document)
}
