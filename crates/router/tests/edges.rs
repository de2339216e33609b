//! Tests of requests that are in progress when a client disconnects, a connection closes or the process shuts down.
//! Each race is forced by a fake endpoint that blocks until the test releases it.

mod common;

use common::*;
use reelrill_pg_protocol::frontend;
use reelrill_test_support::client::{query_message, startup_message};
use rstest::rstest;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// The id of the request that a test observes.
const OBSERVED_ID: u64 = 0xe1;

/// A way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Eof,
    Reset,
    Terminate,
}

impl Disconnect {
    /// Disconnects the client. Returns it if its socket must stay open afterwards.
    fn apply(self, client: Client) -> Option<Client> {
        match self {
            Disconnect::Eof => client.stream.shutdown(Shutdown::Write).unwrap(),
            Disconnect::Reset => {
                socket2::SockRef::from(&client.stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                return None;
            }
            Disconnect::Terminate => (&client.stream).write_all(&[b'X', 0, 0, 0, 4]).unwrap(),
        }
        Some(client)
    }
}

/// Returns a write of class `book` in `session`. Its idempotency key is `id`, and the client waits `wait_ms`
/// milliseconds.
fn insert_query(id: u64, session: &str, wait_ms: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('{session}', '\\x00') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    )
}

/// Returns settings that forbid cancelling and allow a connect 15 s.
fn settings_without_cancelling() -> Value {
    let mut settings = base_settings();
    settings["ceilings"]["mayCancel"] = false.into();
    settings["ceilings"]["connectTimeout"] = 15_000_000_000u64.into();
    with_long_latency_objective(settings)
}

/// Sets all latency objectives to 4 s, so that no load is shed for requests that have waited some seconds.
fn with_long_latency_objective(mut settings: Value) -> Value {
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["onTime"] = 4_000_000_000u64.into();
    }
    settings
}

/// Starts an endpoint of `role` and a router whose endpoint list contains only this one.
fn start_with_one_endpoint(
    role: &'static str,
    scripted_response: ScriptedResponse,
    settings: Value,
) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let endpoint = FakeEndpoint::start(role, scripted_response);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    (endpoint, discovery, router)
}

fn query_count(endpoint: &FakeEndpoint) -> usize {
    endpoint.activity.with(|s| s.queries.len())
}

fn wait_for_queries(endpoint: &FakeEndpoint, count: usize) {
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() >= count).then_some(()))
            .is_some()
    );
}

fn wait_for_connection(endpoint: &FakeEndpoint) {
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.accepted_connections >= 1)
                .then_some(()))
            .is_some()
    );
}

/// Guards endpoints against requests whose client has disconnected: an attempt that still waits for its connection must
/// be withdrawn then, although the settings forbid cancelling. The connection serves the next request.
#[rstest]
fn attempt_waiting_for_its_connection_is_withdrawn_when_the_client_disconnects(
    #[values(Disconnect::Eof, Disconnect::Reset, Disconnect::Terminate)] disconnect: Disconnect,
    #[values(false, true)] is_write: bool,
) {
    let (endpoint, _discovery, router) = start_with_one_endpoint(
        "master",
        ScriptedResponse::Serve,
        settings_without_cancelling(),
    );
    endpoint.set_startup_blocked(true);
    let mut client = router.connect_client();
    client.send(&query_message(&if is_write {
        insert_query(OBSERVED_ID, "s", 20_000)
    } else {
        select_query(OBSERVED_ID, 20_000)
    }));
    wait_for_connection(&endpoint);
    let _open_client = disconnect.apply(client);
    assert!(
        router.wait_for_counter("client_left=1")
            && router.wait_for_counter("attempts_unwritten_client_left=1")
    );
    endpoint.set_startup_blocked(false);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 20_000))
            .value,
        "0000000000000002"
    );
    assert_eq!(query_count(&endpoint), 1);
}

/// Guards endpoints against the requests of a hundred clients that disconnect together while their attempts wait for a
/// connection.
#[test]
fn attempts_of_a_hundred_clients_are_withdrawn_when_all_disconnect() {
    let mut settings = settings_without_cancelling();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        // Prevents load shedding. Without a first response, shedding starts once all open requests together have waited
        // for about half the latency objective: on a busy machine before the last of a hundred requests has arrived.
        class["hardLimit"] = 3_000_000_000_000u64.into();
        class["onTime"] = 3_000_000_000_000u64.into();
    }
    let (endpoint, _discovery, router) =
        start_with_one_endpoint("master", ScriptedResponse::Serve, settings);
    endpoint.set_startup_blocked(true);
    let mut clients: Vec<Client> = (0..100).map(|_| router.connect_client()).collect();
    for (client, id) in clients.iter_mut().zip(100..) {
        client.send(&query_message(&select_query(id, 3_000_000)));
    }
    assert!(router.wait_for_counter("requests=100"));
    drop(clients);
    assert!(router.wait_for_counter("client_left=100") && router.wait_for_counter("rejected=0"));
    endpoint.set_startup_blocked(false);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 3_000_000))
            .value,
        "0000000000000002"
    );
    assert_eq!(query_count(&endpoint), 1);
}

/// Guards against a write that is executed after its client has disconnected: it waited for a primary and must not be
/// sent to the next one.
#[test]
fn write_waiting_for_a_primary_is_dropped_when_its_client_disconnects() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(
        "replica",
        ScriptedResponse::Error("25006"),
        settings_without_cancelling(),
    );
    let mut client = router.connect_client();
    client.send(&query_message(&insert_query(OBSERVED_ID, "s", 20_000)));
    wait_for_queries(&endpoint, 1);
    drop(client);
    assert!(router.wait_for_counter("client_left=1"));
    let queries_before = query_count(&endpoint);
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&insert_query(2, "s", 20_000))
            .value,
        "0000000000000002"
    );
    let was_sent_later = endpoint.activity.with(|s| {
        s.queries[queries_before..]
            .iter()
            .any(|q| q.contains(&format!("id={OBSERVED_ID:016x}")))
    });
    assert!(!was_sent_later);
}

/// Guards against pipelined requests that start after their client has disconnected. The one request that was already
/// written must have exactly one outcome.
#[rstest]
fn pipelined_requests_do_not_start_after_their_client_disconnects(
    #[values(Disconnect::Eof, Disconnect::Reset, Disconnect::Terminate)] disconnect: Disconnect,
) {
    let (endpoint, _discovery, router) = start_with_one_endpoint(
        "master",
        ScriptedResponse::NoResponse,
        settings_without_cancelling(),
    );
    let mut client = router.connect_client();
    // The writes of one session are executed one after the other.
    let pipeline: Vec<u8> = (0..5)
        .flat_map(|i| query_message(&insert_query(OBSERVED_ID + i, "s", 20_000)))
        .collect();
    client.send(&pipeline);
    wait_for_queries(&endpoint, 1);
    let _open_client = disconnect.apply(client);
    assert!(router.wait_for_counter("client_left=1"));
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    assert!(router.wait_for_counter("attempts_served=1"));
    assert_eq!(
        (
            query_count(&endpoint),
            router.wait_for_counter("attempts=1")
        ),
        (1, true)
    );
}

/// Guards against a disconnect that is not detected because unread bytes precede the end of the stream: the router
/// stops reading at its read-ahead limit and must poll the socket for a hang-up.
#[test]
fn disconnect_behind_unread_bytes_is_detected() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(
        "master",
        ScriptedResponse::NoResponse,
        settings_without_cancelling(),
    );
    let mut client = router.connect_client();
    client.send(&query_message(&insert_query(OBSERVED_ID, "s", 20_000)));
    wait_for_queries(&endpoint, 1);
    // More than the read-ahead limit and less than the socket buffers hold: the end of the stream follows directly.
    let query = query_message(&insert_query(OBSERVED_ID + 1, "s", 20_000));
    let queries = query.repeat(100_000 / query.len());
    client.send(&queries);
    drop(client.stream.shutdown(Shutdown::Write));
    let started = Instant::now();
    assert!(router.wait_for_counter("client_left=1"));
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "{:?}",
        started.elapsed()
    );
    assert!(router.wait_for_log("reason: left_waiting"));
}

/// Guards against a cancel request that has no effect on an attempt that still waits for its connection.
#[test]
fn attempt_waiting_for_its_connection_is_withdrawn_by_a_cancel_request() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    endpoint.set_startup_blocked(true);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(
        &discovery,
        &list,
        1024,
        settings_without_cancelling(),
        Some("extended: {mode: on}\n"),
    );
    let mut client = router.connect_client();
    client.send(&query_message(&select_query(OBSERVED_ID, 20_000)));
    wait_for_connection(&endpoint);
    let mut cancel = Vec::new();
    frontend::put_cancel_request(&mut cancel, client.cancel_key.0, client.cancel_key.1);
    Client::connect(router.address).send(&cancel);
    assert_eq!(client.read_response().unwrap().sqlstate, "57014");
    assert!(router.wait_for_counter("attempts_unwritten_client_left=1"));
    endpoint.set_startup_blocked(false);
    assert_eq!(
        client.simple_query(&select_query(2, 20_000)).value,
        "0000000000000002"
    );
    assert_eq!(query_count(&endpoint), 1);
}

/// Guards against pipelined queries that are executed one after the other: all must be sent before the first has its
/// response, and the responses must keep the order.
#[test]
fn pipelined_queries_are_sent_without_waiting_for_earlier_responses() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(
        "master",
        ScriptedResponse::NoResponse,
        with_long_latency_objective(base_settings()),
    );
    let mut client = router.connect_client();
    client.send(
        &(1..=8)
            .flat_map(|id| query_message(&select_query(id, 20_000)))
            .collect::<Vec<u8>>(),
    );
    wait_for_queries(&endpoint, 8);
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    for id in 1..=8 {
        assert_eq!(client.read_response().unwrap().value, format!("{id:016x}"));
    }
}

/// Guards against a request that is lost when a graceful shutdown starts after half of it has been read: the router
/// must read the rest and return a response.
#[test]
fn partially_read_request_is_completed_during_graceful_shutdown() {
    let (_endpoint, _discovery, mut router) =
        start_with_one_endpoint("master", ScriptedResponse::Serve, base_settings());
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let message = query_message(&select_query(2, 5000));
    client.send(&message[..40]);
    // The response on another connection shows that the first half has been read.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(3, 5000))
            .value,
        "0000000000000003"
    );
    router.signal("TERM");
    assert!(router.wait_for_log("graceful shutdown started"));
    client.send(&message[40..]);
    assert_eq!(client.read_response().unwrap().value, "0000000000000002");
    assert!(router.wait_for_exit().success());
}

/// Guards a request that is written while the router closes its idle connection: the client must see the end of the
/// stream and no reset, and the request must not be forwarded, so that the client may send it elsewhere.
#[test]
fn request_written_during_the_close_sees_end_of_stream_and_is_not_forwarded() {
    let (endpoint, _discovery, mut router) =
        start_with_one_endpoint("master", ScriptedResponse::Serve, base_settings());
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    router.signal("TERM");
    assert_eq!(client.stream.peek(&mut [0]).unwrap(), 0);
    client.send(&query_message(&select_query(2, 5000)));
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    assert!(router.wait_for_exit().success());
    assert_eq!(query_count(&endpoint), 1);
    assert!(router.wait_for_log("reason: shutdown"));
}

/// Guards open requests at a graceful shutdown: an endpoint that hangs must not delay a response beyond the time at
/// which the process may be killed, whatever the client's deadline is. Further signals must change nothing.
#[test]
fn open_requests_get_responses_before_the_process_may_be_killed() {
    let (endpoint, discovery, mut router) = start_with_one_endpoint(
        "master",
        ScriptedResponse::NoResponse,
        with_long_latency_objective(base_settings()),
    );
    let mut clients: Vec<Client> = (0..5).map(|_| router.connect_client()).collect();
    for (client, id) in clients.iter_mut().zip(10..) {
        client.send(&query_message(&if id % 2 == 0 {
            select_query(id, 20_000)
        } else {
            insert_query(id, "s", 20_000)
        }));
    }
    assert!(router.wait_for_counter("requests=5"));
    wait_for_queries(&endpoint, 1);
    router.signal("TERM");
    let terminated = Instant::now();
    assert!(router.wait_for_log("graceful shutdown started"));
    router.reload_config("discovery", discovery.address.to_string().into());
    router.signal("TERM");
    assert!(router.wait_for_log("graceful shutdown already in progress"));
    // The longest deadline of the settings is 30 s, of which at most 3 s count. The process may be killed 0.7 s later.
    for client in &mut clients {
        let Some(response) = client.read_response() else {
            panic!("{:#?}", router.log.with(|l| l.clone()))
        };
        assert!(
            ["53300", "58000"].contains(&&*response.sqlstate),
            "{response:?}"
        );
    }
    assert!(
        terminated.elapsed() < Duration::from_millis(3700),
        "{:?}",
        terminated.elapsed()
    );
    assert!(router.wait_for_exit().success());
}

/// Guards the graceful shutdown against a client that sends without a pause: all that was read must get its response in
/// order, and then the connection must end.
#[test]
fn shutdown_completes_when_a_client_sends_without_a_pause() {
    let (_endpoint, _discovery, mut router) = start_with_one_endpoint(
        "master",
        ScriptedResponse::Serve,
        with_long_latency_objective(base_settings()),
    );
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let mut writer = client.stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        for id in 2.. {
            if writer
                .write_all(&query_message(&select_query(id, 5000)))
                .is_err()
            {
                return;
            }
        }
    });
    let mut expected_id = 2;
    let mut read_next = |client: &mut Client| {
        let response = client.read_response()?;
        // At full speed some requests may be rejected, each in its position. A value out of order shows another id.
        assert!(
            response.sqlstate == "53300" || response.value == format!("{expected_id:016x}"),
            "{expected_id:x}: {response:?}"
        );
        expected_id += 1;
        Some(())
    };
    for _ in 0..20 {
        read_next(&mut client).unwrap();
    }
    router.signal("TERM");
    let terminated = Instant::now();
    while read_next(&mut client).is_some() {}
    assert!(
        terminated.elapsed() < Duration::from_millis(3700),
        "{:?}",
        terminated.elapsed()
    );
    assert!(router.wait_for_exit().success());
    drop(client);
    sender.join().unwrap();
}

/// Guards against an endpoint that works beyond the client's deadline: the time in the annotation must be at most what
/// is left when the statement is written, after the wait for the connection.
#[test]
fn remaining_time_in_the_annotation_excludes_the_wait_for_the_connection() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(
        "master",
        ScriptedResponse::Serve,
        settings_without_cancelling(),
    );
    endpoint.set_startup_blocked(true);
    let mut client = router.connect_client();
    let sent = Instant::now();
    client.send(&query_message(&select_query(OBSERVED_ID, 20_000)));
    wait_for_connection(&endpoint);
    // The rejection of another request shows that time has passed.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 2500))
            .sqlstate,
        "53300"
    );
    let waited_ms = sent.elapsed().as_millis() as u64;
    endpoint.set_startup_blocked(false);
    assert_eq!(
        client.read_response().unwrap().value,
        format!("{OBSERVED_ID:016x}")
    );
    let query = endpoint.activity.with(|s| s.queries[0].clone());
    let remaining_ms: u64 = query
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        waited_ms > 200 && remaining_ms <= 20_000 - waited_ms,
        "{remaining_ms} ms left after {waited_ms} ms"
    );
}

/// Guards against a write that is executed twice: a retry that waits for its connection until the deduplication window
/// of the first attempt has passed must not be written, and the client gets a failure (possibly executed).
#[test]
fn retry_is_not_written_after_the_deduplication_window() {
    let mut settings = settings_without_cancelling();
    settings["classes"][2]["window"] = 600_000_000u64.into();
    let (endpoint, _discovery, router) =
        start_with_one_endpoint("master", ScriptedResponse::Serve, settings);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&insert_query(1, "s", 20_000))
            .value,
        "0000000000000001"
    );
    // The next write is executed, its connection is reset before the response, and the next connect blocks.
    endpoint
        .faults
        .with(|f| f.push_back((RequestStage::Executed, Fault::Reset)));
    endpoint.set_startup_blocked(true);
    let mut client = router.connect_client();
    client.send(&query_message(&insert_query(OBSERVED_ID, "s", 5000)));
    let started = Instant::now();
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.accepted_connections >= 2)
                .then_some(()))
            .is_some()
    );
    // Another request reaches its deadline; by then the window has passed.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 2500))
            .sqlstate,
        "53300"
    );
    assert!(started.elapsed() > Duration::from_millis(650));
    endpoint.set_startup_blocked(false);
    assert_eq!(client.read_response().unwrap().sqlstate, "58000");
    let sent_count = endpoint.activity.with(|s| {
        s.queries
            .iter()
            .filter(|q| q.contains(&format!("{OBSERVED_ID:016x}")))
            .count()
    });
    assert_eq!(sent_count, 1);
}

/// Guards list polls and requests against idle clients that hold every descriptor while discovery is down.
#[test]
fn idle_clients_on_all_descriptors_block_neither_polls_nor_requests() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    let router = start_router(&discovery, &[], 64);
    let mut idle_clients: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = Client::connect(router.address);
        client.send(&startup_message());
        idle_clients.push(client);
    }
    let polls_before = discovery.requested_paths.with(|paths| paths.len());
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() > polls_before + 2)
                .then_some(()))
            .is_some()
    );
    discovery.publish(vec![list_entry("s-1", endpoint.address, "ready")]);
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 15_000)).value,
        "0000000000000001"
    );
    assert!(router.wait_for_counter("accept_errors=0"));
}

/// Guards a restart while discovery is silent or down: a router whose configuration contains an endpoint list must be
/// ready and serve requests.
#[rstest]
fn router_with_a_configured_list_is_ready_without_discovery(
    #[values(false, true)] is_silent: bool,
) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    if is_silent {
        discovery
            .fault_mode
            .with(|m| *m = DiscoveryFaultMode::NoResponse);
    }
    let router = start_router(
        &discovery,
        &[list_entry("s-1", endpoint.address, "ready")],
        1024,
    );
    let started = Instant::now();
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    assert!(started.elapsed() < Duration::from_secs(6));
}

/// Guards the memory limit against long lists: an endpoint that is listed but unused must cost less than 48 kB.
#[test]
fn unused_endpoints_cost_little_memory() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let peak_memory_kb = |endpoints: usize| -> u64 {
        let list: Vec<Value> = (0..endpoints)
            .map(|i| list_entry(&format!("s-{i}"), endpoint.address, "ready"))
            .collect();
        let discovery = FakeDiscovery::start(Some(list.clone()));
        let router = start_router(&discovery, &list, 256);
        assert_eq!(router.connect_client().simple_query("").tags, "IZ");
        let status = std::fs::read_to_string(format!("/proc/{}/status", router.pid())).unwrap();
        let peak_line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .unwrap();
        peak_line.trim().trim_end_matches(" kB").parse().unwrap()
    };
    let (one_kb, many_kb) = (peak_memory_kb(1), peak_memory_kb(301));
    assert!(
        many_kb.saturating_sub(one_kb) < 300 * 48,
        "{one_kb} kB with one endpoint, {many_kb} kB with 301"
    );
}

/// Guards against requests, attempts or client slots that are lost in any combination of disconnects, faults and
/// shutdown: every request ends once, every attempt has one outcome, and the process exits, for which all client slots
/// must be free.
#[rstest]
fn requests_and_attempts_balance_with_their_outcomes_after_random_faults(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(false, true)] may_cancel: bool,
) {
    let mut settings = base_settings();
    settings["ceilings"]["mayCancel"] = may_cancel.into();
    let endpoints = [
        FakeEndpoint::start("master", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    ];
    let list: Vec<Value> = endpoints
        .iter()
        .enumerate()
        .map(|(i, e)| list_entry(&format!("s-{i}"), e.address, "ready"))
        .collect();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let mut router = start_router_with(&discovery, &list, 128, settings, None);
    let scripted_responses = [
        ScriptedResponse::Serve,
        ScriptedResponse::NoResponse,
        ScriptedResponse::CloseMidRow,
        ScriptedResponse::Error("XX000"),
        ScriptedResponse::Error("53300"),
        ScriptedResponse::ServeAndClose,
    ];
    // A linear congruential generator: a seed always produces the same steps.
    let mut state = seed;
    let mut random = |bound: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % bound
    };
    let mut open: Vec<Client> = Vec::new();
    for step in 0..120u64 {
        match random(7) {
            0 => endpoints[random(2) as usize]
                .response
                .with(|r| *r = scripted_responses[random(6) as usize]),
            1 if !open.is_empty() => drop(open.swap_remove(random(open.len() as u64) as usize)),
            2 if !open.is_empty() => open[0].shutdown_write(),
            3 => endpoints[random(2) as usize].set_startup_blocked(random(2) == 0),
            _ => {
                if open.len() < 20 {
                    let mut client = Client::connect(router.address);
                    client.send(&startup_message());
                    open.push(client);
                }
                let index = random(open.len() as u64) as usize;
                for i in 0..=random(3) {
                    let (id, wait_ms) = (step * 10 + i, 50 + random(900));
                    let text = if random(3) == 0 {
                        insert_query(id, "s", wait_ms)
                    } else {
                        select_query(id, wait_ms)
                    };
                    open[index].send(&query_message(&text));
                }
            }
        }
    }
    for endpoint in &endpoints {
        endpoint.response.with(|r| *r = ScriptedResponse::Serve);
        endpoint.set_startup_blocked(false);
    }
    router.signal("TERM");
    assert!(router.wait_for_exit().success());
    drop(open);
    let counters = router
        .log
        .with(|l| l.iter().rfind(|l| l.contains("counters")).cloned())
        .unwrap();
    let sum = |names: &str| -> u64 {
        let count = |name: &str| -> u64 {
            let field = counters
                .split([' ', ','])
                .find_map(|f| f.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
            field.unwrap_or_else(|| panic!("no counter {name}: {counters}"))
        };
        names.split(' ').map(count).sum()
    };
    assert!(sum("requests") > 20, "{counters}");
    assert_eq!(
        sum("requests"),
        sum("served rejected failed client_left"),
        "{counters}"
    );
    let outcome_counters = "attempts_served attempts_error attempts_overloaded attempts_timed_out attempts_connect_failed attempts_connection_reset attempts_cancelled attempts_abandoned attempts_misrouted attempts_malformed_response attempts_not_sent attempts_invalid_request";
    // Attempts that were written and cannot be cancelled may still be open when the process exits.
    let open_attempts = sum("attempts") - sum(outcome_counters);
    assert!(
        open_attempts == 0 || !may_cancel && open_attempts <= sum("client_left"),
        "{counters}"
    );
}
