//! Nodes that begin to drain as discovery comes back from an outage, at a router that also browses DNS service records.

use reelrill_test_support::dns::{DOMAIN, DnsZone, FakeDnsServer, SERVICE, ServiceInstance};
use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::{Verdict, is_calm, now_ms, run_case, settings, sleep_ms};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The outages: 12 s each, the shortest that the brief names.
const OUTAGE_MS: u64 = 12_000;
const OUTAGES: usize = 3;
/// The routers, each with a cluster of its own: a router draws the time of its next call at random.
const CLUSTERS: usize = 6;
/// The names of the clusters' discovery services in the record.
const DISCOVERIES: [&str; CLUSTERS] = [
    "discovery 0",
    "discovery 1",
    "discovery 2",
    "discovery 3",
    "discovery 4",
    "discovery 5",
];
/// The time after which a change counts as told: 6 s after discovery had it and could be reached.
const TOLD_MS: u64 = 6000;
/// The time from then to the last moment of a send: 250 ms by the brief, and 50 ms more on sockets.
const GRACE_MS: u64 = 300;
/// The time for which the case watches each draining node.
const WATCH_MS: u64 = 9500;
/// The time between two changes of DNS records.
const FLIP_MS: u64 = 1000;

fn main() -> ExitCode {
    run_case(|temporary, record| {
        let clusters: Vec<_> = (0..CLUSTERS)
            .map(|cluster| {
                let (temporary, record) = (temporary.join(cluster.to_string()), record.clone());
                std::thread::spawn(move || {
                    std::fs::create_dir_all(&temporary)?;
                    case(&temporary, &record, cluster)
                })
            })
            .collect();
        let mut verdicts = Vec::new();
        for cluster in clusters {
            verdicts.push(cluster.join().unwrap_or(Ok(Verdict::NotRun))?);
        }
        Ok(if verdicts.contains(&Verdict::Broken) {
            Verdict::Broken
        } else if verdicts.contains(&Verdict::NotRun) {
            Verdict::NotRun
        } else {
            Verdict::Held
        })
    })
}

/// Asks the router about 20 times a second until `stop` is set; returns the number of reads served.
fn ask(router: SocketAddr, stop: &AtomicBool) -> usize {
    let mut served = 0;
    let Ok(mut client) = Client::connect(router) else {
        return 0;
    };
    for id in 1u64.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let text = format!(
            "SELECT data FROM facts WHERE code = 'lane-{id}' /* id={id:016x},c=any,d=1200,cluster=1 */"
        );
        match client.ask(&text, Duration::from_secs(2)) {
            Ending::Served(_) => served += 1,
            Ending::Closed => match Client::connect(router) {
                Ok(next) => client = next,
                Err(_) => break,
            },
            _ => {}
        }
        sleep_ms(40);
    }
    served
}

/// Runs one cluster with its router.
fn case(temporary: &Path, record: &Record, cluster: usize) -> std::io::Result<Verdict> {
    let primary = Endpoint::start(&format!("{cluster}.p"), record, None, |query| {
        Answer::sound(query, true, 5)
    });
    let replicas: Vec<Endpoint> = (0..=OUTAGES)
        .map(|n| {
            Endpoint::start(&format!("{cluster}.r{n}"), record, None, |query| {
                Answer::sound(query, false, 5)
            })
        })
        .collect();
    let other = Endpoint::start(&format!("{cluster}.other"), record, None, |query| {
        Answer::sound(query, false, 5)
    });
    let mut targets = vec![Target::new("p", primary.address, 1)];
    let mut zone = DnsZone::default();
    zone.instances.insert(
        "p".to_owned(),
        ServiceInstance::new("p", primary.address, 1),
    );
    for (n, replica) in replicas.iter().enumerate() {
        let uid = format!("r{n}");
        targets.push(Target::new(&uid, replica.address, 1));
        zone.instances
            .insert(uid.clone(), ServiceInstance::new(&uid, replica.address, 1));
    }
    let dns = FakeDnsServer::start(zone);
    let edge = format!(
        "discovery:\n  roster: true\n  dns_sd:\n    servers: [\"{}\"]\n    services: [\"{}\"]\n    domain: {}\n",
        dns.address,
        SERVICE.trim_end_matches('.'),
        DOMAIN.trim_end_matches('.')
    );
    let known = list_json(1, true, &targets.iter().collect::<Vec<_>>());
    let discovery = Discovery::start(DISCOVERIES[cluster], record, 1, targets);
    let told = Told {
        settings: settings::CARGO.json(),
        known,
        sockets: 512,
        memory_mb: 96,
        edge: Some(edge),
    };
    let router = Router::start(temporary, discovery.address, &told, record)?;
    if !wait_until_ready(router.address, record) {
        return Ok(Verdict::NotRun);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (is_stopped, address) = (stop.clone(), router.address);
    let asking = std::thread::spawn(move || ask(address, &is_stopped));
    // A rolling deploy of another group: its node's record comes and goes.
    let (is_stopped, flipped, other_address) = (stop.clone(), dns.clone(), other.address);
    let flipping = std::thread::spawn(move || {
        while !is_stopped.load(Ordering::SeqCst) {
            flipped.zone.with(|zone| {
                if zone.instances.remove("other").is_none() {
                    zone.instances.insert(
                        "other".to_owned(),
                        ServiceInstance::new("other", other_address, 2),
                    );
                }
            });
            sleep_ms(FLIP_MS);
        }
    });
    sleep_ms(3000);
    let mut worst: Option<u64> = None;
    let mut left: Vec<usize> = (0..=OUTAGES).collect();
    for _ in 0..OUTAGES {
        if !is_calm() {
            discovery.go_down();
            sleep_ms(OUTAGE_MS);
            discovery.wait_for_quiet();
        }
        // The node in use: the one that got a query last.
        left.sort_by_key(|n| {
            replicas[*n]
                .queries()
                .iter()
                .map(|query| query.at_ms)
                .max()
                .unwrap_or(0)
        });
        let n = left.pop().unwrap_or(0);
        let node = &replicas[n];
        discovery.set(Target {
            state: "draining",
            ..Target::new(&format!("r{n}"), node.address, 1)
        });
        discovery.come_back();
        let had_at = now_ms();
        sleep_ms(WATCH_MS);
        let last = node
            .queries()
            .iter()
            .map(|query| query.at_ms)
            .max()
            .unwrap_or(0);
        let after = last.saturating_sub(had_at);
        record.line(format!("{cluster}.r{n} got its last query {after} ms after discovery was back and had its drain"));
        if after > TOLD_MS + GRACE_MS {
            worst = worst.max(Some(after));
        }
    }
    stop.store(true, Ordering::SeqCst);
    let served = asking.join().unwrap_or(0);
    let _ = flipping.join();
    record.line(format!("cluster {cluster}: {served} reads served"));
    if served == 0 {
        return Ok(Verdict::NotRun);
    }
    record.line(format!(
        "cluster {cluster}: latest send after the limit of {} ms: {worst:?}",
        TOLD_MS + GRACE_MS
    ));
    Ok(if worst.is_some() {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
