//! A seeded soak: clients with requests, beside clients that send at full speed, crowds that stop in the middle of a
//! request, clients that leave, and series of signals, up to the kill after SIGTERM.
//!
//! `SOAK_SEEDS=FIRST-LAST cargo test --release -p reelrill-router --test soak` runs these seeds instead of the short run.

mod common;

use common::flood::{Flood, LocalMessage};
use common::*;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use reelrill_test_support::client::{query_message, startup_message};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The seeds of the short run.
const SHORT_RUN: RangeInclusive<u64> = 1..=6;
/// The longest deadline of a request.
const DEADLINE: Duration = Duration::from_millis(1000);
/// The earliest kill after SIGTERM: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(1700);
/// A response later than this after its client's wait is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// The time for which a request's client waits, in milliseconds.
const WAIT_MS: u64 = 700;
/// The time after the close of a connection from which no attempt may begin for it.
const LAST_ATTEMPT: Duration = Duration::from_millis(150);
const CLIENTS: u64 = 8;

/// What happened to the requests of the clients that behave well.
#[derive(Debug, Default)]
struct Outcomes {
    served: usize,
    rejected: usize,
    lost: usize,
    /// Sent again on a new connection, after the router had closed the one that was in use.
    resent: usize,
}

/// The faults of one run.
#[derive(Debug)]
struct Plan {
    limits: ProcessLimits,
    is_extended: bool,
    senders: usize,
    crowd: usize,
    signals: usize,
}

impl Plan {
    fn draw(random: &mut SmallRng) -> Plan {
        let has_crowd = random.random_bool(0.5);
        Plan {
            limits: ProcessLimits {
                sockets: [256, 512, 1024][random.random_range(0..3)],
                memory_mb: [32, 48, 96][random.random_range(0..3)],
            },
            is_extended: random.random_bool(0.5),
            senders: random.random_range(1..=8),
            crowd: if has_crowd {
                random.random_range(20..=80)
            } else {
                0
            },
            signals: random.random_range(0..=40),
        }
    }

    fn message(&self, random: &mut SmallRng) -> LocalMessage {
        let mut messages = vec![
            LocalMessage::EncryptionRequest,
            LocalMessage::EmptyQuery,
            LocalMessage::QueryWithoutId,
            LocalMessage::UnknownClass,
            LocalMessage::LongStatement,
            LocalMessage::Sync,
        ];
        if self.is_extended {
            messages.extend([
                LocalMessage::InvalidParse,
                LocalMessage::PreparedUnderNewNames,
                LocalMessage::UnknownStatement,
            ]);
        }
        messages[random.random_range(0..messages.len())]
    }
}

/// Returns a request with this id: every fourth is a write with the id as its key.
fn request(id: u64) -> String {
    if !id.is_multiple_of(4) {
        return select_query(id, WAIT_MS);
    }
    format!(
        "INSERT INTO facts (code, data) VALUES ('s-{id}', 'v') RETURNING data \
         /* id={id:016x},c=book,d={WAIT_MS},k={id:016x},cluster=2 */"
    )
}

/// Sends requests one after the other. Those sent before `is_ending` is set count; after it, the open connection is used
/// until it ends.
fn send_requests(address: SocketAddr, first: u64, is_ending: &AtomicBool) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut client: Option<Client> = None;
    for id in first.. {
        let is_counted = !is_ending.load(Ordering::Relaxed);
        if !is_counted && client.is_none() {
            break;
        }
        let is_reused = client.is_some();
        let mut connection = client.take().unwrap_or_else(|| connect(address));
        let mut sent = Instant::now();
        let mut response = send_request(&mut connection, id);
        if response.is_none() && is_reused && is_counted && sent.elapsed() < response_limit() {
            // The connection was closed between requests, and the close has crossed the request.
            outcomes.resent += 1;
            connection = connect(address);
            sent = Instant::now();
            response = send_request(&mut connection, id);
        }
        let Some(response) = response.filter(|_| sent.elapsed() <= response_limit()) else {
            outcomes.lost += usize::from(is_counted);
            continue;
        };
        if is_counted && response.sqlstate.is_empty() {
            outcomes.served += 1;
        } else if is_counted {
            outcomes.rejected += 1;
        }
        client = Some(connection).filter(|_| !is_counted || id % 8 > 0);
        std::thread::sleep(Duration::from_millis(5 + id % 20));
    }
    outcomes
}

/// Returns the time after which a response is lost.
fn response_limit() -> Duration {
    Duration::from_millis(WAIT_MS) + LOST_AFTER
}

/// Connects a client and sends the startup message, without waiting for the response to it.
fn connect(address: SocketAddr) -> Client {
    let mut client = Client::connect(address);
    client
        .stream
        .set_read_timeout(Some(response_limit()))
        .unwrap();
    client.send(&startup_message());
    client
}

/// Sends a request and returns its complete response, if there is one.
fn send_request(client: &mut Client, id: u64) -> Option<Response> {
    client.send(&query_message(&request(id)));
    let mut response = client.read_response();
    if response.as_ref().is_some_and(|r| r.tags == "RSSSKZ") {
        response = client.read_response();
    }
    response.filter(|r| r.tags.ends_with('Z'))
}

/// Connects clients that stop in the middle of a request and stay.
fn start_crowd(address: SocketAddr, size: usize) -> Vec<Client> {
    let connect = |_| {
        let mut client = Client::connect(address);
        let message = query_message(&select_query(1, WAIT_MS));
        client.send(&[startup_message(), message[..30].to_vec()].concat());
        client
    };
    (0..size).map(connect).collect()
}

/// Connects a client that sends many writes at once and leaves. Returns the time of its close.
fn send_much_and_leave(address: SocketAddr, first: u64) -> Instant {
    let mut client = Client::connect(address);
    let writes = (first..first + 1000).flat_map(|id| query_message(&request(id * 4)));
    let messages: Vec<u8> = startup_message().into_iter().chain(writes).collect();
    client.send(&messages);
    drop(client);
    Instant::now()
}

fn settings() -> serde_json::Value {
    let mut settings = base_settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["onTime"] = 200_000_000u64.into();
        class["hardLimit"] = (DEADLINE.as_nanos() as u64).into();
    }
    settings
}

/// Returns the number of requests with ids of clients that leave which the endpoints have received.
fn requests_of_departed(endpoints: &[FakeEndpoint]) -> usize {
    let is_departed = |query: &&String| request_id(query).starts_with("00ff");
    let count = |e: &FakeEndpoint| {
        e.activity
            .with(|a| a.queries.iter().filter(is_departed).count())
    };
    endpoints.iter().map(count).sum()
}

fn run(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let plan = Plan::draw(&mut random);
    let replica_set = FakeReplicaSet::new("s-0", Duration::from_millis(5), Duration::from_secs(2));
    let start = |number: u64| {
        let address = ([127, 0, 0, 1], 0).into();
        let time = Duration::from_millis(2 + (seed + number) % 12);
        let name = format!("s-{number}");
        FakeEndpoint::start_in_replica_set(&replica_set, &name, address, time, false)
    };
    let endpoints: Vec<FakeEndpoint> = (0..3).map(start).collect();
    let list: Vec<_> = endpoints.iter().map(|e| e.list_entry(2, "ready")).collect();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let extensions = plan.is_extended.then_some("extended: {mode: on}");
    let router = start_router_with(&discovery, &list, plan.limits, settings(), extensions);
    let address = router.address;
    let is_ending = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let is_ending = is_ending.clone();
            std::thread::spawn(move || send_requests(address, number << 32, &is_ending))
        })
        .collect();
    for round in 0..3 {
        let flood = Flood::start(address, plan.message(&mut random), plan.senders);
        let crowd = start_crowd(address, plan.crowd);
        for _ in 0..plan.signals {
            router.signal(if random.random_bool(0.5) {
                "HUP"
            } else {
                "USR1"
            });
        }
        std::thread::sleep(Duration::from_millis(random.random_range(200..500)));
        let closed = send_much_and_leave(address, 0xff << 46 | round << 20);
        std::thread::sleep(LAST_ATTEMPT.saturating_sub(closed.elapsed()));
        let in_time = requests_of_departed(&endpoints);
        std::thread::sleep(LAST_ATTEMPT);
        assert_eq!(
            requests_of_departed(&endpoints),
            in_time,
            "seed {seed}: {plan:?}"
        );
        flood.stop();
        drop(crowd);
    }
    let flood = Flood::start(address, LocalMessage::EmptyQuery, plan.senders);
    is_ending.store(true, Ordering::Relaxed);
    let peak_kb = router.peak_memory_kb();
    let pid = router.pid();
    router.signal("TERM");
    std::thread::sleep(KILL_AFTER);
    // A process that has ended stays as a zombie until its parent has waited for it.
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let is_running = !status.is_empty() && !status.contains("State:\tZ");
    let log = router.log.clone();
    drop(router);
    flood.stop();
    let outcomes: Vec<Outcomes> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let lost: usize = outcomes.iter().map(|o| o.lost).sum();
    let served: usize = outcomes.iter().map(|o| o.served).sum();
    let rejected: usize = outcomes.iter().map(|o| o.rejected).sum();
    let resent: usize = outcomes.iter().map(|o| o.resent).sum();
    let closed =
        |line: &&String| line.contains("reason: evicted") && !line.contains("discarded_bytes: 0");
    let crossed = log.with(|lines| lines.iter().filter(closed).count());
    let repeated = replica_set.with_execution_log(|log| log.keys_executed_more_than_once().len());
    println!(
        "seed {seed}: served {served}, rejected {rejected}, lost {lost}, resent {resent} (closed over unread input: {crossed}), executed twice {repeated}, peak {peak_kb} kB, running at the kill {is_running}, {plan:?}"
    );
    assert_eq!((lost, repeated), (0, 0), "seed {seed}: {plan:?}");
    assert!(
        served >= 9 * rejected,
        "seed {seed}: served {served}, rejected {rejected}"
    );
    let limit_kb = plan.limits.memory_mb * 1024;
    assert!(peak_kb <= limit_kb, "seed {seed}: {peak_kb} kB, {plan:?}");
}

/// Returns the seeds to run.
fn seeds() -> RangeInclusive<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return SHORT_RUN;
    };
    let (first, last) = range
        .split_once('-')
        .expect("SOAK_SEEDS: expected FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}

/// Guards against requests that are lost, executed twice or sent for a client that has left, and against memory beyond the
/// limit, under combinations of the faults of issue 43.
#[test]
fn requests_are_served_beside_clients_that_misbehave() {
    let mut failed: HashMap<u64, String> = HashMap::new();
    for seed in seeds() {
        if let Err(cause) = std::panic::catch_unwind(|| run(seed)) {
            let text = cause.downcast_ref::<String>().cloned();
            failed.insert(seed, text.unwrap_or_default());
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
