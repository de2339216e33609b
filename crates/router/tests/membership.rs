//! Endpoints from DNS-SD records and from the endpoint list of the discovery service (the source `roster`), tested on
//! the router process.

mod common;

use common::*;
use reelrill_test_support::dns::{self, DnsFaultMode, DnsZone, FakeDnsServer};
use rstest::rstest;
use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::time::{Duration, Instant};

/// Returns the service instance that advertises the endpoint under this id.
fn service_instance(uid: &str, endpoint: &FakeEndpoint) -> dns::ServiceInstance {
    dns::ServiceInstance::new(uid, endpoint.address, 2)
}

/// Returns a DNS zone that advertises these endpoints, each given with its id.
fn zone_of(endpoints: &[(&str, &FakeEndpoint)]) -> DnsZone {
    let instances = endpoints
        .iter()
        .map(|(uid, endpoint)| (uid.replace("s-", "db-"), service_instance(uid, endpoint)));
    DnsZone {
        instances: instances.collect::<BTreeMap<_, _>>(),
        ..DnsZone::default()
    }
}

/// Returns extensions that use the DNS server as a source, and the discovery service as another one if `uses_list`,
/// followed by the lines of `more`.
fn dns_extensions(server: &FakeDnsServer, uses_list: bool, more: &str) -> String {
    let (address, service, domain) = (server.address, dns::SERVICE, dns::DOMAIN);
    format!(
        "discovery:\n  roster: {uses_list}\n  dns_sd: {{servers: [\"{address}\"], services: [\"{service}\"], \
         domain: \"{domain}\", ttl_floor_ms: 200, timeout_ms: 200}}\n{more}"
    )
}

/// Returns a client once the router responds to it, which is when the router has found an endpoint.
fn connect_when_ready(router: &RouterProcess) -> Client {
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    client
}

/// Returns the number of queries that the endpoint has received.
fn query_count(endpoint: &FakeEndpoint) -> usize {
    endpoint.activity.with(|activity| activity.queries.len())
}

/// Sends reads until the endpoint has received one; returns the number of reads sent before that one.
fn query_until_received(client: &mut Client, endpoint: &FakeEndpoint) -> usize {
    let (started, count_before) = (Instant::now(), query_count(endpoint));
    for earlier_reads in 0.. {
        let response = client.simple_query(&select_query(0x1000 + earlier_reads as u64, 5000));
        if query_count(endpoint) > count_before {
            return earlier_reads;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the endpoint received no query: {response:?}"
        );
    }
    unreachable!()
}

/// Guards against endpoints that are not found, or are found only after a restart of the router, when DNS is the only
/// source. Its responses have no additional records, are truncated (and repeated over TCP), lost or late.
#[rstest]
fn endpoints_are_found_when_dns_is_the_only_source(
    #[values(
        DnsFaultMode::Normal,
        DnsFaultMode::NoAdditionalRecords,
        DnsFaultMode::Truncated,
        DnsFaultMode::DropEveryOtherQuery,
        DnsFaultMode::Delayed
    )]
    fault_mode: DnsFaultMode,
) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(DnsZone {
        fault_mode,
        ..zone_of(&[("s-1", &endpoint)])
    });
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&dns_extensions(&server, false, "")),
    );
    let mut client = connect_when_ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    assert_eq!(discovery.requested_paths.with(|paths| paths.len()), 0);
    // A new record is used without a restart.
    let second = FakeEndpoint::start("master", ScriptedResponse::Serve);
    server.zone.with(|zone| {
        zone.instances
            .insert("db-2".into(), service_instance("s-2", &second))
    });
    query_until_received(&mut client, &second);
}

/// Guards against new requests to a draining endpoint when the sources contradict each other: the endpoint list or the
/// endpoint's TXT record reports the drain, and the other source still states that it is ready. Guards also against
/// the removal of an endpoint whose record disappears while the discovery service can't be reached.
#[rstest]
fn draining_endpoint_gets_no_new_requests_when_one_source_reports_the_drain(
    #[values(true, false)] is_reported_by_list: bool,
) {
    let (draining, ready) = (
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    );
    let server = FakeDnsServer::start(zone_of(&[("s-1", &draining), ("s-2", &ready)]));
    let list = |state| {
        vec![
            list_entry("s-1", draining.address, state),
            list_entry("s-2", ready.address, "ready"),
        ]
    };
    let discovery = FakeDiscovery::start(Some(list("ready")));
    let extensions = dns_extensions(&server, true, "");
    let router = start_router_with(
        &discovery,
        &list("ready"),
        1024,
        base_settings(),
        Some(&extensions),
    );
    let mut client = connect_when_ready(&router);
    query_until_received(&mut client, &draining);
    if is_reported_by_list {
        discovery.publish(list("draining"));
    } else {
        let draining_instance =
            service_instance("s-1", &draining).with_txt("state", Some("draining"));
        server
            .zone
            .with(|zone| zone.instances.insert("db-1".into(), draining_instance));
    }
    assert!(router.wait_for_log("state: Draining") && router.wait_for_log("sources contradict"));
    let count_before = query_count(&draining);
    // Meanwhile the records are queried repeatedly, and the endpoint list is polled again.
    for id in 1..=30 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        if id % 10 == 0 {
            assert!(server.wait_for_queries(1));
        }
    }
    assert_eq!(query_count(&draining), count_before);
    discovery.list.with(|list| list.1 = None);
    assert!(router.wait_for_log("discovery poll failed"));
    server.zone.with(|zone| zone.instances.remove("db-2"));
    assert!(server.wait_for_queries(3));
    assert_eq!(
        client.simple_query(&select_query(99, 5000)).value,
        format!("{:016x}", 99)
    );
    assert!(
        router
            .log
            .with(|lines| !lines.iter().any(|line| line.contains("endpoint removed")))
    );
}

/// Guards against new requests to an endpoint that has itself responded that it is shutting down (SQLSTATE 57P03),
/// while its DNS records still advertise it. They resume only after it serves again, which does not happen here.
#[test]
fn endpoint_gets_no_new_requests_after_it_responds_that_it_is_shutting_down() {
    let (stopping, other) = (
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    );
    let server = FakeDnsServer::start(zone_of(&[("s-1", &stopping), ("s-2", &other)]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&dns_extensions(&server, false, "")),
    );
    let mut client = connect_when_ready(&router);
    query_until_received(&mut client, &stopping);
    stopping
        .response
        .with(|response| *response = ScriptedResponse::Error("57P03"));
    query_until_received(&mut client, &stopping);
    assert!(router.wait_for_log("OwnDrain"));
    let count_before = query_count(&stopping);
    for id in 1..=20 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    assert_eq!(query_count(&stopping), count_before);
}

/// Guards against the removal of endpoints when DNS fails: the server does not respond, reports an error, sends bytes
/// that are no DNS message or another query's id, or responds without records.
#[rstest]
fn endpoints_are_kept_when_the_dns_server_fails(
    #[values(
        DnsFaultMode::NoResponse,
        DnsFaultMode::ServerFailure,
        DnsFaultMode::InvalidMessage,
        DnsFaultMode::WrongId,
        DnsFaultMode::NoData
    )]
    fault_mode: DnsFaultMode,
) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(zone_of(&[("s-1", &endpoint)]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&dns_extensions(&server, false, "")),
    );
    let mut client = connect_when_ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    server.zone.with(|zone| zone.fault_mode = fault_mode);
    assert!(server.wait_for_queries(2));
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
    server
        .zone
        .with(|zone| zone.fault_mode = DnsFaultMode::Normal);
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

/// Guards against a discovery service that is not polled again after failures, because changes from DNS keep arriving.
#[test]
fn failed_discovery_service_is_polled_again_while_dns_responds() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(zone_of(&[("s-1", &endpoint)]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&dns_extensions(&server, true, "")),
    );
    let mut client = connect_when_ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() > 3).then_some(()))
            .is_some()
    );
    let second = FakeEndpoint::start("master", ScriptedResponse::Serve);
    discovery.publish(vec![list_entry("s-2", second.address, "ready")]);
    query_until_received(&mut client, &second);
}

/// Guards against a reload of the extensions that leaves an added source unused, still queries a removed one, or
/// removes for a time an endpoint that both sources name; and against a reload with invalid settings that stops
/// service.
#[test]
fn sources_are_replaced_when_the_extensions_are_reloaded() {
    let (kept_endpoint, added_endpoint) = (
        FakeEndpoint::start("master", ScriptedResponse::Serve),
        FakeEndpoint::start("master", ScriptedResponse::Serve),
    );
    let first_server = FakeDnsServer::start(zone_of(&[("s-1", &kept_endpoint)]));
    let second_server = FakeDnsServer::start(zone_of(&[
        ("s-1", &kept_endpoint),
        ("s-2", &added_endpoint),
    ]));
    let discovery = FakeDiscovery::start(None);
    let router = start_router_with(
        &discovery,
        &[],
        1024,
        base_settings(),
        Some(&dns_extensions(&first_server, false, "")),
    );
    let mut client = connect_when_ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    router.reload_extensions(&dns_extensions(&second_server, false, ""));
    query_until_received(&mut client, &added_endpoint);
    assert!(
        router.wait_for_counter("endpoints_removed=0")
            && router.wait_for_counter("endpoints_added=2")
    );
    assert!(router.wait_for_log("discovery sources reloaded"));
    let queries_before = first_server.zone.with(|zone| zone.query_count);
    assert!(second_server.wait_for_queries(2));
    assert_eq!(
        first_server.zone.with(|zone| zone.query_count),
        queries_before
    );
    router.reload_extensions("discovery: {dns_sd: {servers: [], services: [], domain: x}}");
    assert!(router.wait_for_log("discovery.dns_sd.servers"));
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        "0000000000000002"
    );
}

/// Guards against output of the `members` command that lacks an endpoint, a source that names it or the listing rule
/// that applies to it; and against a socket that other users of the machine can query.
#[test]
fn members_command_shows_the_sources_and_the_listing_rule_of_each_endpoint() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let server = FakeDnsServer::start(zone_of(&[("s-1", &endpoint)]));
    let discovery = FakeDiscovery::start(None);
    discovery.publish(vec![list_entry("s-1", endpoint.address, "ready")]);
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("members");
    let extensions = dns_extensions(
        &server,
        true,
        &format!("members_socket: {}\n", socket.display()),
    );
    let router = start_router_with(&discovery, &[], 1024, base_settings(), Some(&extensions));
    let mut client = connect_when_ready(&router);
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    assert_eq!(
        std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777,
        0o600
    );
    let run_members_command = |socket: &Path| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_reelrill"));
        let output = command
            .args(["members", "--socket"])
            .arg(socket)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let started = Instant::now();
    let table = loop {
        let (is_success, table) = run_members_command(&socket);
        assert!(is_success && started.elapsed() < WAIT_TIMEOUT, "{table}");
        if table.contains("roster says Ready") && table.contains("_postgresql._tcp") {
            break table;
        }
    };
    assert!(
        table.starts_with("s-1 ready") && table.contains("rule Named answered"),
        "{table}"
    );
    assert!(table.contains("1 members, 0 contradicted"), "{table}");
    assert!(!run_members_command(&dir.path().join("none")).0);
    assert!(started.elapsed() < Duration::from_secs(30));
}
