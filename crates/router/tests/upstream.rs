//! The real program towards its endpoints: pools, faults of connections, drains and deadlines.

mod common;

use common::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Where nobody listens.
const UNUSED: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// A list of `count` endpoints in replica sets of four.
fn fleet(count: usize) -> Vec<Value> {
    let line = |i: usize| {
        let mut line = list_entry(&format!("s-{i:08x}"), UNUSED, "ready");
        line["pod_group"] = json!(i / 4);
        line
    };
    (0..count).map(line).collect()
}

/// The peak resident memory of a process, in kB.
fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// The peak memory of an idle router that was given a list of `count` endpoints at its start, and the same list from
/// discovery then.
fn idle_peak_kb(count: usize) -> u64 {
    let list = fleet(count);
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    // The first call is made once the list of the configuration has been taken over, the next once a newer one has.
    let has_called = |text: &str| {
        let called = |c: &mut Vec<String>| c.iter().any(|path| path.contains(text)).then_some(());
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, called)
            .is_some()
    };
    assert!(has_called("/api/targets"));
    let at_start = peak_memory_kb(router.pid());
    discovery.publish(list);
    assert!(has_called("since=2"));
    println!("{count} endpoints: peak memory {at_start} kB with the list of the configuration");
    assert!(router.counters().contains(" attempts=0 "));
    peak_memory_kb(router.pid())
}

/// Guards the memory of a router in a large fleet: 1.5 times that of a usual one, 8 MB, and 4 MB per thousand
/// endpoints.
#[test]
fn a_list_of_3200_endpoints_stays_within_its_memory() {
    let (usual, large) = (idle_peak_kb(200), idle_peak_kb(3200));
    let most = usual * 3 / 2 + 8 * 1024 + 4 * 1024 * 32 / 10;
    println!("peak memory: {usual} kB at 200, {large} kB at 3,200 endpoints, {most} kB allowed");
    assert!(
        large <= most,
        "{large} kB with 3,200 endpoints, {usual} kB with 200: {most} kB allowed"
    );
}

/// One endpoint whose idle connections end after half a second.
fn quick_to_close(instance: &FakeEndpoint) -> (FakeDiscovery, RouterProcess) {
    let mut settings = base_settings();
    settings["ceilings"]["idleClose"] = json!(500_000_000u64);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    (discovery, router)
}

/// Guards against a pool that is retired under a request or does not come back.
#[test]
fn a_retired_pool_is_started_again_and_serves() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let (_discovery, router) = quick_to_close(&instance);
    let mut client = router.connect_client();
    assert!(router.wait_for_counter("pools_started=0"));
    for id in 1..=3 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        assert!(router.wait_for_counter(&format!("pools_started={id}")));
        assert!(router.wait_for_counter(&format!("pools_retired={id}")));
    }
    assert!(router.wait_for_counter("served=3"));
}

/// Guards an attempt in flight: its endpoint is silent for longer than the quiet time of a pool.
#[test]
fn a_pool_with_an_attempt_in_flight_is_not_retired() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
    let (_discovery, router) = quick_to_close(&instance);
    let mut client = router.connect_client();
    let begun = Instant::now();
    assert_eq!(
        client.simple_query(&select_query(1, 4000)).sqlstate,
        "53300"
    );
    assert!(begun.elapsed() > Duration::from_secs(3));
    let counters = router.counters();
    assert!(counters.contains(" pools_started=1 "), "{counters}");
}

/// Guards what the list says of an endpoint whose pool has been retired: its drain binds, and so does its new address.
#[rstest]
#[case("draining", false)]
#[case("ready", true)]
fn a_retired_pool_keeps_what_the_list_says(#[case] state: &str, #[case] moves: bool) {
    let (instance, other) = (
        FakeEndpoint::start("master", ScriptedResponse::Serve),
        FakeEndpoint::start("master", ScriptedResponse::Serve),
    );
    let (discovery, router) = quick_to_close(&instance);
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        format!("{:016x}", 1)
    );
    assert!(router.wait_for_counter("pools_retired=1"));
    let address = if moves {
        other.address
    } else {
        instance.address
    };
    discovery.publish(vec![list_entry("s-1", address, state)]);
    let begun = Instant::now();
    let is_over = || match moves {
        true => other.activity.with(|s| !s.queries.is_empty()),
        // The grace of a drain, with time for the list to come.
        false => begun.elapsed() > Duration::from_secs(1),
    };
    let mut id = 1;
    while !is_over() {
        id += 1;
        client.simple_query(&select_query(id, 500));
        assert!(begun.elapsed() < WAIT_TIMEOUT);
    }
    let asked = instance.activity.with(|s| s.queries.len());
    let answer = client.simple_query(&select_query(id + 1, 500));
    assert_eq!(answer.sqlstate.is_empty(), moves, "{answer:?}");
    assert_eq!(instance.activity.with(|s| s.queries.len()), asked);
}

/// An endpoint that the test itself plays, on one connection.
struct Scripted {
    stream: TcpStream,
}

impl Scripted {
    /// The first connection on this listener, its startup message read.
    fn accept(listener: &TcpListener) -> Scripted {
        let (stream, _) = listener.accept().unwrap();
        stream.set_nodelay(true).unwrap();
        let mut scripted = Scripted { stream };
        assert!(!scripted.read_within(WAIT_TIMEOUT).is_empty());
        scripted
    }

    /// AuthenticationOk and ReadyForQuery.
    fn welcome(&mut self) {
        self.stream
            .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
            .unwrap();
    }

    /// What comes next; nothing if the connection ends, or if nothing comes in time.
    fn read_within(&mut self, within: Duration) -> Vec<u8> {
        let until = Instant::now() + within;
        let mut bytes = vec![0; 4096];
        loop {
            let left = until
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left)).unwrap();
            match self.stream.read(&mut bytes) {
                Ok(n) => {
                    bytes.truncate(n);
                    return bytes;
                }
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return Vec::new(),
            }
        }
    }
}

/// Guards the grace of a drain where the router may be held up for 0.15 s after it has looked at its clock: a
/// connection that comes up in the last 0.15 s of the grace gets nothing more, nor does any in a shorter grace.
#[rstest]
#[case(250, 140, false)]
#[case(100, 0, false)]
#[case(20_000, 0, true)]
fn a_draining_endpoint_gets_a_first_byte_only_well_within_the_grace(
    #[case] grace_ms: u64,
    #[case] after_ms: u64,
    #[case] is_sent: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut settings = base_settings();
    settings["rules"]["drainGrace"] = json!(grace_ms * 1_000_000);
    settings["ceilings"]["connectTimeout"] = json!(10_000_000_000u64);
    settings["ceilings"]["probes"] = json!(false);
    let list = vec![list_entry("s-1", address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    let mut client = router.connect_client();
    client.send(&reelrill_test_support::client::query_message(
        &select_query(1, 8000),
    ));
    let mut endpoint = Scripted::accept(&listener);
    discovery.publish(vec![list_entry("s-1", address, "draining")]);
    // The next call tells that the list has been read.
    let called = |c: &mut Vec<String>| c.iter().any(|path| path.contains("since=2")).then_some(());
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, called)
            .is_some()
    );
    std::thread::sleep(Duration::from_millis(after_ms));
    endpoint.welcome();
    assert_eq!(
        !endpoint.read_within(Duration::from_secs(1)).is_empty(),
        is_sent
    );
}

/// Sets how many descriptors a process may have open from now on.
fn limit_descriptors(process: u32, most: usize) {
    let status = Command::new("prlimit")
        .arg(format!("--pid={process}"))
        .arg(format!("--nofile={most}:"))
        .status();
    assert!(status.unwrap().success());
}

/// Guards an endpoint against the router's own lack: without a descriptor nothing is dialled, and the endpoint is
/// neither blamed for it nor left out afterwards.
#[test]
fn a_lack_of_descriptors_is_not_held_against_the_endpoint() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let mut client = router.connect_client();
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (!c.is_empty()).then_some(()))
            .is_some()
    );
    limit_descriptors(router.pid(), 1);
    for id in 1..=3 {
        assert_eq!(
            client.simple_query(&select_query(id, 1000)).sqlstate,
            "53300"
        );
    }
    let counters = router.counters();
    assert!(
        counters.contains(" attempts_connect_failed=0 ")
            && !counters.contains(" attempts_not_sent=0 "),
        "{counters}"
    );
    limit_descriptors(router.pid(), 1024);
    let begun = Instant::now();
    assert_eq!(
        client.simple_query(&select_query(4, 5000)).value,
        format!("{:016x}", 4)
    );
    assert!(
        begun.elapsed() < Duration::from_secs(1),
        "{:?}",
        begun.elapsed()
    );
}

/// Sends a process one signal after the other until dropped.
struct SignalFlood(Child);

impl SignalFlood {
    fn start(process: u32) -> SignalFlood {
        let flood = format!("while kill -USR1 {process}; do :; done");
        SignalFlood(Command::new("sh").args(["-c", &flood]).spawn().unwrap())
    }
}

impl Drop for SignalFlood {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards reads and writes that a signal interrupts: none of them ends a connection or costs a request.
#[test]
fn requests_are_served_under_a_flood_of_signals() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::ServeLarge);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let mut client = router.connect_client();
    let flood = SignalFlood::start(router.pid());
    for id in 1..=100 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}").repeat(4096)
        );
    }
    drop(flood);
    assert_eq!(
        instance
            .activity
            .with(|s| (s.accepted_connections, s.queries.len())),
        (1, 100)
    );
    assert!(router.wait_for_counter("served=100"));
}

/// The `d` that a statement in words tells.
fn wait_told(query: &str) -> u64 {
    query
        .split(",d=")
        .nth(1)
        .and_then(|t| t.split(',').next()?.parse().ok())
        .unwrap()
}

/// Guards the time that is told with a statement that has to be prepared once more: the first answer may come late.
#[rstest]
#[case(400, true)]
#[case(3000, false)]
fn a_statement_prepared_again_tells_what_is_left(#[case] pause_ms: u64, #[case] is_sent: bool) {
    const READ: &str = "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = base_settings();
    settings["ceilings"]["probes"] = json!(false);
    settings["ceilings"]["secondCopies"] = json!(false);
    settings["ceilings"]["mayCancel"] = json!(false);
    let list = vec![list_entry("s-1", listener.local_addr().unwrap(), "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(
        &discovery,
        &list,
        1024,
        settings,
        Some("extended: {mode: on}"),
    );
    let mut client = router.connect_client();
    let values = [Some("k"), Some("00000000000000a1"), Some("2000")];
    let commands = [
        reelrill_test_support::client::parse_message("", READ, &[]),
        reelrill_test_support::client::bind_and_execute("", &values),
    ]
    .concat();
    client.send(&[commands, reelrill_test_support::client::sync_message()].concat());
    let mut endpoint = Scripted::accept(&listener);
    endpoint.welcome();
    assert!(!endpoint.read_within(WAIT_TIMEOUT).is_empty());
    std::thread::sleep(Duration::from_millis(pause_ms));
    // Unknown statement, and ready for the next.
    endpoint
        .stream
        .write_all(b"E\0\0\0\x13SERROR\0C26000\0\0Z\0\0\0\x05I")
        .unwrap();
    let again = endpoint.read_within(Duration::from_secs(1));
    assert_eq!(!again.is_empty(), is_sent);
    if is_sent {
        // In the Bind behind the Parse: the id, and the time in milliseconds behind it.
        let id = b"00000000000000a1";
        let at = again.windows(id.len()).rposition(|w| w == id).unwrap() + id.len();
        let length =
            usize::try_from(u32::from_be_bytes(again[at..at + 4].try_into().unwrap())).unwrap();
        let told: u64 = std::str::from_utf8(&again[at + 4..at + 4 + length])
            .unwrap()
            .parse()
            .unwrap();
        println!("told: {told} ms");
        assert!(told <= 2000 - pause_ms, "{told}");
    }
}

/// Guards requests with very little time left, which an endpoint drops without a word: each has its answer, none is
/// waited for beyond its time, and the endpoint is not left out for it.
#[test]
fn requests_with_little_time_left_are_answered_and_blame_nobody() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let mut client = router.connect_client();
    for (id, wait_ms) in (1..).zip([1, 5, 8, 9, 12, 20, 40]) {
        let begun = Instant::now();
        assert_eq!(
            client.simple_query(&select_query(id, wait_ms)).sqlstate,
            "53300"
        );
        assert!(
            begun.elapsed() < Duration::from_millis(wait_ms + 500),
            "{:?}",
            begun.elapsed()
        );
    }
    let told = instance
        .activity
        .with(|s| s.queries.iter().map(|q| wait_told(q)).max());
    assert!(told.is_none_or(|wait| wait <= 40), "{told:?}");
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert_eq!(
        client.simple_query(&select_query(100, 5000)).value,
        format!("{:016x}", 100)
    );
}
