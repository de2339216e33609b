//! Reads the platform's settings object, which the simulator's adapter gets on its wire and the router in its
//! configuration.
//!
//! The object is deserialized into the structs of `document`, one for each JSON object, and converted into the
//! balancer's [`Settings`] by `convert`. An error names the field by its path. Whether the settings contradict
//! themselves is checked by the balancer, not here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod convert;
mod document;
mod error;
mod number;
mod word;

pub use error::SettingsReadError;

use document::Document;
use reelrill_routing::{Nanos, Settings, Timestamp};
use serde_json::Value;

/// What a host needs of the settings: the balancer's part, and what only the host itself uses.
#[derive(Debug, Clone)]
pub struct RoutingConfig {
    /// What the balancer is told.
    pub settings: Settings,
    /// The clock time from which positions are counted on the simulator's wire, in nanoseconds.
    pub origin: Timestamp,
    /// The classes' names, in the order that `Request::class` counts.
    pub class_names: Vec<String>,
    /// The zones' names, in the order that `EndpointEntry::zone` counts.
    pub zones: Vec<String>,
    /// An endpoint closes a connection that has been idle this long, in nanoseconds (0: not told).
    pub endpoint_idle_timeout: Nanos,
}

/// Reads the settings.
///
/// # Errors
/// If a field that is needed is absent or null, or if one has a value that it can't have.
pub fn read(value: &Value) -> Result<RoutingConfig, SettingsReadError> {
    // What is no object has no fields: the first one that is needed is named.
    let document = if value.is_object() {
        serde_path_to_error::deserialize(value).map_err(SettingsReadError::at_path)?
    } else {
        Document::default()
    };
    convert::site(document)
}
