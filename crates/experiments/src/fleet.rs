//! Measures the resources that one router uses as the fleet of endpoints and routers grows, with its own traffic
//! unchanged.
//!
//! There are two comparisons, each of larger fleets with a fleet of the usual size:
//!
//! - 4 requests per second, one router's part of the whole fleet's traffic, over replica sets of five endpoints; a
//!   larger fleet has more routers, more replica sets or both;
//! - 40 requests per second, the traffic of a busy router, over 40 replica sets; a larger fleet has more routers and
//!   larger replica sets.
//!
//! All routers run at the same time. One endpoint in twenty drains and restarts in slow start, again and again, with a
//! change of the list every 100 ms. The endpoints share the sockets of four fake endpoints: one is the primary of every
//! replica set, and three are the replicas.

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

/// Client connections to one router, few enough that none is idle for so long that the router closes it.
const CLIENTS: usize = 8;
/// Deadline that each request carries; a later response does not count as served.
const CLIENT_DEADLINE: Duration = Duration::from_secs(1);
/// Time that a request takes at an endpoint.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Time between two changes of the endpoint list.
const WATCH_EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// One endpoint in this many drains and restarts, over and over.
const DRAIN_CYCLE_STRIDE: usize = 20;
/// Index of the first endpoint that drains; with the stride, all that drain are replicas.
const DRAIN_CYCLE_OFFSET: usize = 7;
/// The router's limit of open descriptors.
const DESCRIPTOR_LIMIT: u64 = 1024;
/// Clock ticks per second in `/proc/PID/stat`, the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of `utime` in `/proc/PID/stat` among the fields after the process name; `stime` follows it.
const USER_TIME_FIELD: usize = 11;

/// The size of a fleet and the traffic of the router that is measured.
#[derive(Clone, Copy)]
struct Fleet {
    /// Endpoints in the list.
    addresses: usize,
    /// Endpoints in each replica set.
    replica_set_size: usize,
    /// Routers of the fleet, as the settings of the router state it; only one runs.
    routers: u32,
    /// Requests per second, over all clients of the router.
    request_rate: f64,
}

impl Fleet {
    const fn new(
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

/// A fleet of the usual size, and larger fleets whose figures are compared with those of the usual one.
struct Comparison {
    usual: Fleet,
    others: &'static [Fleet],
}

const COMPARISONS: [Comparison; 2] = [
    Comparison {
        usual: Fleet::new(200, 5, 300, 4.0),
        others: &[
            Fleet::new(200, 5, 900, 4.0),
            Fleet::new(3_200, 5, 300, 4.0),
            Fleet::new(3_200, 5, 900, 4.0),
        ],
    },
    Comparison {
        usual: Fleet::new(200, 5, 300, 40.0),
        others: &[Fleet::new(3_200, 80, 900, 40.0)],
    },
];

/// Resources that one router used over a run.
#[derive(Clone, Copy)]
struct Usage {
    cpu_seconds: f64,
    peak_memory_mb: f64,
    peak_descriptors: f64,
    /// Connections that the endpoints accepted.
    connections: f64,
    /// Bytes of endpoint lists that the router received, in units of 1,000 bytes.
    list_kb: f64,
    /// Served requests divided by all requests.
    served_share: f64,
}

/// The most that a figure may be: `factor` times the usual fleet's, plus `constant`, plus `per_thousand` for each
/// thousand endpoints.
struct Bound {
    name: &'static str,
    unit: &'static str,
    factor: f64,
    constant: f64,
    per_thousand: f64,
    read: fn(&Usage) -> f64,
}

impl Bound {
    /// Returns the bound for a fleet with this many endpoints, where the usual fleet's figure is `usual`.
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

/// The served share of a larger fleet must be at least this part of the usual fleet's.
const MIN_SERVED_RATIO: f64 = 0.85;

/// Runs all fleets at the same time, for three rounds of 60 s, or with `quick` for one round of 24 s.
pub fn measure(program: &str, quick: bool) -> anyhow::Result<Report> {
    let rounds = if quick { 1 } else { 3 };
    let round_time = Duration::from_secs(if quick { 24 } else { 60 });
    let fleets: Vec<Fleet> = COMPARISONS
        .iter()
        .flat_map(|comparison| [&[comparison.usual], comparison.others].concat())
        .collect();
    let mut usages: Vec<Vec<Usage>> = vec![Vec::new(); fleets.len()];
    for round in 0..rounds {
        for (fleet_usages, usage) in usages
            .iter_mut()
            .zip(run_all(program, &fleets, round_time, round)?)
        {
            fleet_usages.push(usage);
        }
    }
    let mut report = Report::new("fleet", quick);
    let mut measured = fleets.iter().zip(&usages);
    for comparison in &COMPARISONS {
        let fleets_compared: Vec<(&Fleet, &Vec<Usage>)> = measured
            .by_ref()
            .take(1 + comparison.others.len())
            .collect();
        add_comparison(&mut report, &fleets_compared);
    }
    Ok(report)
}

/// Adds the figures of the first fleet, and those of the others with bounds derived from the first.
fn add_comparison(report: &mut Report, compared: &[(&Fleet, &Vec<Usage>)]) {
    for bound in &BOUNDS {
        let mut usual = None;
        for (fleet, usages) in compared {
            let values: Vec<f64> = usages.iter().map(bound.read).collect();
            let target = match usual {
                None => Target::None,
                Some(usual) => Target::AtMost(bound.at(usual, fleet.addresses)),
            };
            usual = usual.or(Some(median(&values)));
            report.add(
                &format!("{}, {fleet}", bound.name),
                bound.unit,
                &values,
                target,
            );
        }
    }
    let mut usual = None;
    for (fleet, usages) in compared {
        let values: Vec<f64> = usages.iter().map(|usage| usage.served_share).collect();
        let target = Target::AtLeast(MIN_SERVED_RATIO * usual.unwrap_or(1.0));
        usual = usual.or(Some(median(&values)));
        report.add(&format!("share served, {fleet}"), "", &values, target);
    }
}

/// Runs each fleet once, all at the same time, so that the load of the host is the same for each.
fn run_all(
    program: &str,
    fleets: &[Fleet],
    round_time: Duration,
    seed: u64,
) -> anyhow::Result<Vec<Usage>> {
    std::thread::scope(|scope| {
        let start = |fleet: &Fleet| {
            let fleet = *fleet;
            scope.spawn(move || run(program, fleet, round_time, seed))
        };
        let runs: Vec<_> = fleets.iter().map(start).collect();
        let result = |run: std::thread::ScopedJoinHandle<anyhow::Result<Usage>>| {
            run.join()
                .map_err(|_| anyhow::anyhow!("the run of a fleet panicked"))?
        };
        runs.into_iter().map(result).collect()
    })
}

/// The endpoint list, and the fake endpoints whose addresses it contains.
struct Endpoints {
    /// The primary of all replica sets, followed by their replicas.
    servers: Vec<FakeEndpoint>,
    /// The entries of the endpoint list.
    entries: Vec<Value>,
    /// Indices of the entries of endpoints that drain and restart.
    draining_in_turn: Vec<usize>,
}

impl Endpoints {
    fn start(fleet: Fleet) -> Endpoints {
        const NAMES: [&str; 4] = ["primary", "replica-1", "replica-2", "replica-3"];
        let replica_set = FakeReplicaSet::new(NAMES[0], Duration::ZERO, Duration::from_secs(2));
        let start_endpoint = |name: &&str| {
            FakeEndpoint::start_in_replica_set(
                &replica_set,
                name,
                ([127, 0, 0, 1], 0).into(),
                SERVICE_TIME,
                false,
            )
        };
        let servers: Vec<FakeEndpoint> = NAMES.iter().map(start_endpoint).collect();
        let entry = |index: usize| {
            let (replica_set, position_in_set) = (
                index / fleet.replica_set_size,
                index % fleet.replica_set_size,
            );
            let server = if position_in_set == 0 {
                0
            } else {
                1 + index % (NAMES.len() - 1)
            };
            let mut entry = list_entry(&format!("s-{index:08x}"), servers[server].address, "ready");
            entry["pod_group"] = replica_set.into();
            entry["part"] = if position_in_set == 0 {
                "master"
            } else {
                "replica"
            }
            .into();
            entry
        };
        let entries = (0..fleet.addresses).map(entry).collect();
        let draining_in_turn = (DRAIN_CYCLE_OFFSET..fleet.addresses)
            .step_by(DRAIN_CYCLE_STRIDE)
            .collect();
        Endpoints {
            servers,
            entries,
            draining_in_turn,
        }
    }

    /// Returns the number of connections that the servers have accepted so far.
    fn connections(&self) -> usize {
        self.servers
            .iter()
            .map(|server| {
                server
                    .activity
                    .with(|activity| activity.accepted_connections)
            })
            .sum()
    }

    /// Changes the state of the next endpoint in turn, from ready to draining or, with a new start time, back to ready.
    /// Returns its entry.
    fn advance_drain_cycle(&mut self, event: usize) -> Value {
        let index = self.draining_in_turn[event % self.draining_in_turn.len()];
        let entry = &mut self.entries[index];
        if entry["state"] == json!("ready") {
            entry["state"] = "draining".into();
        } else {
            entry["state"] = "ready".into();
            entry["boot_ms"] = now_ms().into();
        }
        entry.clone()
    }
}

/// Counts of requests, and the flag that ends the clients.
#[derive(Default)]
struct Traffic {
    /// Requests that got a response or whose connection ended.
    requests: AtomicU64,
    /// Requests that got a response without an error and in time.
    served: AtomicU64,
    has_ended: AtomicBool,
}

/// Runs one router for `round_time` while its clients send requests and the endpoint list changes.
fn run(program: &str, fleet: Fleet, round_time: Duration, seed: u64) -> anyhow::Result<Usage> {
    let mut endpoints = Endpoints::start(fleet);
    let feed = ChangeFeed::start(&endpoints.entries);
    let mut settings = base_settings();
    settings["groupSize"] = fleet.routers.into();
    let router = RouterProcess::start_with_discovery_at(
        program,
        feed.address,
        &endpoints.entries,
        DESCRIPTOR_LIMIT,
        settings,
        None,
    );
    let traffic = Traffic::default();
    let started_at = Instant::now();
    let mut peak_descriptors = 0;
    std::thread::scope(|scope| -> anyhow::Result<()> {
        for client in 0..CLIENTS {
            let (router, traffic) = (&router, &traffic);
            scope.spawn(move || send_requests(router, fleet, client, seed, started_at, traffic));
        }
        for event in 0.. {
            let due = started_at + WATCH_EVENT_INTERVAL * event;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if started_at.elapsed() >= round_time {
                break;
            }
            feed.publish(endpoints.advance_drain_cycle(event as usize));
            let descriptors = std::fs::read_dir(format!("/proc/{}/fd", router.pid()));
            peak_descriptors = peak_descriptors.max(descriptors.map(Iterator::count).unwrap_or(0));
        }
        traffic.has_ended.store(true, Ordering::Relaxed);
        Ok(())
    })?;
    let requests = traffic.requests.load(Ordering::Relaxed).max(1);
    Ok(Usage {
        cpu_seconds: cpu_seconds(router.pid())?,
        peak_memory_mb: peak_memory_mb(router.pid())?,
        peak_descriptors: peak_descriptors as f64,
        connections: endpoints.connections() as f64,
        list_kb: feed.bytes_sent.with(|bytes| *bytes) as f64 / 1000.0,
        served_share: traffic.served.load(Ordering::Relaxed) as f64 / requests as f64,
    })
}

/// Sends the requests of one client in an open loop: each is due at a fixed time, however slow earlier ones were.
fn send_requests(
    router: &RouterProcess,
    fleet: Fleet,
    client_number: usize,
    seed: u64,
    started_at: Instant,
    traffic: &Traffic,
) {
    let mut client: Client = router.connect_client();
    let mut random = StdRng::seed_from_u64(seed * CLIENTS as u64 + client_number as u64);
    for turn in 0_u64.. {
        let request_number = turn * CLIENTS as u64 + client_number as u64;
        let due = started_at + Duration::from_secs_f64(request_number as f64 / fleet.request_rate);
        while Instant::now() < due && !traffic.has_ended.load(Ordering::Relaxed) {
            std::thread::sleep(
                due.saturating_duration_since(Instant::now())
                    .min(WATCH_EVENT_INTERVAL),
            );
        }
        if traffic.has_ended.load(Ordering::Relaxed) {
            return;
        }
        let sent_at = Instant::now();
        client.send(&query_message(&statement(
            request_number,
            fleet.replica_sets(),
            &mut random,
        )));
        let response = client.read_response();
        traffic.requests.fetch_add(1, Ordering::Relaxed);
        let is_in_time = sent_at.elapsed() < CLIENT_DEADLINE;
        let is_served = is_in_time
            && response
                .as_ref()
                .is_some_and(|response| response.sqlstate.is_empty());
        if response.is_none() {
            client = router.connect_client();
        }
        traffic
            .served
            .fetch_add(u64::from(is_served), Ordering::Relaxed);
    }
}

/// Returns a random request: 60 % are reads with eventual consistency, 25 % reads with read-your-writes consistency,
/// and 15 % writes.
fn statement(number: u64, replica_sets: usize, random: &mut StdRng) -> String {
    let replica_set = random.random_range(0..replica_sets);
    let deadline_ms = CLIENT_DEADLINE.as_millis();
    let annotations =
        |class: &str| format!("id={number:016x},c={class},d={deadline_ms},cluster={replica_set}");
    match random.random_range(0..100) {
        0..60 => format!(
            "SELECT data FROM facts WHERE code = 'k' /* {} */",
            annotations("board")
        ),
        60..85 => format!(
            "SELECT data FROM facts WHERE code = 'k' /* {} */",
            annotations("own")
        ),
        _ => format!(
            "INSERT INTO facts (code, data) VALUES ('k', 'v') RETURNING data /* {},k=w{number:x} */",
            annotations("book")
        ),
    }
}

/// Returns the CPU time of a process and all its threads so far, in seconds.
fn cpu_seconds(process: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{process}/stat");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    let fields: Vec<&str> = text
        .rsplit(") ")
        .next()
        .context("/proc/PID/stat: expected fields after the process name")?
        .split(' ')
        .collect();
    let field = |index: usize| -> anyhow::Result<f64> {
        fields
            .get(index)
            .and_then(|text| text.parse().ok())
            .with_context(|| {
                format!(
                    "{path}: field {index} after the process name: expected a number in {text:?}"
                )
            })
    };
    Ok((field(USER_TIME_FIELD)? + field(USER_TIME_FIELD + 1)?) / TICKS_PER_SECOND)
}

/// Returns the peak resident memory of a process, in MB of 1,024 KiB.
fn peak_memory_mb(process: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .context("no VmHWM line in /proc/PID/status")?;
    Ok(line
        .split_whitespace()
        .nth(1)
        .unwrap_or_default()
        .parse::<f64>()?
        / 1024.0)
}
