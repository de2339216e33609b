//! Runs the router binary with clients, fake endpoints and a fake discovery service: requests, protocol errors,
//! endpoint lists, reloads, descriptor limits and shutdown.

mod common;

use common::*;
use reelrill_test_support::client::{
    bind_and_execute, parse_message, query_message, startup_message, sync_message,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Starts a primary with `scripted_response` and a router whose endpoint list contains only this one.
fn start_with_one_endpoint(
    scripted_response: ScriptedResponse,
) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let endpoint = FakeEndpoint::start("master", scripted_response);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    (endpoint, discovery, router)
}

/// Guards against a query that is lost or altered because it arrives together with the startup message. The endpoint
/// must receive the statement unchanged, except that `d` (the remaining time in ms) may be lower, and the client must
/// receive the value of its own request.
#[test]
fn query_sent_together_with_startup_is_served() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = Client::connect(router.address);
    client
        .stream
        .write_all(&[startup_message(), query_message(&select_query(0xa1, 5000))].concat())
        .unwrap();
    assert_eq!(client.read_response().unwrap().tags, "RSSSKZ");
    let response = client.read_response().unwrap();
    assert_eq!(
        (&*response.tags, &*response.value),
        ("TDCZ", "00000000000000a1")
    );
    let sent = endpoint.activity.with(|s| s.queries[0].clone());
    let sent_wait_ms: u64 = sent
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(sent_wait_ms <= 5000 && sent_wait_ms > 1000, "{sent}");
    assert_eq!(sent, select_query(0xa1, sent_wait_ms));
}

/// Guards against responses in the wrong order on a connection whose client sends further queries without waiting.
#[test]
fn pipelined_queries_get_their_responses_in_order() {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    let queries: Vec<u8> = (1..=20)
        .flat_map(|id| query_message(&select_query(id, 5000)))
        .collect();
    client.stream.write_all(&queries).unwrap();
    for id in 1..=20 {
        assert_eq!(client.read_response().unwrap().value, format!("{id:016x}"));
    }
}

/// Guards against truncated or altered values of the largest size, in the statement and in the response.
#[test]
fn values_of_64_kib_pass_unchanged_both_ways() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::ServeLarge);
    let mut client = router.connect_client();
    let comment = |wait_ms: &str| {
        format!("/* id=00000000000000b1,c=book,d={wait_ms},k=5c0f6e1a2b3d4c59,cluster=2 */")
    };
    let insert = format!(
        "INSERT INTO facts (code, data) VALUES ('k', '\\x{}') RETURNING data ",
        "9f".repeat(65_536)
    );
    let response = client.simple_query(&(insert.clone() + &comment("5000")));
    assert_eq!(response.value, "00000000000000b1".repeat(4096));
    let sent = endpoint.activity.with(|s| s.queries[0].clone());
    assert!(sent.starts_with(&insert) && sent.ends_with(",k=5c0f6e1a2b3d4c59,cluster=2 */"));
}

/// Guards the mapping of endpoint responses to attempt outcomes: a wrong outcome causes wrong retries and wrong
/// ejections by outlier detection.
#[rstest]
#[case(ScriptedResponse::Error("XX000"), "attempts_error")]
#[case(ScriptedResponse::Error("53300"), "attempts_overloaded")]
#[case(ScriptedResponse::Error("25006"), "attempts_misrouted")]
#[case(ScriptedResponse::Error("72000"), "attempts_misrouted")]
#[case(ScriptedResponse::CloseMidRow, "attempts_connection_reset")]
#[case(ScriptedResponse::Error("08P01"), "attempts_invalid_request")]
#[case(ScriptedResponse::Error("nonsense"), "attempts_malformed_response")]
#[case(ScriptedResponse::StallMidRow, "attempts_malformed_response")]
#[case(
    ScriptedResponse::Raw(b"noise without end"),
    "attempts_malformed_response"
)]
#[case(
    ScriptedResponse::Raw(b"D\xc0\0\0\0\0\x01\xbf\xff\xff\xf6aaaa"),
    "attempts_malformed_response"
)]
#[case(ScriptedResponse::Raw(b"D\0\x01\x01\0"), "attempts_malformed_response")]
#[case(
    ScriptedResponse::Raw(b"D\0\0\0\x0b\0\x01\0\0\0\x01a"),
    "attempts_malformed_response"
)]
#[case(
    ScriptedResponse::Raw(b"C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I"),
    "attempts_malformed_response"
)]
#[case(ScriptedResponse::NoResponse, "attempts_timed_out")]
fn endpoint_response_is_counted_under_its_outcome(
    #[case] scripted_response: ScriptedResponse,
    #[case] expected_counter: &str,
) {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(scripted_response);
    let started = Instant::now();
    // Only a silent endpoint uses up the 2 s; every other response has its outcome long before.
    let response = router.connect_client().simple_query(&select_query(1, 2000));
    assert!(
        ["53300", "58000"].contains(&&*response.sqlstate),
        "{response:?}"
    );
    // A malformed response is detected long before the client's deadline.
    assert!(
        expected_counter != "attempts_malformed_response"
            || started.elapsed() < Duration::from_millis(1500)
    );
    let counters = router.counters();
    assert!(
        !counters.contains(&format!(" {expected_counter}=0 ")),
        "{counters}"
    );
    for counter in [
        "attempts_error",
        "attempts_overloaded",
        "attempts_misrouted",
        "attempts_connection_reset",
        "attempts_timed_out",
        "attempts_connect_failed",
        "attempts_malformed_response",
        "attempts_invalid_request",
    ] {
        // There may have been further attempts, but none with another outcome.
        assert!(
            counter == expected_counter || counters.contains(&format!(" {counter}=0 ")),
            "{counter}: {counters}"
        );
    }
}

/// Guards the next request against bytes that an endpoint sends after a complete response: a second result would be
/// returned as the next request's value, and an unreadable report would be used.
#[rstest]
#[case(b"T\0\0\0\x1d\0\x01data\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0D\0\0\0\x0b\0\x01\0\0\0\x01aC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I")]
#[case(b"noise")]
#[case(b"S\0\0\0\x0agauges")]
fn bytes_after_a_response_are_discarded_with_their_connection(#[case] trailing: &'static [u8]) {
    let (endpoint, _discovery, router) =
        start_with_one_endpoint(ScriptedResponse::ServeWithTrailing(trailing));
    let mut client = router.connect_client();
    for id in 1..=5 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(
        endpoint
            .activity
            .with(|s| (s.accepted_connections, s.queries.len())),
        (5, 5)
    );
}

/// Guards against a response for which the client no longer waits: when the endpoint never responds, the router must
/// give up the attempt and reject the request shortly before the client's deadline.
#[test]
fn client_is_rejected_before_its_deadline_when_the_endpoint_stays_silent() {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::NoResponse);
    let mut client = router.connect_client();
    let started = Instant::now();
    let response = client.simple_query(&select_query(1, 2000));
    assert!(
        started.elapsed() >= Duration::from_millis(1500),
        "{:?}",
        started.elapsed()
    );
    assert_eq!((&*response.tags, &*response.sqlstate), ("EZ", "53300"));
    let retry_after_ms: u64 = response.detail.unwrap().parse().unwrap();
    assert!((1..=1000).contains(&retry_after_ms), "{retry_after_ms}");
    // The timer fires 8 ms early, so no response counts as overdue.
    assert!(router.wait_for_counter("deadline_exceeded=0"));
}

/// Guards against a late response to an abandoned attempt that reaches the next request on the same connection.
#[test]
fn late_response_to_an_abandoned_attempt_does_not_reach_the_next_request() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::NoResponse);
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 2000)).sqlstate,
        "53300"
    );
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    assert_eq!(endpoint.activity.with(|s| s.accepted_connections), 2);
    assert!(router.wait_for_log("reason: attempt_abandoned"));
}

/// Guards against a request that is written to a pooled connection which the endpoint has already closed.
#[test]
fn pooled_connection_closed_by_the_endpoint_is_not_reused() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::ServeAndClose);
    let mut client = router.connect_client();
    for id in 1..=5 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        let closed = |s: &mut EndpointActivity| (s.closed_connections == id as usize).then_some(());
        assert!(endpoint.activity.wait_for(WAIT_TIMEOUT, closed).is_some());
    }
    assert!(
        router.wait_for_counter("attempts_connection_reset=0")
            && router.wait_for_counter("served=5")
    );
}

/// Guards against a new connection, and with it a startup exchange, for every request.
#[test]
fn upstream_connection_is_reused_by_the_next_request() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    for id in 1..=20 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(endpoint.activity.with(|s| s.accepted_connections), 1);
}

/// A way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Terminate,
    Eof,
}

/// Guards against attempts that continue after their client has disconnected, by Terminate or by the end of its stream.
#[rstest]
#[case(Disconnect::Terminate)]
#[case(Disconnect::Eof)]
fn attempt_is_cancelled_when_its_client_disconnects(#[case] disconnect: Disconnect) {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::NoResponse);
    let mut client = router.connect_client();
    client
        .stream
        .write_all(&query_message(&select_query(1, 20_000)))
        .unwrap();
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() == 1).then_some(()))
            .is_some()
    );
    match disconnect {
        Disconnect::Terminate => client.stream.write_all(&[b'X', 0, 0, 0, 4]).unwrap(),
        Disconnect::Eof => client.stream.shutdown(std::net::Shutdown::Write).unwrap(),
    }
    assert!(
        router.wait_for_counter("client_left=1") && router.wait_for_counter("attempts_cancelled=1")
    );
    assert!(router.wait_for_log("reason: left_waiting"));
    assert!(client.read_response().is_none());
}

/// Guards an open request against later ones with the same id: those must fail, and when their client disconnects, the
/// first request must not be cancelled.
#[test]
fn duplicate_request_id_fails_and_the_first_request_is_still_served() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::NoResponse);
    let mut first_client = router.connect_client();
    first_client
        .stream
        .write_all(&query_message(&select_query(1, 20_000)))
        .unwrap();
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() == 1).then_some(()))
            .is_some()
    );
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 20_000))
            .sqlstate,
        "58000"
    );
    let mut terminating_client = router.connect_client();
    terminating_client
        .stream
        .write_all(
            &[
                query_message(&select_query(1, 20_000)),
                vec![b'X', 0, 0, 0, 4],
            ]
            .concat(),
        )
        .unwrap();
    while terminating_client.read_response().is_some() {}
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    assert_eq!(
        first_client.read_response().unwrap().value,
        "0000000000000001"
    );
    assert_eq!(endpoint.activity.with(|s| s.queries.len()), 1);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 20_000))
            .value,
        "0000000000000001"
    );
}

/// Guards against an attempt that never ends: where the settings forbid cancelling, an attempt whose client has
/// disconnected must time out at the client's deadline.
#[test]
fn attempt_that_cannot_be_cancelled_times_out_after_its_client_disconnects() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let mut settings = base_settings();
    settings["ceilings"]["mayCancel"] = false.into();
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    let mut client = router.connect_client();
    client
        .stream
        .write_all(&query_message(&select_query(1, 2000)))
        .unwrap();
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() == 1).then_some(()))
            .is_some()
    );
    drop(client);
    assert!(
        router.wait_for_counter("client_left=1")
            && router.wait_for_counter("attempts_timed_out=1")
            && router.wait_for_counter("attempts_cancelled=0")
    );
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.closed_connections == 1).then_some(()))
            .is_some()
    );
}

/// Guards against a panic, a missing response or a closed connection when a statement's annotations are missing or
/// invalid.
#[rstest]
#[case("SELECT 1", "42601")]
#[case(&select_query(1, 5000).replace("c=board", "c=nonsense"), "42601")]
#[case(&select_query(1, 5000).replace("c=board", "c=book,k=5c0f"), "42601")]
#[case(&select_query(1, 0), "42601")]
#[case(&select_query(1, 5000).replace("5000", "99999999999999999999"), "42601")]
#[case(
    "INSERT INTO facts (code, data) VALUES ('k', '\\x00') RETURNING data /* id=00000000000000a1,c=book,d=5000,cluster=2 */",
    "42601"
)]
fn invalid_statement_gets_a_syntax_error_and_the_connection_stays_open(
    #[case] text: &str,
    #[case] code: &str,
) {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    let response = client.simple_query(text);
    assert_eq!((&*response.tags, &*response.sqlstate), ("EZ", code));
    assert_eq!(endpoint.activity.with(|s| s.queries.len()), 0);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

/// Guards against a connection that stays open, or closes without an error and a logged reason, after a malformed or
/// oversized message.
#[rstest]
#[case(&[b'Q', 0x7f, 0, 0, 0], "oversized")]
#[case(&[b'Q', 0, 0, 0, 1], "malformed")]
#[case(&[b'?', 0, 0, 0, 4], "malformed")]
#[case(&[b'Q', 0, 0, 0, 6, 0xff, 0], "malformed")]
fn malformed_message_closes_the_connection_with_an_error(
    #[case] bytes: &[u8],
    #[case] reason: &str,
) {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    client.stream.write_all(bytes).unwrap();
    assert_eq!(client.read_response().unwrap().sqlstate, "08P01");
    assert_eq!(client.stream.read(&mut [0]).unwrap_or(0), 0);
    assert!(router.wait_for_log(&format!("reason: {reason}")));
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
}

/// Guards against client connections that are held for ever because their client sends part of a message and never the
/// rest.
#[test]
fn connection_is_closed_when_a_message_stalls_midway() {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    client
        .stream
        .write_all(&query_message(&select_query(2, 5000))[..30])
        .unwrap();
    assert!(client.read_response().is_none());
    assert!(router.wait_for_log("reason: stalled"));
}

/// Guards against several errors for one extended query where extended queries are switched off: its messages up to
/// Sync must get a single error, and the next query must be served.
#[test]
fn extended_query_gets_one_error_when_extended_queries_are_off() {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    let sequence = [
        parse_message("", "SELECT 1", &[]),
        bind_and_execute("", &[]),
        sync_message(),
    ];
    client.stream.write_all(&sequence.concat()).unwrap();
    let response = client.read_response().unwrap();
    assert_eq!((&*response.tags, &*response.sqlstate), ("EZ", "0A000"));
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

/// Guards the readiness check: the load balancer in front of the router sends clients as soon as the empty query has a
/// response, so there must be none before an endpoint is known.
#[test]
fn empty_query_is_held_until_the_router_knows_an_endpoint() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    let router = start_router(&discovery, &[], 1024);
    let mut client = router.connect_client();
    client.stream.write_all(&query_message("")).unwrap();
    // Several polls have failed, so the router must have received the query.
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() > 4).then_some(()))
            .is_some()
    );
    client.stream.set_nonblocking(true).unwrap();
    assert!(
        client
            .stream
            .read(&mut [0])
            .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    );
    client.stream.set_nonblocking(false).unwrap();
    discovery.publish(vec![list_entry("s-1", endpoint.address, "ready")]);
    assert_eq!(client.read_response().unwrap().tags, "IZ");
}

/// Guards against an endpoint list that is truncated or not read: HTTP can end a body in several ways, and JSON can be
/// indented or arrive byte by byte.
#[rstest]
#[case(DiscoveryFaultMode::Normal)]
#[case(DiscoveryFaultMode::Chunked)]
#[case(DiscoveryFaultMode::CloseDelimited)]
#[case(DiscoveryFaultMode::IndentedJson)]
#[case(DiscoveryFaultMode::SingleByteWrites)]
fn endpoint_list_is_read_in_every_form_of_http_body(#[case] fault_mode: DiscoveryFaultMode) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    discovery.fault_mode.with(|m| *m = fault_mode);
    discovery.publish(vec![list_entry("s-1", endpoint.address, "ready")]);
    let router = start_router(&discovery, &[], 1024);
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

/// Guards against half a list that is accepted as a whole one. A body without a length ends with its connection, and a
/// reset must not count as that end: the known list stays in use, and the router polls again.
#[test]
fn endpoint_list_cut_off_by_a_reset_is_discarded_and_polled_again() {
    let (endpoint, discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let polls_before = discovery.requested_paths.with(|paths| paths.len());
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::ResetMidBody);
    discovery.publish(vec![
        list_entry("s-1", endpoint.address, "ready"),
        list_entry("s-2", endpoint.address, "ready"),
    ]);
    assert!(router.wait_for_log("discovery poll failed"));
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::Normal);
    let polled_again = |paths: &mut Vec<String>| {
        paths[polls_before..]
            .iter()
            .any(|p| p.contains("since=2&"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, polled_again)
            .is_some()
    );
}

/// Guards against requests to a draining endpoint after the list watch has reported that it drains.
#[test]
fn draining_endpoint_receives_no_new_requests() {
    let (draining_endpoint, ready_endpoint) = (
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    );
    let list = |state| {
        vec![
            list_entry("s-1", draining_endpoint.address, state),
            list_entry("s-2", ready_endpoint.address, "ready"),
        ]
    };
    let discovery = FakeDiscovery::start(Some(list("ready")));
    let router = start_router(&discovery, &list("ready"), 1024);
    let mut client = router.connect_client();
    discovery.publish(list("draining"));
    // The next poll of the watch carries the version in which the endpoint is draining.
    let drain_received = |paths: &mut Vec<String>| {
        paths
            .iter()
            .any(|p| p.contains("since=2&timeout_ms=3000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, drain_received)
            .is_some()
    );
    let queries_before = draining_endpoint.activity.with(|s| s.queries.len());
    for id in 1..=20 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(
        draining_endpoint.activity.with(|s| s.queries.len()),
        queries_before
    );
}

/// Guards against requests to the old address after the list shows the same uid at another one.
#[test]
fn endpoint_that_moved_is_connected_at_its_new_address() {
    let (endpoint, discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let new_endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    discovery.publish(vec![list_entry("s-1", new_endpoint.address, "ready")]);
    assert!(router.wait_for_log("reason: moved"));
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    let query_count = |e: &FakeEndpoint| e.activity.with(|s| s.queries.len());
    assert_eq!((query_count(&endpoint), query_count(&new_endpoint)), (1, 1));
}

/// Guards the counters that show an operator why no request is served: nothing listens at the endpoint's address, and
/// discovery returns errors.
#[test]
fn failed_connects_and_polls_are_counted_by_their_cause() {
    // No fake server is ever bound to a port this low.
    let unused_address = "127.0.0.1:1".parse().unwrap();
    let discovery = FakeDiscovery::start(None);
    let router = start_router(
        &discovery,
        &[list_entry("s-1", unused_address, "ready")],
        1024,
    );
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 2000))
            .sqlstate,
        "53300"
    );
    assert!(router.wait_for_log("discovery poll failed"));
    let counters = router.counters();
    let count = |name: &str| -> u64 {
        let field = counters
            .split(' ')
            .find_map(|f| f.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
        field.unwrap_or_else(|| panic!("no counter {name}: {counters}"))
    };
    assert!(
        count("connects_failed") > 0 && count("connects_failed") == count("connects"),
        "{counters}"
    );
    assert!(
        count("list_rejected") > 0 && count("list_timed_out") == 0,
        "{counters}"
    );
    let rejection_counters = [
        "rejected_deadline_too_close",
        "rejected_no_eligible_endpoint",
        "rejected_load_shed",
        "rejected_attempt_limit_reached",
        "rejected_attempt_timed_out",
        "rejected_retry_budget_exhausted",
    ];
    assert_eq!(
        rejection_counters.iter().map(|c| count(c)).sum::<u64>(),
        1,
        "{counters}"
    );
}

/// Guards against repeated connects under light traffic, caused by idle connections that are closed long before the
/// endpoint's idle timeout. An assertion on `MAX_IDLE_FRACTION` at compile time checks that none is closed too late.
#[test]
fn idle_upstream_connection_is_kept_for_most_of_the_endpoint_idle_timeout() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let mut settings = base_settings();
    settings["ceilings"]["idleClose"] = 2_000_000_000u64.into();
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    let idle_since = Instant::now();
    assert!(router.wait_for_log("reason: idle"));
    assert!(
        idle_since.elapsed() >= Duration::from_millis(1600),
        "{:?}",
        idle_since.elapsed()
    );
}

/// Guards against an outdated list that is used for ever: a list watch that fails must be opened again.
#[test]
fn failed_list_watch_is_opened_again() {
    let (endpoint, discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    discovery.list.with(|l| l.1 = None);
    assert!(router.wait_for_log("discovery poll failed"));
    // The known list stays in use meanwhile.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    let polls_before = discovery.requested_paths.with(|paths| paths.len());
    discovery.publish(vec![list_entry("s-1", endpoint.address, "ready")]);
    let polled_again = |paths: &mut Vec<String>| {
        paths[polls_before..]
            .iter()
            .any(|p| p.contains("timeout_ms=8000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, polled_again)
            .is_some()
    );
}

/// Guards a busy discovery service against double load: a poll that is queued there must not be given up and repeated,
/// because both polls would be served.
#[test]
fn queued_list_poll_is_not_repeated() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::NoResponse);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let router = start_router(&discovery, &list, 1024);
    // The discovery service ends a poll that has been queued for 2 s.
    let poll_received = |count: usize| {
        discovery
            .requested_paths
            .wait_for(Duration::from_millis(2000), |paths| {
                (paths.len() >= count).then_some(())
            })
    };
    assert!(poll_received(1).is_some());
    assert!(
        poll_received(2).is_none(),
        "the poll was repeated while it was queued"
    );
    // The router serves requests from the known list meanwhile.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    discovery.list.with(|l| l.1 = Some(list.clone()));
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::Normal);
    // The response starts the watch; there is no other poll in between.
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() >= 2).then_some(()))
            .is_some()
    );
    assert!(
        discovery
            .requested_paths
            .with(|paths| paths[1].contains("timeout_ms=3000"))
    );
    assert!(
        router.counters().contains(
            " list_rejected=0 list_timed_out=0 list_connection_failed=0 list_malformed=0"
        )
    );
}

/// Guards against a list change that is lost because an open watch receives no response. The watch must be opened again
/// on a new connection and receive the missed list before the change counts as notified, 6 s after the silence began.
/// Only a timeout is counted.
#[test]
fn silent_list_watch_is_opened_again_and_receives_the_missed_list() {
    let (endpoint, discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let watch_opened = |paths: &mut Vec<String>| {
        paths
            .iter()
            .any(|p| p.contains("timeout_ms=3000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, watch_opened)
            .is_some()
    );
    // Polls that are open get no response; later ones do.
    discovery.stall_open_connections();
    let silent_since = Instant::now();
    discovery.publish(vec![list_entry("s-1", endpoint.address, "draining")]);
    let polls_before = discovery.requested_paths.with(|paths| paths.len());
    let polled_again = |paths: &mut Vec<String>| {
        paths[polls_before..]
            .iter()
            .any(|p| p.contains("since=2&"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, polled_again)
            .is_some()
    );
    assert!(
        silent_since.elapsed() < Duration::from_millis(5500),
        "{:?}",
        silent_since.elapsed()
    );
    assert!(
        router
            .counters()
            .contains(" list_timed_out=1 list_connection_failed=0 ")
    );
}

/// Guards against a busy loop when discovery returns from every watch at once. The pause between polls stays below the
/// 200 ms after which discovery treats the watch as a new one.
#[test]
fn list_watch_that_returns_at_once_is_slowed_down() {
    let (_endpoint, discovery, _router) = start_with_one_endpoint(ScriptedResponse::Serve);
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::ImmediateResponse);
    discovery.list.with(|_| ());
    let nth_poll_time = |count: usize| {
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| {
                (paths.len() >= count).then(Instant::now)
            })
            .unwrap()
    };
    let (first, last) = (nth_poll_time(4), nth_poll_time(14));
    assert!(
        last - first >= Duration::from_millis(900),
        "{:?}",
        last - first
    );
}

/// Guards against a reload (SIGHUP) that keeps the old discovery address or rejects the new service's list: the router
/// must switch to the address in the file, whatever the environment contained at the start, and accept the whole list
/// from there although its versions are lower.
#[test]
fn reload_switches_to_the_new_discovery_and_accepts_its_list() {
    let (old_endpoint, discovery, mut router) = start_with_one_endpoint(ScriptedResponse::Serve);
    discovery.publish(vec![list_entry("s-1", old_endpoint.address, "ready")]);
    let watch_opened = |paths: &mut Vec<String>| {
        paths
            .iter()
            .any(|p| p.contains("since=2&timeout_ms=3000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, watch_opened)
            .is_some()
    );
    let new_endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let new_discovery =
        FakeDiscovery::start(Some(vec![list_entry("s-2", new_endpoint.address, "ready")]));
    router.reload_config("discovery", new_discovery.address.to_string().into());
    assert!(
        new_discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() > 1).then_some(()))
            .is_some()
    );
    assert_eq!(
        new_discovery
            .requested_paths
            .with(|paths| paths[..2].to_vec()),
        ["/api/targets", "/api/targets?since=1&timeout_ms=3000"]
    );
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    assert_eq!(new_endpoint.activity.with(|s| s.queries.len()), 1);
    // A reload during the graceful shutdown must not prevent the exit.
    router.signal("TERM");
    router.reload_config("discovery", discovery.address.to_string().into());
    assert!(router.wait_for_exit().success());
}

/// Guards against a delay when the configuration replaces a discovery address whose poll hangs: the new one must be
/// polled at once.
#[test]
fn reload_polls_the_new_discovery_while_a_poll_of_the_old_one_hangs() {
    let (endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let silent_discovery = FakeDiscovery::start(None);
    silent_discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::NoResponse);
    router.reload_config("discovery", silent_discovery.address.to_string().into());
    assert!(
        silent_discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() == 1).then_some(()))
            .is_some()
    );
    let new_discovery =
        FakeDiscovery::start(Some(vec![list_entry("s-1", endpoint.address, "ready")]));
    router.reload_config("discovery", new_discovery.address.to_string().into());
    assert!(
        new_discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (!paths.is_empty()).then_some(()))
            .is_some()
    );
    let counters = router.counters();
    assert!(
        counters.contains("list_rejected=0 list_timed_out=0 list_connection_failed=0"),
        "{counters}"
    );
}

/// Guards against a slow retry while the router knows no list version: a poll for the whole list does not wait for
/// changes, so silence must be detected before the ten seconds that a watch may take.
#[test]
fn poll_for_the_whole_list_is_repeated_within_nine_seconds_of_silence() {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let silent_discovery = FakeDiscovery::start(None);
    silent_discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::NoResponse);
    router.reload_config("discovery", silent_discovery.address.to_string().into());
    assert!(
        silent_discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (!paths.is_empty()).then_some(()))
            .is_some()
    );
    let repeated = silent_discovery
        .requested_paths
        .wait_for(Duration::from_secs(9), |paths| {
            (paths.len() >= 2).then_some(())
        });
    assert!(repeated.is_some(), "the poll was not repeated");
    assert!(
        silent_discovery
            .requested_paths
            .with(|paths| paths.iter().all(|path| path == "/api/targets"))
    );
}

/// Guards the running configuration against an invalid file, and the operator against a change that is ignored without
/// a log line because it needs a restart.
#[rstest]
#[case(
    "discovery",
    "nowhere",
    "discovery: expected an IP address with a port"
)]
#[case("settings", "none", "familyInfo is missing")]
#[case("name", "n7", "takes effect after a restart")]
fn reload_logs_why_a_change_was_not_applied(
    #[case] field: &str,
    #[case] value: &str,
    #[case] expected_log: &str,
) {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    router.reload_config(field, value.into());
    assert!(router.wait_for_log(expected_log));
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
}

/// Guards against a start with an invalid configuration, and against an exit without the reason.
#[rstest]
#[case("{", "EOF")]
#[case("{}", "familyInfo is missing")]
fn start_fails_with_the_reason_when_the_configuration_is_invalid(
    #[case] text: &str,
    #[case] expected_error: &str,
) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
    let output = program.env("RELAY_CONFIG", file.path()).output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && stderr.contains(expected_error),
        "{stderr}"
    );
}

/// Guards the start against invalid settings: `check` must name the file and the field, and exit with status 2.
#[rstest]
#[case(&["limits", "sockets"], 0.into(), "limits.sockets")]
#[case(&["limits", "sockets"], (-5).into(), "limits.sockets")]
#[case(&["limits", "sockets"], "many".into(), "limits.sockets")]
#[case(&["limits", "memory_mb"], 0.into(), "limits.memory_mb")]
#[case(&["settings", "ceilings", "maxAttempts"], 0.into(), "max_attempts")]
#[case(&["settings", "classes", "0", "hardLimit"], 0.into(), "classes[0]")]
#[case(&["settings", "classes", "0", "onTime"], (-1).into(), "classes[0].onTime")]
#[case(&["settings", "classes", "0", "repeat"], "sometimes".into(), "classes[0].repeat: unknown value 'sometimes'")]
#[case(&["settings", "rules", "warmAfter"], 0.into(), "warm_after")]
#[case(&["settings", "rules", "coldFrom"], 7.into(), "cold_from")]
#[case(&["known", "targets"], "none".into(), "known: targets")]
fn check_names_the_file_and_the_field_of_an_invalid_setting(
    #[case] path: &[&str],
    #[case] value: serde_json::Value,
    #[case] expected_field: &str,
) {
    let mut config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": base_settings(),
        "limits": {"sockets": 256, "memory_mb": 48}, "known": {"rev": 1, "all": true, "targets": []}});
    let check = |config: &serde_json::Value| {
        let file = tempfile::Builder::new().suffix(".json").tempfile().unwrap();
        std::fs::write(file.path(), config.to_string()).unwrap();
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
        let output = program.arg("check").arg(file.path()).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        (
            output.status.code(),
            stderr.contains(&*file.path().to_string_lossy()),
            stderr,
        )
    };
    assert_eq!(check(&config).0, Some(0));
    let setting = config.pointer_mut(&format!("/{}", path.join("/"))).unwrap();
    *setting = value;
    let (exit_code, has_file, stderr) = check(&config);
    assert_eq!(
        (exit_code, has_file, stderr.contains(expected_field)),
        (Some(2), true, true),
        "{stderr}"
    );
}

/// Guards against clients that are turned away when others hold all descriptors: idle connections must be evicted.
#[test]
fn idle_clients_are_evicted_when_clients_exceed_the_descriptor_budget() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 64);
    let mut clients = Vec::new();
    for id in 1..=40 {
        let mut client = router.connect_client();
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        clients.push(client);
    }
    assert!(router.wait_for_log("reason: evicted") && router.wait_for_counter("accept_errors=0"));
}

/// Guards regular clients against many others that send one query and stay connected: eviction must begin when half of
/// the clients' descriptors are in use, not when none is left.
#[test]
fn idle_clients_are_evicted_before_the_descriptors_run_out() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    // With this limit clients have 22 descriptors.
    let router = start_router(&discovery, &list, 64);
    let connect_and_query = |id: u64| {
        let mut client = router.connect_client();
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        client
    };
    let idle_clients: Vec<Client> = (1..=14).map(connect_and_query).collect();
    let started = Instant::now();
    let evicted = |lines: &mut Vec<String>| lines.iter().any(|l| l.contains("reason: evicted"));
    let mut id = 100;
    while !router.log.with(evicted) {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no idle client was evicted"
        );
        drop(connect_and_query(id));
        id += 1;
    }
    drop(idle_clients);
}

/// Guards regular clients against a hundred connections that never send a byte: those are evicted first, a connection
/// in use stays open, new clients are served, and silent connections are closed even when no descriptor is needed.
#[test]
fn silent_connections_are_evicted_first_and_closed_after_the_startup_timeout() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 64);
    let mut used_client = router.connect_client();
    assert_eq!(
        used_client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let mut silent_clients: Vec<Client> =
        (0..100).map(|_| Client::connect(router.address)).collect();
    let started = Instant::now();
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 5000))
            .value,
        "0000000000000002"
    );
    assert!(
        started.elapsed() < Duration::from_millis(1500),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(
        used_client.simple_query(&select_query(3, 5000)).value,
        "0000000000000003"
    );
    drop(used_client);
    assert!(
        silent_clients
            .iter_mut()
            .all(|client| client.read_response().is_none())
    );
    assert!(
        started.elapsed() < Duration::from_secs(6),
        "{:?}",
        started.elapsed()
    );
    assert!(
        router.wait_for_log("reason: startup_timeout") && router.wait_for_log("reason: evicted")
    );
}

/// Guards an error response against the reset that follows when a socket is closed with unread bytes: what the client
/// keeps sending must be read and discarded.
#[test]
fn error_response_arrives_while_the_client_keeps_sending() {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    client.stream.write_all(&[b'Q', 3, 0x93, 0x87, 0]).unwrap();
    for _ in 0..128 {
        client.stream.write_all(&[b'a'; 64 * 1024]).unwrap();
    }
    assert_eq!(client.read_response().unwrap().sqlstate, "08P01");
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

/// Guards against requests that fail because there are more endpoints than descriptors for them: the connections that
/// were idle longest are evicted, and an endpoint in use keeps its connection.
#[test]
fn idle_upstream_connections_are_evicted_when_endpoints_exceed_the_descriptors() {
    let endpoints: Vec<FakeEndpoint> = (0..24)
        .map(|_| FakeEndpoint::start("master", ScriptedResponse::Serve))
        .collect();
    let list_entry_in_own_set = |(i, endpoint): (usize, &FakeEndpoint)| {
        let mut entry = list_entry(&format!("s-{i}"), endpoint.address, "ready");
        entry["pod_group"] = i.into();
        entry
    };
    let list: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(list_entry_in_own_set)
        .collect();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    // With the lowest limit that the router accepts, sixteen descriptors are for endpoints.
    let router = start_router(&discovery, &list, 64);
    let mut client = router.connect_client();
    for id in 0..72 {
        let text = select_query(id, 5000).replace("cluster=2", &format!("cluster={}", id / 3));
        assert_eq!(client.simple_query(&text).value, format!("{id:016x}"));
    }
    assert!(
        router.wait_for_counter("attempts_connect_failed=0")
            && router.wait_for_log("reason: evicted")
    );
    for endpoint in &endpoints {
        assert_eq!(endpoint.activity.with(|s| s.accepted_connections), 1);
    }
}

/// Guards a planned restart: open requests must get their responses, new clients be served, idle connections be closed,
/// and then the router must exit by itself.
#[test]
fn sigterm_completes_open_requests_and_then_exits() {
    let (endpoint, _discovery, mut router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let (mut idle_client, mut waiting_client) = (router.connect_client(), router.connect_client());
    assert_eq!(
        idle_client.simple_query(&select_query(3, 5000)).value,
        "0000000000000003"
    );
    endpoint
        .response
        .with(|r| *r = ScriptedResponse::NoResponse);
    waiting_client
        .stream
        .write_all(&query_message(&select_query(1, 20_000)))
        .unwrap();
    assert!(
        endpoint
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() == 2).then_some(()))
            .is_some()
    );
    router.signal("TERM");
    assert!(idle_client.read_response().is_none());
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    let mut new_client = Client::connect(router.address);
    new_client
        .stream
        .write_all(&[startup_message(), query_message(&select_query(2, 5000))].concat())
        .unwrap();
    assert_eq!(new_client.read_response().unwrap().tags, "RSSSKZ");
    assert_eq!(
        new_client.read_response().unwrap().value,
        "0000000000000002"
    );
    assert_eq!(
        waiting_client.read_response().unwrap().value,
        "0000000000000001"
    );
    assert!(router.wait_for_exit().success());
    assert!(router.wait_for_log("counters") && router.has_final_counter("served=3"));
}

/// Guards a client that connects during a graceful shutdown: its first request must be served, because the client would
/// meet the same shutdown on any further connection.
#[test]
fn connection_opened_after_sigterm_gets_its_first_response() {
    let (_endpoint, _discovery, router) = start_with_one_endpoint(ScriptedResponse::Serve);
    let mut idle_client = router.connect_client();
    assert_eq!(
        idle_client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    router.signal("TERM");
    assert!(idle_client.read_response().is_none());
    let mut new_client = router.connect_client();
    assert_eq!(
        new_client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    assert!(new_client.read_response().is_none());
}

/// Guards against a startup exchange that never ends: a host that accepts the connection and stays silent must count as
/// a failed connect.
#[test]
fn connect_fails_when_the_endpoint_never_responds_to_startup() {
    let silent_endpoint = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let list = vec![list_entry(
        "s-1",
        silent_endpoint.local_addr().unwrap(),
        "ready",
    )];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let response = router.connect_client().simple_query(&select_query(1, 2000));
    assert_eq!(response.sqlstate, "53300");
    assert!(router.wait_for_log("reason: dial_failed"));
    assert!(router.wait_for_counter("attempts_timed_out=0"));
}
