//! Tests of clients that write a request slowly, and of crowds of clients that stop in the middle of one.

mod common;

use common::*;
use reelrill_test_support::client::{
    bind_and_execute, parse_message, query_message, startup_message, sync_message,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const EXTENDED_ON: &str = "extended: {mode: on}";
const READ_TEXT: &str = "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";
/// With this limit clients have 22 descriptors.
const DESCRIPTOR_LIMIT: u64 = 64;
/// More connections than clients have descriptors.
const CROWD: usize = 60;
/// The id of the request that is written slowly.
const SLOW_ID: u64 = 0x51;
/// The pause between two parts of a request. It is longer than the time before a paused client may be evicted.
const PAUSE: Duration = Duration::from_millis(130);
/// The time within which a client that stops in the middle of a request gets an error or a close.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);

/// The protocol of the request that is written slowly.
#[derive(Clone, Copy)]
enum Query {
    Simple,
    Extended,
}

impl Query {
    /// Returns the parts in which the request is written: for a simple query in the middle of the message, for an extended
    /// one between two messages.
    fn parts(self) -> Vec<Vec<u8>> {
        match self {
            Query::Simple => {
                let message = query_message(&select_query(SLOW_ID, 5000));
                message.chunks(40).map(<[u8]>::to_vec).collect()
            }
            Query::Extended => {
                let id = format!("{SLOW_ID:016x}");
                let values = [Some("k"), Some(id.as_str()), Some("5000")];
                vec![
                    parse_message("", READ_TEXT, &[]),
                    bind_and_execute("", &values),
                    sync_message(),
                ]
            }
        }
    }
}

fn start() -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let settings = base_settings();
    let router = start_router_with(
        &discovery,
        &list,
        DESCRIPTOR_LIMIT,
        settings,
        Some(EXTENDED_ON),
    );
    (endpoint, discovery, router)
}

/// Connects a client, which must be served, and returns it.
fn connect_and_query(router: &RouterProcess, id: u64) -> Client {
    let mut client = router.connect_client();
    let response = client.simple_query(&select_query(id, 5000));
    assert_eq!(response.value, format!("{id:016x}"), "{response:?}");
    client
}

/// Writes a request in parts. New clients connect in the pauses.
fn write_slowly(router: &RouterProcess, client: &mut Client, parts: Vec<Vec<u8>>) -> Vec<Client> {
    let mut new_clients = Vec::new();
    for (id, part) in (0x100..).zip(parts) {
        std::thread::sleep(PAUSE);
        new_clients.push(connect_and_query(router, id));
        client.send(&part);
    }
    new_clients
}

/// Guards against a request that is cut off in the middle although other connections could be closed (review case 8):
/// more than half of the descriptors are in use, most by clients between requests.
#[rstest]
fn request_written_slowly_is_served_while_idle_clients_are_evicted(
    #[values(Query::Simple, Query::Extended)] query: Query,
    #[values(true, false)] is_first_request: bool,
) {
    let (_endpoint, _discovery, router) = start();
    let mut client = Client::connect(router.address);
    let mut parts = query.parts();
    if is_first_request {
        // Of the startup message, only a part is written before the others connect.
        let rest = [startup_message().split_off(6), parts.remove(0)].concat();
        client.send(&startup_message()[..6]);
        parts.insert(0, rest);
    } else {
        client.complete_startup();
        assert_eq!(client.simple_query(&select_query(50, 5000)).sqlstate, "");
        client.send(&parts.remove(0));
    }
    let _idle: Vec<Client> = (1..=16).map(|id| connect_and_query(&router, id)).collect();
    let _new = write_slowly(&router, &mut client, parts);
    let value = std::iter::from_fn(|| client.read_response()).find(|r| !r.value.is_empty());
    assert_eq!(value.unwrap().value, format!("{SLOW_ID:016x}"));
    assert!(router.wait_for_log("reason: evicted"));
}

/// Guards clients against a crowd that holds all descriptors and never completes a request: new clients are served at
/// once, and so is one that writes slowly, since the client that has paused longest is evicted first.
#[rstest]
fn crowd_of_stalled_clients_keeps_no_other_client_out(
    #[values(Query::Simple, Query::Extended)] query: Query,
) {
    let (_endpoint, _discovery, router) = start();
    let started = Instant::now();
    let crowd: Vec<Client> = (0..CROWD)
        .map(|_| {
            let mut client = Client::connect(router.address);
            client.send(&[startup_message(), query.parts().remove(0)].concat());
            client
        })
        .collect();
    let mut slow_client = router.connect_client();
    let mut parts = query.parts();
    slow_client.send(&parts.remove(0));
    let _new = write_slowly(&router, &mut slow_client, parts);
    let response = slow_client.read_response().unwrap();
    assert_eq!(response.value, format!("{SLOW_ID:016x}"), "{response:?}");
    assert!(started.elapsed() < CLOSE_LIMIT, "{:?}", started.elapsed());
    drop(crowd);
}

/// Guards against a request that is cut off as stalled although its client goes on (review case 9): it takes 2.3 s to
/// write.
#[rstest]
fn request_that_takes_seconds_to_write_is_served(#[values(true, false)] is_first_request: bool) {
    let (_endpoint, _discovery, router) = start();
    let mut client = router.connect_client();
    if !is_first_request {
        assert_eq!(client.simple_query(&select_query(1, 5000)).sqlstate, "");
    }
    let message = query_message(&select_query(SLOW_ID, 5000));
    for part in message.chunks(message.len().div_ceil(23)) {
        client.send(part);
        std::thread::sleep(Duration::from_millis(100));
    }
    let response = client.read_response().unwrap();
    assert_eq!(response.value, format!("{SLOW_ID:016x}"), "{response:?}");
}

/// Guards descriptors against clients that stop in the middle of a request and stay: even while none is lacking, each gets
/// an error or a close in time.
#[rstest]
#[case(&startup_message()[..6])]
#[case(&[startup_message(), Query::Simple.parts().remove(0)].concat())]
#[case(&[startup_message(), Query::Extended.parts().remove(0)].concat())]
fn client_that_stops_in_the_middle_is_closed_in_time(#[case] bytes: &[u8]) {
    let (_endpoint, _discovery, router) = start();
    let mut client = Client::connect(router.address);
    let started = Instant::now();
    client.send(bytes);
    while client.read_message().is_some() {}
    assert!(started.elapsed() < CLOSE_LIMIT, "{:?}", started.elapsed());
}

/// Guards against a prepared query that is lost when a graceful shutdown starts between two of its messages.
#[test]
fn unfinished_pipeline_is_completed_during_graceful_shutdown() {
    let (_endpoint, _discovery, mut router) = start();
    let mut client = router.connect_client();
    let mut parts = Query::Extended.parts().into_iter();
    client.send(&parts.next().unwrap());
    // The response on another connection shows that the first message has been read.
    drop(connect_and_query(&router, 1));
    router.signal("TERM");
    assert!(router.wait_for_log("graceful shutdown started"));
    client.send(&parts.flatten().collect::<Vec<u8>>());
    let response = client.read_response().unwrap();
    assert_eq!(response.value, format!("{SLOW_ID:016x}"), "{response:?}");
    assert!(router.wait_for_exit().success());
}
