//! Endpoints from service records and the roster together, against the real program.

mod common;

use common::*;
use reelrill_test_support::dns::{self, DnsFaultMode, DnsZone, FakeDnsServer};
use rstest::rstest;
use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::time::{Duration, Instant};

/// The records of an endpoint that answers with the names of requests.
fn record(uid: &str, instance: &FakeEndpoint) -> dns::ServiceInstance {
    dns::ServiceInstance::new(uid, instance.address, 2)
}

fn zone(instances: &[(&str, &FakeEndpoint)]) -> DnsZone {
    let all = instances
        .iter()
        .map(|(uid, i)| (uid.replace("s-", "db-"), record(uid, i)));
    DnsZone {
        instances: all.collect::<BTreeMap<_, _>>(),
        ..DnsZone::default()
    }
}

fn edge(server: &FakeDnsServer, roster: bool, more: &str) -> String {
    let (address, service, domain) = (server.address, dns::SERVICE, dns::DOMAIN);
    format!(
        "discovery:\n  roster: {roster}\n  dns_sd: {{servers: [\"{address}\"], services: [\"{service}\"], \
         domain: \"{domain}\", ttl_floor_ms: 200, timeout_ms: 200}}\n{more}"
    )
}

/// A client of a router that has found somebody.
fn ready(router: &RouterProcess) -> Client {
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    client
}

fn asked(instance: &FakeEndpoint) -> usize {
    instance.activity.with(|s| s.queries.len())
}

/// Asks until an endpoint has been asked, and says how often it took.
fn ask_until(client: &mut Client, instance: &FakeEndpoint) -> usize {
    let (began, before) = (Instant::now(), asked(instance));
    for n in 0.. {
        let answer = client.simple_query(&select_query(0x1000 + n as u64, 5000));
        if asked(instance) > before {
            return n;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "never asked: {answer:?}");
    }
    unreachable!()
}

/// Guards the way from a record to a request, without a roster; and a list that comes over TCP.
#[rstest]
fn members_are_found_by_records_alone(
    #[values(
        DnsFaultMode::Normal,
        DnsFaultMode::NoAdditionalRecords,
        DnsFaultMode::Truncated,
        DnsFaultMode::DropEveryOtherQuery,
        DnsFaultMode::Delayed
    )]
    manner: DnsFaultMode,
) {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(DnsZone {
        fault_mode: manner,
        ..zone(&[("s-1", &instance)])
    });
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&edge(&server, false, "")),
    );
    let mut client = ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    assert_eq!(discovery.requested_paths.with(|c| c.len()), 0);
    // A record that comes is used, without a restart.
    let second = FakeEndpoint::start("master", ScriptedResponse::Serve);
    server
        .zone
        .with(|z| z.instances.insert("db-2".into(), record("s-2", &second)));
    ask_until(&mut client, &second);
}

/// Hard case 1: a record goes on pointing at an endpoint that drains, as the roster says or its own TXT; nothing new
/// goes to it, and a record that vanishes while the roster is out of reach takes nothing away.
#[rstest]
fn a_drain_binds_whoever_tells_it(#[values(true, false)] by_roster: bool) {
    let (old, new) = (
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    );
    let server = FakeDnsServer::start(zone(&[("s-1", &old), ("s-2", &new)]));
    let list = |state| {
        vec![
            list_entry("s-1", old.address, state),
            list_entry("s-2", new.address, "ready"),
        ]
    };
    let discovery = FakeDiscovery::start(Some(list("ready")));
    let edge = edge(&server, true, "");
    let router = start_router_with(
        &discovery,
        &list("ready"),
        1024,
        base_settings(),
        Some(&edge),
    );
    let mut client = ready(&router);
    ask_until(&mut client, &old);
    if by_roster {
        discovery.publish(list("draining"));
    } else {
        let drains = record("s-1", &old).with_txt("state", Some("draining"));
        server
            .zone
            .with(|z| z.instances.insert("db-1".into(), drains));
    }
    assert!(router.wait_for_log("state: Draining") && router.wait_for_log("sources contradict"));
    let before = asked(&old);
    // The records are asked for again and again meanwhile, and the roster's list comes again.
    for id in 1..=30 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        if id % 10 == 0 {
            assert!(server.wait_for_queries(1));
        }
    }
    assert_eq!(asked(&old), before);
    discovery.list.with(|l| l.1 = None);
    assert!(router.wait_for_log("discovery poll failed"));
    server.zone.with(|z| z.instances.remove("db-2"));
    assert!(server.wait_for_queries(3));
    assert_eq!(
        client.simple_query(&select_query(99, 5000)).value,
        format!("{:016x}", 99)
    );
    assert!(
        router
            .log
            .with(|l| !l.iter().any(|l| l.contains("endpoint removed")))
    );
}

/// Hard case 1, further: an endpoint that says itself that it leaves gets nothing new until it answers again.
#[test]
fn a_endpoint_that_says_that_it_leaves_is_believed() {
    let (leaving, other) = (
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    );
    let server = FakeDnsServer::start(zone(&[("s-1", &leaving), ("s-2", &other)]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&edge(&server, false, "")),
    );
    let mut client = ready(&router);
    ask_until(&mut client, &leaving);
    leaving
        .response
        .with(|a| *a = ScriptedResponse::Error("57P03"));
    ask_until(&mut client, &leaving);
    assert!(router.wait_for_log("OwnDrain"));
    let before = asked(&leaving);
    for id in 1..=20 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(asked(&leaving), before);
}

/// Hard case 2 on sockets: servers that fail in each way, and then an empty answer, forget nobody.
#[rstest]
fn a_server_that_fails_forgets_nobody(
    #[values(
        DnsFaultMode::NoResponse,
        DnsFaultMode::ServerFailure,
        DnsFaultMode::InvalidMessage,
        DnsFaultMode::WrongId,
        DnsFaultMode::NoData
    )]
    manner: DnsFaultMode,
) {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(zone(&[("s-1", &instance)]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&edge(&server, false, "")),
    );
    let mut client = ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    server.zone.with(|z| z.fault_mode = manner);
    assert!(server.wait_for_queries(2));
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    server.zone.with(|z| z.fault_mode = DnsFaultMode::Normal);
    assert!(server.wait_for_queries(2));
    assert_eq!(
        client.simple_query(&select_query(3, 5000)).value,
        "0000000000000003"
    );
    assert!(
        router.wait_for_counter("endpoints_removed=0")
            && router.wait_for_counter("endpoints_added=1")
    );
}

/// Guards a roster that comes back: it is asked again although records keep bringing changes.
#[test]
fn a_roster_that_fails_is_asked_again() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(zone(&[("s-1", &instance)]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&edge(&server, true, "")),
    );
    let mut client = ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() > 3).then_some(()))
            .is_some()
    );
    let second = FakeEndpoint::start("master", ScriptedResponse::Serve);
    discovery.publish(vec![list_entry("s-2", second.address, "ready")]);
    ask_until(&mut client, &second);
}

/// Guards reload: a source that is added is used, one that is taken out no longer counts, and no endpoint that another
/// source names is forgotten in between.
#[test]
fn sources_come_and_go_with_the_settings() {
    let (one, two) = (
        FakeEndpoint::start("master", ScriptedResponse::Serve),
        FakeEndpoint::start("master", ScriptedResponse::Serve),
    );
    let first = FakeDnsServer::start(zone(&[("s-1", &one)]));
    let second = FakeDnsServer::start(zone(&[("s-1", &one), ("s-2", &two)]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&edge(&first, false, "")),
    );
    let mut client = ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    router.reload_extensions(&edge(&second, false, ""));
    ask_until(&mut client, &two);
    assert!(
        router.wait_for_counter("endpoints_removed=0")
            && router.wait_for_counter("endpoints_added=2")
    );
    assert!(router.wait_for_log("discovery sources reloaded"));
    let asked = first.zone.with(|z| z.query_count);
    assert!(second.wait_for_queries(2));
    assert_eq!(first.zone.with(|z| z.query_count), asked);
    router.reload_extensions("discovery: {dns_sd: {servers: [], services: [], domain: x}}");
    assert!(router.wait_for_log("discovery.dns_sd.servers"));
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
}

/// Guards the operator: each endpoint, who names it and by which rule it is where it is; and nobody else may ask.
#[test]
fn an_operator_sees_who_says_what() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(zone(&[("s-1", &instance)]));
    let discovery = FakeDiscovery::start(None);
    discovery.publish(vec![list_entry("s-1", instance.address, "ready")]);
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("members");
    let edge = edge(
        &server,
        true,
        &format!("members_socket: {}\n", socket.display()),
    );
    let router = start_router_with(&discovery, &[], 1024, base_settings(), Some(&edge));
    let mut client = ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
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
        assert!(ok && began.elapsed() < WAIT_TIMEOUT, "{table}");
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
