//! What the tests share: the real program, and stand-ins of all that it meets.
#![allow(dead_code)]

pub use reelrill_test_support::*;
use serde_json::Value;

/// The program under test, with settings of its own in YAML, if any.
pub fn start_with(
    discovery: &FakeDiscovery,
    known: &[Value],
    sockets: u64,
    settings: Value,
    edge: Option<&str>,
) -> RouterProcess {
    RouterProcess::start(
        env!("CARGO_BIN_EXE_reelrill"),
        discovery,
        known,
        sockets,
        settings,
        edge,
    )
}

/// The program under test.
pub fn start(discovery: &FakeDiscovery, known: &[Value], sockets: u64) -> RouterProcess {
    start_with(discovery, known, sockets, base_settings(), None)
}

pub fn read(id: u64, wait_ms: u64) -> String {
    format!(
        "SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d={wait_ms},cluster=2 */"
    )
}
