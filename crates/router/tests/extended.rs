//! Extended queries against the real program, with clients and endpoints of the test's own.

mod common;

use common::*;
use futures_util::future::join_all;
use reelrill_pg_protocol::frontend::{self, ObjectKind};
use reelrill_pg_protocol::{Format, oid};
use reelrill_test_support::client::{parse, query, run, sync};
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
    run(
        statement,
        &[Some("k"), Some(&format!("{id:016x}")), Some("5000")],
    )
}

fn write_of(statement: &str, key: &str, wait_ms: &str) -> Vec<u8> {
    run(statement, &[Some(key), Some("v"), Some(wait_ms), Some(key)])
}

/// A router that knows one endpoint, which answers with the id of each request.
fn one(act: Act, edge: &str) -> (Instance, Discovery, Router) {
    let instance = Instance::start("master", act);
    let list = vec![target("s-1", instance.address, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let router = start_with(&discovery, &list, 1024, settings(), Some(edge));
    (instance, discovery, router)
}

/// A router before a replica set of endpoints that are named in order, the first of which leads.
fn replica_set_of(names: &[&str], edge: &str) -> (Group, Vec<Instance>, Discovery, Router) {
    let replica_set = Group::new(names[0], Duration::ZERO, Duration::from_secs(2));
    let join = |name: &&str| {
        Instance::join(
            &replica_set,
            name,
            ([127, 0, 0, 1], 0).into(),
            Duration::ZERO,
            false,
        )
    };
    let endpoints: Vec<Instance> = names.iter().map(join).collect();
    let list: Vec<_> = endpoints.iter().map(|m| m.target(2, "ready")).collect();
    let discovery = Discovery::start(Some(list.clone()));
    let router = start_with(&discovery, &list, 1024, settings(), Some(edge));
    (replica_set, endpoints, discovery, router)
}

fn asked(instance: &Instance) -> usize {
    instance.seen.change(|s| s.queries.len())
}

fn wait_asked(instance: &Instance, n: usize) -> bool {
    instance
        .seen
        .wait_for(LIMIT, |s| (s.queries.len() >= n).then_some(()))
        .is_some()
}

/// Guards the whole path: prepared once on the endpoint, `d` rewritten to what is left, and each run its own value.
#[test]
fn a_statement_is_prepared_once_and_run_often() {
    let (replica_set, endpoints, _discovery, router) = replica_set_of(&["a"], ON);
    let mut client = router.client();
    let answer = client.extended(&[parse("s", READ, &[]), describe(ObjectKind::Statement, "s")]);
    assert_eq!(answer.tags, "1tTZ");
    assert_eq!(
        client
            .extended(&[parse("w", WRITE, &[]), write_of("w", "k", "5000")])
            .tags,
        "12DCZ"
    );
    for id in 1..=20 {
        let answer = client.extended(&[read_of("s", id)]);
        assert_eq!((&*answer.tags, &*answer.value), ("2DCZ", "v"));
    }
    let counts = replica_set.ledger(|l| l.total());
    assert_eq!((counts.parses, counts.executes, counts.queries), (2, 21, 0));
    let sent = endpoints[0].seen.change(|s| s.queries[1].clone());
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
#[case(&[run("x", &[])], "EZ", "26000")]
#[case(&[execute("x", 0)], "EZ", "34000")]
#[case(&[describe(ObjectKind::Portal, "x")], "EZ", "34000")]
#[case(&[describe(ObjectKind::Statement, "x")], "EZ", "26000")]
#[case(&[parse("a", READ, &[]), parse("a", READ, &[])], "1EZ", "42P05")]
#[case(&[parse("", READ, &[]), bind("p", "", &["k", "00000000000000a1", "9"]), bind("p", "", &["k", "", "9"])], "12EZ", "42P03")]
#[case(&[parse("", READ, &[]), run("", &[Some("k")])], "1EZ", "08P01")]
#[case(&[parse("", READ, &[oid::BYTEA])], "EZ", "42804")]
#[case(&[parse("", READ, &[]), run("", &[Some("k"), Some("zz"), Some("9")])], "1EZ", "22023")]
#[case(&[parse("", READ, &[]), run("", &[None, None, None])], "1EZ", "22004")]
#[case(&[parse("", WRITE, &[]), run("", &[Some("k"), Some("v"), None, None])], "1EZ", "22023")]
#[case(&[parse("", "BEGIN", &[])], "EZ", "0A000")]
#[case(&[parse("", "COPY facts FROM STDIN", &[])], "EZ", "0A000")]
#[case(&[parse("", "DECLARE c CURSOR FOR SELECT 1", &[])], "EZ", "0A000")]
#[case(&[parse("", "SELECT 1", &[])], "EZ", "42601")]
fn errors_have_their_code_and_end_their_segment(
    #[case] commands: &[Vec<u8>],
    #[case] tags: &str,
    #[case] code: &str,
) {
    let (instance, _discovery, router) = one(Act::Serve, ON);
    let mut client = router.client();
    let skipped = [parse("later", READ, &[]), read_of("later", 1)];
    let answer = client.extended(&[commands, &skipped].concat());
    assert_eq!((&*answer.tags, &*answer.code), (tags, code), "{answer:?}");
    assert_eq!(asked(&instance), 0);
    // What was skipped was never prepared, and what follows is served.
    let next = client.extended(&[parse("later", READ, &[]), read_of("later", 2)]);
    assert_eq!(
        (&*next.tags, &*next.value),
        ("12DCZ", "0000000000000002"),
        "{next:?}"
    );
}

/// Guards what a client may say that concerns nobody else.
#[test]
fn names_can_be_forgotten_and_settings_are_taken() {
    let (_instance, _discovery, router) = one(Act::Serve, ON);
    let mut client = router.client();
    assert_eq!(
        client
            .extended(&[parse("a", READ, &[]), parse("b", READ, &[])])
            .tags,
        "11Z"
    );
    assert_eq!(client.ask("DEALLOCATE a").tags, "CZ");
    assert_eq!(client.extended(&[read_of("a", 1)]).code, "26000");
    assert_eq!(
        client
            .extended(&[parse("", "SET x = 1", &[]), run("", &[])])
            .tags,
        "12CZ"
    );
    assert_eq!(client.ask("RESET ALL").tags, "CZ");
    assert_eq!(
        client
            .extended(&[
                close(ObjectKind::Statement, "b"),
                close(ObjectKind::Portal, "none")
            ])
            .tags,
        "33Z"
    );
    assert_eq!(client.extended(&[read_of("b", 2)]).code, "26000");
    assert_eq!(client.extended(&[parse("a", READ, &[])]).tags, "1Z");
    assert_eq!(client.ask("DISCARD ALL").tags, "CZ");
    assert_eq!(client.extended(&[read_of("a", 3)]).code, "26000");
    assert_eq!(client.ask("COMMIT").code, "0A000");
    assert_eq!(
        client.extended(&[parse("", " ; ", &[]), run("", &[])]).tags,
        "12IZ"
    );
}

/// Guards row limits: the one row, then that there are no more; and Flush, which brings answers without a Sync.
#[test]
fn a_row_limit_suspends_its_portal() {
    let (instance, _discovery, router) = one(Act::Serve, ON);
    let mut client = router.client();
    let mut flush = Vec::new();
    frontend::put_flush(&mut flush);
    let portal = bind("p", "", &["k", "00000000000000a1", "5000"]);
    client.send(&[parse("", READ, &[]), portal, execute("p", 1), flush].concat());
    let tags: Vec<u8> = (0..4)
        .map_while(|_| client.message())
        .map(|m| m.0)
        .collect();
    assert_eq!(tags, b"12Ds");
    assert_eq!(client.extended(&[execute("p", 0)]).tags, "CZ");
    assert_eq!(client.extended(&[execute("p", 0)]).code, "34000");
    assert_eq!(asked(&instance), 1);
}

/// Hard case 1: a booking is hit at each stage of its flight. It runs at most once, the client gets one answer, and
/// a further try under the same key ends well.
#[rstest]
fn a_booking_that_is_hit_runs_once_at_most(
    #[values(
        Stage::Parse,
        Stage::Bind,
        Stage::HalfExecute,
        Stage::Executed,
        Stage::Unanswered
    )]
    stage: Stage,
    #[values(Fault::Kill, Fault::Reset, Fault::Silence, Fault::Spoil)] fault: Fault,
) {
    let (replica_set, endpoints, _discovery, router) = replica_set_of(&["a", "b"], ON);
    let mut client = router.client();
    // The router knows who leads before the fault comes.
    assert_eq!(
        client
            .extended(&[parse("w", WRITE, &[]), write_of("w", "warm", "5000")])
            .code,
        ""
    );
    if stage == Stage::Parse {
        endpoints[0].forget();
    }
    endpoints[0].faults.change(|f| f.push_back((stage, fault)));
    client.send(&[write_of("w", "k1", "1500"), sync()].concat());
    if fault == Fault::Kill {
        assert!(endpoints[0].died());
        replica_set.promote("b");
        endpoints[0].revive();
    }
    let answer = client.answer().unwrap();
    let is_served = answer.tags == "2DCZ" && answer.value == "v";
    assert!(
        is_served || (answer.tags == "2EZ" && ["53300", "58000"].contains(&&*answer.code)),
        "{answer:?}"
    );
    assert!(
        endpoints[0].faults.change(|f| f.is_empty()),
        "the fault never came"
    );
    // An effect has happened if it was answered, and never more than one.
    let effects = |key: &str| replica_set.ledger(|l| l.bookings.get(key).map_or(0, Vec::len));
    assert!(effects("k1") <= 1 && (!is_served || effects("k1") == 1));
    for _ in 0..50 {
        let again = client.extended(&[write_of("w", "k1", "1500")]);
        if again.code.is_empty() {
            assert_eq!(again.value, "v");
            break;
        }
        assert!(["53300", "58000"].contains(&&*again.code), "{again:?}");
    }
    assert_eq!(effects("k1"), 1);
    assert!(replica_set.ledger(|l| l.run_twice().is_empty()));
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
    let mut client = router.client();
    assert_eq!(
        client
            .extended(&[parse("w", WRITE, &[]), write_of("w", "k0", "5000")])
            .code,
        ""
    );
    match loss {
        Loss::Dies => endpoints[0].kill(),
        Loss::Drains => {
            discovery.publish(vec![
                endpoints[0].target(2, "draining"),
                endpoints[1].target(2, "ready"),
            ]);
            let told = |c: &mut Vec<String>| c.iter().any(|p| p.contains("since=2")).then_some(());
            assert!(discovery.calls.wait_for(LIMIT, told).is_some());
        }
        Loss::Forgets => endpoints[0].forget(),
    }
    if loss != Loss::Forgets {
        replica_set.promote("b");
    }
    let mut last = Answer::default();
    for _ in 0..50 {
        last = client.extended(&[write_of("w", "k1", "2000")]);
        if last.code.is_empty() {
            break;
        }
        assert!(["53300", "58000"].contains(&&*last.code), "{last:?}");
    }
    assert_eq!((&*last.tags, &*last.value), ("2DCZ", "v"));
    let taker = if loss == Loss::Forgets { "a" } else { "b" };
    assert_eq!(replica_set.ledger(|l| l.bookings["k1"].clone()), [taker]);
    assert!(loss != Loss::Forgets || router.counted("statements_reprepared=1"));
}

/// Hard case 2, further: with room for one statement on each connection, each run may have to prepare again; what
/// must go is closed first.
#[test]
fn a_statement_that_was_evicted_is_prepared_again() {
    let (replica_set, _endpoints, _discovery, router) =
        replica_set_of(&["a"], "extended: {mode: on, limits: {prepared: 1}}");
    let mut client = router.client();
    let other = READ.replace("c=board", "c=own");
    assert_eq!(
        client
            .extended(&[parse("s", READ, &[]), parse("t", &other, &[])])
            .tags,
        "11Z"
    );
    for id in 1..=6 {
        let name = if id % 2 == 0 { "s" } else { "t" };
        assert_eq!(client.extended(&[read_of(name, id)]).tags, "2DCZ");
    }
    let counts = replica_set.ledger(|l| l.total());
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
    let mut client = router.client();
    // Nobody is in this replica set, so what is asked of it fails.
    let failing = text.replace("cluster=2", "cluster=9");
    let commands = [
        parse("f", &failing, &[]),
        parse("w", WRITE, &[]),
        run("f", values),
        write_of("w", "k1", "5000"),
    ];
    let answer = client.extended(&commands);
    assert_eq!(answer.tags, "112EZ", "{answer:?}");
    assert_eq!(
        (
            asked(&endpoints[0]),
            replica_set.ledger(|l| l.bookings.len())
        ),
        (0, 0)
    );
    assert_eq!(client.extended(&[write_of("w", "k2", "5000")]).tags, "2DCZ");
    assert!(replica_set.ledger(|l| !l.bookings.contains_key("k1")));
}

/// Guards the order of a pipeline: reads ahead of a write run at once, the write waits for them, and the answers
/// come in order.
#[test]
fn a_write_waits_for_the_reads_ahead_of_it() {
    let (instance, _discovery, router) = one(Act::Silence, ON);
    let mut client = router.client();
    let reads: Vec<Vec<u8>> = (1..=3).map(|id| read_of("r", id)).collect();
    let write = run("w", &[Some("k"), Some("v"), Some("20000"), Some("k1")]);
    let all = [
        vec![parse("r", READ, &[]), parse("w", WRITE, &[])],
        reads,
        vec![write, read_of("r", 4), sync()],
    ];
    client.send(&all.concat().concat());
    assert!(wait_asked(&instance, 3));
    // All three are out, and nothing of the write, though the router has read it long since.
    assert!(router.counted("requests=3"));
    let early = instance
        .seen
        .change(|s| s.queries.iter().any(|q| q.starts_with("INSERT")));
    assert!(!early && asked(&instance) == 3);
    instance.act.change(|a| *a = Act::Serve);
    let answer = client.answer().unwrap();
    assert_eq!(answer.tags, "112DC2DC2DC2DC2DCZ");
    let ids: Vec<String> = (1..=3).map(|id| format!("{id:016x}")).collect();
    assert_eq!(
        (&answer.values[..3], &*answer.values[4]),
        (&ids[..], "0000000000000004")
    );
    let order = instance.seen.change(|s| s.queries.clone());
    assert!(
        order[3].starts_with("INSERT") && order[4].starts_with("SELECT"),
        "{order:?}"
    );
}

/// Hard case 4: names change while a run of them is out; the run is what it was when it was bound.
#[test]
fn names_may_change_while_a_run_is_out() {
    let (instance, _discovery, router) = one(Act::Silence, ON);
    let mut client = router.client();
    let other = READ.replace("c=board", "c=own");
    let commands = [
        parse("s", READ, &[]),
        read_of("s", 1),
        close(ObjectKind::Statement, "s"),
        parse("", READ, &[]),
        read_of("", 2),
        parse("", &other, &[]),
        read_of("", 3),
        sync(),
    ];
    client.send(&commands.concat());
    assert!(wait_asked(&instance, 3));
    instance.act.change(|a| *a = Act::Serve);
    let answer = client.answer().unwrap();
    assert_eq!(answer.tags, "12DC312DC12DCZ");
    assert_eq!(answer.values, [1, 2, 3].map(|id| format!("{id:016x}")));
    let classes = instance
        .seen
        .change(|s| s.queries.iter().filter(|q| q.contains("c=own")).count());
    assert_eq!(classes, 1);
}

/// Hard case 4, further: a client that leaves in the middle of a pipeline is owed nothing, and leaves nothing.
#[rstest]
fn a_client_that_leaves_a_pipeline_is_noticed(#[values(true, false)] says_goodbye: bool) {
    let (instance, _discovery, router) = one(Act::Silence, ON);
    let mut client = router.client();
    let reads: Vec<u8> = (1..=3).flat_map(|id| read_of("r", id)).collect();
    client.send(&[parse("r", READ, &[]), reads].concat());
    assert!(wait_asked(&instance, 3));
    if says_goodbye {
        client.send(&[b'X', 0, 0, 0, 4]);
    }
    client.shut();
    assert!(router.counted("client_left=3") && router.counted("attempts_cancelled=3"));
    assert!(router.logged("reason: left_waiting"));
    instance.act.change(|a| *a = Act::Serve);
    assert_eq!(
        router
            .client()
            .extended(&[parse("", READ, &[]), read_of("", 1)])
            .tags,
        "12DCZ"
    );
}

/// Guards CancelRequest: the open request fails at once and once, what is behind it is skipped, and a wrong key or
/// a request that comes too late does nothing.
#[test]
fn a_cancel_request_ends_the_open_request() {
    let (instance, _discovery, router) = one(Act::Silence, ON);
    let mut client = router.client();
    let cancel = |process, secret| {
        let mut other = Client::connect(router.address);
        let mut out = Vec::new();
        frontend::put_cancel_request(&mut out, process, secret);
        other.send(&out);
        assert!(other.message().is_none());
    };
    let (process, secret) = client.key;
    assert!(process != 0);
    cancel(process, secret);
    client.send(
        &[
            parse("r", READ, &[]),
            read_of("r", 1),
            read_of("r", 2),
            sync(),
        ]
        .concat(),
    );
    assert!(wait_asked(&instance, 2));
    cancel(process, secret ^ 1);
    cancel(process, secret);
    let answer = client.answer().unwrap();
    assert_eq!((&*answer.tags, &*answer.code), ("12EZ", "57014"));
    assert!(router.counted("client_left=2") && router.counted("cancel_requests_matched=2"));
    client.send(&query(&common::read(9, 20_000)));
    assert!(wait_asked(&instance, 3));
    cancel(process, secret);
    let answer = client.answer().unwrap();
    assert_eq!((&*answer.tags, &*answer.code), ("EZ", "57014"));
    instance.act.change(|a| *a = Act::Serve);
    assert_eq!(client.extended(&[read_of("r", 3)]).tags, "2DCZ");
}

/// Hard case 5: many clients with many statements share their texts; one client with more texts than the bound
/// gets a clear error and goes on, and so do the others.
#[test]
fn many_statements_are_shared_and_bounded() {
    let edge = "extended: {mode: on, limits: {statements: 100000, all_statements: 65536, text_bytes: 1000000}}";
    let edge = edge.replace("statements: 100000", "statements: 60000");
    let (_instance, _discovery, router) = one(Act::Serve, &edge);
    let text = |n: usize| READ.replace("id=$2", &format!("id=$2,v={n}"));
    let all: Vec<u8> = (0..100)
        .flat_map(|n| parse(&format!("s{n}"), &text(n % 50), &[]))
        .collect();
    let prepare = |_| {
        let mut client = router.client();
        assert_eq!(
            client.extended(std::slice::from_ref(&all)).tags,
            "1".repeat(100) + "Z"
        );
        client
    };
    let mut clients: Vec<Client> = (0..300).map(prepare).collect();
    let mut greedy = router.client();
    let (mut taken, mut refused) = (0, String::new());
    for from in (0..100_000).step_by(1000) {
        let all: Vec<u8> = (from..from + 1000)
            .flat_map(|n| parse(&format!("g{n}"), &text(n + 50), &[]))
            .collect();
        let answer = greedy.extended(&[all]);
        taken += answer.tags.matches('1').count();
        refused = answer.text;
        if !answer.code.is_empty() {
            assert_eq!(answer.code, "54000");
            break;
        }
    }
    assert!(taken > 500 && taken < 5000, "{taken}");
    assert!(refused.contains("bytes of statement texts"), "{refused}");
    for client in [&mut greedy, &mut clients[299]] {
        let name = if client.extended(&[read_of("s7", 1)]).code.is_empty() {
            "s7"
        } else {
            "g7"
        };
        assert_eq!(client.extended(&[read_of(name, 2)]).tags, "2DCZ");
    }
    drop(greedy);
    // What it held is free again.
    let mut next = router.client();
    let mut answer = Answer::default();
    for _ in 0..1000 {
        answer = next.extended(&[parse("n", &text(99_999), &[])]);
        if answer.code.is_empty() {
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
    let (instance, _discovery, router) = one(Act::Serve, ON);
    let mut client = router.client();
    // What was asked before it is answered first.
    client.send(&[&parse("", READ, &[])[..], &read_of("", 1), bytes].concat());
    let answer = client.answer().unwrap();
    assert_eq!((&*answer.tags, &*answer.code), ("12DCE", "08P01"));
    assert!(router.logged(&format!("reason: {reason}")));
    assert_eq!(asked(&instance), 1);
    assert_eq!(
        router
            .client()
            .extended(&[parse("", READ, &[]), read_of("", 2)])
            .tags,
        "12DCZ"
    );
}

/// Hard case 5, further: seeded noise behind proper commands neither stops the router nor makes it grow.
#[test]
fn noise_harms_nobody() {
    let (_instance, _discovery, router) = one(Act::Serve, ON);
    let memory = |router: &Router| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", router.id())).unwrap();
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
            let mut client = router.client();
            let mut bytes = [parse("s", READ, &[]), read_of("s", 1), sync()].concat();
            for _ in 0..1 + random() % 4 {
                let at = random() % bytes.len();
                bytes[at] = random() as u8;
            }
            client.send(&bytes);
            client.shut();
            while client.message().is_some() {}
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
            .client()
            .extended(&[parse("", READ, &[]), read_of("", 2)])
            .tags,
        "12DCZ"
    );
}

/// Guards clients that have prepared statements: to make room, those that lose nothing go first.
#[test]
fn clients_with_statements_make_room_last() {
    let instance = Instance::start("master", Act::Serve);
    let list = vec![target("s-1", instance.address, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let router = start_with(&discovery, &list, 64, settings(), Some(ON));
    let mut prepared = router.client();
    assert_eq!(
        prepared
            .extended(&[parse("s", READ, &[]), read_of("s", 1)])
            .tags,
        "12DCZ"
    );
    let evicted = |l: &mut Vec<String>| l.iter().filter(|l| l.contains("reason: evicted")).count();
    let mut kept = Vec::new();
    for id in 2..60 {
        let mut client = router.client();
        assert_eq!(client.ask(&common::read(id, 5000)).code, "");
        kept.push(client);
    }
    assert!(router.log.change(evicted) > 10);
    assert_eq!(prepared.extended(&[read_of("s", 99)]).tags, "2DCZ");
}

/// Guards `translate`: values become literals, quoted safely, `d` still counts down, and what can't be written
/// safely is refused before anything is sent.
#[test]
fn values_become_literals_where_instances_take_simple_queries() {
    let instance = Instance::start_simple("master");
    let list = vec![target("s-1", instance.address, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let router = start_with(
        &discovery,
        &list,
        1024,
        settings(),
        Some("extended: {mode: translate}"),
    );
    let mut client = router.client();
    let text = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data /* id=$3,c=book,cluster=2,k=$4 */";
    assert_eq!(client.extended(&[parse("w", text, &[])]).tags, "1Z");
    let id = "00000000000000a1";
    let answer = client.extended(&[run(
        "w",
        &[Some("it's"), Some("\\x9f03"), Some(id), Some("k-1")],
    )]);
    assert_eq!((&*answer.tags, &*answer.value), ("2DCZ", id), "{answer:?}");
    let sent = instance.seen.change(|s| s.queries[0].clone());
    let wait = sent.split(",d=").nth(1).unwrap().trim_end_matches(" */");
    let wanted = "INSERT INTO facts (code, data) VALUES ('it''s', '\\x9f03') RETURNING data";
    assert_eq!(
        sent,
        format!("{wanted} /* id={id},c=book,cluster=2,k=k-1,d={wait} */")
    );
    assert!(wait.parse::<u64>().unwrap() <= 30_000);
    for bad in ["k*/", "k,d=1", ""] {
        let answer = client.extended(&[run("w", &[Some("s"), Some("v"), None, Some(bad)])]);
        assert!(["0A000", "22023"].contains(&&*answer.code), "{answer:?}");
    }
    assert_eq!(
        client
            .extended(&[run("w", &[Some("a\\b"), Some("v"), None, Some("k")])])
            .code,
        "0A000"
    );
    assert_eq!(asked(&instance), 1);
}

/// Hard case 6: a real driver, against endpoints that take extended queries and against those that do not.
#[rstest]
fn a_driver_is_served(#[values("on", "translate")] mode: &str) {
    let replica_set = Group::new("a", Duration::ZERO, Duration::from_secs(2));
    let local = ([127, 0, 0, 1], 0).into();
    let instance = Instance::join(
        &replica_set,
        "a",
        local,
        Duration::ZERO,
        mode == "translate",
    );
    let list = vec![instance.target(2, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let edge = format!("extended: {{mode: {mode}}}");
    let router = start_with(&discovery, &list, 1024, settings(), Some(&edge));
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
        instance.act.change(|a| *a = Act::Silence);
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
        instance.act.change(|a| *a = Act::Serve);
        client.simple_query("DISCARD ALL").await.unwrap();
        drop(client);
        task.await.unwrap().unwrap();
    };
    runtime.block_on(async { tokio::time::timeout(LIMIT, drive).await.unwrap() });
    let parses = replica_set.ledger(|l| l.total().parses);
    assert!(
        if mode == "on" {
            parses >= 2
        } else {
            parses == 0
        },
        "{parses}"
    );
    assert!(replica_set.ledger(|l| l.run_twice().is_empty()));
}

/// Guards the platform: without settings of its own the router takes no extended queries.
#[test]
fn extended_queries_are_off_by_default() {
    let instance = Instance::start("master", Act::Serve);
    let list = vec![target("s-1", instance.address, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let router = start(&discovery, &list, 1024);
    let mut client = router.client();
    assert_eq!(client.key, (0, 0));
    let answer = client.extended(&[parse("", READ, &[]), read_of("", 1)]);
    assert_eq!((&*answer.tags, &*answer.code), ("EZ", "0A000"));
    assert_eq!(client.ask("SET x = 1").code, "42601");
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
