//! Extended queries against the real program, with clients and endpoints of the test's own.

mod common;

use common::*;
use futures_util::future::join_all;
use reelrill_pg_protocol::frontend::{self, ObjectKind};
use reelrill_pg_protocol::{Format, oid};
use reelrill_test_support::client::{bind_and_execute, parse_message, query_message, sync_message};
use rstest::rstest;
use std::time::Duration;

const ON: &str = "extended: {mode: on}";
const READ: &str = "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";
const WRITE: &str = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data /* c=book,d=$3,cluster=2,k=$4 */";

fn describe(object: ObjectKind, name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_describe(&mut out, object, name);
    out
}

fn close(object: ObjectKind, name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_close(&mut out, object, name);
    out
}

fn bind(portal: &str, statement: &str, values: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    let values = values.iter().map(|v| (Format::Text, Some(v.as_bytes())));
    frontend::put_bind(&mut out, portal, statement, values, Format::Text);
    out
}

fn execute(portal: &str, rows: u32) -> Vec<u8> {
    let mut out = Vec::new();
    frontend::put_execute(&mut out, portal, rows);
    out
}

/// Bind and Execute of a read by its id.
fn read_of(statement: &str, id: u64) -> Vec<u8> {
    bind_and_execute(
        statement,
        &[Some("k"), Some(&format!("{id:016x}")), Some("5000")],
    )
}

fn write_of(statement: &str, key: &str, wait_ms: &str) -> Vec<u8> {
    bind_and_execute(statement, &[Some(key), Some("v"), Some(wait_ms), Some(key)])
}

/// A router that knows one endpoint, which answers with the id of each request.
fn one(act: ScriptedResponse, edge: &str) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let instance = FakeEndpoint::start("master", act);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(edge));
    (instance, discovery, router)
}

/// A router before a replica set of endpoints that are named in order, the first of which leads.
fn replica_set_of(
    names: &[&str],
    edge: &str,
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
    let list: Vec<_> = endpoints.iter().map(|m| m.list_entry(2, "ready")).collect();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(edge));
    (replica_set, endpoints, discovery, router)
}

fn asked(instance: &FakeEndpoint) -> usize {
    instance.activity.with(|s| s.queries.len())
}

fn wait_asked(instance: &FakeEndpoint, n: usize) -> bool {
    instance
        .activity
        .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() >= n).then_some(()))
        .is_some()
}

/// Guards the whole path: prepared once on the endpoint, `d` rewritten to what is left, and each run its own value.
#[test]
fn a_statement_is_prepared_once_and_run_often() {
    let (replica_set, endpoints, _discovery, router) = replica_set_of(&["a"], ON);
    let mut client = router.connect_client();
    let answer = client.extended_query(&[
        parse_message("s", READ, &[]),
        describe(ObjectKind::Statement, "s"),
    ]);
    assert_eq!(answer.tags, "1tTZ");
    assert_eq!(
        client
            .extended_query(&[parse_message("w", WRITE, &[]), write_of("w", "k", "5000")])
            .tags,
        "12DCZ"
    );
    for id in 1..=20 {
        let answer = client.extended_query(&[read_of("s", id)]);
        assert_eq!((&*answer.tags, &*answer.value), ("2DCZ", "v"));
    }
    let counts = replica_set.with_execution_log(|l| l.total());
    assert_eq!((counts.parses, counts.executes, counts.queries), (2, 21, 0));
    let sent = endpoints[0].activity.with(|s| s.queries[1].clone());
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
}

/// Guards each error's code, what is skipped behind it, and the connection, which goes on after its Sync.
#[rstest]
#[case(&[bind_and_execute("x", &[])], "EZ", "26000")]
#[case(&[execute("x", 0)], "EZ", "34000")]
#[case(&[describe(ObjectKind::Portal, "x")], "EZ", "34000")]
#[case(&[describe(ObjectKind::Statement, "x")], "EZ", "26000")]
#[case(&[parse_message("a", READ, &[]), parse_message("a", READ, &[])], "1EZ", "42P05")]
#[case(&[parse_message("", READ, &[]), bind("p", "", &["k", "00000000000000a1", "9"]), bind("p", "", &["k", "", "9"])], "12EZ", "42P03")]
#[case(&[parse_message("", READ, &[]), bind_and_execute("", &[Some("k")])], "1EZ", "08P01")]
#[case(&[parse_message("", READ, &[oid::BYTEA])], "EZ", "42804")]
#[case(&[parse_message("", READ, &[]), bind_and_execute("", &[Some("k"), Some("zz"), Some("9")])], "1EZ", "22023")]
#[case(&[parse_message("", READ, &[]), bind_and_execute("", &[None, None, None])], "1EZ", "22004")]
#[case(&[parse_message("", WRITE, &[]), bind_and_execute("", &[Some("k"), Some("v"), None, None])], "1EZ", "22023")]
#[case(&[parse_message("", "BEGIN", &[])], "EZ", "0A000")]
#[case(&[parse_message("", "COPY facts FROM STDIN", &[])], "EZ", "0A000")]
#[case(&[parse_message("", "DECLARE c CURSOR FOR SELECT 1", &[])], "EZ", "0A000")]
#[case(&[parse_message("", "SELECT 1", &[])], "EZ", "42601")]
fn errors_have_their_code_and_end_their_segment(
    #[case] commands: &[Vec<u8>],
    #[case] tags: &str,
    #[case] code: &str,
) {
    let (instance, _discovery, router) = one(ScriptedResponse::Serve, ON);
    let mut client = router.connect_client();
    let skipped = [parse_message("later", READ, &[]), read_of("later", 1)];
    let answer = client.extended_query(&[commands, &skipped].concat());
    assert_eq!(
        (&*answer.tags, &*answer.sqlstate),
        (tags, code),
        "{answer:?}"
    );
    assert_eq!(asked(&instance), 0);
    // What was skipped was never prepared, and what follows is served.
    let next = client.extended_query(&[parse_message("later", READ, &[]), read_of("later", 2)]);
    assert_eq!(
        (&*next.tags, &*next.value),
        ("12DCZ", "0000000000000002"),
        "{next:?}"
    );
}

/// Guards what a client may say that concerns nobody else.
#[test]
fn names_can_be_forgotten_and_settings_are_taken() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve, ON);
    let mut client = router.connect_client();
    assert_eq!(
        client
            .extended_query(&[parse_message("a", READ, &[]), parse_message("b", READ, &[])])
            .tags,
        "11Z"
    );
    assert_eq!(client.simple_query("DEALLOCATE a").tags, "CZ");
    assert_eq!(client.extended_query(&[read_of("a", 1)]).sqlstate, "26000");
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
                close(ObjectKind::Statement, "b"),
                close(ObjectKind::Portal, "none")
            ])
            .tags,
        "33Z"
    );
    assert_eq!(client.extended_query(&[read_of("b", 2)]).sqlstate, "26000");
    assert_eq!(
        client.extended_query(&[parse_message("a", READ, &[])]).tags,
        "1Z"
    );
    assert_eq!(client.simple_query("DISCARD ALL").tags, "CZ");
    assert_eq!(client.extended_query(&[read_of("a", 3)]).sqlstate, "26000");
    assert_eq!(client.simple_query("COMMIT").sqlstate, "0A000");
    assert_eq!(
        client
            .extended_query(&[parse_message("", " ; ", &[]), bind_and_execute("", &[])])
            .tags,
        "12IZ"
    );
}

/// Guards row limits: the one row, then that there are no more; and Flush, which brings answers without a Sync.
#[test]
fn a_row_limit_suspends_its_portal() {
    let (instance, _discovery, router) = one(ScriptedResponse::Serve, ON);
    let mut client = router.connect_client();
    let mut flush = Vec::new();
    frontend::put_flush(&mut flush);
    let portal = bind("p", "", &["k", "00000000000000a1", "5000"]);
    client.send(&[parse_message("", READ, &[]), portal, execute("p", 1), flush].concat());
    let tags: Vec<u8> = (0..4)
        .map_while(|_| client.read_message())
        .map(|m| m.0)
        .collect();
    assert_eq!(tags, b"12Ds");
    assert_eq!(client.extended_query(&[execute("p", 0)]).tags, "CZ");
    assert_eq!(client.extended_query(&[execute("p", 0)]).sqlstate, "34000");
    assert_eq!(asked(&instance), 1);
}

/// Hard case 1: a booking is hit at each stage of its flight. It runs at most once, the client gets one answer, and
/// a further try under the same key ends well.
#[rstest]
fn a_booking_that_is_hit_runs_once_at_most(
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
    let (replica_set, endpoints, _discovery, router) = replica_set_of(&["a", "b"], ON);
    let mut client = router.connect_client();
    // The router knows who leads before the fault comes.
    assert_eq!(
        client
            .extended_query(&[
                parse_message("w", WRITE, &[]),
                write_of("w", "warm", "5000")
            ])
            .sqlstate,
        ""
    );
    if stage == RequestStage::Parse {
        endpoints[0].forget_prepared_statements();
    }
    endpoints[0].faults.with(|f| f.push_back((stage, fault)));
    client.send(&[write_of("w", "k1", "1500"), sync_message()].concat());
    if fault == Fault::Kill {
        assert!(endpoints[0].wait_until_killed());
        replica_set.promote("b");
        endpoints[0].restart();
    }
    let answer = client.read_response().unwrap();
    let is_served = answer.tags == "2DCZ" && answer.value == "v";
    assert!(
        is_served || (answer.tags == "2EZ" && ["53300", "58000"].contains(&&*answer.sqlstate)),
        "{answer:?}"
    );
    assert!(
        endpoints[0].faults.with(|f| f.is_empty()),
        "the fault never came"
    );
    // An effect has happened if it was answered, and never more than one.
    let effects = |key: &str| {
        replica_set.with_execution_log(|l| l.executed_writes.get(key).map_or(0, Vec::len))
    };
    assert!(effects("k1") <= 1 && (!is_served || effects("k1") == 1));
    for _ in 0..50 {
        let again = client.extended_query(&[write_of("w", "k1", "1500")]);
        if again.sqlstate.is_empty() {
            assert_eq!(again.value, "v");
            break;
        }
        assert!(["53300", "58000"].contains(&&*again.sqlstate), "{again:?}");
    }
    assert_eq!(effects("k1"), 1);
    assert!(replica_set.with_execution_log(|l| l.keys_executed_more_than_once().is_empty()));
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Loss {
    Dies,
    Drains,
    Forgets,
}

/// Hard case 2: prepared through one endpoint, run on another, or on the same after it has forgotten.
#[rstest]
fn a_statement_follows_its_client(#[values(Loss::Dies, Loss::Drains, Loss::Forgets)] loss: Loss) {
    let (replica_set, endpoints, discovery, router) = replica_set_of(&["a", "b"], ON);
    let mut client = router.connect_client();
    assert_eq!(
        client
            .extended_query(&[parse_message("w", WRITE, &[]), write_of("w", "k0", "5000")])
            .sqlstate,
        ""
    );
    match loss {
        Loss::Dies => endpoints[0].kill(),
        Loss::Drains => {
            discovery.publish(vec![
                endpoints[0].list_entry(2, "draining"),
                endpoints[1].list_entry(2, "ready"),
            ]);
            let told = |c: &mut Vec<String>| c.iter().any(|p| p.contains("since=2")).then_some(());
            assert!(
                discovery
                    .requested_paths
                    .wait_for(WAIT_TIMEOUT, told)
                    .is_some()
            );
        }
        Loss::Forgets => endpoints[0].forget_prepared_statements(),
    }
    if loss != Loss::Forgets {
        replica_set.promote("b");
    }
    let mut last = Response::default();
    for _ in 0..50 {
        last = client.extended_query(&[write_of("w", "k1", "2000")]);
        if last.sqlstate.is_empty() {
            break;
        }
        assert!(["53300", "58000"].contains(&&*last.sqlstate), "{last:?}");
    }
    assert_eq!((&*last.tags, &*last.value), ("2DCZ", "v"));
    let taker = if loss == Loss::Forgets { "a" } else { "b" };
    assert_eq!(
        replica_set.with_execution_log(|l| l.executed_writes["k1"].clone()),
        [taker]
    );
    assert!(loss != Loss::Forgets || router.wait_for_counter("statements_reprepared=1"));
}

/// Hard case 2, further: with room for one statement on each connection, each run may have to prepare again; what
/// must go is closed first.
#[test]
fn a_statement_that_was_evicted_is_prepared_again() {
    let (replica_set, _endpoints, _discovery, router) =
        replica_set_of(&["a"], "extended: {mode: on, limits: {prepared: 1}}");
    let mut client = router.connect_client();
    let other = READ.replace("c=board", "c=own");
    assert_eq!(
        client
            .extended_query(&[
                parse_message("s", READ, &[]),
                parse_message("t", &other, &[])
            ])
            .tags,
        "11Z"
    );
    for id in 1..=6 {
        let name = if id % 2 == 0 { "s" } else { "t" };
        assert_eq!(client.extended_query(&[read_of(name, id)]).tags, "2DCZ");
    }
    let counts = replica_set.with_execution_log(|l| l.total());
    assert_eq!((counts.parses, counts.closes, counts.executes), (6, 5, 6));
}

/// Hard case 3: what stands behind a part that failed is never sent and gets no answer; nor does it disturb what
/// follows the Sync.
#[rstest]
#[case(READ, &[Some("k"), Some("00000000000000f1"), Some("300")])]
#[case(WRITE, &[Some("k"), Some("v"), Some("300"), Some("kx")])]
fn a_write_behind_a_part_that_failed_is_never_sent(
    #[case] text: &str,
    #[case] values: &[Option<&str>],
) {
    let (replica_set, endpoints, _discovery, router) = replica_set_of(&["a"], ON);
    let mut client = router.connect_client();
    // Nobody is in this replica set, so what is asked of it fails.
    let failing = text.replace("cluster=2", "cluster=9");
    let commands = [
        parse_message("f", &failing, &[]),
        parse_message("w", WRITE, &[]),
        bind_and_execute("f", values),
        write_of("w", "k1", "5000"),
    ];
    let answer = client.extended_query(&commands);
    assert_eq!(answer.tags, "112EZ", "{answer:?}");
    assert_eq!(
        (
            asked(&endpoints[0]),
            replica_set.with_execution_log(|l| l.executed_writes.len())
        ),
        (0, 0)
    );
    assert_eq!(
        client.extended_query(&[write_of("w", "k2", "5000")]).tags,
        "2DCZ"
    );
    assert!(replica_set.with_execution_log(|l| !l.executed_writes.contains_key("k1")));
}

/// Guards the order of a pipeline: reads ahead of a write run at once, the write waits for them, and the answers
/// come in order.
#[test]
fn a_write_waits_for_the_reads_ahead_of_it() {
    let (instance, _discovery, router) = one(ScriptedResponse::NoResponse, ON);
    let mut client = router.connect_client();
    let reads: Vec<Vec<u8>> = (1..=3).map(|id| read_of("r", id)).collect();
    let write = bind_and_execute("w", &[Some("k"), Some("v"), Some("20000"), Some("k1")]);
    let all = [
        vec![
            parse_message("r", READ, &[]),
            parse_message("w", WRITE, &[]),
        ],
        reads,
        vec![write, read_of("r", 4), sync_message()],
    ];
    client.send(&all.concat().concat());
    assert!(wait_asked(&instance, 3));
    // All three are out, and nothing of the write, though the router has read it long since.
    assert!(router.wait_for_counter("requests=3"));
    let early = instance
        .activity
        .with(|s| s.queries.iter().any(|q| q.starts_with("INSERT")));
    assert!(!early && asked(&instance) == 3);
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    let answer = client.read_response().unwrap();
    assert_eq!(answer.tags, "112DC2DC2DC2DC2DCZ");
    let ids: Vec<String> = (1..=3).map(|id| format!("{id:016x}")).collect();
    assert_eq!(
        (&answer.values[..3], &*answer.values[4]),
        (&ids[..], "0000000000000004")
    );
    let order = instance.activity.with(|s| s.queries.clone());
    assert!(
        order[3].starts_with("INSERT") && order[4].starts_with("SELECT"),
        "{order:?}"
    );
}

/// Hard case 4: names change while a run of them is out; the run is what it was when it was bound.
#[test]
fn names_may_change_while_a_run_is_out() {
    let (instance, _discovery, router) = one(ScriptedResponse::NoResponse, ON);
    let mut client = router.connect_client();
    let other = READ.replace("c=board", "c=own");
    let commands = [
        parse_message("s", READ, &[]),
        read_of("s", 1),
        close(ObjectKind::Statement, "s"),
        parse_message("", READ, &[]),
        read_of("", 2),
        parse_message("", &other, &[]),
        read_of("", 3),
        sync_message(),
    ];
    client.send(&commands.concat());
    assert!(wait_asked(&instance, 3));
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    let answer = client.read_response().unwrap();
    assert_eq!(answer.tags, "12DC312DC12DCZ");
    assert_eq!(answer.values, [1, 2, 3].map(|id| format!("{id:016x}")));
    let classes = instance
        .activity
        .with(|s| s.queries.iter().filter(|q| q.contains("c=own")).count());
    assert_eq!(classes, 1);
}

/// Hard case 4, further: a client that leaves in the middle of a pipeline is owed nothing, and leaves nothing.
#[rstest]
fn a_client_that_leaves_a_pipeline_is_noticed(#[values(true, false)] says_goodbye: bool) {
    let (instance, _discovery, router) = one(ScriptedResponse::NoResponse, ON);
    let mut client = router.connect_client();
    let reads: Vec<u8> = (1..=3).flat_map(|id| read_of("r", id)).collect();
    client.send(&[parse_message("r", READ, &[]), reads].concat());
    assert!(wait_asked(&instance, 3));
    if says_goodbye {
        client.send(&[b'X', 0, 0, 0, 4]);
    }
    client.shutdown_write();
    assert!(
        router.wait_for_counter("client_left=3") && router.wait_for_counter("attempts_cancelled=3")
    );
    assert!(router.wait_for_log("reason: left_waiting"));
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert_eq!(
        router
            .connect_client()
            .extended_query(&[parse_message("", READ, &[]), read_of("", 1)])
            .tags,
        "12DCZ"
    );
}

/// Guards CancelRequest: the open request fails at once and once, what is behind it is skipped, and a wrong key or
/// a request that comes too late does nothing.
#[test]
fn a_cancel_request_ends_the_open_request() {
    let (instance, _discovery, router) = one(ScriptedResponse::NoResponse, ON);
    let mut client = router.connect_client();
    let cancel = |process, secret| {
        let mut other = Client::connect(router.address);
        let mut out = Vec::new();
        frontend::put_cancel_request(&mut out, process, secret);
        other.send(&out);
        assert!(other.read_message().is_none());
    };
    let (process, secret) = client.cancel_key;
    assert!(process != 0);
    cancel(process, secret);
    client.send(
        &[
            parse_message("r", READ, &[]),
            read_of("r", 1),
            read_of("r", 2),
            sync_message(),
        ]
        .concat(),
    );
    assert!(wait_asked(&instance, 2));
    cancel(process, secret ^ 1);
    cancel(process, secret);
    let answer = client.read_response().unwrap();
    assert_eq!((&*answer.tags, &*answer.sqlstate), ("12EZ", "57014"));
    assert!(
        router.wait_for_counter("client_left=2")
            && router.wait_for_counter("cancel_requests_matched=2")
    );
    client.send(&query_message(&common::select_query(9, 20_000)));
    assert!(wait_asked(&instance, 3));
    cancel(process, secret);
    let answer = client.read_response().unwrap();
    assert_eq!((&*answer.tags, &*answer.sqlstate), ("EZ", "57014"));
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert_eq!(client.extended_query(&[read_of("r", 3)]).tags, "2DCZ");
}

/// Hard case 5: many clients with many statements share their texts; one client with more texts than the bound
/// gets a clear error and goes on, and so do the others.
#[test]
fn many_statements_are_shared_and_bounded() {
    let edge = "extended: {mode: on, limits: {statements: 100000, all_statements: 65536, text_bytes: 1000000}}";
    let edge = edge.replace("statements: 100000", "statements: 60000");
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve, &edge);
    let text = |n: usize| READ.replace("id=$2", &format!("id=$2,v={n}"));
    let all: Vec<u8> = (0..100)
        .flat_map(|n| parse_message(&format!("s{n}"), &text(n % 50), &[]))
        .collect();
    let prepare = |_| {
        let mut client = router.connect_client();
        assert_eq!(
            client.extended_query(std::slice::from_ref(&all)).tags,
            "1".repeat(100) + "Z"
        );
        client
    };
    let mut clients: Vec<Client> = (0..300).map(prepare).collect();
    let mut greedy = router.connect_client();
    let (mut taken, mut refused) = (0, String::new());
    for from in (0..100_000).step_by(1000) {
        let all: Vec<u8> = (from..from + 1000)
            .flat_map(|n| parse_message(&format!("g{n}"), &text(n + 50), &[]))
            .collect();
        let answer = greedy.extended_query(&[all]);
        taken += answer.tags.matches('1').count();
        refused = answer.message;
        if !answer.sqlstate.is_empty() {
            assert_eq!(answer.sqlstate, "54000");
            break;
        }
    }
    assert!(taken > 500 && taken < 5000, "{taken}");
    assert!(refused.contains("bytes of statement texts"), "{refused}");
    for client in [&mut greedy, &mut clients[299]] {
        let name = if client
            .extended_query(&[read_of("s7", 1)])
            .sqlstate
            .is_empty()
        {
            "s7"
        } else {
            "g7"
        };
        assert_eq!(client.extended_query(&[read_of(name, 2)]).tags, "2DCZ");
    }
    drop(greedy);
    // What it held is free again.
    let mut next = router.connect_client();
    let mut answer = Response::default();
    for _ in 0..1000 {
        answer = next.extended_query(&[parse_message("n", &text(99_999), &[])]);
        if answer.sqlstate.is_empty() {
            break;
        }
    }
    assert_eq!(answer.tags, "1Z");
}

/// Hard case 5, further: lengths and counts that do not fit end their connection with a reason, and nobody else's.
#[rstest]
#[case(&[b'B', 3, 0x93, 0x87, 0], "oversized")]
#[case(&[b'P', 0, 2, 0x80, 1], "oversized")]
#[case(&[b'E', 0, 0, 0x40, 1], "oversized")]
#[case(b"B\0\0\0\x0c\0\0\xff\xff\0\0\0\0", "malformed")]
#[case(b"B\0\0\0\x10\0\0\0\0\0\x01\xff\xff\xff\xfe\0\0", "malformed")]
#[case(b"E\0\0\0\x05x", "malformed")]
#[case(b"d\0\0\0\x04", "malformed")]
fn a_broken_command_ends_its_connection(#[case] bytes: &[u8], #[case] reason: &str) {
    let (instance, _discovery, router) = one(ScriptedResponse::Serve, ON);
    let mut client = router.connect_client();
    // What was asked before it is answered first.
    client.send(&[&parse_message("", READ, &[])[..], &read_of("", 1), bytes].concat());
    let answer = client.read_response().unwrap();
    assert_eq!((&*answer.tags, &*answer.sqlstate), ("12DCE", "08P01"));
    assert!(router.wait_for_log(&format!("reason: {reason}")));
    assert_eq!(asked(&instance), 1);
    assert_eq!(
        router
            .connect_client()
            .extended_query(&[parse_message("", READ, &[]), read_of("", 2)])
            .tags,
        "12DCZ"
    );
}

/// Hard case 5, further: seeded noise behind proper commands neither stops the router nor makes it grow.
#[test]
fn noise_harms_nobody() {
    let (_instance, _discovery, router) = one(ScriptedResponse::Serve, ON);
    let memory = |router: &RouterProcess| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", router.pid())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    let mut state = 7u64;
    let mut random = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize
    };
    let mut send = |rounds| {
        for _ in 0..rounds {
            let mut client = router.connect_client();
            let mut bytes = [
                parse_message("s", READ, &[]),
                read_of("s", 1),
                sync_message(),
            ]
            .concat();
            for _ in 0..1 + random() % 4 {
                let at = random() % bytes.len();
                bytes[at] = random() as u8;
            }
            client.send(&bytes);
            client.shutdown_write();
            while client.read_message().is_some() {}
        }
    };
    send(200);
    let before = memory(&router);
    send(400);
    let after = memory(&router);
    assert!(
        after < before + 2048,
        "{before} KiB before, {after} KiB after"
    );
    assert_eq!(
        router
            .connect_client()
            .extended_query(&[parse_message("", READ, &[]), read_of("", 2)])
            .tags,
        "12DCZ"
    );
}

/// Guards clients that have prepared statements: to make room, those that lose nothing go first.
#[test]
fn clients_with_statements_make_room_last() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 64, base_settings(), Some(ON));
    let mut prepared = router.connect_client();
    assert_eq!(
        prepared
            .extended_query(&[parse_message("s", READ, &[]), read_of("s", 1)])
            .tags,
        "12DCZ"
    );
    let evicted = |l: &mut Vec<String>| l.iter().filter(|l| l.contains("reason: evicted")).count();
    let mut kept = Vec::new();
    for id in 2..60 {
        let mut client = router.connect_client();
        assert_eq!(
            client
                .simple_query(&common::select_query(id, 5000))
                .sqlstate,
            ""
        );
        kept.push(client);
    }
    assert!(router.log.with(evicted) > 10);
    assert_eq!(prepared.extended_query(&[read_of("s", 99)]).tags, "2DCZ");
}

/// Guards `translate`: values become literals, quoted safely, `d` still counts down, and what can't be written
/// safely is refused before anything is sent.
#[test]
fn values_become_literals_where_instances_take_simple_queries() {
    let instance = FakeEndpoint::start_simple_query_only("master");
    let list = vec![list_entry("s-1", instance.address, "ready")];
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
    let answer = client.extended_query(&[bind_and_execute(
        "w",
        &[Some("it's"), Some("\\x9f03"), Some(id), Some("k-1")],
    )]);
    assert_eq!((&*answer.tags, &*answer.value), ("2DCZ", id), "{answer:?}");
    let sent = instance.activity.with(|s| s.queries[0].clone());
    let wait = sent.split(",d=").nth(1).unwrap().trim_end_matches(" */");
    let wanted = "INSERT INTO facts (code, data) VALUES ('it''s', '\\x9f03') RETURNING data";
    assert_eq!(
        sent,
        format!("{wanted} /* id={id},c=book,cluster=2,k=k-1,d={wait} */")
    );
    assert!(wait.parse::<u64>().unwrap() <= 30_000);
    for bad in ["k*/", "k,d=1", ""] {
        let answer = client.extended_query(&[bind_and_execute(
            "w",
            &[Some("s"), Some("v"), None, Some(bad)],
        )]);
        assert!(
            ["0A000", "22023"].contains(&&*answer.sqlstate),
            "{answer:?}"
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
    assert_eq!(asked(&instance), 1);
}

/// Hard case 6: a real driver, against endpoints that take extended queries and against those that do not.
#[rstest]
fn a_driver_is_served(#[values("on", "translate")] mode: &str) {
    let replica_set = FakeReplicaSet::new("a", Duration::ZERO, Duration::from_secs(2));
    let local = ([127, 0, 0, 1], 0).into();
    let instance = FakeEndpoint::start_in_replica_set(
        &replica_set,
        "a",
        local,
        Duration::ZERO,
        mode == "translate",
    );
    let list = vec![instance.list_entry(2, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let edge = format!("extended: {{mode: {mode}}}");
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(&edge));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let drive = async {
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
        let lane = &b"lane \x9f\x03"[..];
        let row = client
            .query_one(&write, &[&"pier-7", &lane, &5000i32, &2i32, &"k1"])
            .await
            .unwrap();
        assert_eq!(row.get::<_, &[u8]>(0), lane);
        // A dozen at once, on one connection.
        let reads = (0..12).map(|_| client.query_one(&read, &[&"pier-7", &5000i32]));
        for row in join_all(reads).await {
            assert_eq!(row.unwrap().get::<_, &[u8]>(0), lane);
        }
        // A null leaves it to the router; a value of another type is the driver's own error.
        let row = client
            .query_one(&read, &[&"pier-7", &None::<i32>])
            .await
            .unwrap();
        assert_eq!(row.get::<_, &[u8]>(0), lane);
        let code = |e: tokio_postgres::Error| e.code().map(|c| c.code().to_owned());
        let wrong = client
            .query_one(&write, &[&"pier-7", &lane, &5000i32, &2i32, &None::<&str>])
            .await;
        assert_eq!(wrong.err().and_then(code).as_deref(), Some("22023"));
        drop(read);
        instance
            .response
            .with(|a| *a = ScriptedResponse::NoResponse);
        let token = client.cancel_token();
        let values: [&(dyn tokio_postgres::types::ToSql + Sync); 5] =
            [&"pier-8", &lane, &20_000i32, &2i32, &"k2"];
        let slow = client.query_one(&write, &values);
        let cancel = async {
            while asked(&instance) < 15 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            token.cancel_query(tokio_postgres::NoTls).await.unwrap();
        };
        let (slow, ()) = tokio::join!(slow, cancel);
        assert_eq!(slow.err().and_then(code).as_deref(), Some("57014"));
        instance.response.with(|a| *a = ScriptedResponse::Serve);
        client.simple_query("DISCARD ALL").await.unwrap();
        drop(client);
        task.await.unwrap().unwrap();
    };
    runtime.block_on(async { tokio::time::timeout(WAIT_TIMEOUT, drive).await.unwrap() });
    let parses = replica_set.with_execution_log(|l| l.total().parses);
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

/// Guards the platform: without settings of its own the router takes no extended queries.
#[test]
fn extended_queries_are_off_by_default() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let mut client = router.connect_client();
    assert_eq!(client.cancel_key, (0, 0));
    let answer = client.extended_query(&[parse_message("", READ, &[]), read_of("", 1)]);
    assert_eq!((&*answer.tags, &*answer.sqlstate), ("EZ", "0A000"));
    assert_eq!(client.simple_query("SET x = 1").sqlstate, "42601");
}

/// Guards the command line: what is wrong with a file is said with its place, and by the exit code.
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
fn a_file_is_checked(
    #[case] name: &str,
    #[case] text: &str,
    #[case] code: i32,
    #[case] said: &str,
) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(name);
    if !text.is_empty() {
        std::fs::write(&path, text).unwrap();
    }
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
    let output = program.arg("check").arg(&path).output().unwrap();
    let all = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(all.contains(said), "{all}");
}
