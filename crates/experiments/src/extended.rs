//! What extended queries cost and keep.

use crate::figures::{Aim, Report};
use anyhow::{Context as _, ensure};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reelrill_test_support::client::{bind_and_execute, parse_message, query_message, sync_message};
use reelrill_test_support::{
    Client, FakeDiscovery, FakeEndpoint, FakeReplicaSet, Fault, RequestStage, RouterProcess,
    base_settings,
};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const ON: &str = "extended: {mode: on}";
const READ: &str = "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";
const WRITE: &str = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data /* c=book,d=$3,cluster=2,k=$4 */";
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// A replica set of four, and the router before it.
struct Bench {
    replica_set: FakeReplicaSet,
    endpoints: Vec<FakeEndpoint>,
    _discovery: FakeDiscovery,
    router: RouterProcess,
}

impl Bench {
    fn start(program: &str, work: Duration, edge: Option<&str>) -> Bench {
        let replica_set = FakeReplicaSet::new(NAMES[0], Duration::ZERO, Duration::from_secs(2));
        let join = |name: &&str| {
            FakeEndpoint::start_in_replica_set(
                &replica_set,
                name,
                ([127, 0, 0, 1], 0).into(),
                work,
                false,
            )
        };
        let endpoints: Vec<FakeEndpoint> = NAMES.iter().map(join).collect();
        let list: Vec<_> = endpoints.iter().map(|m| m.list_entry(2, "ready")).collect();
        let discovery = FakeDiscovery::start(Some(list.clone()));
        let router = RouterProcess::start(program, &discovery, &list, 1024, base_settings(), edge);
        Bench {
            replica_set,
            endpoints,
            _discovery: discovery,
            router,
        }
    }

    fn connections(&self) -> usize {
        self.endpoints
            .iter()
            .map(|m| m.activity.with(|s| s.accepted_connections))
            .sum()
    }

    /// Processor time of the router so far, in seconds.
    fn cpu(&self) -> anyhow::Result<f64> {
        let path = format!("/proc/{}/schedstat", self.router.pid());
        let text = std::fs::read_to_string(&path).context(path)?;
        Ok(text.split(' ').next().unwrap_or_default().parse::<f64>()? / 1e9)
    }

    /// Its memory, in MB.
    fn memory(&self) -> anyhow::Result<f64> {
        let path = format!("/proc/{}/status", self.router.pid());
        let text = std::fs::read_to_string(&path).context(path)?;
        let line = text
            .lines()
            .find(|l| l.starts_with("VmRSS"))
            .context("no VmRSS")?;
        Ok(line
            .split_whitespace()
            .nth(1)
            .unwrap_or_default()
            .parse::<f64>()?
            / 1024.0)
    }
}

fn text(n: usize) -> String {
    READ.replace("id=$2", &format!("id=$2,v={n}"))
}

fn read_of(statement: &str, id: u64) -> Vec<u8> {
    bind_and_execute(
        statement,
        &[Some("k"), Some(&format!("{id:016x}")), Some("5000")],
    )
}

/// The same request as a simple query.
fn simple(id: u64) -> Vec<u8> {
    query_message(&format!(
        "SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d=5000,cluster=2,v=7 */"
    ))
}

pub fn measure(program: &str, quick: bool) -> anyhow::Result<Report> {
    let mut report = Report::new("extended", quick);
    type Part<'a> = (&'a str, &'a dyn Fn(&mut Report) -> anyhow::Result<()>);
    let parts: [Part; 5] = [
        ("parses", &|r| parses(program, r)),
        ("processor time", &|r| {
            cpu(program, if quick { 11 } else { 41 }, r)
        }),
        ("pipeline", &|r| {
            pipeline(program, if quick { 3 } else { 9 }, r)
        }),
        ("kills", &|r| kills(program, if quick { 90 } else { 40 }, r)),
        ("memory", &|r| memory(program, if quick { 2 } else { 5 }, r)),
    ];
    for (name, part) in parts {
        let began = Instant::now();
        part(&mut report)?;
        eprintln!("{name}: {:.1} s", began.elapsed().as_secs_f64());
    }
    Ok(report)
}

/// 20,000 runs of 50 statements by one client after another.
fn parses(program: &str, report: &mut Report) -> anyhow::Result<()> {
    const RUNS: usize = 20_000;
    let bench = Bench::start(program, Duration::ZERO, Some(ON));
    let mut client = bench.router.connect_client();
    let all: Vec<u8> = (0..50)
        .flat_map(|n| parse_message(&format!("s{n}"), &text(n), &[]))
        .collect();
    ensure!(
        client.extended_query(&[all]).sqlstate.is_empty(),
        "the statements were not prepared"
    );
    let mut random = StdRng::seed_from_u64(1);
    for id in 0..RUNS {
        let name = format!("s{}", random.random_range(0..50));
        let answer = client.extended_query(&[read_of(&name, id as u64)]);
        ensure!(answer.tags == "2DCZ", "run {id}: {answer:?}");
    }
    let counts = bench.replica_set.with_execution_log(|l| l.total());
    ensure!(
        counts.executes == RUNS,
        "{} executes for {RUNS} runs",
        counts.executes
    );
    let bound = (50 * bench.connections()) as f64;
    report.add(
        "Parses / (statements x connections)",
        "",
        &[counts.parses as f64 / bound],
        Aim::AtMost(1.0),
    );
    let saved = 100.0 * (1.0 - counts.parses as f64 / RUNS as f64);
    report.add(
        "Parses saved of 20,000 runs",
        "%",
        &[saved],
        Aim::AtLeast(99.0),
    );
    Ok(())
}

/// The router's own processor time a request, prepared against simple, in turns on one router.
fn cpu(program: &str, rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    const REQUESTS: u64 = 1_000;
    let bench = Bench::start(program, Duration::ZERO, Some(ON));
    let mut client = bench.router.connect_client();
    ensure!(
        client
            .extended_query(&[parse_message("s", &text(7), &[])])
            .sqlstate
            .is_empty(),
        "not prepared"
    );
    let mut id = 0;
    let mut turn = |prepared: bool, client: &mut Client| -> anyhow::Result<f64> {
        let before = bench.cpu()?;
        for _ in 0..REQUESTS {
            id += 1;
            let bytes = if prepared {
                [read_of("s", id), sync_message()].concat()
            } else {
                simple(id)
            };
            client.send(&bytes);
            let answer = client.read_response().context("no answer")?;
            ensure!(answer.sqlstate.is_empty(), "{answer:?}");
        }
        Ok((bench.cpu()? - before) / REQUESTS as f64 * 1e6)
    };
    // The first of each warms up.
    turn(true, &mut client)?;
    turn(false, &mut client)?;
    let (mut prepared, mut plain, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..rounds {
        prepared.push(turn(true, &mut client)?);
        plain.push(turn(false, &mut client)?);
        ratios.push(prepared[prepared.len() - 1] / plain[plain.len() - 1]);
    }
    report.add("router CPU a prepared request", "us", &prepared, Aim::None);
    report.add("router CPU a simple request", "us", &plain, Aim::None);
    report.add(
        "router CPU, prepared / simple",
        "",
        &ratios,
        Aim::AtMost(1.10),
    );
    Ok(())
}

/// Sixteen reads at once against one by one, on one connection, where each takes an endpoint 2 ms.
fn pipeline(program: &str, rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    const READS: u64 = 16;
    let bench = Bench::start(program, Duration::from_millis(2), Some(ON));
    let mut client = bench.router.connect_client();
    ensure!(
        client
            .extended_query(&[parse_message("s", READ, &[])])
            .sqlstate
            .is_empty(),
        "not prepared"
    );
    let mut id = 0;
    let mut batch = |at_once: bool, client: &mut Client| -> anyhow::Result<f64> {
        let began = Instant::now();
        for _ in 0..10 {
            let all: Vec<Vec<u8>> = (0..READS).map(|n| read_of("s", id + n)).collect();
            id += READS;
            let batches: Vec<Vec<u8>> = if at_once { vec![all.concat()] } else { all };
            for batch in batches {
                let answer = client.extended_query(&[batch]);
                ensure!(answer.sqlstate.is_empty(), "{answer:?}");
            }
        }
        Ok(10.0 * READS as f64 / began.elapsed().as_secs_f64())
    };
    batch(true, &mut client)?;
    let (mut piped, mut single, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..rounds {
        piped.push(batch(true, &mut client)?);
        single.push(batch(false, &mut client)?);
        ratios.push(piped[piped.len() - 1] / single[single.len() - 1]);
    }
    report.add("reads a second, 16 at once", "1/s", &piped, Aim::None);
    report.add("reads a second, one by one", "1/s", &single, Aim::None);
    report.add("16 at once / one by one", "", &ratios, Aim::AtLeast(6.0));
    Ok(())
}

const STAGES: [RequestStage; 5] = [
    RequestStage::Parse,
    RequestStage::Bind,
    RequestStage::PartialExecute,
    RequestStage::Executed,
    RequestStage::BeforeResponse,
];
const FAULTS: [Fault; 4] = [
    Fault::Kill,
    Fault::Reset,
    Fault::NoResponse,
    Fault::InvalidBytes,
];

/// 5,000 bookings by sixteen clients, each tried again by its client as long as it is refused, while one after another is
/// hit at a stage of its flight, `apart` bookings after the one before.
fn kills(program: &str, apart: usize, report: &mut Report) -> anyhow::Result<()> {
    const CLIENTS: usize = 16;
    const BOOKINGS: usize = 5_000;
    let bench = Bench::start(program, Duration::from_millis(1), Some(ON));
    let (next, ended) = (AtomicUsize::new(0), AtomicBool::new(false));
    let (unanswered, doubled, hits) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let (served, refused, failed) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let add = |count: &AtomicUsize| count.fetch_add(1, Ordering::Relaxed);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut leader = 0;
            for round in 0.. {
                let begun = next.load(Ordering::Relaxed);
                // A while of undisturbed bookings between the faults.
                while next.load(Ordering::Relaxed) < begun + apart && !ended.load(Ordering::Relaxed)
                {
                    std::thread::sleep(Duration::from_millis(2));
                }
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let (stage, fault) = (STAGES[round % 5], FAULTS[round / 5 % 4]);
                let endpoint = &bench.endpoints[leader];
                if stage == RequestStage::Parse {
                    endpoint.forget_prepared_statements();
                }
                endpoint.faults.with(|f| f.push_back((stage, fault)));
                let hit = |f: &mut std::collections::VecDeque<_>| f.is_empty().then_some(());
                if endpoint
                    .faults
                    .wait_for(Duration::from_secs(5), hit)
                    .is_none()
                {
                    continue;
                }
                add(&hits);
                if fault == Fault::Kill {
                    endpoint.wait_until_killed();
                    leader = (leader + 1) % bench.endpoints.len();
                    bench.replica_set.promote(NAMES[leader]);
                    std::thread::sleep(Duration::from_millis(100));
                    endpoint.restart();
                }
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                scope.spawn(|| {
                    let mut client = bench.router.connect_client();
                    client.extended_query(&[parse_message("w", WRITE, &[])]);
                    loop {
                        let n = add(&next);
                        if n >= BOOKINGS {
                            return;
                        }
                        let key = format!("k{n}");
                        for _ in 0..20 {
                            let command = bind_and_execute(
                                "w",
                                &[Some(&key), Some(&key), Some("700"), Some(&key)],
                            );
                            client.send(&[command, sync_message()].concat());
                            let Some(answer) = client.read_response() else {
                                add(&unanswered);
                                client = bench.router.connect_client();
                                client.extended_query(&[parse_message("w", WRITE, &[])]);
                                continue;
                            };
                            match &*answer.tags {
                                "2DCZ" if answer.value == key => {
                                    add(&served);
                                    break;
                                }
                                "2EZ" if answer.sqlstate == "53300" => add(&refused),
                                // It may have run: the protocol's clients do not ask again.
                                "2EZ" => {
                                    add(&failed);
                                    break;
                                }
                                // More than one value, error or end; or the value of another booking.
                                _ => add(&doubled),
                            };
                            std::thread::sleep(Duration::from_millis(20));
                        }
                    }
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        ended.store(true, Ordering::Relaxed);
    });
    let count = |c: &AtomicUsize| [c.load(Ordering::Relaxed) as f64];
    let twice = bench
        .replica_set
        .with_execution_log(|l| l.keys_executed_more_than_once().len()) as f64;
    let never = BOOKINGS as f64
        - bench
            .replica_set
            .with_execution_log(|l| l.executed_writes.len()) as f64;
    report.add("bookings run twice", "", &[twice], Aim::AtMost(0.0));
    report.add(
        "bookings without an answer",
        "",
        &count(&unanswered),
        Aim::AtMost(0.0),
    );
    report.add(
        "bookings with two answers",
        "",
        &count(&doubled),
        Aim::AtMost(0.0),
    );
    report.add("bookings that never ran", "", &[never], Aim::None);
    report.add("faults that came", "", &count(&hits), Aim::AtLeast(40.0));
    report.add("bookings served", "", &count(&served), Aim::None);
    report.add("tries refused", "", &count(&refused), Aim::None);
    report.add(
        "bookings failed, which may have run",
        "",
        &count(&failed),
        Aim::None,
    );
    Ok(())
}

/// 300 clients with 100 statements of 50 texts, against the same clients without, each on a router of its own.
fn memory(program: &str, rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    let all: Vec<u8> = (0..100)
        .flat_map(|n| parse_message(&format!("s{n}"), &text(n % 50), &[]))
        .collect();
    let resident = |statements: bool| -> anyhow::Result<f64> {
        let bench = Bench::start(program, Duration::ZERO, Some(ON));
        let mut clients = Vec::new();
        for id in 0..300 {
            let mut client = bench.router.connect_client();
            if statements {
                ensure!(
                    client
                        .extended_query(&[&all[..]].map(<[u8]>::to_vec))
                        .sqlstate
                        .is_empty(),
                    "not prepared"
                );
            }
            client.send(&simple(id));
            ensure!(
                client
                    .read_response()
                    .is_some_and(|a| a.sqlstate.is_empty()),
                "client {id} was not served"
            );
            clients.push(client);
        }
        bench.memory()
    };
    let (mut with, mut without, mut over) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..rounds {
        with.push(resident(true)?);
        without.push(resident(false)?);
        over.push(with[with.len() - 1] - without[without.len() - 1]);
    }
    report.add(
        "memory, 300 clients x 100 statements",
        "MB",
        &with,
        Aim::None,
    );
    report.add("memory, 300 clients without", "MB", &without, Aim::None);
    report.add("memory of the statements", "MB", &over, Aim::AtMost(8.0));
    Ok(())
}
