//! Measures extended queries: Parses at endpoints, CPU time, throughput of a pipeline, writes under faults, and memory.

use crate::figures::{Report, Target};
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

/// Extensions that enable extended queries.
const EXTENDED_MODE_ON: &str = "extended: {mode: on}";
const READ_STATEMENT: &str =
    "SELECT data FROM facts WHERE code = $1 /* id=$2,c=board,d=$3,cluster=2 */";
const WRITE_STATEMENT: &str = "INSERT INTO facts (code, data) VALUES ($1, $2) RETURNING data /* c=book,d=$3,cluster=2,k=$4 */";
const ENDPOINT_NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// A router and a replica set of four fake endpoints behind it.
struct Setup {
    replica_set: FakeReplicaSet,
    endpoints: Vec<FakeEndpoint>,
    _discovery: FakeDiscovery,
    router: RouterProcess,
}

impl Setup {
    /// Starts the endpoints, which take `service_time` for a request, and the router with these extensions (YAML).
    fn start(program: &str, service_time: Duration, extensions: Option<&str>) -> Setup {
        let replica_set =
            FakeReplicaSet::new(ENDPOINT_NAMES[0], Duration::ZERO, Duration::from_secs(2));
        let start_endpoint = |name: &&str| {
            FakeEndpoint::start_in_replica_set(
                &replica_set,
                name,
                ([127, 0, 0, 1], 0).into(),
                service_time,
                false,
            )
        };
        let endpoints: Vec<FakeEndpoint> = ENDPOINT_NAMES.iter().map(start_endpoint).collect();
        let entries: Vec<_> = endpoints
            .iter()
            .map(|endpoint| endpoint.list_entry(2, "ready"))
            .collect();
        let discovery = FakeDiscovery::start(Some(entries.clone()));
        let router = RouterProcess::start(
            program,
            &discovery,
            &entries,
            1024,
            base_settings(),
            extensions,
        );
        Setup {
            replica_set,
            endpoints,
            _discovery: discovery,
            router,
        }
    }

    /// Returns the number of connections that the endpoints have accepted so far.
    fn accepted_connections(&self) -> usize {
        self.endpoints
            .iter()
            .map(|endpoint| {
                endpoint
                    .activity
                    .with(|activity| activity.accepted_connections)
            })
            .sum()
    }

    /// Returns the CPU time that the router has used so far, in seconds.
    fn cpu_seconds(&self) -> anyhow::Result<f64> {
        let path = format!("/proc/{}/schedstat", self.router.pid());
        let text = std::fs::read_to_string(&path).context(path)?;
        Ok(text.split(' ').next().unwrap_or_default().parse::<f64>()? / 1e9)
    }

    /// Returns the resident memory of the router, in MB of 1,024 KiB.
    fn resident_memory_mb(&self) -> anyhow::Result<f64> {
        let path = format!("/proc/{}/status", self.router.pid());
        let text = std::fs::read_to_string(&path).context(path)?;
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .context("no VmRSS line in /proc/PID/status")?;
        Ok(line
            .split_whitespace()
            .nth(1)
            .unwrap_or_default()
            .parse::<f64>()?
            / 1024.0)
    }
}

/// Returns the text of the read statement with this number; each number gives another text.
fn read_statement(number: usize) -> String {
    READ_STATEMENT.replace("id=$2", &format!("id=$2,v={number}"))
}

/// Returns a Bind and an Execute of a prepared read; the request has this id and a deadline of 5,000 ms.
fn prepared_read(statement: &str, id: u64) -> Vec<u8> {
    bind_and_execute(
        statement,
        &[Some("k"), Some(&format!("{id:016x}")), Some("5000")],
    )
}

/// Returns the same request as a simple query, with the text of read statement 7.
fn simple_read(id: u64) -> Vec<u8> {
    query_message(&format!(
        "SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d=5000,cluster=2,v=7 */"
    ))
}

/// Runs all measurements of extended queries; `quick` runs fewer rounds. Prints the time that each took to stderr.
pub fn measure(program: &str, quick: bool) -> anyhow::Result<Report> {
    let mut report = Report::new("extended", quick);
    type Measurement<'a> = (&'a str, &'a dyn Fn(&mut Report) -> anyhow::Result<()>);
    let measurements: [Measurement; 5] = [
        ("Parses at endpoints", &|report| {
            measure_parses(program, report)
        }),
        ("CPU time", &|report| {
            measure_cpu(program, if quick { 11 } else { 41 }, report)
        }),
        ("pipeline", &|report| {
            measure_pipeline(program, if quick { 3 } else { 9 }, report)
        }),
        ("writes under faults", &|report| {
            measure_writes_under_faults(program, if quick { 90 } else { 40 }, report)
        }),
        ("memory", &|report| {
            measure_memory(program, if quick { 2 } else { 5 }, report)
        }),
    ];
    for (name, measurement) in measurements {
        let started_at = Instant::now();
        measurement(&mut report)?;
        eprintln!("{name}: {:.1} s", started_at.elapsed().as_secs_f64());
    }
    Ok(report)
}

/// Counts the Parses that reach endpoints when one client prepares 50 statements and sends 20,000 executions of them,
/// one after the other.
fn measure_parses(program: &str, report: &mut Report) -> anyhow::Result<()> {
    const EXECUTIONS: usize = 20_000;
    let setup = Setup::start(program, Duration::ZERO, Some(EXTENDED_MODE_ON));
    let mut client = setup.router.connect_client();
    let parses: Vec<u8> = (0..50)
        .flat_map(|number| parse_message(&format!("s{number}"), &read_statement(number), &[]))
        .collect();
    ensure!(
        client.extended_query(&[parses]).sqlstate.is_empty(),
        "the router did not prepare the statements"
    );
    let mut random = StdRng::seed_from_u64(1);
    for id in 0..EXECUTIONS {
        let name = format!("s{}", random.random_range(0..50));
        let response = client.extended_query(&[prepared_read(&name, id as u64)]);
        ensure!(
            response.tags == "2DCZ",
            "execution {id}: unexpected response {response:?}"
        );
    }
    let message_counts = setup.replica_set.with_execution_log(|log| log.total());
    ensure!(
        message_counts.executes == EXECUTIONS,
        "endpoints received {} Executes, expected {EXECUTIONS}",
        message_counts.executes
    );
    let max_parses = (50 * setup.accepted_connections()) as f64;
    report.add(
        "Parses / (statements x connections)",
        "",
        &[message_counts.parses as f64 / max_parses],
        Target::AtMost(1.0),
    );
    let saved = 100.0 * (1.0 - message_counts.parses as f64 / EXECUTIONS as f64);
    report.add(
        "Parses saved of 20,000 runs",
        "%",
        &[saved],
        Target::AtLeast(99.0),
    );
    Ok(())
}

/// Measures the router's CPU time per request, in alternating rounds of prepared requests and simple queries on one
/// router.
fn measure_cpu(program: &str, rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    const REQUESTS: u64 = 1_000;
    let setup = Setup::start(program, Duration::ZERO, Some(EXTENDED_MODE_ON));
    let mut client = setup.router.connect_client();
    ensure!(
        client
            .extended_query(&[parse_message("s", &read_statement(7), &[])])
            .sqlstate
            .is_empty(),
        "the router did not prepare the statement"
    );
    let mut id = 0;
    let mut cpu_us_per_request = |is_prepared: bool, client: &mut Client| -> anyhow::Result<f64> {
        let before = setup.cpu_seconds()?;
        for _ in 0..REQUESTS {
            id += 1;
            let request = if is_prepared {
                [prepared_read("s", id), sync_message()].concat()
            } else {
                simple_read(id)
            };
            client.send(&request);
            let response = client
                .read_response()
                .context("the connection ended without a response")?;
            ensure!(
                response.sqlstate.is_empty(),
                "unexpected response {response:?}"
            );
        }
        Ok((setup.cpu_seconds()? - before) / REQUESTS as f64 * 1e6)
    };
    // The first round of each kind warms up and is not counted.
    cpu_us_per_request(true, &mut client)?;
    cpu_us_per_request(false, &mut client)?;
    let (mut prepared, mut simple, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..rounds {
        prepared.push(cpu_us_per_request(true, &mut client)?);
        simple.push(cpu_us_per_request(false, &mut client)?);
        ratios.push(prepared[prepared.len() - 1] / simple[simple.len() - 1]);
    }
    report.add(
        "router CPU a prepared request",
        "us",
        &prepared,
        Target::None,
    );
    report.add("router CPU a simple request", "us", &simple, Target::None);
    report.add(
        "router CPU, prepared / simple",
        "",
        &ratios,
        Target::AtMost(1.10),
    );
    Ok(())
}

/// Measures reads per second on one connection, with sixteen in a pipeline and with one at a time. Each read takes an
/// endpoint 2 ms.
fn measure_pipeline(program: &str, rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    const READS: u64 = 16;
    let setup = Setup::start(program, Duration::from_millis(2), Some(EXTENDED_MODE_ON));
    let mut client = setup.router.connect_client();
    ensure!(
        client
            .extended_query(&[parse_message("s", READ_STATEMENT, &[])])
            .sqlstate
            .is_empty(),
        "the router did not prepare the statement"
    );
    let mut id = 0;
    let mut reads_per_second = |is_pipelined: bool, client: &mut Client| -> anyhow::Result<f64> {
        let started_at = Instant::now();
        for _ in 0..10 {
            let reads: Vec<Vec<u8>> = (0..READS)
                .map(|offset| prepared_read("s", id + offset))
                .collect();
            id += READS;
            let batches: Vec<Vec<u8>> = if is_pipelined {
                vec![reads.concat()]
            } else {
                reads
            };
            for batch in batches {
                let response = client.extended_query(&[batch]);
                ensure!(
                    response.sqlstate.is_empty(),
                    "unexpected response {response:?}"
                );
            }
        }
        Ok(10.0 * READS as f64 / started_at.elapsed().as_secs_f64())
    };
    reads_per_second(true, &mut client)?;
    let (mut pipelined, mut sequential, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..rounds {
        pipelined.push(reads_per_second(true, &mut client)?);
        sequential.push(reads_per_second(false, &mut client)?);
        ratios.push(pipelined[pipelined.len() - 1] / sequential[sequential.len() - 1]);
    }
    report.add(
        "reads a second, 16 at once",
        "1/s",
        &pipelined,
        Target::None,
    );
    report.add(
        "reads a second, one by one",
        "1/s",
        &sequential,
        Target::None,
    );
    report.add("16 at once / one by one", "", &ratios, Target::AtLeast(6.0));
    Ok(())
}

/// Stages of a request at which faults are injected, in this order.
const STAGES: [RequestStage; 5] = [
    RequestStage::Parse,
    RequestStage::Bind,
    RequestStage::PartialExecute,
    RequestStage::Executed,
    RequestStage::BeforeResponse,
];
/// Faults to inject, each at all stages before the next one.
const FAULTS: [Fault; 4] = [
    Fault::Kill,
    Fault::Reset,
    Fault::NoResponse,
    Fault::InvalidBytes,
];

/// Counts the outcomes of 5,000 writes under faults. Sixteen clients send each write up to 20 times, until it is served
/// or fails. Meanwhile faults are injected at the primary, one at a time, each after `writes_between_faults` further
/// writes.
fn measure_writes_under_faults(
    program: &str,
    writes_between_faults: usize,
    report: &mut Report,
) -> anyhow::Result<()> {
    const CLIENTS: usize = 16;
    const WRITES: usize = 5_000;
    let setup = Setup::start(program, Duration::from_millis(1), Some(EXTENDED_MODE_ON));
    let (next_write, has_ended) = (AtomicUsize::new(0), AtomicBool::new(false));
    let (missing_responses, unexpected_responses, effective_faults) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let (served, rejected, failed) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let increment = |count: &AtomicUsize| count.fetch_add(1, Ordering::Relaxed);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut primary = 0;
            for round in 0.. {
                let writes_at_start = next_write.load(Ordering::Relaxed);
                // Lets some writes run without a fault between two faults.
                while next_write.load(Ordering::Relaxed) < writes_at_start + writes_between_faults
                    && !has_ended.load(Ordering::Relaxed)
                {
                    std::thread::sleep(Duration::from_millis(2));
                }
                if has_ended.load(Ordering::Relaxed) {
                    return;
                }
                let (stage, fault) = (STAGES[round % 5], FAULTS[round / 5 % 4]);
                let endpoint = &setup.endpoints[primary];
                if stage == RequestStage::Parse {
                    endpoint.forget_prepared_statements();
                }
                endpoint
                    .faults
                    .with(|faults| faults.push_back((stage, fault)));
                let is_consumed =
                    |faults: &mut std::collections::VecDeque<_>| faults.is_empty().then_some(());
                if endpoint
                    .faults
                    .wait_for(Duration::from_secs(5), is_consumed)
                    .is_none()
                {
                    continue;
                }
                increment(&effective_faults);
                if fault == Fault::Kill {
                    endpoint.wait_until_killed();
                    primary = (primary + 1) % setup.endpoints.len();
                    setup.replica_set.promote(ENDPOINT_NAMES[primary]);
                    std::thread::sleep(Duration::from_millis(100));
                    endpoint.restart();
                }
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                scope.spawn(|| {
                    let mut client = setup.router.connect_client();
                    client.extended_query(&[parse_message("w", WRITE_STATEMENT, &[])]);
                    loop {
                        let number = increment(&next_write);
                        if number >= WRITES {
                            return;
                        }
                        let key = format!("k{number}");
                        for _ in 0..20 {
                            let write = bind_and_execute(
                                "w",
                                &[Some(&key), Some(&key), Some("700"), Some(&key)],
                            );
                            client.send(&[write, sync_message()].concat());
                            let Some(response) = client.read_response() else {
                                increment(&missing_responses);
                                client = setup.router.connect_client();
                                client.extended_query(&[parse_message("w", WRITE_STATEMENT, &[])]);
                                continue;
                            };
                            match &*response.tags {
                                "2DCZ" if response.value == key => {
                                    increment(&served);
                                    break;
                                }
                                "2EZ" if response.sqlstate == "53300" => increment(&rejected),
                                // Possibly executed: clients of the protocol do not repeat it.
                                "2EZ" => {
                                    increment(&failed);
                                    break;
                                }
                                // More than one value, error or ReadyForQuery, or the value of another write.
                                _ => increment(&unexpected_responses),
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
        has_ended.store(true, Ordering::Relaxed);
    });
    let count = |counter: &AtomicUsize| [counter.load(Ordering::Relaxed) as f64];
    let executed_twice = setup
        .replica_set
        .with_execution_log(|log| log.keys_executed_more_than_once().len())
        as f64;
    let never_executed = WRITES as f64
        - setup
            .replica_set
            .with_execution_log(|log| log.executed_writes.len()) as f64;
    report.add(
        "bookings run twice",
        "",
        &[executed_twice],
        Target::AtMost(0.0),
    );
    report.add(
        "bookings without an answer",
        "",
        &count(&missing_responses),
        Target::AtMost(0.0),
    );
    report.add(
        "bookings with two answers",
        "",
        &count(&unexpected_responses),
        Target::AtMost(0.0),
    );
    report.add(
        "bookings that never ran",
        "",
        &[never_executed],
        Target::None,
    );
    report.add(
        "faults that came",
        "",
        &count(&effective_faults),
        Target::AtLeast(40.0),
    );
    report.add("bookings served", "", &count(&served), Target::None);
    report.add("tries refused", "", &count(&rejected), Target::None);
    report.add(
        "bookings failed, which may have run",
        "",
        &count(&failed),
        Target::None,
    );
    Ok(())
}

/// Measures the router's resident memory with 300 clients that each prepare 100 statements of 50 texts, and with 300
/// clients that prepare none; each on a router of its own.
fn measure_memory(program: &str, rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    let parses: Vec<u8> = (0..100)
        .flat_map(|number| parse_message(&format!("s{number}"), &read_statement(number % 50), &[]))
        .collect();
    let resident_memory_mb = |has_statements: bool| -> anyhow::Result<f64> {
        let setup = Setup::start(program, Duration::ZERO, Some(EXTENDED_MODE_ON));
        let mut clients = Vec::new();
        for id in 0..300 {
            let mut client = setup.router.connect_client();
            if has_statements {
                ensure!(
                    client
                        .extended_query(&[&parses[..]].map(<[u8]>::to_vec))
                        .sqlstate
                        .is_empty(),
                    "the router did not prepare the statements of client {id}"
                );
            }
            client.send(&simple_read(id));
            ensure!(
                client
                    .read_response()
                    .is_some_and(|response| response.sqlstate.is_empty()),
                "the read of client {id} was not served"
            );
            clients.push(client);
        }
        setup.resident_memory_mb()
    };
    let (mut with_statements, mut without_statements, mut difference) =
        (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..rounds {
        with_statements.push(resident_memory_mb(true)?);
        without_statements.push(resident_memory_mb(false)?);
        difference.push(
            with_statements[with_statements.len() - 1]
                - without_statements[without_statements.len() - 1],
        );
    }
    report.add(
        "memory, 300 clients x 100 statements",
        "MB",
        &with_statements,
        Target::None,
    );
    report.add(
        "memory, 300 clients without",
        "MB",
        &without_statements,
        Target::None,
    );
    report.add(
        "memory of the statements",
        "MB",
        &difference,
        Target::AtMost(8.0),
    );
    Ok(())
}
