//! A client that writes a request slowly, while more than half of the descriptors for clients are in use.

use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::{Verdict, is_calm, run_case, settings, sleep_ms, wire};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// The descriptors that the router is told.
const SOCKETS: u32 = 256;
/// The resting clients. With the slow one and those that come later, clients hold under a third of the descriptors (85).
const RESTING: usize = 66;
/// The time between two pieces of the slow request.
const PAUSE_MS: u64 = 100;
/// The pieces of the slow request: it takes 0.4 s, well under the 2 s that a client may spend.
const PIECES: usize = 5;
/// The piece after which one more client connects.
const ARRIVAL_AFTER: usize = 2;

fn main() -> ExitCode {
    run_case(case)
}

fn read(id: u64) -> String {
    format!(
        "SELECT data FROM facts WHERE code = 'lane-{id}' /* id={id:016x},c=any,d=1200,cluster=1 */"
    )
}

/// Writes one request in pieces and returns how it ended. Meanwhile one more client connects and sends a request.
fn write_slowly(
    client: &mut Client,
    text: &str,
    router: SocketAddr,
    others: &mut Vec<Client>,
    record: &Record,
) -> std::io::Result<Ending> {
    let message = wire::query(text);
    let piece = message.len().div_ceil(PIECES);
    for (index, bytes) in message.chunks(piece).enumerate() {
        if index > 0 && !is_calm() {
            sleep_ms(PAUSE_MS);
        }
        if let Err(error) = client.stream.write_all(bytes) {
            record.line(format!(
                "slow client: the connection is gone at piece {index}: {error}"
            ));
            return Ok(Ending::Closed);
        }
        record.line(format!("slow client: wrote {} bytes", bytes.len()));
        if index == ARRIVAL_AFTER {
            let mut other = Client::connect(router)?;
            let ending = other.ask(&read(2000 + others.len() as u64), Duration::from_secs(2));
            record.line(format!("another client connects and asks: {ending:?}"));
            others.push(other);
        }
    }
    record.line("slow client: its request is written whole");
    Ok(client.ending(Duration::from_millis(3000)))
}

fn case(temporary: &Path, record: &Record) -> std::io::Result<Verdict> {
    let primary = Endpoint::start("p", record, None, |query| Answer::sound(query, true, 2));
    let replica = Endpoint::start("r", record, None, |query| Answer::sound(query, false, 2));
    let targets = vec![
        Target::new("p", primary.address, 1),
        Target::new("r", replica.address, 1),
    ];
    let known = list_json(1, true, &targets.iter().collect::<Vec<_>>());
    let discovery = Discovery::start("discovery", record, 1, targets);
    let told = Told {
        settings: settings::CARGO.json(),
        known,
        sockets: SOCKETS,
        memory_mb: 96,
        edge: None,
    };
    let router = Router::start(temporary, discovery.address, &told, record)?;
    if !wait_until_ready(router.address, record) {
        return Ok(Verdict::NotRun);
    }
    let mut resting = Vec::new();
    for id in 1..=RESTING as u64 {
        let mut client = Client::connect(router.address)?;
        if !matches!(
            client.ask(&read(id), Duration::from_secs(2)),
            Ending::Served(_)
        ) {
            return Ok(Verdict::NotRun);
        }
        resting.push(client);
    }
    record.line(format!(
        "{RESTING} clients have each had an answer and keep their connections"
    ));
    let mut slow = Client::connect(router.address)?;
    let first = slow.ask(&read(1000), Duration::from_secs(2));
    record.line(format!(
        "slow client: its first request, written at once: {first:?}"
    ));
    sleep_ms(300);
    let text = "INSERT INTO facts (code, data) VALUES ('acct-7', '\\x9f03') RETURNING data \
                /* id=00000000000a0001,c=book,d=2000,k=5c0f6e1a2b3d4c59,cluster=1 */";
    record.line("slow client: begins to write its booking");
    let mut ending = write_slowly(&mut slow, text, router.address, &mut resting, record)?;
    record.line(format!("slow client: {ending:?}"));
    if ending == Ending::Closed {
        // The page lets the client send once more, in case the close crossed a request that was not read.
        let mut again = Client::connect(router.address)?;
        record.line("slow client: writes the same request once more on a new connection");
        ending = write_slowly(&mut again, text, router.address, &mut resting, record)?;
        record.line(format!("slow client, second connection: {ending:?}"));
    }
    for line in router
        .log_lines("evicted")
        .iter()
        .filter(|line| line.contains("client"))
    {
        record.line(format!("router: {line}"));
    }
    record.line(format!(
        "the booking ran {} times",
        primary.queries().iter().filter(|q| q.is_write).count()
    ));
    drop(resting);
    Ok(match ending {
        Ending::Closed | Ending::Silent => Verdict::Broken,
        _ => Verdict::Held,
    })
}
