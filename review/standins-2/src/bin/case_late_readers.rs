//! Clients that send a few commands at once and begin to read the answers seconds later.

use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint, Query};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::{Verdict, is_calm, run_case, settings, sleep_ms, socket, wire};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The limits that the router is told.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// The clients: under a third of the descriptors.
const CLIENTS: u64 = 320;
/// The commands that each sends at once, and the time from one client to the next: 570 requests a second.
const COMMANDS: u64 = 8;
const BETWEEN_MS: u64 = 14;
/// The time after which a client begins to read.
const LATE_MS: u64 = 4500;
const VALUE_BYTES: usize = 64 * 1024;
/// The receive buffer of a client.
const RECEIVE_BUFFER: i32 = 8 * 1024;

fn main() -> ExitCode {
    run_case(case)
}

/// Sends all commands at once and reads their answers; returns how many were answered.
fn ask(router: SocketAddr, number: u64) -> std::io::Result<u64> {
    let mut client = Client::start(socket::connect_from_afar(router, RECEIVE_BUFFER)?)?;
    let mut messages = Vec::new();
    for command in 0..COMMANDS {
        let id = number * 1000 + command + 1;
        messages.extend(wire::query(&format!(
            "SELECT data FROM facts WHERE code = 'acct-{id}' /* id={id:016x},c=any,d=1200,cluster=1 */"
        )));
    }
    client.stream.write_all(&messages)?;
    if !is_calm() {
        sleep_ms(LATE_MS);
    }
    let mut answered = 0;
    for _ in 0..COMMANDS {
        match client.ending(Duration::from_secs(5)) {
            Ending::Closed | Ending::Silent => break,
            _ => answered += 1,
        }
    }
    Ok(answered)
}

fn case(temporary: &Path, record: &Record) -> std::io::Result<Verdict> {
    let node = |name: &str, is_primary: bool| {
        Endpoint::start(name, record, None, move |query: &Query| Answer {
            content: Ok(vec![7; VALUE_BYTES]),
            ..Answer::sound(query, is_primary, 10)
        })
    };
    let nodes = [
        node("p", true),
        node("r1", false),
        node("r2", false),
        node("r3", false),
    ];
    let targets: Vec<Target> = nodes
        .iter()
        .zip(["p", "r1", "r2", "r3"])
        .map(|(node, uid)| Target::new(uid, node.address, 1))
        .collect();
    let known = list_json(1, true, &targets.iter().collect::<Vec<_>>());
    let discovery = Discovery::start("discovery", record, 1, targets);
    let told = Told {
        settings: settings::CARGO.json(),
        known,
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
        edge: None,
    };
    let router = Router::start(temporary, discovery.address, &told, record)?;
    if !wait_until_ready(router.address, record) {
        return Ok(Verdict::NotRun);
    }
    let answered = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    let mut most = 0;
    let mut is_killed = false;
    let limit = u64::from(MEMORY_MB) * 1024;
    let mut next_line = 0;
    let mut watch = |most: &mut u64| {
        let memory = router.memory_kib().unwrap_or(0);
        if memory >= next_line {
            record.line(format!("private memory: {memory} KiB"));
            next_line = memory + 2048;
        }
        *most = memory.max(*most);
        if memory > limit && !is_killed {
            is_killed = true;
            record.line(format!(
                "over the limit of {limit} KiB: the platform kills the router"
            ));
            router.kill();
        }
        is_killed
    };
    for number in 1..=CLIENTS {
        let (answered, address) = (answered.clone(), router.address);
        clients.push(std::thread::spawn(move || {
            if let Ok(count) = ask(address, number) {
                answered.fetch_add(count, Ordering::SeqCst);
            }
        }));
        sleep_ms(BETWEEN_MS);
        watch(&mut most);
    }
    while clients.iter().any(|client| !client.is_finished()) {
        watch(&mut most);
        sleep_ms(10);
    }
    let is_killed = watch(&mut most);
    record.line(format!(
        "{} of {} requests answered; at most {most} KiB of private memory",
        answered.load(Ordering::SeqCst),
        CLIENTS * COMMANDS
    ));
    Ok(if is_killed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
