//! Trial: bookings as simple queries behind a prepared read at a hanging primary, at a planned restart.

use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::{Verdict, is_calm, run_case, settings, sleep_ms, socket, wire};
use std::io::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

const CLIENTS: usize = 6;
/// The bookings behind the read of each client, and the bytes of their values.
const BOOKINGS: usize = 12;
const VALUE_BYTES: usize = 60 * 1024;

fn main() -> ExitCode {
    run_case(case)
}

fn insert(id: usize, value_bytes: usize) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('acct-{id}', '\\x{}') RETURNING data \
         /* id={id:016x},c=book,d=2000,k=5c0f{id:x},cluster=1 */",
        "9f".repeat(value_bytes)
    )
}

/// Returns a prepared strong read, whose class is given up after 3 s, and the bookings behind it.
fn commands(client: usize) -> Vec<u8> {
    let read = "SELECT data FROM facts WHERE code = $1 /* c=now,cluster=1 */";
    let code = format!("acct-{client}");
    let mut out = Vec::new();
    wire::put(
        &mut out,
        b'P',
        &[b"\0", read.as_bytes(), b"\0\0\0"].concat(),
    );
    let mut bind = b"\0\0\0\0\0\x01".to_vec();
    bind.extend((code.len() as u32).to_be_bytes());
    bind.extend(code.as_bytes());
    bind.extend([0, 0]);
    wire::put(&mut out, b'B', &bind);
    wire::put(&mut out, b'E', b"\0\0\0\0\0");
    wire::put(&mut out, b'S', b"");
    for booking in 0..BOOKINGS {
        let id = 1000 + client * 100 + booking;
        out.extend(wire::query(&insert(id, VALUE_BYTES)));
    }
    out
}

/// Reads the answers to all commands; returns how many were answered.
fn read_answers(client: &mut Client) -> usize {
    let endings = (0..=BOOKINGS).map(|_| client.ending(Duration::from_secs(6)));
    endings
        .take_while(|ending| !matches!(ending, Ending::Closed | Ending::Silent))
        .count()
}

fn case(temporary: &Path, record: &Record) -> std::io::Result<Verdict> {
    let primary = Endpoint::start("p", record, None, |query| Answer::sound(query, true, 5));
    let replica = Endpoint::start("r", record, None, |query| Answer::sound(query, false, 5));
    let targets = vec![
        Target::new("p", primary.address, 1),
        Target::new("r", replica.address, 1),
    ];
    let known = list_json(1, true, &targets.iter().collect::<Vec<_>>());
    let discovery = Discovery::start("discovery", record, 1, targets);
    let told = Told {
        settings: settings::CARGO.json(),
        known,
        sockets: 512,
        memory_mb: 96,
        edge: Some("extended: {mode: translate}\n".to_owned()),
    };
    let router = Router::start(temporary, discovery.address, &told, record)?;
    if !wait_until_ready(router.address, record) {
        return Ok(Verdict::NotRun);
    }
    let first = Client::connect(router.address)?.ask(&insert(1, 2), Duration::from_secs(3));
    record.line(format!("a first booking: {first:?}"));
    primary.set_hanging(!is_calm());
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(router.address)?;
        let commands = commands(number);
        client
            .stream
            .set_write_timeout(Some(Duration::from_millis(500)))?;
        if client.stream.write_all(&commands).is_err() {
            return Ok(Verdict::NotRun);
        }
        record.line(format!(
            "client {number} wrote its last byte ({} bytes)",
            commands.len()
        ));
        clients.push(client);
    }
    sleep_ms(100);
    record.line("SIGTERM");
    router.signal(socket::SIGTERM);
    let readers: Vec<_> = clients
        .into_iter()
        .map(|mut client| std::thread::spawn(move || read_answers(&mut client)))
        .collect();
    let mut answered = 0;
    for (number, reader) in readers.into_iter().enumerate() {
        let count = reader.join().unwrap_or(0);
        record.line(format!(
            "client {number}: {count} of {} commands answered",
            BOOKINGS + 1
        ));
        answered += count;
    }
    let is_whole = answered == CLIENTS * (BOOKINGS + 1);
    Ok(if is_whole {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
