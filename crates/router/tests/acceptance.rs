//! The platform's terms of acceptance, each on the real program: graceful shutdown, what a closed connection owes,
//! and shortages of the host.

mod common;

use common::*;
use reelrill_test_support::client::{query_message, startup_message};
use rstest::rstest;
use serde_json::Value;
use std::io::{Read as _, Write as _};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Settings in which no class has a longer deadline than this.
fn with_longest_deadline(deadline: Duration) -> Value {
    let mut settings = base_settings();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["hardLimit"] = u64::try_from(deadline.as_nanos()).unwrap().into();
        class["onTime"] = u64::try_from(deadline.as_nanos() / 2).unwrap().into();
    }
    settings
}

/// One endpoint, and a router that knows it.
fn one_endpoint(
    act: ScriptedResponse,
    settings: Value,
) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let instance = FakeEndpoint::start("master", act);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    (instance, discovery, router)
}

fn book(id: u64, session: &str, wait_ms: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('{session}', '\\x00') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    )
}

/// With deadlines of 0.3 s the process may be killed one second after SIGTERM. Its clients send on every connection
/// that stays open, its endpoint hangs throughout: by then each request that came within 0.7 s has its answer, or met
/// the end of its connection.
#[test]
fn short_deadlines_leave_no_request_unanswered_at_the_kill() {
    const DEADLINE_MS: u64 = 300;
    const SENT_AT_MS: [u64; 9] = [0, 100, 200, 300, 400, 500, 580, 640, 680];
    let deadline = Duration::from_millis(DEADLINE_MS);
    let (_instance, _discovery, mut router) = one_endpoint(
        ScriptedResponse::NoResponse,
        with_longest_deadline(deadline),
    );
    let clients: Vec<Client> = (0..4).map(|_| router.connect_client()).collect();
    let (mut sending, mut reading) = (Vec::new(), Vec::new());
    let terminated = Instant::now() + Duration::from_millis(60);
    for (mut client, first) in clients.into_iter().zip((0x1000..).step_by(0x1000)) {
        let mut writer = client.stream.try_clone().unwrap();
        sending.push(std::thread::spawn(move || {
            let begun = terminated - Duration::from_millis(20);
            let mut sent = Vec::new();
            for (id, at) in (first..).zip(SENT_AT_MS) {
                std::thread::sleep((begun + Duration::from_millis(at)) - Instant::now());
                if writer
                    .write_all(&query_message(&book(id, &format!("{first}"), DEADLINE_MS)))
                    .is_err()
                {
                    break;
                }
                sent.push(Instant::now());
            }
            sent
        }));
        reading.push(std::thread::spawn(move || {
            let mut answered = Vec::new();
            while client
                .read_response()
                .is_some_and(|a| a.tags.ends_with('Z'))
            {
                answered.push(Instant::now());
            }
            (answered, Instant::now())
        }));
    }
    std::thread::sleep(terminated - Instant::now());
    router.signal("TERM");
    std::thread::sleep((terminated + deadline + Duration::from_millis(700)) - Instant::now());
    // It may have ended by itself.
    let _ = Command::new("kill")
        .args(["-KILL", &router.pid().to_string()])
        .status();
    let since = |at: &Instant| at.saturating_duration_since(terminated);
    for (sending, reading) in sending.into_iter().zip(reading) {
        let sent = sending.join().unwrap();
        let (answered, ended) = reading.join().unwrap();
        // One that crosses the close is sent again by its client.
        let crossed = ended - Duration::from_millis(30);
        let unanswered: Vec<Duration> = sent[answered.len()..]
            .iter()
            .filter(|at| **at < crossed)
            .map(since)
            .collect();
        assert!(
            unanswered.is_empty(),
            "sent so long after SIGTERM: {unanswered:?}"
        );
    }
    router.wait_for_exit();
}

/// An end behind more bytes than are read ahead, all of it there before the first read: no attempt begins for a client
/// that has gone.
#[test]
fn nothing_begins_for_a_client_that_left_before_it_was_read() {
    let (instance, _discovery, router) = one_endpoint(ScriptedResponse::Serve, base_settings());
    router.signal("STOP");
    let mut client = Client::connect(router.address);
    let requests: Vec<u8> = (1..=1500)
        .flat_map(|id| query_message(&select_query(id, 20_000)))
        .collect();
    client.send(&[startup_message(), requests].concat());
    client.shutdown_write();
    router.signal("CONT");
    assert!(router.wait_for_log("reason: left_waiting"));
    assert_eq!(instance.activity.with(|s| s.queries.len()), 0);
}

fn limit_descriptors(pid: u32, most: usize) {
    // The soft limit alone.
    let limit = format!("--nofile={most}:");
    let status = Command::new("prlimit")
        .args(["--pid", &pid.to_string(), &limit])
        .status()
        .unwrap();
    assert!(status.success());
}

/// The processor time that a process has used, in clock ticks of 10 ms.
fn processor_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// A process that is out of descriptors for a while (EMFILE) goes on accepting afterwards, clients and operators, and
/// does not spin meanwhile.
#[test]
fn accepting_goes_on_after_a_shortage_of_descriptors() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("members");
    let edge = format!(
        "discovery:\n  dns_sd: {{servers: [\"127.0.0.1:9\"], services: [\"{}\"], domain: \"{}\"}}\n\
         members_socket: {}\n",
        dns::SERVICE,
        dns::DOMAIN,
        socket.display()
    );
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(&edge));
    // It keeps what it has, and gets nothing more.
    limit_descriptors(router.pid(), 1);
    let mut operator = UnixStream::connect(&socket).unwrap();
    operator.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut client = Client::connect(router.address);
    client.send(&[startup_message(), query_message(&select_query(1, 20_000))].concat());
    assert!(
        router
            .log
            .wait_for(WAIT_TIMEOUT, |l| {
                let failed =
                    |l: &&String| l.contains("accept failed") && l.contains("socket: members");
                (l.iter().filter(failed).count() > 3).then_some(())
            })
            .is_some()
    );
    let used = processor_ticks(router.pid());
    std::thread::sleep(Duration::from_millis(500));
    let used = processor_ticks(router.pid()) - used;
    assert!(used < 25, "{used} ticks of 50 while it waited");
    limit_descriptors(router.pid(), 1024);
    assert_eq!(client.read_response().unwrap().tags, "RSSSKZ");
    assert_eq!(client.read_response().unwrap().value, "0000000000000001");
    let mut table = String::new();
    operator.read_to_string(&mut table).unwrap();
    assert!(table.contains("s-1"), "{table}");
}

/// New configurations in quick succession, faster than they can be read: the last one wins.
#[test]
fn the_last_of_many_new_configurations_wins() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    // A long list takes long to read again.
    let list: Vec<Value> = (0..1500)
        .map(|i| list_entry(&format!("s-{i}"), instance.address, "ready"))
        .collect();
    let (first, last) = (
        FakeDiscovery::start(Some(list.clone())),
        FakeDiscovery::start(Some(list.clone())),
    );
    let router = start_router(&first, &list, 1024);
    for port in 1..=40u16 {
        router.reload_config("discovery", format!("127.0.0.1:{port}").into());
    }
    router.reload_config("discovery", last.address.to_string().into());
    assert!(
        last.requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (!c.is_empty()).then_some(()))
            .is_some()
    );
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
}

/// A router whose clock is an hour behind the platform's when it starts: the latest start that it is told of lies in the
/// past, and an endpoint that started a minute earlier is warm.
#[test]
fn a_clock_that_is_behind_takes_no_warm_endpoint_for_a_cold_one() {
    const HOUR_MS: u64 = 3_600_000;
    let [warm, cold] = [(); 2].map(|()| FakeEndpoint::start("replica", ScriptedResponse::Serve));
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let mut list = vec![
        list_entry("s-1", warm.address, "ready"),
        list_entry("s-2", cold.address, "ready"),
    ];
    list[0]["boot_ms"] = (now + HOUR_MS - 60_000).into();
    list[1]["boot_ms"] = (now + HOUR_MS).into();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router(&discovery, &list, 1024);
    let mut client = router.connect_client();
    for id in 1..=200 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
    }
    let asked = |i: &FakeEndpoint| i.activity.with(|s| s.queries.len());
    assert!(
        asked(&warm) > 2 * asked(&cold),
        "{} and {}",
        asked(&warm),
        asked(&cold)
    );
}

/// What a client has sent when it stops.
#[derive(Clone, Copy, Debug)]
enum StopsAfter {
    Nothing,
    HalfStartup,
    Startup,
    HalfFirstQuery,
    HeaderOfFirstQuery,
    HalfNextQuery,
    QueryAndHalf,
    LyingLength,
}

/// Clients that stop in the middle of a request and stay get their error, or the end of their connection, within the
/// 3 s that they are owed; one that drips single bytes gains nothing by it.
#[rstest]
fn a_client_that_stops_and_stays_meets_an_end(
    #[values(
        StopsAfter::Nothing,
        StopsAfter::HalfStartup,
        StopsAfter::Startup,
        StopsAfter::HalfFirstQuery,
        StopsAfter::HeaderOfFirstQuery,
        StopsAfter::HalfNextQuery,
        StopsAfter::QueryAndHalf,
        StopsAfter::LyingLength
    )]
    stops: StopsAfter,
    #[values(false, true)] drips: bool,
) {
    let (_instance, _discovery, router) = one_endpoint(ScriptedResponse::Serve, base_settings());
    let mut client = Client::connect(router.address);
    let (hello, first, next) = (
        startup_message(),
        query_message(&select_query(1, 5000)),
        query_message(&select_query(2, 5000)),
    );
    let half = |message: &[u8]| message[..message.len() / 2].to_vec();
    if matches!(stops, StopsAfter::HalfNextQuery) {
        client.complete_startup();
        assert_eq!(
            client.simple_query(&select_query(3, 5000)).value,
            "0000000000000003"
        );
    }
    client.send(&match stops {
        StopsAfter::Nothing => Vec::new(),
        StopsAfter::HalfStartup => half(&hello),
        StopsAfter::Startup => hello,
        StopsAfter::HalfFirstQuery => [hello, half(&first)].concat(),
        StopsAfter::HeaderOfFirstQuery => [hello, first[..5].to_vec()].concat(),
        StopsAfter::HalfNextQuery => half(&next),
        StopsAfter::QueryAndHalf => [hello, first, half(&next)].concat(),
        StopsAfter::LyingLength => [hello, vec![b'Q', 0, 1, 0, 0]].concat(),
    });
    let stopped = Instant::now();
    let mut writer = client.stream.try_clone().unwrap();
    let is_inside = !matches!(
        stops,
        StopsAfter::Nothing | StopsAfter::Startup | StopsAfter::HalfStartup
    );
    let dripping = std::thread::spawn(move || {
        while drips
            && is_inside
            && stopped.elapsed() < WAIT_TIMEOUT
            && writer.write_all(b"x").is_ok()
        {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    while client.read_response().is_some() {}
    assert!(
        stopped.elapsed() < Duration::from_secs(3),
        "{:?}",
        stopped.elapsed()
    );
    drop(client);
    dripping.join().unwrap();
}

/// Signals in a flood (EINTR from any call) break nothing that is served.
#[test]
fn a_flood_of_signals_breaks_nothing() {
    let (_instance, _discovery, router) =
        one_endpoint(ScriptedResponse::ServeLarge, base_settings());
    let flood = format!("for i in $(seq 2000); do kill -USR1 {}; done", router.pid());
    let mut flooding = Command::new("sh").args(["-c", &flood]).spawn().unwrap();
    let mut client = router.connect_client();
    let mut id = 0;
    while id < 50 || flooding.try_wait().unwrap().is_none() {
        id += 1;
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}").repeat(4096)
        );
    }
    assert!(router.wait_for_counter("attempts_connection_reset=0"));
}
