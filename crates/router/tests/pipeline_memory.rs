//! Tests of the router's memory while clients send many queries at once.

mod common;

use common::*;
use reelrill_test_support::client::{bind_and_execute, parse_message, query_message, sync_message};
use rstest::rstest;

/// The memory limit in the router's configuration, in MiB.
const MEMORY_MB: u64 = 48;
const CLIENTS: u64 = 10;
/// The queries that each client sends at once.
const QUERIES: u64 = 120;
/// The time that the first query of each client waits for its response, in milliseconds.
const BLOCKED_MS: u64 = 2000;
/// The time that the other queries wait for their responses, in milliseconds.
const PATIENT_MS: u64 = 20_000;

/// The protocol in which the clients send their queries.
#[derive(Clone, Copy)]
enum Protocol {
    Simple,
    Extended,
}

impl Protocol {
    /// Returns the text of the router's extensions file.
    fn extensions(self) -> Option<&'static str> {
        match self {
            Protocol::Simple => None,
            Protocol::Extended => Some("extended: {mode: on}"),
        }
    }

    /// Prepares the client's statement, if the protocol has one.
    fn prepare(self, client: &mut Client) {
        if let Protocol::Extended = self {
            let text =
                "SELECT data FROM facts WHERE code = 'k' /* id=$1,c=board,d=$2,cluster=$3 */";
            client.extended_query(&[parse_message("read", text, &[])]);
        }
    }

    /// Returns the messages of a read of a replica set, for whose response the client waits `wait_ms` milliseconds.
    fn read(self, id: u64, replica_set: u32, wait_ms: u64) -> Vec<u8> {
        match self {
            Protocol::Simple => query_message(&format!(
                "SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d={wait_ms},cluster={replica_set} */"
            )),
            Protocol::Extended => {
                let id = format!("{id:016x}");
                let (wait_ms, replica_set) = (wait_ms.to_string(), replica_set.to_string());
                let values = [&id, &wait_ms, &replica_set].map(|value| Some(value.as_str()));
                [bind_and_execute("read", &values), sync_message()].concat()
            }
        }
    }
}

/// Guards against responses of 64 KiB that are kept without a bound while the first query of each client has no
/// response: the process exceeded its memory limit and was killed, and none of its requests got a response. Each
/// request must be served or rejected, in order.
#[rstest]
fn responses_behind_a_blocked_query_stay_within_the_memory_limit(
    #[values(Protocol::Simple, Protocol::Extended)] protocol: Protocol,
) {
    let silent = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
    let serving = FakeEndpoint::start("master", ScriptedResponse::ServeLarge);
    let mut silent_entry = list_entry("s-1", silent.address, "ready");
    silent_entry["pod_group"] = 1.into();
    let list = vec![silent_entry, list_entry("s-2", serving.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let limits = ProcessLimits {
        sockets: 512,
        memory_mb: MEMORY_MB,
    };
    let extensions = protocol.extensions();
    let router = start_router_with(&discovery, &list, limits, base_settings(), extensions);
    let first_id = |client: u64| client * 1000;
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| router.connect_client()).collect();
    for (client, number) in clients.iter_mut().zip(0..) {
        protocol.prepare(client);
        let others = first_id(number) + 1..first_id(number) + QUERIES;
        let mut messages = protocol.read(first_id(number), 1, BLOCKED_MS);
        messages.extend(others.flat_map(|id| protocol.read(id, 2, PATIENT_MS)));
        client.send(&messages);
    }
    for (client, number) in clients.iter_mut().zip(0..) {
        let blocked = client.read_response().unwrap();
        assert_eq!(blocked.sqlstate, "53300", "{blocked:?}");
        for id in first_id(number) + 1..first_id(number) + QUERIES {
            let response = client.read_response().unwrap();
            let is_served = response.value == format!("{id:016x}").repeat(4096);
            assert!(is_served || response.sqlstate == "53300", "request {id}");
        }
    }
    let peak_kb = router.peak_memory_kb();
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} kB");
}
