//! The real program, with clients, endpoints and discovery of the test's own.

mod common;

use common::*;
use reelrill_test_support::client::{
    bind_and_execute, parse_message, query_message, startup_message, sync_message,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// A router that knows one endpoint.
fn one(act: ScriptedResponse) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let instance = FakeEndpoint::start("master", act);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    (instance, discovery, router)
}

/// Guards the whole path: startup and query in one write, the statement untouched but for a `d` that is no
/// longer than the client's, and the value of this request.
#[test]
fn a_pipelined_query_is_served() {
    let (instance, _discovery, router) = one(ScriptedResponse::Serve);
    let mut client = Client::connect(router.address);
    client
        .stream
        .write_all(&[startup_message(), query_message(&select_query(0xa1, 5000))].concat())
        .unwrap();
    assert_eq!(client.read_response().unwrap().tags, "RSSSKZ");
    let answer = client.read_response().unwrap();
    assert_eq!(
        (&*answer.tags, &*answer.value),
        ("TDCZ", "00000000000000a1")
    );
    let sent = instance.activity.with(|s| s.queries[0].clone());
    let wait: u64 = sent
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(wait <= 5000 && wait > 1000, "{sent}");
    assert_eq!(sent, select_query(0xa1, wait));
}

/// Guards the order of answers on a connection whose client does not wait for them.
#[test]
fn pipelined_queries_are_answered_in_order() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    let all: Vec<u8> = (1..=20)
        .flat_map(|id| query_message(&select_query(id, 5000)))
        .collect();
    client.stream.write_all(&all).unwrap();
    for id in 1..=20 {
        assert_eq!(client.read_response().unwrap().value, format!("{id:016x}"));
    }
}

/// Guards the largest values both ways: whole, unchanged, and not held for longer than they are needed.
#[test]
fn values_of_64_kib_pass_whole() {
    let (instance, _discovery, router) = one(ScriptedResponse::ServeLarge);
    let mut client = router.connect_client();
    let comment = |wait: &str| {
        format!("/* id=00000000000000b1,c=book,d={wait},k=5c0f6e1a2b3d4c59,cluster=2 */")
    };
    let insert = format!(
        "INSERT INTO facts (code, data) VALUES ('k', '\\x{}') RETURNING data ",
        "9f".repeat(65_536)
    );
    let answer = client.simple_query(&(insert.clone() + &comment("5000")));
    assert_eq!(answer.value, "00000000000000b1".repeat(4096));
    let sent = instance.activity.with(|s| s.queries[0].clone());
    assert!(sent.starts_with(&insert) && sent.ends_with(",k=5c0f6e1a2b3d4c59,cluster=2 */"));
}

/// Guards the protocol's table of outcomes: a wrong kind misleads the decisions.
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
fn what_comes_back_becomes_its_outcome(#[case] act: ScriptedResponse, #[case] kind: &str) {
    let (_instance, _discovery, router) = one(act);
    let began = Instant::now();
    // A silent endpoint is given 2 s; from the others an outcome comes long before the end.
    let answer = router.connect_client().simple_query(&select_query(1, 2000));
    assert!(
        ["53300", "58000"].contains(&&*answer.sqlstate),
        "{answer:?}"
    );
    // An answer that can't be read is known for one long before the client gives up.
    assert!(kind != "attempts_malformed_response" || began.elapsed() < Duration::from_millis(1500));
    let line = router.counters();
    assert!(!line.contains(&format!(" {kind}=0 ")), "{line}");
    for other in [
        "attempts_error",
        "attempts_overloaded",
        "attempts_misrouted",
        "attempts_connection_reset",
        "attempts_timed_out",
        "attempts_connect_failed",
        "attempts_malformed_response",
        "attempts_invalid_request",
    ] {
        // Further tries may have been made, but none may have ended in another way.
        assert!(
            other == kind || line.contains(&format!(" {other}=0 ")),
            "{other}: {line}"
        );
    }
}

/// Guards the next request against what an endpoint says behind an answer: a second copy would be served as its
/// value, a report that can't be read would be believed.
#[rstest]
#[case(b"T\0\0\0\x1d\0\x01data\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0D\0\0\0\x0b\0\x01\0\0\0\x01aC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I")]
#[case(b"noise")]
#[case(b"S\0\0\0\x0agauges")]
fn what_comes_behind_an_answer_reaches_nobody(#[case] extra: &'static [u8]) {
    let (instance, _discovery, router) = one(ScriptedResponse::ServeWithTrailing(extra));
    let mut client = router.connect_client();
    for id in 1..=5 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(
        instance
            .activity
            .with(|s| (s.accepted_connections, s.queries.len())),
        (5, 5)
    );
}

/// Guards against holding what was given up on, and against answers after the client has stopped waiting.
#[test]
fn a_silent_instance_is_given_up_before_the_client_gives_up() {
    let (_instance, _discovery, router) = one(ScriptedResponse::NoResponse);
    let mut client = router.connect_client();
    let began = Instant::now();
    let answer = client.simple_query(&select_query(1, 2000));
    assert!(
        began.elapsed() >= Duration::from_millis(1500),
        "{:?}",
        began.elapsed()
    );
    assert_eq!((&*answer.tags, &*answer.sqlstate), ("EZ", "53300"));
    let advice: u64 = answer.detail.unwrap().parse().unwrap();
    assert!((1..=1000).contains(&advice), "{advice}");
    // The timer fired 8 ms early: the counters name no overdue answer.
    assert!(router.wait_for_counter("deadline_exceeded=0"));
}

/// Guards against a late answer on a given-up attempt reaching the next request on the same path.
#[test]
fn a_late_answer_reaches_nobody_else() {
    let (instance, _discovery, router) = one(ScriptedResponse::NoResponse);
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 2000)).sqlstate,
        "53300"
    );
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    assert_eq!(instance.activity.with(|s| s.accepted_connections), 2);
    assert!(router.wait_for_log("reason: attempt_abandoned"));
}

/// Guards against a request being written to a pooled connection that the endpoint has already closed.
#[test]
fn a_pooled_connection_that_was_closed_is_not_used() {
    let (instance, _discovery, router) = one(ScriptedResponse::ServeAndClose);
    let mut client = router.connect_client();
    for id in 1..=5 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        let ended = |s: &mut EndpointActivity| (s.closed_connections == id as usize).then_some(());
        assert!(instance.activity.wait_for(WAIT_TIMEOUT, ended).is_some());
    }
    assert!(
        router.wait_for_counter("attempts_connection_reset=0")
            && router.wait_for_counter("served=5")
    );
}

/// Guards against a handshake for each request.
#[test]
fn a_connection_is_kept_for_the_next_request() {
    let (instance, _discovery, router) = one(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    for id in 1..=20 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(instance.activity.with(|s| s.accepted_connections), 1);
}

#[derive(Clone, Copy, Debug)]
enum Leave {
    Terminate,
    Eof,
}

/// Guards against work that goes on for a client that has gone.
#[rstest]
#[case(Leave::Terminate)]
#[case(Leave::Eof)]
fn a_client_that_leaves_while_waiting_is_noticed(#[case] how: Leave) {
    let (instance, _discovery, router) = one(ScriptedResponse::NoResponse);
    let mut client = router.connect_client();
    client
        .stream
        .write_all(&query_message(&select_query(1, 20_000)))
        .unwrap();
    assert!(
        instance
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() == 1).then_some(()))
            .is_some()
    );
    match how {
        Leave::Terminate => client.stream.write_all(&[b'X', 0, 0, 0, 4]).unwrap(),
        Leave::Eof => client.stream.shutdown(std::net::Shutdown::Write).unwrap(),
    }
    assert!(
        router.wait_for_counter("client_left=1") && router.wait_for_counter("attempts_cancelled=1")
    );
    assert!(router.wait_for_log("reason: left_waiting"));
    assert!(client.read_response().is_none());
}

/// Guards a request against others under its id: they get an error, and their leaving is not its client's.
#[test]
fn a_borrowed_id_does_not_touch_the_request_that_owns_it() {
    let (instance, _discovery, router) = one(ScriptedResponse::NoResponse);
    let mut owner = router.connect_client();
    owner
        .stream
        .write_all(&query_message(&select_query(1, 20_000)))
        .unwrap();
    assert!(
        instance
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
    let mut leaving = router.connect_client();
    leaving
        .stream
        .write_all(
            &[
                query_message(&select_query(1, 20_000)),
                vec![b'X', 0, 0, 0, 4],
            ]
            .concat(),
        )
        .unwrap();
    while leaving.read_response().is_some() {}
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert_eq!(owner.read_response().unwrap().value, "0000000000000001");
    assert_eq!(instance.activity.with(|s| s.queries.len()), 1);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 20_000))
            .value,
        "0000000000000001"
    );
}

/// Guards against an attempt that stays out for ever: where attempts may not be cancelled, one that a client
/// has left is timed out at the client's deadline.
#[test]
fn an_attempt_that_may_not_be_cancelled_ends_at_the_deadline() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
    let list = vec![list_entry("s-1", instance.address, "ready")];
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
        instance
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
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert!(
        instance
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.closed_connections == 1).then_some(()))
            .is_some()
    );
}

/// Guards against panics and silence on input that makes no sense, and against losing the connection for
/// what harms nobody.
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
fn a_statement_that_is_no_request_gets_an_error(#[case] text: &str, #[case] code: &str) {
    let (instance, _discovery, router) = one(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    let answer = client.simple_query(text);
    assert_eq!((&*answer.tags, &*answer.sqlstate), ("EZ", code));
    assert_eq!(instance.activity.with(|s| s.queries.len()), 0);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

#[rstest]
#[case(&[b'Q', 0x7f, 0, 0, 0], "oversized")]
#[case(&[b'Q', 0, 0, 0, 1], "malformed")]
#[case(&[b'?', 0, 0, 0, 4], "malformed")]
#[case(&[b'Q', 0, 0, 0, 6, 0xff, 0], "malformed")]
fn a_broken_message_ends_the_connection_with_its_reason(
    #[case] bytes: &[u8],
    #[case] reason: &str,
) {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
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

/// Guards the table of clients against ones that begin a message and never end it.
#[test]
fn a_message_that_stalls_ends_its_connection() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
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

/// Guards the sequence of extended messages: one error, then in step again after its Sync.
#[test]
fn extended_queries_are_declined_in_step() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    let sequence = [
        parse_message("", "SELECT 1", &[]),
        bind_and_execute("", &[]),
        sync_message(),
    ];
    client.stream.write_all(&sequence.concat()).unwrap();
    let answer = client.read_response().unwrap();
    assert_eq!((&*answer.tags, &*answer.sqlstate), ("EZ", "0A000"));
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

/// Guards readiness: the front sends clients once the empty query is answered.
#[test]
fn the_empty_query_waits_until_the_router_can_serve() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    let router = start_router(&discovery, &[], 1024);
    let mut client = router.connect_client();
    client.stream.write_all(&query_message("")).unwrap();
    // Several calls have failed, so the router has long looked at the query.
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() > 4).then_some(()))
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
    discovery.publish(vec![list_entry("s-1", instance.address, "ready")]);
    assert_eq!(client.read_response().unwrap().tags, "IZ");
}

/// Guards the ways in which HTTP ends a body: a list is whole in each of them.
#[rstest]
#[case(DiscoveryFaultMode::Normal)]
#[case(DiscoveryFaultMode::Chunked)]
#[case(DiscoveryFaultMode::CloseDelimited)]
#[case(DiscoveryFaultMode::IndentedJson)]
#[case(DiscoveryFaultMode::SingleByteWrites)]
fn a_list_is_read_however_its_body_ends(#[case] manner: DiscoveryFaultMode) {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    discovery.fault_mode.with(|m| *m = manner);
    discovery.publish(vec![list_entry("s-1", instance.address, "ready")]);
    let router = start_router(&discovery, &[], 1024);
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

/// Guards the list against an answer without a length that is reset half-way: a reset is no end, what was known stays, and
/// the list is asked for again.
#[test]
fn a_list_that_is_reset_half_way_is_no_list() {
    let (instance, discovery, router) = one(ScriptedResponse::Serve);
    let calls = discovery.requested_paths.with(|c| c.len());
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::ResetMidBody);
    discovery.publish(vec![
        list_entry("s-1", instance.address, "ready"),
        list_entry("s-2", instance.address, "ready"),
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
    let again = |c: &mut Vec<String>| {
        c[calls..]
            .iter()
            .any(|p| p.contains("since=2&"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, again)
            .is_some()
    );
}

/// Guards the drain rule and the watch: told through it, the router sends nothing more to one that drains.
#[test]
fn a_draining_instance_gets_nothing_new() {
    let (old, new) = (
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    );
    let list = |state| {
        vec![
            list_entry("s-1", old.address, state),
            list_entry("s-2", new.address, "ready"),
        ]
    };
    let discovery = FakeDiscovery::start(Some(list("ready")));
    let router = start_router(&discovery, &list("ready"), 1024);
    let mut client = router.connect_client();
    discovery.publish(list("draining"));
    // The next call of the watch carries the version that names it as draining.
    let told = |c: &mut Vec<String>| {
        c.iter()
            .any(|p| p.contains("since=2&timeout_ms=3000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, told)
            .is_some()
    );
    let before = old.activity.with(|s| s.queries.len());
    for id in 1..=20 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(old.activity.with(|s| s.queries.len()), before);
}

/// Guards the endpoint's identity: the same uid at another address is dialled there.
#[test]
fn an_instance_that_moves_is_dialled_at_its_new_address() {
    let (instance, discovery, router) = one(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let moved = FakeEndpoint::start("master", ScriptedResponse::Serve);
    discovery.publish(vec![list_entry("s-1", moved.address, "ready")]);
    assert!(router.wait_for_log("reason: moved"));
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    let asked = |i: &FakeEndpoint| i.activity.with(|s| s.queries.len());
    assert_eq!((asked(&instance), asked(&moved)), (1, 1));
}

/// Guards the counters that tell the operator why nothing is served: nobody at the endpoint's address, discovery down.
#[test]
fn what_does_not_come_up_is_counted_by_its_end() {
    // No stand-in is ever given a port so low.
    let nobody = "127.0.0.1:1".parse().unwrap();
    let discovery = FakeDiscovery::start(None);
    let router = start_router(&discovery, &[list_entry("s-1", nobody, "ready")], 1024);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 2000))
            .sqlstate,
        "53300"
    );
    assert!(router.wait_for_log("discovery poll failed"));
    let line = router.counters();
    let count = |name: &str| -> u64 {
        let field = line
            .split(' ')
            .find_map(|f| f.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
        field.unwrap_or_else(|| panic!("{name}: {line}"))
    };
    assert!(
        count("connects_failed") > 0 && count("connects_failed") == count("connects"),
        "{line}"
    );
    assert!(
        count("list_rejected") > 0 && count("list_timed_out") == 0,
        "{line}"
    );
    let given = [
        "rejected_deadline_too_close",
        "rejected_no_eligible_endpoint",
        "rejected_load_shed",
        "rejected_attempt_limit_reached",
        "rejected_attempt_timed_out",
        "rejected_retry_budget_exhausted",
    ];
    assert_eq!(given.iter().map(|g| count(g)).sum::<u64>(), 1, "{line}");
}

/// Guards the endpoints' tables and the price of handshakes: with little traffic a connection that is closed long
/// before its time has to be made again for the next request. That none goes too late is checked as `RETIRE` is built.
#[test]
fn an_idle_connection_is_kept_for_most_of_the_time_that_the_instance_allows() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
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
    let since = Instant::now();
    assert!(router.wait_for_log("reason: idle"));
    assert!(
        since.elapsed() >= Duration::from_millis(1600),
        "{:?}",
        since.elapsed()
    );
}

/// Guards against a list that is believed for ever: a watch that breaks is asked for again.
#[test]
fn a_failed_watch_is_renewed() {
    let (instance, discovery, router) = one(ScriptedResponse::Serve);
    discovery.list.with(|l| l.1 = None);
    assert!(router.wait_for_log("discovery poll failed"));
    // Meanwhile the list it has stands.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    let calls = discovery.requested_paths.with(|c| c.len());
    discovery.publish(vec![list_entry("s-1", instance.address, "ready")]);
    let again = |c: &mut Vec<String>| {
        c[calls..]
            .iter()
            .any(|p| p.contains("timeout_ms=8000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, again)
            .is_some()
    );
}

/// Guards a busy discovery: a call that waits its turn is not given up and repeated, which would be served twice.
#[test]
fn a_call_that_waits_its_turn_is_not_repeated() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::NoResponse);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let router = start_router(&discovery, &list, 1024);
    // A service ends a call that has waited for its turn for 2 s.
    let calls = |n: usize| {
        discovery
            .requested_paths
            .wait_for(Duration::from_millis(2000), |c| {
                (c.len() >= n).then_some(())
            })
    };
    assert!(calls(1).is_some());
    assert!(calls(2).is_none(), "repeated while it waits");
    // Meanwhile the router serves from the list it has.
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
    // Its answer begins the watch: no other call comes between.
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() >= 2).then_some(()))
            .is_some()
    );
    assert!(
        discovery
            .requested_paths
            .with(|c| c[1].contains("timeout_ms=3000"))
    );
    assert!(
        router.counters().contains(
            " list_rejected=0 list_timed_out=0 list_connection_failed=0 list_malformed=0"
        )
    );
}

/// Guards the clock of silence: a watch that falls silent is opened anew, on a new connection, and what it missed is
/// there before it counts as told; the decider hears of no failure.
#[test]
fn a_silent_watch_is_opened_anew_before_its_news_count_as_told() {
    let (instance, discovery, router) = one(ScriptedResponse::Serve);
    let watched = |c: &mut Vec<String>| {
        c.iter()
            .any(|p| p.contains("timeout_ms=3000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, watched)
            .is_some()
    );
    // Calls that have begun get no answer; the next ones do.
    discovery.stall_open_connections();
    let silent = Instant::now();
    discovery.publish(vec![list_entry("s-1", instance.address, "draining")]);
    let calls = discovery.requested_paths.with(|c| c.len());
    let told = |c: &mut Vec<String>| {
        c[calls..]
            .iter()
            .any(|p| p.contains("since=2&"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, told)
            .is_some()
    );
    assert!(
        silent.elapsed() < Duration::from_millis(5500),
        "{:?}",
        silent.elapsed()
    );
    assert!(
        router
            .counters()
            .contains(" list_timed_out=1 list_connection_failed=0 ")
    );
}

/// Guards against a busy loop: a watch that is answered at once, again and again, is slowed down, though not
/// beyond the 200 ms after which discovery takes it for a new one.
#[test]
fn a_hasty_watch_is_not_followed_at_full_speed() {
    let (_instance, discovery, _router) = one(ScriptedResponse::Serve);
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::ImmediateResponse);
    discovery.list.with(|_| ());
    let nth = |n: usize| {
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() >= n).then(Instant::now))
            .unwrap()
    };
    let (first, last) = (nth(4), nth(14));
    assert!(
        last - first >= Duration::from_millis(900),
        "{:?}",
        last - first
    );
}

/// Guards SIGHUP: the router turns to the discovery that the file names now, whatever the environment said at
/// the start, and believes its whole list, though its versions are lower.
#[test]
fn a_new_configuration_moves_discovery() {
    let (old, discovery, mut router) = one(ScriptedResponse::Serve);
    discovery.publish(vec![list_entry("s-1", old.address, "ready")]);
    let watched = |c: &mut Vec<String>| {
        c.iter()
            .any(|p| p.contains("since=2&timeout_ms=3000"))
            .then_some(())
    };
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, watched)
            .is_some()
    );
    let moved = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let next = FakeDiscovery::start(Some(vec![list_entry("s-2", moved.address, "ready")]));
    router.reload_config("discovery", next.address.to_string().into());
    assert!(
        next.requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() > 1).then_some(()))
            .is_some()
    );
    assert_eq!(
        next.requested_paths.with(|c| c[..2].to_vec()),
        ["/api/targets", "/api/targets?since=1&timeout_ms=3000"]
    );
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    assert_eq!(moved.activity.with(|s| s.queries.len()), 1);
    // It comes again, also while the router is ending.
    router.signal("TERM");
    router.reload_config("discovery", discovery.address.to_string().into());
    assert!(router.wait_for_exit().success());
}

/// Guards against a discovery that was moved away from while it hangs: the new one is asked at once.
#[test]
fn a_call_that_hangs_does_not_hold_up_a_new_discovery() {
    let (instance, _discovery, router) = one(ScriptedResponse::Serve);
    let silent = FakeDiscovery::start(None);
    silent
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::NoResponse);
    router.reload_config("discovery", silent.address.to_string().into());
    assert!(
        silent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() == 1).then_some(()))
            .is_some()
    );
    let next = FakeDiscovery::start(Some(vec![list_entry("s-1", instance.address, "ready")]));
    router.reload_config("discovery", next.address.to_string().into());
    assert!(
        next.requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (!c.is_empty()).then_some(()))
            .is_some()
    );
    let line = router.counters();
    assert!(
        line.contains("list_rejected=0 list_timed_out=0 list_connection_failed=0"),
        "{line}"
    );
}

/// Guards a router that knows no version: its call for the whole list waits for nothing, so that silence is noticed
/// without the ten seconds that a watch may wait.
#[test]
fn a_silent_call_for_the_whole_list_is_made_again_soon() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
    let hung = FakeDiscovery::start(None);
    hung.fault_mode
        .with(|m| *m = DiscoveryFaultMode::NoResponse);
    router.reload_config("discovery", hung.address.to_string().into());
    assert!(
        hung.requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (!c.is_empty()).then_some(()))
            .is_some()
    );
    let again = hung
        .requested_paths
        .wait_for(Duration::from_secs(9), |c| (c.len() >= 2).then_some(()));
    assert!(again.is_some(), "the silence was not noticed");
    assert!(
        hung.requested_paths
            .with(|c| c.iter().all(|path| path == "/api/targets"))
    );
}

/// Guards the old configuration against a file that makes no sense, and says what takes a restart.
#[rstest]
#[case(
    "discovery",
    "nowhere",
    "discovery: expected an IP address with a port"
)]
#[case("settings", "none", "familyInfo is missing")]
#[case("name", "n7", "takes effect after a restart")]
fn a_reload_says_what_it_did_not_take(
    #[case] field: &str,
    #[case] value: &str,
    #[case] wanted: &str,
) {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
    router.reload_config(field, value.into());
    assert!(router.wait_for_log(wanted));
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
}

/// Guards against a start on a configuration that makes no sense, without a word of what is wrong.
#[rstest]
#[case("{", "EOF")]
#[case("{}", "familyInfo is missing")]
fn a_wrong_configuration_is_named(#[case] text: &str, #[case] wanted: &str) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
    let output = program.env("RELAY_CONFIG", file.path()).output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && said.contains(wanted), "{said}");
}

/// Guards the start against settings that make no sense: `check` names file and field, and exits with 2.
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
fn settings_that_make_no_sense_are_named(
    #[case] place: &[&str],
    #[case] value: serde_json::Value,
    #[case] field: &str,
) {
    let mut config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": base_settings(),
        "limits": {"sockets": 256, "memory_mb": 48}, "known": {"rev": 1, "all": true, "targets": []}});
    let check = |config: &serde_json::Value| {
        let file = tempfile::Builder::new().suffix(".json").tempfile().unwrap();
        std::fs::write(file.path(), config.to_string()).unwrap();
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
        let output = program.arg("check").arg(file.path()).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        (
            output.status.code(),
            said.contains(&*file.path().to_string_lossy()),
            said,
        )
    };
    assert_eq!(check(&config).0, Some(0));
    let at = config
        .pointer_mut(&format!("/{}", place.join("/")))
        .unwrap();
    *at = value;
    let (code, has_file, said) = check(&config);
    assert_eq!(
        (code, has_file, said.contains(field)),
        (Some(2), true, true),
        "{said}"
    );
}

/// Guards the budget of descriptors: idle connections make room, and nobody is turned away.
#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 64);
    let mut kept = Vec::new();
    for id in 1..=40 {
        let mut client = router.connect_client();
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        kept.push(client);
    }
    assert!(router.wait_for_log("reason: evicted") && router.wait_for_counter("accept_errors=0"));
}

/// Guards usual clients against a crowd of others that ask once and stay: room is made from half of the clients'
/// descriptors on, not when the last one is gone.
#[test]
fn idle_clients_make_room_before_the_last_descriptor() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    // At this limit clients have 22 descriptors.
    let router = start_router(&discovery, &list, 64);
    let ask = |id: u64| {
        let mut client = router.connect_client();
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        client
    };
    let kept: Vec<Client> = (1..=14).map(ask).collect();
    let began = Instant::now();
    let evicted = |l: &mut Vec<String>| l.iter().any(|l| l.contains("reason: evicted"));
    let mut id = 100;
    while !router.log.with(evicted) {
        assert!(began.elapsed() < WAIT_TIMEOUT, "nobody makes room");
        drop(ask(id));
        id += 1;
    }
    drop(kept);
}

/// Guards usual clients against hundreds that connect and say nothing: those give way first, a connection in use
/// stays open, new ones are served, and what says nothing for long is closed even if nobody needs its place.
#[test]
fn connections_that_say_nothing_hold_nobody_up() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 64);
    let mut kept = router.connect_client();
    assert_eq!(
        kept.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let mut silent: Vec<Client> = (0..100).map(|_| Client::connect(router.address)).collect();
    let began = Instant::now();
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 5000))
            .value,
        "0000000000000002"
    );
    assert!(
        began.elapsed() < Duration::from_millis(1500),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(
        kept.simple_query(&select_query(3, 5000)).value,
        "0000000000000003"
    );
    drop(kept);
    assert!(
        silent
            .iter_mut()
            .all(|client| client.read_response().is_none())
    );
    assert!(
        began.elapsed() < Duration::from_secs(6),
        "{:?}",
        began.elapsed()
    );
    assert!(
        router.wait_for_log("reason: startup_timeout") && router.wait_for_log("reason: evicted")
    );
}

/// Guards the error against a reset that overtakes it: what a client goes on sending is thrown away.
#[test]
fn the_error_arrives_although_the_client_sends_on() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
    let mut client = router.connect_client();
    client.stream.write_all(&[b'Q', 3, 0x93, 0x87, 0]).unwrap();
    for _ in 0..128 {
        client.stream.write_all(&[b'a'; 64 * 1024]).unwrap();
    }
    assert_eq!(client.read_response().unwrap().sqlstate, "08P01");
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

/// Guards the descriptors for endpoints: with more endpoints than descriptors the connections idle longest
/// make room, no request fails for it, and an endpoint in use keeps its connection.
#[test]
fn more_instances_than_descriptors_are_reached_in_turn() {
    let instances: Vec<FakeEndpoint> = (0..24)
        .map(|_| FakeEndpoint::start("master", ScriptedResponse::Serve))
        .collect();
    let listed = |(i, instance): (usize, &FakeEndpoint)| {
        let mut target = list_entry(&format!("s-{i}"), instance.address, "ready");
        target["pod_group"] = i.into();
        target
    };
    let list: Vec<_> = instances.iter().enumerate().map(listed).collect();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    // At the least number that the router takes, sixteen are for endpoints.
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
    for instance in &instances {
        assert_eq!(instance.activity.with(|s| s.accepted_connections), 1);
    }
}

/// Guards a planned restart: what is being answered is answered, new clients are served, idle connections
/// are closed, and then the router ends by itself.
#[test]
fn sigterm_answers_all_and_ends() {
    let (instance, _discovery, mut router) = one(ScriptedResponse::Serve);
    let (mut idle, mut waiting) = (router.connect_client(), router.connect_client());
    assert_eq!(
        idle.simple_query(&select_query(3, 5000)).value,
        "0000000000000003"
    );
    instance
        .response
        .with(|a| *a = ScriptedResponse::NoResponse);
    waiting
        .stream
        .write_all(&query_message(&select_query(1, 20_000)))
        .unwrap();
    assert!(
        instance
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() == 2).then_some(()))
            .is_some()
    );
    router.signal("TERM");
    assert!(idle.read_response().is_none());
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    let mut late = Client::connect(router.address);
    late.stream
        .write_all(&[startup_message(), query_message(&select_query(2, 5000))].concat())
        .unwrap();
    assert_eq!(late.read_response().unwrap().tags, "RSSSKZ");
    assert_eq!(late.read_response().unwrap().value, "0000000000000002");
    assert_eq!(waiting.read_response().unwrap().value, "0000000000000001");
    assert!(router.wait_for_exit().success());
    assert!(router.wait_for_log("counters") && router.has_final_counter("served=3"));
}

/// Guards a connection that is new when the router is about to end: its client has not sent its first
/// request yet, and would meet the same on any further connection.
#[test]
fn a_new_connection_gets_its_first_answer_after_sigterm() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve);
    let mut idle = router.connect_client();
    assert_eq!(
        idle.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    router.signal("TERM");
    assert!(idle.read_response().is_none());
    let mut new = router.connect_client();
    assert_eq!(
        new.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    assert!(new.read_response().is_none());
}

/// Guards against a handshake that never ends: a machine that accepts and stays silent is no connection.
#[test]
fn a_handshake_without_an_answer_is_a_failed_connect() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let list = vec![list_entry("s-1", silent.local_addr().unwrap(), "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let answer = router.connect_client().simple_query(&select_query(1, 2000));
    assert_eq!(answer.sqlstate, "53300");
    assert!(router.wait_for_log("reason: dial_failed"));
    assert!(router.wait_for_counter("attempts_timed_out=0"));
}
