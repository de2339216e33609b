//! A replica that the list still names as the primary of the day's start, and that comes back behind after an outage.

use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::settings::{Deployment, KEYED_BOOK};
use review_standins_2::{Verdict, is_calm, now_ms, run_case, sleep_ms};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The age that the class allows, and the slack on sockets.
const AGE_MS: u64 = 1500;
const SLACK_MS: u64 = 50;
/// The outage, and how far behind the node is afterwards.
const OUTAGE_MS: u64 = 20_000;
const BEHIND_MS: u64 = 6_000;
/// The time that a read takes.
const WORK_MS: u64 = 120;
/// The clients, each with one request at a time.
const CLIENTS: usize = 8;
/// The usual lag of the replica.
const LAG_MS: u64 = 20;

fn main() -> ExitCode {
    run_case(case)
}

/// Lets all clients ask for so long; returns the number of reads served.
fn ask_for(router: SocketAddr, milliseconds: u64) -> usize {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let end = now_ms() + milliseconds;
    let ask = move || {
        let Ok(mut client) = Client::connect(router) else {
            return 0;
        };
        let mut served = 0;
        while now_ms() < end {
            let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
            let text = format!(
                "SELECT data FROM facts WHERE code = 'case-{id}' /* id={id:016x},c=board,d=1000,cluster=1 */"
            );
            served += usize::from(matches!(
                client.ask(&text, Duration::from_secs(3)),
                Ending::Served(_)
            ));
            sleep_ms(80);
        }
        served
    };
    let clients: Vec<_> = (0..CLIENTS).map(|_| std::thread::spawn(ask)).collect();
    clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum()
}

fn case(temporary: &Path, record: &Record) -> std::io::Result<Verdict> {
    let deployment = Deployment {
        registry_mode: "automatic",
        list_role: "static",
        guards: "silent",
        session_marks: "brought",
        reports: "pull",
        board_age_ms: AGE_MS,
        book: KEYED_BOOK,
    };
    let lag = Arc::new(AtomicU64::new(LAG_MS));
    let lag_of_a = lag.clone();
    let a = Endpoint::start("a", record, None, move |query| Answer {
        position_ms: now_ms() - lag_of_a.load(Ordering::SeqCst),
        ..Answer::sound(query, false, WORK_MS)
    });
    let b = Endpoint::start("b", record, None, |query| {
        Answer::sound(query, true, WORK_MS)
    });
    let listed = |boot_ms: u64, state: &'static str| Target {
        boot_ms,
        state,
        role: Some("master"),
        ..Target::new("a", a.address, 1)
    };
    let other = Target {
        role: Some("replica"),
        ..Target::new("b", b.address, 1)
    };
    let targets = vec![listed(0, "ready"), other];
    let known = list_json(1, true, &targets.iter().collect::<Vec<_>>());
    let agent = Discovery::start("agent", record, 1, targets);
    let told = Told {
        settings: deployment.json(),
        known,
        sockets: 512,
        memory_mb: 96,
        edge: None,
    };
    let router = Router::start(temporary, agent.address, &told, record)?;
    if !wait_until_ready(router.address, record) {
        return Ok(Verdict::NotRun);
    }
    let ask_for = |milliseconds: u64| ask_for(router.address, milliseconds);
    let served = ask_for(2000);
    record.line(format!(
        "{served} reads served; a had {}, b had {}",
        a.queries().len(),
        b.queries().len()
    ));
    if a.queries().is_empty() {
        return Ok(Verdict::NotRun);
    }
    if !is_calm() {
        a.die();
        agent.set(listed(0, "gone"));
        let served = ask_for(OUTAGE_MS);
        record.line(format!("{served} reads served in the outage"));
        lag.store(BEHIND_MS, Ordering::SeqCst);
        a.restart();
        agent.set(listed(now_ms(), "ready"));
    }
    let back_at = now_ms();
    let served = ask_for(5000);
    record.line(format!("{served} reads served after it"));
    let stale = a
        .queries()
        .iter()
        .filter(|query| query.at_ms > back_at)
        .count();
    let is_behind = lag.load(Ordering::SeqCst) > AGE_MS + SLACK_MS;
    record.line(format!(
        "a answered {stale} reads since it is back, {} ms behind",
        lag.load(Ordering::SeqCst)
    ));
    Ok(if is_behind && stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
