//! Bookings that are half written to a hanging primary when their time ends.

use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint, Query};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::settings::{BookClass, CARGO, Deployment};
use review_standins_2::{Verdict, is_calm, now_ms, run_case, sleep_ms};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// The bookings, each by a client of its own.
const BOOKINGS: usize = 34;

/// Returns the bytes of a booking's value, within the 64 KiB that the protocol page allows. How much of a statement fits
/// into the buffers on the way to a node that reads nothing depends on the machines, so the sizes cover a range.
fn value_bytes(booking: usize) -> usize {
    match booking {
        0..24 => 42_350 + 100 * booking,
        _ => 30_000 + 3_000 * (booking - 24),
    }
}

/// The receive buffer that a node gives its connections.
const RECEIVE_BUFFER: i32 = 5000;
/// The client's timeout, in milliseconds.
const TIMEOUT_MS: u64 = 2000;
/// The time for which the primary hangs before the bookings, and after they were sent: 6.6 s together.
const HANG_BEFORE_MS: u64 = 4000;
const HANG_AFTER_MS: u64 = 2600;
/// The time that a small booking and a large one take.
const SMALL_MS: u64 = 250;
const LARGE_MS: u64 = 100;

fn main() -> ExitCode {
    run_case(case)
}

/// The tries of a client: one, and up to 3 more after a refusal.
const TRIES: usize = 4;

fn text(booking: usize, attempt: usize, value_bytes: usize) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('acct-{booking}', '\\x{}') RETURNING data \
         /* id=000000000{attempt:03x}{booking:04x},c=book,d={TIMEOUT_MS},cluster=1 */",
        "9f".repeat(value_bytes)
    )
}

/// Books until a try is not refused; returns the ending of each try.
fn book(router: SocketAddr, booking: usize, record: &Record) -> std::io::Result<Vec<Ending>> {
    let mut client = Client::connect(router)?;
    let mut endings = Vec::new();
    for attempt in 1..=TRIES {
        let begin = now_ms();
        let text = text(booking, attempt, value_bytes(booking));
        let ending = client.ask(&text, Duration::from_secs(6));
        record.line(format!(
            "booking {booking} of {} bytes, try {attempt}: {ending:?} after {} ms",
            value_bytes(booking),
            now_ms() - begin
        ));
        endings.push(ending.clone());
        if ending != Ending::Refused {
            break;
        }
        // Refused: trying again is harmless, after the time that the refusal states.
        sleep_ms(client.advice_ms);
    }
    Ok(endings)
}

fn case(temporary: &Path, record: &Record) -> std::io::Result<Verdict> {
    let deployment = Deployment {
        book: BookClass {
            repeat: "fragile",
            deadline_ms: 2000,
            window_ms: 2000,
        },
        ..CARGO
    };
    let work_ms = |query: &Query| {
        if query.text.len() < 1000 {
            SMALL_MS
        } else {
            LARGE_MS
        }
    };
    let primary = Endpoint::start("p", record, Some(RECEIVE_BUFFER), move |query| {
        Answer::sound(query, true, work_ms(query))
    });
    let replica = Endpoint::start("r", record, None, |query| Answer::sound(query, false, 2));
    let targets = vec![
        Target::new("p", primary.address, 1),
        Target::new("r", replica.address, 1),
    ];
    let known = list_json(1, true, &targets.iter().collect::<Vec<_>>());
    let discovery = Discovery::start("discovery", record, 1, targets);
    let told = Told {
        settings: deployment.json(),
        known,
        sockets: 512,
        memory_mb: 96,
        edge: None,
    };
    let router = Router::start(temporary, discovery.address, &told, record)?;
    if !wait_until_ready(router.address, record) {
        return Ok(Verdict::NotRun);
    }
    // Small bookings at the same time, so that the router has a connection for each of the large ones.
    let address = router.address;
    let small: Vec<_> = (0..BOOKINGS + 2)
        .map(|booking| {
            std::thread::spawn(move || -> std::io::Result<Ending> {
                let mut client = Client::connect(address)?;
                Ok(client.ask(&text(booking, 0, 2), Duration::from_secs(3)))
            })
        })
        .collect();
    let endings = small.into_iter().map(|thread| thread.join());
    let served = endings
        .filter(|ending| matches!(ending, Ok(Ok(Ending::Served(_)))))
        .count();
    record.line(format!("{served} small bookings served"));
    sleep_ms(300);
    if !is_calm() {
        primary.set_hanging(true);
        sleep_ms(HANG_BEFORE_MS);
    }
    let clients: Vec<_> = (0..BOOKINGS)
        .map(|booking| {
            let record = record.clone();
            std::thread::spawn(move || book(address, booking, &record))
        })
        .collect();
    if !is_calm() {
        sleep_ms(HANG_AFTER_MS);
        primary.set_hanging(false);
    }
    let mut verdict = Verdict::Held;
    let mut booked = Vec::new();
    for client in clients {
        booked.push(
            client
                .join()
                .map_err(|_| std::io::Error::other("a client panicked"))??,
        );
    }
    sleep_ms(500);
    for (booking, endings) in booked.iter().enumerate() {
        let runs: Vec<usize> = (1..=TRIES)
            .filter(|attempt| {
                let id = format!("000000000{attempt:03x}{booking:04x}");
                primary.queries().iter().any(|query| query.id == id)
            })
            .collect();
        let is_refused = |attempt: &&usize| endings.get(**attempt - 1) == Some(&Ending::Refused);
        if runs.iter().any(|attempt| is_refused(&attempt)) {
            verdict = Verdict::Broken;
            record.line(format!(
                "booking {booking}: its tries ended as {endings:?}, and those that ran are {runs:?}"
            ));
        }
        if runs.len() > 1 {
            record.line(format!(
                "booking {booking} was applied {} times",
                runs.len()
            ));
        }
    }
    Ok(verdict)
}
