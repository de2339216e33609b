//! Starts the built router binary for the tests and formats the query that most of them send.
#![allow(dead_code)]

pub mod flood;

pub use reelrill_test_support::*;
use serde_json::Value;

/// Starts the router with the given endpoint list, limits (or only the one on descriptors) and settings, and waits until
/// it listens. `extensions` is the text of the extensions file (YAML), if there is one.
pub fn start_router_with(
    discovery: &FakeDiscovery,
    configured_endpoints: &[Value],
    limits: impl Into<ProcessLimits>,
    settings: Value,
    extensions: Option<&str>,
) -> RouterProcess {
    RouterProcess::start(
        env!("CARGO_BIN_EXE_reelrill"),
        discovery,
        configured_endpoints,
        limits,
        settings,
        extensions,
    )
}

/// Starts the router with the base settings and without extensions.
pub fn start_router(
    discovery: &FakeDiscovery,
    configured_endpoints: &[Value],
    descriptor_limit: u64,
) -> RouterProcess {
    start_router_with(
        discovery,
        configured_endpoints,
        descriptor_limit,
        base_settings(),
        None,
    )
}

/// Returns a read of class `board` for replica set 2, for whose response the client waits `wait_ms` milliseconds.
pub fn select_query(id: u64, wait_ms: u64) -> String {
    format!(
        "SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d={wait_ms},cluster=2 */"
    )
}
