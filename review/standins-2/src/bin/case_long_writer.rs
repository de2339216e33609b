//! A client that spends seconds on writing a request with a long value, without a pause.

use review_standins_2::client::{Client, Ending, wait_until_ready};
use review_standins_2::discovery::{Discovery, Target, list_json};
use review_standins_2::endpoint::{Answer, Endpoint};
use review_standins_2::record::Record;
use review_standins_2::router::{Router, Told};
use review_standins_2::{Verdict, is_calm, now_ms, run_case, settings, sleep_ms, wire};
use std::io::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// The bytes of the value: within the 64 KiB that the protocol page allows.
const VALUE_BYTES: usize = 60 * 1024;
/// The time between two pieces: the client never pauses for longer.
const PAUSE_MS: u64 = 50;
/// The pieces: the request takes 2.3 s.
const PIECES: usize = 47;

fn main() -> ExitCode {
    run_case(case)
}

/// Writes one request in pieces and returns how it ended.
fn write_slowly(client: &mut Client, text: &str, record: &Record) -> Ending {
    let message = wire::query(text);
    let piece = message.len().div_ceil(PIECES);
    let begin = now_ms();
    for (index, bytes) in message.chunks(piece).enumerate() {
        if index > 0 && !is_calm() {
            sleep_ms(PAUSE_MS);
        }
        if let Err(error) = client.stream.write_all(bytes) {
            record.line(format!(
                "slow client: the connection is gone at piece {index} of {PIECES}, after {} ms: {error}",
                now_ms() - begin
            ));
            return Ending::Closed;
        }
    }
    record.line(format!(
        "slow client: its request of {} bytes is written whole, in {} ms",
        message.len(),
        now_ms() - begin
    ));
    client.ending(Duration::from_millis(3000))
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
        sockets: 512,
        memory_mb: 96,
        edge: None,
    };
    let router = Router::start(temporary, discovery.address, &told, record)?;
    if !wait_until_ready(router.address, record) {
        return Ok(Verdict::NotRun);
    }
    let mut client = Client::connect(router.address)?;
    let read = "SELECT data FROM facts WHERE code = 'lane-1' /* id=00000000000b0001,c=any,d=1200,cluster=1 */";
    let first = client.ask(read, Duration::from_secs(2));
    record.line(format!(
        "slow client: its first request, written at once: {first:?}"
    ));
    let text = format!(
        "INSERT INTO facts (code, data) VALUES ('acct-7', '\\x{}') RETURNING data \
         /* id=00000000000b0002,c=book,d=2000,k=5c0f6e1a2b3d4c59,cluster=1 */",
        "9f".repeat(VALUE_BYTES)
    );
    record.line("slow client: begins to write its booking");
    let mut ending = write_slowly(&mut client, &text, record);
    record.line(format!("slow client: {ending:?}"));
    if ending == Ending::Closed {
        // The page lets the client send once more, in case the close crossed a request that was not read.
        let mut again = Client::connect(router.address)?;
        record.line("slow client: writes the same request once more on a new connection");
        ending = write_slowly(&mut again, &text, record);
        record.line(format!("slow client, second connection: {ending:?}"));
    }
    for line in router.log_lines("with: client") {
        record.line(format!("router: {line}"));
    }
    record.line(format!(
        "the booking ran {} times",
        primary.queries().iter().filter(|q| q.is_write).count()
    ));
    Ok(match ending {
        Ending::Closed | Ending::Silent => Verdict::Broken,
        _ => Verdict::Held,
    })
}
