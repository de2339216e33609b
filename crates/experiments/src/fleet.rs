//! What one router needs as the fleet of endpoints and routers grows while its own traffic stays the same.
//!
//! Two kinds of traffic, each with a router at the usual size that others are compared with:
//!
//! - a router of a whole fleet: 4 requests a second over replica sets of five, of which a larger fleet has more;
//! - a busy router: 40 requests a second over 40 replica sets, which a larger fleet has larger.
//!
//! All routers run side by side. One endpoint in twenty drains and comes back warming up, again and again, a watch event
//! every 100 ms. Endpoints share the sockets of four fake servers: one that is every replica set's primary, three that
//! are its replicas.

use crate::figures::{Report, Target, median};
use anyhow::Context as _;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reelrill_test_support::client::query_message;
use reelrill_test_support::replica_set::now_ms;
use reelrill_test_support::{
    ChangeFeed, Client, FakeEndpoint, FakeReplicaSet, RouterProcess, base_settings, list_entry,
};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Connections of clients to one router: few enough that none rests for longer than a router bears.
const CLIENTS: usize = 8;
/// What each request leaves the router, and what counts as served.
const CLIENT_DEADLINE: Duration = Duration::from_secs(1);
const SERVICE_TIME: Duration = Duration::from_millis(3);
const WATCH_EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// One endpoint of so many drains and comes back in turns; it is a replica.
const RESTLESS_PERIOD: usize = 20;
const RESTLESS_OFFSET: usize = 7;
const DESCRIPTOR_LIMIT: u64 = 1024;
/// Clock ticks a second in `/proc/PID/stat`, the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Where `utime` stands in `/proc/PID/stat`, counted from the first field behind the name; `stime` is the next.
const USER_TIME_FIELD: usize = 11;

/// The size of a fleet, and the traffic of one of its routers.
#[derive(Clone, Copy)]
struct Fleet {
    addresses: usize,
    replica_set_size: usize,
    routers: u32,
    /// Requests a second, over all clients of the router.
    request_rate: f64,
}

impl Fleet {
    const fn of(
        addresses: usize,
        replica_set_size: usize,
        routers: u32,
        request_rate: f64,
    ) -> Fleet {
        Fleet {
            addresses,
            replica_set_size,
            routers,
            request_rate,
        }
    }

    fn replica_sets(&self) -> usize {
        self.addresses / self.replica_set_size
    }
}

impl std::fmt::Display for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "{}/s, {} in sets of {}",
            self.request_rate, self.addresses, self.replica_set_size
        )?;
        write!(f, ", {} routers", self.routers)
    }
}

/// The usual size, and what is held to the bounds on it.
struct Comparison {
    usual: Fleet,
    others: &'static [Fleet],
}

const COMPARISONS: [Comparison; 2] = [
    Comparison {
        usual: Fleet::of(200, 5, 300, 4.0),
        others: &[
            Fleet::of(200, 5, 900, 4.0),
            Fleet::of(3_200, 5, 300, 4.0),
            Fleet::of(3_200, 5, 900, 4.0),
        ],
    },
    Comparison {
        usual: Fleet::of(200, 5, 300, 40.0),
        others: &[Fleet::of(3_200, 80, 900, 40.0)],
    },
];

/// What one router used over a run.
#[derive(Clone, Copy)]
struct Usage {
    cpu_seconds: f64,
    peak_memory_mb: f64,
    peak_descriptors: f64,
    connections: f64,
    list_kb: f64,
    served_share: f64,
}

/// How far one figure may grow: `factor` times the usual, plus a constant, plus so much for each thousand endpoints.
struct Bound {
    name: &'static str,
    unit: &'static str,
    factor: f64,
    constant: f64,
    per_thousand: f64,
    read: fn(&Usage) -> f64,
}

impl Bound {
    fn at(&self, usual: f64, addresses: usize) -> f64 {
        self.factor * usual + self.constant + self.per_thousand * addresses as f64 / 1000.0
    }
}

const BOUNDS: [Bound; 5] = [
    Bound {
        name: "CPU",
        unit: "s",
        factor: 1.4,
        constant: 0.02,
        per_thousand: 0.03,
        read: |usage| usage.cpu_seconds,
    },
    Bound {
        name: "peak memory",
        unit: "MB",
        factor: 1.5,
        constant: 8.0,
        per_thousand: 4.0,
        read: |usage| usage.peak_memory_mb,
    },
    Bound {
        name: "descriptors",
        unit: "",
        factor: 2.0,
        constant: 40.0,
        per_thousand: 0.0,
        read: |usage| usage.peak_descriptors,
    },
    Bound {
        name: "connections made",
        unit: "",
        factor: 2.5,
        constant: 40.0,
        per_thousand: 0.0,
        read: |usage| usage.connections,
    },
    Bound {
        name: "list bytes",
        unit: "KB",
        factor: 2.0,
        constant: 64.0,
        per_thousand: 500.0,
        read: |usage| usage.list_kb,
    },
];

/// The share served may not fall under this part of the usual.
const LEAST_SERVED: f64 = 0.85;

pub fn measure(program: &str, quick: bool) -> anyhow::Result<Report> {
    let rounds = if quick { 1 } else { 3 };
    let span = Duration::from_secs(if quick { 24 } else { 60 });
    let fleets: Vec<Fleet> = COMPARISONS
        .iter()
        .flat_map(|c| [&[c.usual], c.others].concat())
        .collect();
    let mut usages: Vec<Vec<Usage>> = vec![Vec::new(); fleets.len()];
    for round in 0..rounds {
        for (of_fleet, usage) in usages
            .iter_mut()
            .zip(run_all(program, &fleets, span, round)?)
        {
            of_fleet.push(usage);
        }
    }
    let mut report = Report::new("fleet", quick);
    let mut measured = fleets.iter().zip(&usages);
    for comparison in &COMPARISONS {
        let compared: Vec<(&Fleet, &Vec<Usage>)> = measured
            .by_ref()
            .take(1 + comparison.others.len())
            .collect();
        add_comparison(&mut report, &compared);
    }
    Ok(report)
}

/// Adds the figures of the first fleet, and of the others beside the bounds on it.
fn add_comparison(report: &mut Report, compared: &[(&Fleet, &Vec<Usage>)]) {
    for bound in &BOUNDS {
        let mut base = None;
        for (fleet, usages) in compared {
            let values: Vec<f64> = usages.iter().map(bound.read).collect();
            let target = match base {
                None => Target::None,
                Some(base) => Target::AtMost(bound.at(base, fleet.addresses)),
            };
            base = base.or(Some(median(&values)));
            report.add(
                &format!("{}, {fleet}", bound.name),
                bound.unit,
                &values,
                target,
            );
        }
    }
    let mut base = None;
    for (fleet, usages) in compared {
        let values: Vec<f64> = usages.iter().map(|usage| usage.served_share).collect();
        let target = Target::AtLeast(LEAST_SERVED * base.unwrap_or(1.0));
        base = base.or(Some(median(&values)));
        report.add(&format!("share served, {fleet}"), "", &values, target);
    }
}

/// One run of each fleet, all at the same time, so that the host's load is the same for each.
fn run_all(
    program: &str,
    fleets: &[Fleet],
    span: Duration,
    seed: u64,
) -> anyhow::Result<Vec<Usage>> {
    std::thread::scope(|scope| {
        let start = |fleet: &Fleet| {
            let fleet = *fleet;
            scope.spawn(move || run(program, fleet, span, seed))
        };
        let runs: Vec<_> = fleets.iter().map(start).collect();
        let result = |run: std::thread::ScopedJoinHandle<anyhow::Result<Usage>>| {
            run.join().map_err(|_| anyhow::anyhow!("a run panicked"))?
        };
        runs.into_iter().map(result).collect()
    })
}

/// The endpoints' lines in the list, and the servers behind them.
struct Endpoints {
    /// The primary of all replica sets, then their replicas.
    servers: Vec<FakeEndpoint>,
    lines: Vec<Value>,
    /// The lines of endpoints that drain and come back.
    restless: Vec<usize>,
}

impl Endpoints {
    fn start(fleet: Fleet) -> Endpoints {
        const NAMES: [&str; 4] = ["primary", "replica-1", "replica-2", "replica-3"];
        let replica_set = FakeReplicaSet::new(NAMES[0], Duration::ZERO, Duration::from_secs(2));
        let join = |name: &&str| {
            FakeEndpoint::start_in_replica_set(
                &replica_set,
                name,
                ([127, 0, 0, 1], 0).into(),
                SERVICE_TIME,
                false,
            )
        };
        let servers: Vec<FakeEndpoint> = NAMES.iter().map(join).collect();
        let line = |index: usize| {
            let (replica_set, place) = (
                index / fleet.replica_set_size,
                index % fleet.replica_set_size,
            );
            let server = if place == 0 {
                0
            } else {
                1 + index % (NAMES.len() - 1)
            };
            let mut line = list_entry(&format!("s-{index:08x}"), servers[server].address, "ready");
            line["pod_group"] = replica_set.into();
            line["part"] = if place == 0 { "master" } else { "replica" }.into();
            line
        };
        let lines = (0..fleet.addresses).map(line).collect();
        let restless = (RESTLESS_OFFSET..fleet.addresses)
            .step_by(RESTLESS_PERIOD)
            .collect();
        Endpoints {
            servers,
            lines,
            restless,
        }
    }

    fn connections(&self) -> usize {
        self.servers
            .iter()
            .map(|server| server.activity.with(|seen| seen.accepted_connections))
            .sum()
    }

    /// The next restless endpoint begins to drain, or has started again; returns its line.
    fn step(&mut self, event: usize) -> Value {
        let index = self.restless[event % self.restless.len()];
        let line = &mut self.lines[index];
        if line["state"] == json!("ready") {
            line["state"] = "draining".into();
        } else {
            line["state"] = "ready".into();
            line["boot_ms"] = now_ms().into();
        }
        line.clone()
    }
}

/// Requests asked and served.
#[derive(Default)]
struct Traffic {
    asked: AtomicU64,
    served: AtomicU64,
    has_ended: AtomicBool,
}

fn run(program: &str, fleet: Fleet, span: Duration, seed: u64) -> anyhow::Result<Usage> {
    let mut addresses = Endpoints::start(fleet);
    let feed = ChangeFeed::start(&addresses.lines);
    let mut settings = base_settings();
    settings["groupSize"] = fleet.routers.into();
    let router = RouterProcess::start_with_discovery_at(
        program,
        feed.address,
        &addresses.lines,
        DESCRIPTOR_LIMIT,
        settings,
        None,
    );
    let traffic = Traffic::default();
    let began = Instant::now();
    let mut peak_descriptors = 0;
    std::thread::scope(|scope| -> anyhow::Result<()> {
        for client in 0..CLIENTS {
            let (router, traffic) = (&router, &traffic);
            scope.spawn(move || send_requests(router, fleet, client, seed, began, traffic));
        }
        for event in 0.. {
            let due = began + WATCH_EVENT_INTERVAL * event;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if began.elapsed() >= span {
                break;
            }
            feed.publish(addresses.step(event as usize));
            let descriptors = std::fs::read_dir(format!("/proc/{}/fd", router.pid()));
            peak_descriptors = peak_descriptors.max(descriptors.map(Iterator::count).unwrap_or(0));
        }
        traffic.has_ended.store(true, Ordering::Relaxed);
        Ok(())
    })?;
    let asked = traffic.asked.load(Ordering::Relaxed).max(1);
    Ok(Usage {
        cpu_seconds: cpu_seconds(router.pid())?,
        peak_memory_mb: peak_memory_mb(router.pid())?,
        peak_descriptors: peak_descriptors as f64,
        connections: addresses.connections() as f64,
        list_kb: feed.bytes_sent.with(|bytes| *bytes) as f64 / 1000.0,
        served_share: traffic.served.load(Ordering::Relaxed) as f64 / asked as f64,
    })
}

/// One client's part of the open loop: its requests are due at fixed times, whether or not earlier ones were slow.
fn send_requests(
    router: &RouterProcess,
    fleet: Fleet,
    number: usize,
    seed: u64,
    began: Instant,
    traffic: &Traffic,
) {
    let mut client: Client = router.connect_client();
    let mut random = StdRng::seed_from_u64(seed * CLIENTS as u64 + number as u64);
    for turn in 0_u64.. {
        let place = turn * CLIENTS as u64 + number as u64;
        let due = began + Duration::from_secs_f64(place as f64 / fleet.request_rate);
        while Instant::now() < due && !traffic.has_ended.load(Ordering::Relaxed) {
            std::thread::sleep(
                due.saturating_duration_since(Instant::now())
                    .min(WATCH_EVENT_INTERVAL),
            );
        }
        if traffic.has_ended.load(Ordering::Relaxed) {
            return;
        }
        let asked = Instant::now();
        client.send(&query_message(&statement(
            place,
            fleet.replica_sets(),
            &mut random,
        )));
        let answer = client.read_response();
        traffic.asked.fetch_add(1, Ordering::Relaxed);
        let is_in_time = asked.elapsed() < CLIENT_DEADLINE;
        let is_served = is_in_time
            && answer
                .as_ref()
                .is_some_and(|answer| answer.sqlstate.is_empty());
        if answer.is_none() {
            client = router.connect_client();
        }
        traffic
            .served
            .fetch_add(u64::from(is_served), Ordering::Relaxed);
    }
}

/// Six reads in ten may be answered from any data, 25 in a hundred must see their session's writes, the others write.
fn statement(number: u64, replica_sets: usize, random: &mut StdRng) -> String {
    let replica_set = random.random_range(0..replica_sets);
    let deadline_ms = CLIENT_DEADLINE.as_millis();
    let request =
        |class: &str| format!("id={number:016x},c={class},d={deadline_ms},cluster={replica_set}");
    match random.random_range(0..100) {
        0..60 => format!(
            "SELECT data FROM facts WHERE code = 'k' /* {} */",
            request("board")
        ),
        60..85 => format!(
            "SELECT data FROM facts WHERE code = 'k' /* {} */",
            request("own")
        ),
        _ => format!(
            "INSERT INTO facts (code, data) VALUES ('k', 'v') RETURNING data /* {},k=w{number:x} */",
            request("book")
        ),
    }
}

/// Processor time of a process so far, with all its threads.
fn cpu_seconds(process: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{process}/stat");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    let fields: Vec<&str> = text
        .rsplit(") ")
        .next()
        .context("no fields")?
        .split(' ')
        .collect();
    let field = |index: usize| -> anyhow::Result<f64> {
        fields
            .get(index)
            .and_then(|text| text.parse().ok())
            .with_context(|| format!("{path}: {text}"))
    };
    Ok((field(USER_TIME_FIELD)? + field(USER_TIME_FIELD + 1)?) / TICKS_PER_SECOND)
}

/// The most memory that a process has had resident, in MB.
fn peak_memory_mb(process: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .context("no VmHWM")?;
    Ok(line
        .split_whitespace()
        .nth(1)
        .unwrap_or_default()
        .parse::<f64>()?
        / 1024.0)
}
