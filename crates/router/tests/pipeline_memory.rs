//! Tests of the router's memory while clients send many queries at once.

mod common;

use common::*;
use reelrill_test_support::client::{
    bind_and_execute, parse_message, query_message, startup_message, sync_message,
};
use rstest::rstest;
use std::io::Write;

/// The memory limit in the router's configuration, in MiB.
const MEMORY_MB: u64 = 48;
const CLIENTS: u64 = 10;
/// The length of a value in bytes, the longest that is allowed.
const VALUE_BYTES: usize = 64 * 1024;
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

/// Returns the messages of a write of 64 KiB, as a simple query or with the prepared statement `write` and a Sync.
fn large_write(protocol: Protocol, id: u64) -> Vec<u8> {
    let value = format!("\\x{}", "7f".repeat(VALUE_BYTES));
    let id = format!("{id:016x}");
    match protocol {
        Protocol::Simple => query_message(&format!(
            "INSERT INTO facts (code, data) VALUES ('k-{id}', '{value}') RETURNING data \
             /* id={id},c=book,d={BLOCKED_MS},k={id},cluster=1 */"
        )),
        Protocol::Extended => {
            let values = [Some(value.as_str()), Some(&id), Some(&id)];
            [bind_and_execute("write", &values), sync_message()].concat()
        }
    }
}

/// Guards against a message for which no memory is left and that ends its connection: everything that the client had
/// sent behind it was discarded without a response. Each message must get its own response.
#[rstest]
#[case::simple(Protocol::Simple, 3)]
#[case::extended(Protocol::Extended, 12)]
fn messages_without_memory_are_rejected_one_by_one(
    #[case] protocol: Protocol,
    #[case] writes: u64,
) {
    const WRITERS: u64 = 60;
    let silent = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
    let mut entry = list_entry("s-1", silent.address, "ready");
    entry["pod_group"] = 1.into();
    let discovery = FakeDiscovery::start(Some(vec![entry.clone()]));
    let limits = ProcessLimits {
        sockets: 256,
        memory_mb: 32,
    };
    let extensions = protocol.extensions();
    let router = start_router_with(&discovery, &[entry], limits, base_settings(), extensions);
    let start_writer = |number: u64| {
        let mut client = router.connect_client();
        let text = "INSERT INTO facts (code, data) VALUES ('k', $1) RETURNING data \
                    /* id=$2,c=book,d=150,k=$3,cluster=1 */";
        if let Protocol::Extended = protocol {
            client.extended_query(&[parse_message("write", text, &[])]);
        }
        std::thread::spawn(move || {
            let ids = number * 1000..number * 1000 + writes;
            let messages: Vec<u8> = ids.flat_map(|id| large_write(protocol, id)).collect();
            let mut stream = client.stream.try_clone().unwrap();
            let sender = std::thread::spawn(move || drop(stream.write_all(&messages)));
            let responses = (0..writes).map_while(|_| client.read_response());
            let complete = responses.filter(|r| r.tags.ends_with('Z')).count() as u64;
            sender.join().unwrap();
            complete
        })
    };
    let writers: Vec<_> = (1..=WRITERS).map(start_writer).collect();
    let responses: Vec<u64> = writers.into_iter().map(|w| w.join().unwrap()).collect();
    assert_eq!(responses, vec![writes; WRITERS as usize]);
    let peak_kb = router.peak_memory_kb();
    assert!(peak_kb <= limits.memory_mb * 1024, "{peak_kb} kB");
}

/// Guards against the memory that hundreds of clients hold after many small messages (issue 43): each kept the room for its
/// longest queue, and the process exceeded its limit.
#[rstest]
fn memory_of_hundreds_of_clients_stays_within_the_limit(
    #[values(Protocol::Simple, Protocol::Extended)] protocol: Protocol,
) {
    const CROWD: usize = 540;
    const MESSAGES: usize = 300;
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let limits = ProcessLimits {
        sockets: 1024,
        memory_mb: 32,
    };
    let extensions = protocol.extensions();
    let router = start_router_with(&discovery, &list, limits, base_settings(), extensions);
    let message = match protocol {
        Protocol::Simple => query_message("SELECT nothing"),
        Protocol::Extended => [parse_message("", "SELECT nothing", &[]), sync_message()].concat(),
    };
    let messages = [startup_message(), message.repeat(MESSAGES)].concat();
    // All connections are in the backlog before the router accepts the first.
    router.signal("STOP");
    let mut crowd: Vec<Client> = (0..CROWD)
        .map(|_| Client::connect(router.address))
        .collect();
    crowd.iter_mut().for_each(|client| client.send(&messages));
    router.signal("CONT");
    for client in &mut crowd {
        let responses = (0..=MESSAGES).map_while(|_| client.read_response());
        assert_eq!(responses.filter(|r| r.tags == "EZ").count(), MESSAGES);
    }
    let peak_kb = router.peak_memory_kb();
    assert!(peak_kb <= limits.memory_mb * 1024, "{peak_kb} kB");
}
