//! Tests of the platform's acceptance criteria on the router binary: graceful shutdown, responses on connections that
//! close, and resource shortages of the host.

mod common;

use common::*;
use reelrill_test_support::client::{query_message, startup_message};
use rstest::rstest;
use serde_json::Value;
use std::io::{Read as _, Write as _};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns settings in which every class has `deadline` as its deadline and half of it as its latency objective.
fn settings_with_deadline(deadline: Duration) -> Value {
    let mut settings = base_settings();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["hardLimit"] = u64::try_from(deadline.as_nanos()).unwrap().into();
        class["onTime"] = u64::try_from(deadline.as_nanos() / 2).unwrap().into();
    }
    settings
}

/// Starts a primary and a router whose endpoint list contains only this one.
fn start_with_one_endpoint(
    scripted_response: ScriptedResponse,
    settings: Value,
) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let endpoint = FakeEndpoint::start("master", scripted_response);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    (endpoint, discovery, router)
}

/// Returns a write of class `book` in `session`. Its idempotency key is `id`, and the client waits `wait_ms`
/// milliseconds.
fn insert_query(id: u64, session: &str, wait_ms: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('{session}', '\\x00') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    )
}

/// Guards requests against a kill that comes one second after SIGTERM, where the longest deadline is 0.3 s. The
/// endpoint hangs throughout and the clients send on every open connection: by the kill, each request that was sent
/// within 0.7 s must have its response, or its connection must have ended.
#[test]
fn requests_have_responses_at_the_kill_when_deadlines_are_short() {
    const DEADLINE_MS: u64 = 300;
    const SENT_AT_MS: [u64; 9] = [0, 100, 200, 300, 400, 500, 580, 640, 680];
    let deadline = Duration::from_millis(DEADLINE_MS);
    let (_endpoint, _discovery, mut router) = start_with_one_endpoint(
        ScriptedResponse::NoResponse,
        settings_with_deadline(deadline),
    );
    let clients: Vec<Client> = (0..4).map(|_| router.connect_client()).collect();
    let (mut senders, mut readers) = (Vec::new(), Vec::new());
    let terminated = Instant::now() + Duration::from_millis(60);
    for (mut client, first_id) in clients.into_iter().zip((0x1000..).step_by(0x1000)) {
        let mut writer = client.stream.try_clone().unwrap();
        senders.push(std::thread::spawn(move || {
            let sending_started = terminated - Duration::from_millis(20);
            let mut sent = Vec::new();
            for (id, sent_at_ms) in (first_id..).zip(SENT_AT_MS) {
                std::thread::sleep(
                    (sending_started + Duration::from_millis(sent_at_ms)) - Instant::now(),
                );
                if writer
                    .write_all(&query_message(&insert_query(
                        id,
                        &format!("{first_id}"),
                        DEADLINE_MS,
                    )))
                    .is_err()
                {
                    break;
                }
                sent.push(Instant::now());
            }
            sent
        }));
        readers.push(std::thread::spawn(move || {
            let mut responded = Vec::new();
            while client
                .read_response()
                .is_some_and(|r| r.tags.ends_with('Z'))
            {
                responded.push(Instant::now());
            }
            (responded, Instant::now())
        }));
    }
    std::thread::sleep(terminated - Instant::now());
    router.signal("TERM");
    std::thread::sleep((terminated + deadline + Duration::from_millis(700)) - Instant::now());
    // The process may have exited by itself, so the status is ignored.
    let _ = Command::new("kill")
        .args(["-KILL", &router.pid().to_string()])
        .status();
    let time_after_sigterm = |at: &Instant| at.saturating_duration_since(terminated);
    for (sender, reader) in senders.into_iter().zip(readers) {
        let sent = sender.join().unwrap();
        let (responded, ended) = reader.join().unwrap();
        // A request sent while the connection closes is sent again by its client.
        let close_started = ended - Duration::from_millis(30);
        let without_response: Vec<Duration> = sent[responded.len()..]
            .iter()
            .filter(|at| **at < close_started)
            .map(time_after_sigterm)
            .collect();
        assert!(
            without_response.is_empty(),
            "requests without a response, by the time sent after SIGTERM: {without_response:?}"
        );
    }
    router.wait_for_exit();
}

/// Guards against attempts for a client that has already disconnected: the end of its stream lies behind more bytes
/// than the read-ahead limit, and all of it has arrived before the first read.
#[test]
fn no_attempt_starts_for_a_client_that_disconnected_before_the_first_read() {
    let (endpoint, _discovery, router) =
        start_with_one_endpoint(ScriptedResponse::Serve, base_settings());
    router.signal("STOP");
    let mut client = Client::connect(router.address);
    let requests: Vec<u8> = (1..=1500)
        .flat_map(|id| query_message(&select_query(id, 20_000)))
        .collect();
    client.send(&[startup_message(), requests].concat());
    client.shutdown_write();
    router.signal("CONT");
    assert!(router.wait_for_log("reason: left_waiting"));
    assert_eq!(endpoint.activity.with(|s| s.queries.len()), 0);
}

/// Sets the soft limit of open descriptors of a process.
fn limit_descriptors(pid: u32, limit: usize) {
    let argument = format!("--nofile={limit}:");
    let status = Command::new("prlimit")
        .args(["--pid", &pid.to_string(), &argument])
        .status()
        .unwrap();
    assert!(status.success());
}

/// Returns the processor time that a process has used, in clock ticks of 10 ms.
fn processor_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// Guards the listeners for clients and operators against a shortage of descriptors (EMFILE): they must accept again
/// afterwards, and must not use the processor in a busy loop meanwhile.
#[test]
fn accepting_continues_after_a_shortage_of_descriptors() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("members");
    let extensions = format!(
        "discovery:\n  dns_sd: {{servers: [\"127.0.0.1:9\"], services: [\"{}\"], domain: \"{}\"}}\n\
         members_socket: {}\n",
        dns::SERVICE,
        dns::DOMAIN,
        socket.display()
    );
    let router = start_router_with(&discovery, &list, 1024, base_settings(), Some(&extensions));
    // Open descriptors stay usable; the process can open no further ones.
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
    let ticks_before = processor_ticks(router.pid());
    std::thread::sleep(Duration::from_millis(500));
    let used_ticks = processor_ticks(router.pid()) - ticks_before;
    assert!(
        used_ticks < 25,
        "{used_ticks} of 50 ticks of processor time used during the shortage"
    );
    limit_descriptors(router.pid(), 1024);
    assert_eq!(client.read_response().unwrap().tags, "RSSSKZ");
    assert_eq!(client.read_response().unwrap().value, "0000000000000001");
    let mut table = String::new();
    operator.read_to_string(&mut table).unwrap();
    assert!(table.contains("s-1"), "{table}");
}

/// Guards against an outdated configuration when new ones are written faster than they can be read: the last one must
/// apply.
#[test]
fn last_of_many_rapid_reloads_applies() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    // A long list takes long to parse on each reload.
    let list: Vec<Value> = (0..1500)
        .map(|i| list_entry(&format!("s-{i}"), endpoint.address, "ready"))
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
            .wait_for(WAIT_TIMEOUT, |paths| (!paths.is_empty()).then_some(()))
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

/// Guards against an endpoint that is kept in slow start because the router's clock is an hour behind the platform's:
/// the latest reported start time must count as past, so that an endpoint started a minute earlier has completed its
/// slow start.
#[test]
fn endpoint_has_completed_slow_start_although_the_clock_is_an_hour_behind() {
    const HOUR_MS: u64 = 3_600_000;
    let [older, new] = [(); 2].map(|()| FakeEndpoint::start("replica", ScriptedResponse::Serve));
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let mut list = vec![
        list_entry("s-1", older.address, "ready"),
        list_entry("s-2", new.address, "ready"),
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
    let query_count = |e: &FakeEndpoint| e.activity.with(|s| s.queries.len());
    assert!(
        query_count(&older) > 2 * query_count(&new),
        "{} queries at the older endpoint, {} at the new one",
        query_count(&older),
        query_count(&new)
    );
}

/// The part of its messages after which a client stops sending.
#[derive(Clone, Copy, Debug)]
enum StopsAfter {
    Nothing,
    HalfStartup,
    Startup,
    HalfFirstQuery,
    HeaderOfFirstQuery,
    HalfNextQuery,
    QueryAndHalf,
    HeaderWithLargeLength,
}

/// Guards connections against clients that stop in the middle of a request and stay connected: each must get an error
/// or the end of its connection within 3 s, also when it keeps sending single bytes.
#[rstest]
fn stalled_client_gets_an_error_or_end_of_stream_within_three_seconds(
    #[values(
        StopsAfter::Nothing,
        StopsAfter::HalfStartup,
        StopsAfter::Startup,
        StopsAfter::HalfFirstQuery,
        StopsAfter::HeaderOfFirstQuery,
        StopsAfter::HalfNextQuery,
        StopsAfter::QueryAndHalf,
        StopsAfter::HeaderWithLargeLength
    )]
    stops_after: StopsAfter,
    #[values(false, true)] is_sending_single_bytes: bool,
) {
    let (_endpoint, _discovery, router) =
        start_with_one_endpoint(ScriptedResponse::Serve, base_settings());
    let mut client = Client::connect(router.address);
    let (startup, first, next) = (
        startup_message(),
        query_message(&select_query(1, 5000)),
        query_message(&select_query(2, 5000)),
    );
    let half = |message: &[u8]| message[..message.len() / 2].to_vec();
    if matches!(stops_after, StopsAfter::HalfNextQuery) {
        client.complete_startup();
        assert_eq!(
            client.simple_query(&select_query(3, 5000)).value,
            "0000000000000003"
        );
    }
    client.send(&match stops_after {
        StopsAfter::Nothing => Vec::new(),
        StopsAfter::HalfStartup => half(&startup),
        StopsAfter::Startup => startup,
        StopsAfter::HalfFirstQuery => [startup, half(&first)].concat(),
        StopsAfter::HeaderOfFirstQuery => [startup, first[..5].to_vec()].concat(),
        StopsAfter::HalfNextQuery => half(&next),
        StopsAfter::QueryAndHalf => [startup, first, half(&next)].concat(),
        StopsAfter::HeaderWithLargeLength => [startup, vec![b'Q', 0, 1, 0, 0]].concat(),
    });
    let stopped = Instant::now();
    let mut writer = client.stream.try_clone().unwrap();
    let is_inside_query = !matches!(
        stops_after,
        StopsAfter::Nothing | StopsAfter::Startup | StopsAfter::HalfStartup
    );
    let single_byte_sender = std::thread::spawn(move || {
        while is_sending_single_bytes
            && is_inside_query
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
    single_byte_sender.join().unwrap();
}

/// Guards against requests that fail because a signal interrupts a system call (EINTR).
#[test]
fn requests_are_served_during_two_thousand_signals() {
    let (_endpoint, _discovery, router) =
        start_with_one_endpoint(ScriptedResponse::ServeLarge, base_settings());
    let script = format!("for i in $(seq 2000); do kill -USR1 {}; done", router.pid());
    let mut signals = Command::new("sh").args(["-c", &script]).spawn().unwrap();
    let mut client = router.connect_client();
    let mut id = 0;
    while id < 50 || signals.try_wait().unwrap().is_none() {
        id += 1;
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}").repeat(4096)
        );
    }
    assert!(router.wait_for_counter("attempts_connection_reset=0"));
}
