//! A node that the whole list does not name any more, at a router that also browses DNS service records.

use reelrill_test_support::dns::{DOMAIN, DnsZone, FakeDnsServer, SERVICE, ServiceInstance};
use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::{Verdict, is_calm, now_ms, run_case, settings, sleep_ms};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// The time from the moment at which discovery has written the list to the last moment of a send: 250 ms by the brief,
/// and 50 ms more on sockets.
const GRACE_MS: u64 = 300;
/// The time for which the clients go on after the list.
const AFTER_MS: u64 = 12_000;

fn main() -> ExitCode {
    run_case(case)
}

fn case(temporary: &Path, record: &Record) -> std::io::Result<Verdict> {
    let primary = Endpoint::start("p", record, None, |query| Answer::sound(query, true, 5));
    let kept = Endpoint::start("r1", record, None, |query| Answer::sound(query, false, 5));
    let leaving = Endpoint::start("r2", record, None, |query| Answer::sound(query, false, 5));
    let targets = vec![
        Target::new("p", primary.address, 1),
        Target::new("r1", kept.address, 1),
        Target::new("r2", leaving.address, 1),
    ];
    // DNS names the nodes that stay; the third one is named by the roster alone.
    let mut zone = DnsZone::default();
    for (uid, endpoint) in [("p", &primary), ("r1", &kept)] {
        zone.instances.insert(
            uid.to_owned(),
            ServiceInstance::new(uid, endpoint.address, 1),
        );
    }
    let dns = FakeDnsServer::start(zone);
    let edge = format!(
        "discovery:\n  roster: true\n  dns_sd:\n    servers: [\"{}\"]\n    services: [\"{}\"]\n    domain: {}\n",
        dns.address,
        SERVICE.trim_end_matches('.'),
        DOMAIN.trim_end_matches('.')
    );
    let known = list_json(1, true, &targets.iter().collect::<Vec<_>>());
    let discovery = Discovery::start("discovery", record, 1, targets);
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
    let mut client = Client::connect(router.address)?;
    let mut id = 0u64;
    let mut ask_until = |end: u64| {
        let mut served = 0;
        while now_ms() < end {
            id += 1;
            let text = format!(
                "SELECT data FROM facts WHERE code = 'lane-{id}' /* id={id:016x},c=any,d=1200,cluster=1 */"
            );
            served += usize::from(matches!(
                client.ask(&text, Duration::from_secs(2)),
                Ending::Served(_)
            ));
            sleep_ms(20);
        }
        served
    };
    let served = ask_until(now_ms() + 3000);
    record.line(format!(
        "{served} reads served; r2 had {}",
        leaving.queries().len()
    ));
    if leaving.queries().is_empty() {
        return Ok(Verdict::NotRun);
    }
    let mut told_at = now_ms();
    if !is_calm() {
        discovery.drop_from_whole_list("r2");
        told_at = discovery.wait_until_told(told_at).unwrap_or(u64::MAX);
        record.line("the router has been told the whole list without r2");
    }
    let served = ask_until(now_ms() + AFTER_MS);
    let late: Vec<u64> = leaving
        .queries()
        .iter()
        .filter(|query| query.at_ms > told_at.saturating_add(GRACE_MS))
        .map(|query| query.at_ms - told_at)
        .collect();
    record.line(format!("{served} reads served after that"));
    for line in router
        .log_lines("member: r2")
        .iter()
        .filter(|line| line.contains("endpoint "))
    {
        record.line(format!("router: {line}"));
    }
    if is_calm() {
        record.line(format!(
            "r2 stays in the list and had {} queries",
            leaving.queries().len()
        ));
        return Ok(Verdict::Held);
    }
    record.line(format!(
        "r2 got {} queries later than {GRACE_MS} ms after the list, the last one {:?} ms after it",
        late.len(),
        late.last()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
