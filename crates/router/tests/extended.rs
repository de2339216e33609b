//! Tests of the extended query protocol on the router process, with test clients and fake endpoints.

mod common;

use common::*;
use futures_util::future::join_all;
use reelrill_pg_protocol::frontend::{self, ObjectKind};
use reelrill_pg_protocol::{Format, oid};
use reelrill_test_support::client::{bind_and_execute, parse_message, query_message, sync_message};
use rstest::rstest;
use std::time::Duration;

const EXTENDED_ON: &str = "extended: {mode: on}";
const READ_TEXT: &str = "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";
const WRITE_TEXT: &str = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data /* c=book,d=$3,cluster=2,k=$4 */";

fn describe_message(object: ObjectKind, name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_describe(&mut out, object, name);
    out
}

fn close_message(object: ObjectKind, name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_close(&mut out, object, name);
    out
}

fn bind_message(portal: &str, statement: &str, values: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    let values = values.iter().map(|v| (Format::Text, Some(v.as_bytes())));
    frontend::put_bind(&mut out, portal, statement, values, Format::Text);
    out
}

fn execute_message(portal: &str, max_rows: u32) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_execute(&mut out, portal, max_rows);
    out
}

/// Returns Bind and Execute of the prepared read, with this request id.
fn execute_read(statement: &str, id: u64) -> Vec<u8> {
    bind_and_execute(
        statement,
        &[Some("k"), Some(&format!("{id:016x}")), Some("5000")],
    )
}

/// Returns Bind and Execute of the prepared write, with this idempotency key, which is also the code of the row.
fn execute_write(statement: &str, key: &str, wait_ms: &str) -> Vec<u8> {
    bind_and_execute(statement, &[Some(key), Some("v"), Some(wait_ms), Some(key)])
}

/// Starts a router whose list names one endpoint; its responses have the request's id as their value.
fn start_with_endpoint(
    response: ScriptedResponse,
    extensions: &str,
) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let endpoint = FakeEndpoint::start("master", response);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(extensions));
    (endpoint, discovery, router)
}

/// Starts a router and a replica set of endpoints with these names, of which the first is the primary.
fn start_with_replica_set(
    names: &[&str],
    extensions: &str,
) -> (
    FakeReplicaSet,
    Vec<FakeEndpoint>,
    FakeDiscovery,
    RouterProcess,
) {
    let replica_set = FakeReplicaSet::new(names[0], Duration::ZERO, Duration::from_secs(2));
    let join = |name: &&str| {
        FakeEndpoint::start_in_replica_set(
            &replica_set,
            name,
            ([127, 0, 0, 1], 0).into(),
            Duration::ZERO,
            false,
        )
    };
    let endpoints: Vec<FakeEndpoint> = names.iter().map(join).collect();
    let list: Vec<_> = endpoints.iter().map(|e| e.list_entry(2, "ready")).collect();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(extensions));
    (replica_set, endpoints, discovery, router)
}

/// Returns the number of queries that the endpoint has received.
fn query_count(endpoint: &FakeEndpoint) -> usize {
    endpoint.activity.with(|s| s.queries.len())
}

/// Returns whether the endpoint receives at least `count` queries in time.
fn wait_for_queries(endpoint: &FakeEndpoint, count: usize) -> bool {
    endpoint
        .activity
        .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() >= count).then_some(()))
        .is_some()
}

/// Guards against a statement that is parsed again at the endpoint for each execution, and against an endpoint that
/// gets the client's whole timeout (`d`, in ms) instead of the time that is left of it.
#[test]
fn statement_is_prepared_once_when_it_is_executed_repeatedly() {
    let (replica_set, endpoints, _discovery, router) = start_with_replica_set(&["a"], EXTENDED_ON);
    let mut client = router.connect_client();
    let response = client.extended_query(&[
        parse_message("s", READ_TEXT, &[]),
        describe_message(ObjectKind::Statement, "s"),
    ]);
    assert_eq!(response.tags, "1tTZ");
    assert_eq!(
        client
            .extended_query(&[
                parse_message("w", WRITE_TEXT, &[]),
                execute_write("w", "k", "5000")
            ])
            .tags,
        "12DCZ"
    );
    for id in 1..=20 {
        let response = client.extended_query(&[execute_read("s", id)]);
        assert_eq!((&*response.tags, &*response.value), ("2DCZ", "v"));
    }
    let counts = replica_set.with_execution_log(|log| log.total());
    assert_eq!((counts.parses, counts.executes, counts.queries), (2, 21, 0));
    let sent_query = endpoints[0].activity.with(|s| s.queries[1].clone());
    let remaining_ms: u64 = sent_query
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(remaining_ms <= 5000 && remaining_ms > 1000, "{sent_query}");
}

/// Guards against an invalid or unsupported command that gets the wrong SQLSTATE, against later commands of its segment
/// that are executed all the same, and against a connection that stays unusable after the Sync.
#[rstest]
#[case(&[bind_and_execute("x", &[])], "EZ", "26000")]
#[case(&[execute_message("x", 0)], "EZ", "34000")]
#[case(&[describe_message(ObjectKind::Portal, "x")], "EZ", "34000")]
#[case(&[describe_message(ObjectKind::Statement, "x")], "EZ", "26000")]
#[case(&[parse_message("a", READ_TEXT, &[]), parse_message("a", READ_TEXT, &[])], "1EZ", "42P05")]
#[case(&[parse_message("", READ_TEXT, &[]), bind_message("p", "", &["k", "00000000000000a1", "9"]), bind_message("p", "", &["k", "", "9"])], "12EZ", "42P03")]
#[case(&[parse_message("", READ_TEXT, &[]), bind_and_execute("", &[Some("k")])], "1EZ", "08P01")]
#[case(&[parse_message("", READ_TEXT, &[oid::BYTEA])], "EZ", "42804")]
#[case(&[parse_message("", READ_TEXT, &[]), bind_and_execute("", &[Some("k"), Some("zz"), Some("9")])], "1EZ", "22023")]
#[case(&[parse_message("", READ_TEXT, &[]), bind_and_execute("", &[None, None, None])], "1EZ", "22004")]
#[case(&[parse_message("", WRITE_TEXT, &[]), bind_and_execute("", &[Some("k"), Some("v"), None, None])], "1EZ", "22023")]
#[case(&[parse_message("", "BEGIN", &[])], "EZ", "0A000")]
#[case(&[parse_message("", "COPY facts FROM STDIN", &[])], "EZ", "0A000")]
#[case(&[parse_message("", "DECLARE c CURSOR FOR SELECT 1", &[])], "EZ", "0A000")]
#[case(&[parse_message("", "SELECT 1", &[])], "EZ", "42601")]
fn error_has_its_sqlstate_and_skips_the_rest_of_its_segment(
    #[case] commands: &[Vec<u8>],
    #[case] tags: &str,
    #[case] sqlstate: &str,
) {
    let (endpoint, _discovery, router) = start_with_endpoint(ScriptedResponse::Serve, EXTENDED_ON);
    let mut client = router.connect_client();
    let skipped = [
        parse_message("later", READ_TEXT, &[]),
        execute_read("later", 1),
    ];
    let response = client.extended_query(&[commands, &skipped].concat());
    assert_eq!(
        (&*response.tags, &*response.sqlstate),
        (tags, sqlstate),
        "{response:?}"
    );
    assert_eq!(query_count(&endpoint), 0);
    // The skipped Parse had no effect, so the name is free, and commands after the Sync are served.
    let next = client.extended_query(&[
        parse_message("later", READ_TEXT, &[]),
        execute_read("later", 2),
    ]);
    assert_eq!(
        (&*next.tags, &*next.value),
        ("12DCZ", "0000000000000002"),
        "{next:?}"
    );
}

/// Guards against statements that stay known after DEALLOCATE, Close or DISCARD ALL, and against the rejection of
/// commands that concern only the client's own session: SET, RESET and the empty query. COMMIT is not supported.
#[test]
fn statement_is_unknown_after_deallocate_close_or_discard() {
    let (_endpoint, _discovery, router) = start_with_endpoint(ScriptedResponse::Serve, EXTENDED_ON);
    let mut client = router.connect_client();
    assert_eq!(
        client
            .extended_query(&[
                parse_message("a", READ_TEXT, &[]),
                parse_message("b", READ_TEXT, &[])
            ])
            .tags,
        "11Z"
    );
    assert_eq!(client.simple_query("DEALLOCATE a").tags, "CZ");
    assert_eq!(
        client.extended_query(&[execute_read("a", 1)]).sqlstate,
        "26000"
    );
    assert_eq!(
        client
            .extended_query(&[
                parse_message("", "SET x = 1", &[]),
                bind_and_execute("", &[])
            ])
            .tags,
        "12CZ"
    );
    assert_eq!(client.simple_query("RESET ALL").tags, "CZ");
    assert_eq!(
        client
            .extended_query(&[
                close_message(ObjectKind::Statement, "b"),
                close_message(ObjectKind::Portal, "none")
            ])
            .tags,
        "33Z"
    );
    assert_eq!(
        client.extended_query(&[execute_read("b", 2)]).sqlstate,
        "26000"
    );
    assert_eq!(
        client
            .extended_query(&[parse_message("a", READ_TEXT, &[])])
            .tags,
        "1Z"
    );
    assert_eq!(client.simple_query("DISCARD ALL").tags, "CZ");
    assert_eq!(
        client.extended_query(&[execute_read("a", 3)]).sqlstate,
        "26000"
    );
    assert_eq!(client.simple_query("COMMIT").sqlstate, "0A000");
    assert_eq!(
        client
            .extended_query(&[parse_message("", " ; ", &[]), bind_and_execute("", &[])])
            .tags,
        "12IZ"
    );
}

/// Guards against a portal that ignores the row limit of its Execute, or is executed twice when it is resumed; and
/// against responses that wait for a Sync although a Flush has been sent.
#[test]
fn portal_is_suspended_when_its_row_limit_is_reached() {
    let (endpoint, _discovery, router) = start_with_endpoint(ScriptedResponse::Serve, EXTENDED_ON);
    let mut client = router.connect_client();
    let mut flush = Vec::new();
    frontend::put_flush(&mut flush);
    let bind_portal = bind_message("p", "", &["k", "00000000000000a1", "5000"]);
    client.send(
        &[
            parse_message("", READ_TEXT, &[]),
            bind_portal,
            execute_message("p", 1),
            flush,
        ]
        .concat(),
    );
    let tags: Vec<u8> = (0..4)
        .map_while(|_| client.read_message())
        .map(|message| message.0)
        .collect();
    assert_eq!(tags, b"12Ds");
    assert_eq!(client.extended_query(&[execute_message("p", 0)]).tags, "CZ");
    assert_eq!(
        client.extended_query(&[execute_message("p", 0)]).sqlstate,
        "34000"
    );
    assert_eq!(query_count(&endpoint), 1);
}

/// Guards against a write that is executed twice, or gets no response or more than one, when its endpoint fails at any
/// stage of the request. A later write with the same idempotency key must succeed without a second execution.
#[rstest]
fn write_is_executed_at_most_once_when_its_endpoint_fails_at_any_stage(
    #[values(
        RequestStage::Parse,
        RequestStage::Bind,
        RequestStage::PartialExecute,
        RequestStage::Executed,
        RequestStage::BeforeResponse
    )]
    stage: RequestStage,
    #[values(Fault::Kill, Fault::Reset, Fault::NoResponse, Fault::InvalidBytes)] fault: Fault,
) {
    let (replica_set, endpoints, _discovery, router) =
        start_with_replica_set(&["a", "b"], EXTENDED_ON);
    let mut client = router.connect_client();
    // The first write lets the router find the primary before the fault occurs.
    assert_eq!(
        client
            .extended_query(&[
                parse_message("w", WRITE_TEXT, &[]),
                execute_write("w", "warm", "5000")
            ])
            .sqlstate,
        ""
    );
    if stage == RequestStage::Parse {
        endpoints[0].forget_prepared_statements();
    }
    endpoints[0].faults.with(|f| f.push_back((stage, fault)));
    client.send(&[execute_write("w", "k1", "1500"), sync_message()].concat());
    if fault == Fault::Kill {
        assert!(endpoints[0].wait_until_killed());
        replica_set.promote("b");
        endpoints[0].restart();
    }
    let response = client.read_response().unwrap();
    let is_served = response.tags == "2DCZ" && response.value == "v";
    assert!(
        is_served || (response.tags == "2EZ" && ["53300", "58000"].contains(&&*response.sqlstate)),
        "{response:?}"
    );
    assert!(
        endpoints[0].faults.with(|f| f.is_empty()),
        "the fault did not occur"
    );
    // A write with a successful response was executed, and no write was executed more than once.
    let execution_count = |key: &str| {
        replica_set.with_execution_log(|l| l.executed_writes.get(key).map_or(0, Vec::len))
    };
    assert!(execution_count("k1") <= 1 && (!is_served || execution_count("k1") == 1));
    for _ in 0..50 {
        let retry = client.extended_query(&[execute_write("w", "k1", "1500")]);
        if retry.sqlstate.is_empty() {
            assert_eq!(retry.value, "v");
            break;
        }
        assert!(["53300", "58000"].contains(&&*retry.sqlstate), "{retry:?}");
    }
    assert_eq!(execution_count("k1"), 1);
    assert!(replica_set.with_execution_log(|l| l.keys_executed_more_than_once().is_empty()));
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum StatementLoss {
    EndpointKilled,
    EndpointDraining,
    StatementsForgotten,
}

/// Guards against a prepared statement that is unknown when it is executed on another endpoint than the one it was
/// prepared on, or on the same one after that has lost its prepared statements.
#[rstest]
fn statement_is_prepared_again_when_its_endpoint_no_longer_has_it(
    #[values(
        StatementLoss::EndpointKilled,
        StatementLoss::EndpointDraining,
        StatementLoss::StatementsForgotten
    )]
    loss: StatementLoss,
) {
    let (replica_set, endpoints, discovery, router) =
        start_with_replica_set(&["a", "b"], EXTENDED_ON);
    let mut client = router.connect_client();
    assert_eq!(
        client
            .extended_query(&[
                parse_message("w", WRITE_TEXT, &[]),
                execute_write("w", "k0", "5000")
            ])
            .sqlstate,
        ""
    );
    match loss {
        StatementLoss::EndpointKilled => endpoints[0].kill(),
        StatementLoss::EndpointDraining => {
            discovery.publish(vec![
                endpoints[0].list_entry(2, "draining"),
                endpoints[1].list_entry(2, "ready"),
            ]);
            let is_read =
                |paths: &mut Vec<String>| paths.iter().any(|p| p.contains("since=2")).then_some(());
            assert!(
                discovery
                    .requested_paths
                    .wait_for(WAIT_TIMEOUT, is_read)
                    .is_some()
            );
        }
        StatementLoss::StatementsForgotten => endpoints[0].forget_prepared_statements(),
    }
    if loss != StatementLoss::StatementsForgotten {
        replica_set.promote("b");
    }
    let mut response = Response::default();
    for _ in 0..50 {
        response = client.extended_query(&[execute_write("w", "k1", "2000")]);
        if response.sqlstate.is_empty() {
            break;
        }
        assert!(
            ["53300", "58000"].contains(&&*response.sqlstate),
            "{response:?}"
        );
    }
    assert_eq!((&*response.tags, &*response.value), ("2DCZ", "v"));
    let executing_endpoint = if loss == StatementLoss::StatementsForgotten {
        "a"
    } else {
        "b"
    };
    assert_eq!(
        replica_set.with_execution_log(|l| l.executed_writes["k1"].clone()),
        [executing_endpoint]
    );
    assert!(
        loss != StatementLoss::StatementsForgotten
            || router.wait_for_counter("statements_reprepared=1")
    );
}

/// Guards against an evicted statement that is executed without being prepared again, or stays open at the endpoint.
/// The limit is one statement per upstream connection, so each execution evicts the other of two statements.
#[test]
fn evicted_statement_is_closed_and_prepared_again() {
    let (replica_set, _endpoints, _discovery, router) =
        start_with_replica_set(&["a"], "extended: {mode: on, limits: {prepared: 1}}");
    let mut client = router.connect_client();
    let own_class_text = READ_TEXT.replace("c=board", "c=own");
    assert_eq!(
        client
            .extended_query(&[
                parse_message("s", READ_TEXT, &[]),
                parse_message("t", &own_class_text, &[])
            ])
            .tags,
        "11Z"
    );
    for id in 1..=6 {
        let name = if id % 2 == 0 { "s" } else { "t" };
        assert_eq!(
            client.extended_query(&[execute_read(name, id)]).tags,
            "2DCZ"
        );
    }
    let counts = replica_set.with_execution_log(|l| l.total());
    assert_eq!((counts.parses, counts.closes, counts.executes), (6, 5, 6));
}

/// Guards against a write that is sent, or gets a response, although an earlier command of its segment failed; and
/// against a write after the Sync that is not served because of the skipped commands.
#[rstest]
#[case(READ_TEXT, &[Some("k"), Some("00000000000000f1"), Some("300")])]
#[case(WRITE_TEXT, &[Some("k"), Some("v"), Some("300"), Some("kx")])]
fn write_behind_a_failed_command_is_not_sent(#[case] text: &str, #[case] values: &[Option<&str>]) {
    let (replica_set, endpoints, _discovery, router) = start_with_replica_set(&["a"], EXTENDED_ON);
    let mut client = router.connect_client();
    // This replica set has no endpoint, so requests for it fail.
    let failing = text.replace("cluster=2", "cluster=9");
    let commands = [
        parse_message("f", &failing, &[]),
        parse_message("w", WRITE_TEXT, &[]),
        bind_and_execute("f", values),
        execute_write("w", "k1", "5000"),
    ];
    let response = client.extended_query(&commands);
    assert_eq!(response.tags, "112EZ", "{response:?}");
    assert_eq!(
        (
            query_count(&endpoints[0]),
            replica_set.with_execution_log(|l| l.executed_writes.len())
        ),
        (0, 0)
    );
    assert_eq!(
        client
            .extended_query(&[execute_write("w", "k2", "5000")])
            .tags,
        "2DCZ"
    );
    assert!(replica_set.with_execution_log(|l| !l.executed_writes.contains_key("k1")));
}

/// Guards against a write that is sent before the earlier reads of its pipeline have their responses, against reads
/// that are not sent concurrently, and against responses out of order.
#[test]
fn write_waits_for_the_earlier_reads_of_its_pipeline() {
    let (endpoint, _discovery, router) =
        start_with_endpoint(ScriptedResponse::NoResponse, EXTENDED_ON);
    let mut client = router.connect_client();
    let reads: Vec<Vec<u8>> = (1..=3).map(|id| execute_read("r", id)).collect();
    let write = bind_and_execute("w", &[Some("k"), Some("v"), Some("20000"), Some("k1")]);
    let all = [
        vec![
            parse_message("r", READ_TEXT, &[]),
            parse_message("w", WRITE_TEXT, &[]),
        ],
        reads,
        vec![write, execute_read("r", 4), sync_message()],
    ];
    client.send(&all.concat().concat());
    assert!(wait_for_queries(&endpoint, 3));
    // All three reads have been sent, and the write has not, although the router has received it.
    assert!(router.wait_for_counter("requests=3"));
    let is_write_sent = endpoint
        .activity
        .with(|s| s.queries.iter().any(|q| q.starts_with("INSERT")));
    assert!(!is_write_sent && query_count(&endpoint) == 3);
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    let response = client.read_response().unwrap();
    assert_eq!(response.tags, "112DC2DC2DC2DC2DCZ");
    let ids: Vec<String> = (1..=3).map(|id| format!("{id:016x}")).collect();
    assert_eq!(
        (&response.values[..3], &*response.values[4]),
        (&ids[..], "0000000000000004")
    );
    let queries = endpoint.activity.with(|s| s.queries.clone());
    assert!(
        queries[3].starts_with("INSERT") && queries[4].starts_with("SELECT"),
        "{queries:?}"
    );
}

/// Guards against an execution that uses another statement than the one it was bound to, because the statement was
/// closed or its name was reused before the response arrived.
#[test]
fn execution_keeps_its_statement_when_the_name_is_closed_or_reused() {
    let (endpoint, _discovery, router) =
        start_with_endpoint(ScriptedResponse::NoResponse, EXTENDED_ON);
    let mut client = router.connect_client();
    let own_class_text = READ_TEXT.replace("c=board", "c=own");
    let commands = [
        parse_message("s", READ_TEXT, &[]),
        execute_read("s", 1),
        close_message(ObjectKind::Statement, "s"),
        parse_message("", READ_TEXT, &[]),
        execute_read("", 2),
        parse_message("", &own_class_text, &[]),
        execute_read("", 3),
        sync_message(),
    ];
    client.send(&commands.concat());
    assert!(wait_for_queries(&endpoint, 3));
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    let response = client.read_response().unwrap();
    assert_eq!(response.tags, "12DC312DC12DCZ");
    assert_eq!(response.values, [1, 2, 3].map(|id| format!("{id:016x}")));
    let own_class_reads = endpoint
        .activity
        .with(|s| s.queries.iter().filter(|q| q.contains("c=own")).count());
    assert_eq!(own_class_reads, 1);
}

/// Guards against attempts that keep running, or a connection that stays open, after a client disconnected in the
/// middle of a pipeline, with or without a Terminate message.
#[rstest]
fn attempts_are_cancelled_when_the_client_disconnects_in_a_pipeline(
    #[values(true, false)] sends_terminate: bool,
) {
    let (endpoint, _discovery, router) =
        start_with_endpoint(ScriptedResponse::NoResponse, EXTENDED_ON);
    let mut client = router.connect_client();
    let reads: Vec<u8> = (1..=3).flat_map(|id| execute_read("r", id)).collect();
    client.send(&[parse_message("r", READ_TEXT, &[]), reads].concat());
    assert!(wait_for_queries(&endpoint, 3));
    if sends_terminate {
        client.send(&[b'X', 0, 0, 0, 4]);
    }
    client.shutdown_write();
    assert!(
        router.wait_for_counter("client_left=3") && router.wait_for_counter("attempts_cancelled=3")
    );
    assert!(router.wait_for_log("reason: left_waiting"));
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    assert_eq!(
        router
            .connect_client()
            .extended_query(&[parse_message("", READ_TEXT, &[]), execute_read("", 1)])
            .tags,
        "12DCZ"
    );
}

/// Guards against a cancel request that leaves the open request waiting, gives it more than one response, or lets the
/// later commands of its segment succeed. A cancel request with a wrong key, or without an open request, has no effect.
#[test]
fn cancel_request_fails_the_open_request_and_skips_the_rest_of_its_segment() {
    let (endpoint, _discovery, router) =
        start_with_endpoint(ScriptedResponse::NoResponse, EXTENDED_ON);
    let mut client = router.connect_client();
    let cancel = |process, secret| {
        let mut cancel_client = Client::connect(router.address);
        let mut out = Vec::new();
        frontend::put_cancel_request(&mut out, process, secret);
        cancel_client.send(&out);
        assert!(cancel_client.read_message().is_none());
    };
    let (process, secret) = client.cancel_key;
    assert!(process != 0);
    cancel(process, secret);
    client.send(
        &[
            parse_message("r", READ_TEXT, &[]),
            execute_read("r", 1),
            execute_read("r", 2),
            sync_message(),
        ]
        .concat(),
    );
    assert!(wait_for_queries(&endpoint, 2));
    cancel(process, secret ^ 1);
    cancel(process, secret);
    let response = client.read_response().unwrap();
    assert_eq!((&*response.tags, &*response.sqlstate), ("12EZ", "57014"));
    assert!(
        router.wait_for_counter("client_left=2")
            && router.wait_for_counter("cancel_requests_matched=2")
    );
    client.send(&query_message(&common::select_query(9, 20_000)));
    assert!(wait_for_queries(&endpoint, 3));
    cancel(process, secret);
    let response = client.read_response().unwrap();
    assert_eq!((&*response.tags, &*response.sqlstate), ("EZ", "57014"));
    endpoint.response.with(|r| *r = ScriptedResponse::Serve);
    assert_eq!(client.extended_query(&[execute_read("r", 3)]).tags, "2DCZ");
}

/// Guards against statement texts that are stored once per client, so that many clients with the same texts exceed the
/// limit; and against a client with too many texts that is no longer served after the error, or keeps the router from
/// serving other clients.
#[test]
fn statement_texts_are_shared_between_clients_and_bounded() {
    let extensions = "extended: {mode: on, limits: {statements: 100000, all_statements: 65536, text_bytes: 1000000}}";
    let extensions = extensions.replace("statements: 100000", "statements: 60000");
    let (_endpoint, _discovery, router) = start_with_endpoint(ScriptedResponse::Serve, &extensions);
    let text = |n: usize| READ_TEXT.replace("id=$2", &format!("id=$2,v={n}"));
    let parse_messages: Vec<u8> = (0..100)
        .flat_map(|n| parse_message(&format!("s{n}"), &text(n % 50), &[]))
        .collect();
    let prepare = |_| {
        let mut client = router.connect_client();
        assert_eq!(
            client
                .extended_query(std::slice::from_ref(&parse_messages))
                .tags,
            "1".repeat(100) + "Z"
        );
        client
    };
    let mut clients: Vec<Client> = (0..300).map(prepare).collect();
    let mut excessive_client = router.connect_client();
    let (mut accepted_count, mut error_message) = (0, String::new());
    for first in (0..100_000).step_by(1000) {
        let parse_messages: Vec<u8> = (first..first + 1000)
            .flat_map(|n| parse_message(&format!("g{n}"), &text(n + 50), &[]))
            .collect();
        let response = excessive_client.extended_query(&[parse_messages]);
        accepted_count += response.tags.matches('1').count();
        error_message = response.message;
        if !response.sqlstate.is_empty() {
            assert_eq!(response.sqlstate, "54000");
            break;
        }
    }
    assert!(
        accepted_count > 500 && accepted_count < 5000,
        "{accepted_count}"
    );
    assert!(
        error_message.contains("bytes of statement texts"),
        "{error_message}"
    );
    for client in [&mut excessive_client, &mut clients[299]] {
        let name = if client
            .extended_query(&[execute_read("s7", 1)])
            .sqlstate
            .is_empty()
        {
            "s7"
        } else {
            "g7"
        };
        assert_eq!(client.extended_query(&[execute_read(name, 2)]).tags, "2DCZ");
    }
    drop(excessive_client);
    // The disconnected client's texts no longer count towards the limit.
    let mut next_client = router.connect_client();
    let mut response = Response::default();
    for _ in 0..1000 {
        response = next_client.extended_query(&[parse_message("n", &text(99_999), &[])]);
        if response.sqlstate.is_empty() {
            break;
        }
    }
    assert_eq!(response.tags, "1Z");
}

/// Guards against a message with a wrong length or count that is accepted, stops the router, or closes connections of
/// other clients; its own connection must be closed with the reason in the log.
#[rstest]
#[case(&[b'B', 3, 0x93, 0x87, 0], "oversized")]
#[case(&[b'P', 0, 2, 0x80, 1], "oversized")]
#[case(&[b'E', 0, 0, 0x40, 1], "oversized")]
#[case(b"B\0\0\0\x0c\0\0\xff\xff\0\0\0\0", "malformed")]
#[case(b"B\0\0\0\x10\0\0\0\0\0\x01\xff\xff\xff\xfe\0\0", "malformed")]
#[case(b"E\0\0\0\x05x", "malformed")]
#[case(b"d\0\0\0\x04", "malformed")]
fn malformed_or_oversized_message_closes_only_its_connection(
    #[case] bytes: &[u8],
    #[case] reason: &str,
) {
    let (endpoint, _discovery, router) = start_with_endpoint(ScriptedResponse::Serve, EXTENDED_ON);
    let mut client = router.connect_client();
    // The request before the invalid message gets its response first.
    client.send(
        &[
            &parse_message("", READ_TEXT, &[])[..],
            &execute_read("", 1),
            bytes,
        ]
        .concat(),
    );
    let response = client.read_response().unwrap();
    assert_eq!((&*response.tags, &*response.sqlstate), ("12DCE", "08P01"));
    assert!(router.wait_for_log(&format!("reason: {reason}")));
    assert_eq!(query_count(&endpoint), 1);
    assert_eq!(
        router
            .connect_client()
            .extended_query(&[parse_message("", READ_TEXT, &[]), execute_read("", 2)])
            .tags,
        "12DCZ"
    );
}

/// Guards against a router that stops, or keeps more and more memory, when clients send valid commands with randomly
/// changed bytes (from a fixed seed).
#[test]
fn router_keeps_serving_and_its_memory_stays_bounded_after_corrupted_messages() {
    let (_endpoint, _discovery, router) = start_with_endpoint(ScriptedResponse::Serve, EXTENDED_ON);
    let resident_kib = |router: &RouterProcess| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", router.pid())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    let mut random_state = 7u64;
    let mut random = || {
        random_state = random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random_state >> 33) as usize
    };
    let mut send_corrupted = |rounds| {
        for _ in 0..rounds {
            let mut client = router.connect_client();
            let mut bytes = [
                parse_message("s", READ_TEXT, &[]),
                execute_read("s", 1),
                sync_message(),
            ]
            .concat();
            for _ in 0..1 + random() % 4 {
                let position = random() % bytes.len();
                bytes[position] = random() as u8;
            }
            client.send(&bytes);
            client.shutdown_write();
            while client.read_message().is_some() {}
        }
    };
    send_corrupted(200);
    let kib_before = resident_kib(&router);
    send_corrupted(400);
    let kib_after = resident_kib(&router);
    assert!(
        kib_after < kib_before + 2048,
        "{kib_before} KiB before, {kib_after} KiB after"
    );
    assert_eq!(
        router
            .connect_client()
            .extended_query(&[parse_message("", READ_TEXT, &[]), execute_read("", 2)])
            .tags,
        "12DCZ"
    );
}

/// Guards against the eviction of an idle client with prepared statements, which it would lose, while there are idle
/// clients without any.
#[test]
fn clients_without_prepared_statements_are_evicted_first() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 64, base_settings(), Some(EXTENDED_ON));
    let mut client_with_statement = router.connect_client();
    assert_eq!(
        client_with_statement
            .extended_query(&[parse_message("s", READ_TEXT, &[]), execute_read("s", 1)])
            .tags,
        "12DCZ"
    );
    let evictions =
        |l: &mut Vec<String>| l.iter().filter(|l| l.contains("reason: evicted")).count();
    let mut open_clients = Vec::new();
    for id in 2..60 {
        let mut client = router.connect_client();
        assert_eq!(
            client
                .simple_query(&common::select_query(id, 5000))
                .sqlstate,
            ""
        );
        open_clients.push(client);
    }
    assert!(router.log.with(evictions) > 10);
    assert_eq!(
        client_with_statement
            .extended_query(&[execute_read("s", 99)])
            .tags,
        "2DCZ"
    );
}

/// Guards against unsafe literals in the mode `translate`, which replaces parameters by literals for endpoints that
/// support only simple queries: a value that can't be quoted safely must be rejected before anything is sent. Guards
/// also against a query without its remaining timeout (`d`, in ms), or with one above the class's deadline, 30,000 ms.
#[test]
fn parameters_become_quoted_literals_in_translate_mode() {
    let endpoint = FakeEndpoint::start_simple_query_only("master");
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(
        &discovery,
        &list,
        1024,
        base_settings(),
        Some("extended: {mode: translate}"),
    );
    let mut client = router.connect_client();
    let text = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data /* id=$3,c=book,cluster=2,k=$4 */";
    assert_eq!(
        client.extended_query(&[parse_message("w", text, &[])]).tags,
        "1Z"
    );
    let id = "00000000000000a1";
    let response = client.extended_query(&[bind_and_execute(
        "w",
        &[Some("it's"), Some("\\x9f03"), Some(id), Some("k-1")],
    )]);
    assert_eq!(
        (&*response.tags, &*response.value),
        ("2DCZ", id),
        "{response:?}"
    );
    let sent_query = endpoint.activity.with(|s| s.queries[0].clone());
    let remaining_ms = sent_query
        .split(",d=")
        .nth(1)
        .unwrap()
        .trim_end_matches(" */");
    let statement = "INSERT INTO facts (code, data) VALUES ('it''s', '\\x9f03') RETURNING data";
    assert_eq!(
        sent_query,
        format!("{statement} /* id={id},c=book,cluster=2,k=k-1,d={remaining_ms} */")
    );
    assert!(remaining_ms.parse::<u64>().unwrap() <= 30_000);
    for invalid_key in ["k*/", "k,d=1", ""] {
        let response = client.extended_query(&[bind_and_execute(
            "w",
            &[Some("s"), Some("v"), None, Some(invalid_key)],
        )]);
        assert!(
            ["0A000", "22023"].contains(&&*response.sqlstate),
            "{response:?}"
        );
    }
    assert_eq!(
        client
            .extended_query(&[bind_and_execute(
                "w",
                &[Some("a\\b"), Some("v"), None, Some("k")]
            )])
            .sqlstate,
        "0A000"
    );
    assert_eq!(query_count(&endpoint), 1);
}

/// Guards against responses that a real driver rejects. With tokio-postgres, the test prepares, pipelines, cancels and
/// discards statements, in one case with an endpoint that supports extended queries, in the other with one that
/// supports only simple queries.
#[rstest]
fn tokio_postgres_driver_is_served_in_each_mode(#[values("on", "translate")] mode: &str) {
    let replica_set = FakeReplicaSet::new("a", Duration::ZERO, Duration::from_secs(2));
    let any_port = ([127, 0, 0, 1], 0).into();
    let endpoint = FakeEndpoint::start_in_replica_set(
        &replica_set,
        "a",
        any_port,
        Duration::ZERO,
        mode == "translate",
    );
    let list = vec![endpoint.list_entry(2, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let extensions = format!("extended: {{mode: {mode}}}");
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(&extensions));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let use_driver = async {
        let mut config = tokio_postgres::Config::new();
        config
            .host("127.0.0.1")
            .port(router.address.port())
            .user("portal")
            .dbname("crm");
        let (client, connection) = config.connect(tokio_postgres::NoTls).await.unwrap();
        let task = tokio::spawn(connection);
        let write = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data \
                     /* c=book,d=$3,cluster=$4,k=$5 */";
        let write = client.prepare(write).await.unwrap();
        let read = "SELECT data FROM facts WHERE code = $1 /* c=board,d=$2,cluster=2 */";
        let read = client.prepare(read).await.unwrap();
        assert_eq!(
            (write.params().len(), read.columns()[0].name()),
            (5, "data")
        );
        let data = &b"lane \x9f\x03"[..];
        let row = client
            .query_one(&write, &[&"pier-7", &data, &5000i32, &2i32, &"k1"])
            .await
            .unwrap();
        assert_eq!(row.get::<_, &[u8]>(0), data);
        // 12 concurrent reads on one connection.
        let reads = (0..12).map(|_| client.query_one(&read, &[&"pier-7", &5000i32]));
        for row in join_all(reads).await {
            assert_eq!(row.unwrap().get::<_, &[u8]>(0), data);
        }
        // With a null for `d`, the timeout is the class's deadline; a null for the key is an error. A value of another
        // type is rejected by the driver itself.
        let row = client
            .query_one(&read, &[&"pier-7", &None::<i32>])
            .await
            .unwrap();
        assert_eq!(row.get::<_, &[u8]>(0), data);
        let sqlstate = |e: tokio_postgres::Error| e.code().map(|c| c.code().to_owned());
        let result = client
            .query_one(&write, &[&"pier-7", &data, &5000i32, &2i32, &None::<&str>])
            .await;
        assert_eq!(result.err().and_then(sqlstate).as_deref(), Some("22023"));
        drop(read);
        endpoint
            .response
            .with(|r| *r = ScriptedResponse::NoResponse);
        let token = client.cancel_token();
        let values: [&(dyn tokio_postgres::types::ToSql + Sync); 5] =
            [&"pier-8", &data, &20_000i32, &2i32, &"k2"];
        let open_query = client.query_one(&write, &values);
        let cancel = async {
            while query_count(&endpoint) < 15 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            token.cancel_query(tokio_postgres::NoTls).await.unwrap();
        };
        let (result, ()) = tokio::join!(open_query, cancel);
        assert_eq!(result.err().and_then(sqlstate).as_deref(), Some("57014"));
        endpoint.response.with(|r| *r = ScriptedResponse::Serve);
        client.simple_query("DISCARD ALL").await.unwrap();
        drop(client);
        task.await.unwrap().unwrap();
    };
    runtime.block_on(async {
        tokio::time::timeout(WAIT_TIMEOUT, use_driver)
            .await
            .unwrap()
    });
    let parses = replica_set.with_execution_log(|log| log.total().parses);
    assert!(
        if mode == "on" {
            parses >= 2
        } else {
            parses == 0
        },
        "{parses}"
    );
    assert!(replica_set.with_execution_log(|l| l.keys_executed_more_than_once().is_empty()));
}

/// Guards against extended queries, the SET command or cancel keys that are available without the extensions that
/// enable them.
#[test]
fn extended_queries_are_rejected_without_extensions() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let mut client = router.connect_client();
    assert_eq!(client.cancel_key, (0, 0));
    let response = client.extended_query(&[parse_message("", READ_TEXT, &[]), execute_read("", 1)]);
    assert_eq!((&*response.tags, &*response.sqlstate), ("EZ", "0A000"));
    assert_eq!(client.simple_query("SET x = 1").sqlstate, "42601");
}

/// Guards against an invalid file for which the `check` command exits with 0, or reports the error without its place.
#[rstest]
#[case("edge.yaml", "extended:\n  mode: on\n", 0, "no errors found")]
#[case(
    "edge.yaml",
    "extended:\n  mode: onn\n",
    2,
    "edge.yaml: extended.mode: error: line 2 column 9"
)]
#[case("config.json", "{\n\"name\": 3", 2, "line 2")]
#[case(
    "config.json",
    "{\"settings\": {}}",
    2,
    "config.json: settings: familyInfo is missing"
)]
#[case("none.yaml", "", 2, "none.yaml")]
fn check_command_reports_the_place_of_an_error(
    #[case] file_name: &str,
    #[case] text: &str,
    #[case] exit_code: i32,
    #[case] expected_output: &str,
) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(file_name);
    if !text.is_empty() {
        std::fs::write(&path, text).unwrap();
    }
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
    let output = command.arg("check").arg(&path).output().unwrap();
    let output_text =
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert_eq!(output.status.code(), Some(exit_code), "{output_text}");
    assert!(output_text.contains(expected_output), "{output_text}");
}
