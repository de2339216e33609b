//! Endpoints from service records and the roster together, against the real program.

mod common;

use common::*;
use reelrill_test_support::dns::{self, Manner, Server, Zone};
use rstest::rstest;
use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::time::{Duration, Instant};

/// The records of an endpoint that answers with the names of requests.
fn record(uid: &str, instance: &Instance) -> dns::Instance {
    dns::Instance::new(uid, instance.address, 2)
}

fn zone(instances: &[(&str, &Instance)]) -> Zone {
    let all = instances
        .iter()
        .map(|(uid, i)| (uid.replace("s-", "db-"), record(uid, i)));
    Zone {
        instances: all.collect::<BTreeMap<_, _>>(),
        ..Zone::default()
    }
}

fn edge(server: &Server, roster: bool, more: &str) -> String {
    let (address, service, domain) = (server.address, dns::SERVICE, dns::DOMAIN);
    format!(
        "discovery:\n  roster: {roster}\n  dns_sd: {{servers: [\"{address}\"], services: [\"{service}\"], \
         domain: \"{domain}\", ttl_floor_ms: 200, timeout_ms: 200}}\n{more}"
    )
}

/// A client of a router that has found somebody.
fn ready(router: &Router) -> Client {
    let mut client = router.client();
    assert_eq!(client.ask("").tags, "IZ");
    client
}

fn asked(instance: &Instance) -> usize {
    instance.seen.change(|s| s.queries.len())
}

/// Asks until an endpoint has been asked, and says how often it took.
fn ask_until(client: &mut Client, instance: &Instance) -> usize {
    let (began, before) = (Instant::now(), asked(instance));
    for n in 0.. {
        let answer = client.ask(&read(0x1000 + n as u64, 5000));
        if asked(instance) > before {
            return n;
        }
        assert!(began.elapsed() < LIMIT, "never asked: {answer:?}");
    }
    unreachable!()
}

/// Guards the way from a record to a request, without a roster; and a list that comes over TCP.
#[rstest]
fn members_are_found_by_records_alone(
    #[values(
        Manner::Helpful,
        Manner::Terse,
        Manner::Truncated,
        Manner::Lossy,
        Manner::Slow
    )]
    manner: Manner,
) {
    let instance = Instance::start("master", Act::Serve);
    let server = Server::start(Zone {
        manner,
        ..zone(&[("s-1", &instance)])
    });
    let discovery = Discovery::start(None);
    let router = start_with(
        &discovery,
        &[],
        1024,
        settings(),
        Some(&edge(&server, false, "")),
    );
    let mut client = ready(&router);
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    assert_eq!(discovery.calls.change(|c| c.len()), 0);
    // A record that comes is used, without a restart.
    let second = Instance::start("master", Act::Serve);
    server
        .zone
        .change(|z| z.instances.insert("db-2".into(), record("s-2", &second)));
    ask_until(&mut client, &second);
}

/// Hard case 1: a record goes on pointing at an endpoint that drains, as the roster says or its own TXT; nothing new
/// goes to it, and a record that vanishes while the roster is out of reach takes nothing away.
#[rstest]
fn a_drain_binds_whoever_tells_it(#[values(true, false)] by_roster: bool) {
    let (old, new) = (
        Instance::start("replica", Act::Serve),
        Instance::start("replica", Act::Serve),
    );
    let server = Server::start(zone(&[("s-1", &old), ("s-2", &new)]));
    let list = |state| {
        vec![
            target("s-1", old.address, state),
            target("s-2", new.address, "ready"),
        ]
    };
    let discovery = Discovery::start(Some(list("ready")));
    let edge = edge(&server, true, "");
    let router = start_with(&discovery, &list("ready"), 1024, settings(), Some(&edge));
    let mut client = ready(&router);
    ask_until(&mut client, &old);
    if by_roster {
        discovery.publish(list("draining"));
    } else {
        let drains = record("s-1", &old).with("state", Some("draining"));
        server
            .zone
            .change(|z| z.instances.insert("db-1".into(), drains));
    }
    assert!(router.logged("state: Draining") && router.logged("sources contradict"));
    let before = asked(&old);
    // The records are asked for again and again meanwhile, and the roster's list comes again.
    for id in 1..=30 {
        assert_eq!(client.ask(&read(id, 5000)).value, format!("{id:016x}"));
        if id % 10 == 0 {
            assert!(server.asked(1));
        }
    }
    assert_eq!(asked(&old), before);
    discovery.list.change(|l| l.1 = None);
    assert!(router.logged("discovery poll failed"));
    server.zone.change(|z| z.instances.remove("db-2"));
    assert!(server.asked(3));
    assert_eq!(client.ask(&read(99, 5000)).value, format!("{:016x}", 99));
    assert!(
        router
            .log
            .change(|l| !l.iter().any(|l| l.contains("endpoint removed")))
    );
}

/// Hard case 1, further: an endpoint that says itself that it leaves gets nothing new until it answers again.
#[test]
fn a_endpoint_that_says_that_it_leaves_is_believed() {
    let (leaving, other) = (
        Instance::start("replica", Act::Serve),
        Instance::start("replica", Act::Serve),
    );
    let server = Server::start(zone(&[("s-1", &leaving), ("s-2", &other)]));
    let discovery = Discovery::start(None);
    let router = start_with(
        &discovery,
        &[],
        1024,
        settings(),
        Some(&edge(&server, false, "")),
    );
    let mut client = ready(&router);
    ask_until(&mut client, &leaving);
    leaving.act.change(|a| *a = Act::Code("57P03"));
    ask_until(&mut client, &leaving);
    assert!(router.logged("OwnDrain"));
    let before = asked(&leaving);
    for id in 1..=20 {
        assert_eq!(client.ask(&read(id, 5000)).value, format!("{id:016x}"));
    }
    assert_eq!(asked(&leaving), before);
}

/// Hard case 2 on sockets: servers that fail in each way, and then an empty answer, forget nobody.
#[rstest]
fn a_server_that_fails_forgets_nobody(
    #[values(
        Manner::Silent,
        Manner::Fails,
        Manner::Noise,
        Manner::WrongId,
        Manner::Empty
    )]
    manner: Manner,
) {
    let instance = Instance::start("master", Act::Serve);
    let server = Server::start(zone(&[("s-1", &instance)]));
    let discovery = Discovery::start(None);
    let router = start_with(
        &discovery,
        &[],
        1024,
        settings(),
        Some(&edge(&server, false, "")),
    );
    let mut client = ready(&router);
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    server.zone.change(|z| z.manner = manner);
    assert!(server.asked(2));
    assert_eq!(client.ask(&read(2, 5000)).value, "0000000000000002");
    server.zone.change(|z| z.manner = Manner::Helpful);
    assert!(server.asked(2));
    assert_eq!(client.ask(&read(3, 5000)).value, "0000000000000003");
    assert!(router.counted("endpoints_removed=0") && router.counted("endpoints_added=1"));
}

/// Guards a roster that comes back: it is asked again although records keep bringing changes.
#[test]
fn a_roster_that_fails_is_asked_again() {
    let instance = Instance::start("master", Act::Serve);
    let server = Server::start(zone(&[("s-1", &instance)]));
    let discovery = Discovery::start(None);
    let router = start_with(
        &discovery,
        &[],
        1024,
        settings(),
        Some(&edge(&server, true, "")),
    );
    let mut client = ready(&router);
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    assert!(
        discovery
            .calls
            .wait_for(LIMIT, |c| (c.len() > 3).then_some(()))
            .is_some()
    );
    let second = Instance::start("master", Act::Serve);
    discovery.publish(vec![target("s-2", second.address, "ready")]);
    ask_until(&mut client, &second);
}

/// Guards reload: a source that is added is used, one that is taken out no longer counts, and no endpoint that another
/// source names is forgotten in between.
#[test]
fn sources_come_and_go_with_the_settings() {
    let (one, two) = (
        Instance::start("master", Act::Serve),
        Instance::start("master", Act::Serve),
    );
    let first = Server::start(zone(&[("s-1", &one)]));
    let second = Server::start(zone(&[("s-1", &one), ("s-2", &two)]));
    let discovery = Discovery::start(None);
    let router = start_with(
        &discovery,
        &[],
        1024,
        settings(),
        Some(&edge(&first, false, "")),
    );
    let mut client = ready(&router);
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    router.reload_edge(&edge(&second, false, ""));
    ask_until(&mut client, &two);
    assert!(router.counted("endpoints_removed=0") && router.counted("endpoints_added=2"));
    assert!(router.logged("discovery sources reloaded"));
    let asked = first.zone.change(|z| z.queries);
    assert!(second.asked(2));
    assert_eq!(first.zone.change(|z| z.queries), asked);
    router.reload_edge("discovery: {dns_sd: {servers: [], services: [], domain: x}}");
    assert!(router.logged("discovery.dns_sd.servers"));
    assert_eq!(client.ask(&read(2, 5000)).value, "0000000000000002");
}

/// Guards the operator: each endpoint, who names it and by which rule it is where it is; and nobody else may ask.
#[test]
fn an_operator_sees_who_says_what() {
    let instance = Instance::start("master", Act::Serve);
    let server = Server::start(zone(&[("s-1", &instance)]));
    let discovery = Discovery::start(None);
    discovery.publish(vec![target("s-1", instance.address, "ready")]);
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("members");
    let edge = edge(
        &server,
        true,
        &format!("members_socket: {}\n", socket.display()),
    );
    let router = start_with(&discovery, &[], 1024, settings(), Some(&edge));
    let mut client = ready(&router);
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    assert_eq!(
        std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777,
        0o600
    );
    let ask = |socket: &Path| {
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
        let output = program
            .args(["members", "--socket"])
            .arg(socket)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let began = Instant::now();
    let table = loop {
        let (ok, table) = ask(&socket);
        assert!(ok && began.elapsed() < LIMIT, "{table}");
        if table.contains("roster says Ready") && table.contains("_postgresql._tcp") {
            break table;
        }
    };
    assert!(
        table.starts_with("s-1 ready") && table.contains("rule Named answered"),
        "{table}"
    );
    assert!(table.contains("1 members, 0 contradicted"), "{table}");
    assert!(!ask(&dir.path().join("none")).0);
    assert!(began.elapsed() < Duration::from_secs(30));
}
