//! Case: a planned restart while the primary hangs. Clients have sent several bookings at once, wholly, before the
//! signal. Observes which of them are never answered.

use review_standins::client::{Client, wait_until_ready};
use review_standins::discovery::{Discovery, Entry, list_json};
use review_standins::endpoint::{Behaviour, Endpoint, Reply, exponential};
use review_standins::pg::{self, Statement};
use review_standins::record::Record;
use review_standins::router::Router;
use review_standins::{Random, is_trouble, now_ms, seed, settings};
use std::io::Write;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

/// STANDING, roll+brink: a quarter to a half of the instances hang. Here one of four, the primary.
const MEMBERS: u64 = 4;
const CLIENTS: u64 = 6;
/// The bookings that each client sends at once, and the size of their values. PROTOCOL: at most 64 KiB.
const BOOKINGS: u64 = 12;
const VALUE_BYTES: usize = 64 * 1024;
/// The mean time of a booking at an endpoint. BRIEF: 80 to 140 ms.
const WORK: Duration = Duration::from_millis(110);
/// The time from the last byte of the bookings to the signal.
const BEFORE_SIGNAL: Duration = Duration::from_millis(100);
/// The platform kills the router no sooner than the longest deadline (3 s) and 0.7 s after the signal.
const KILL_AFTER: Duration = Duration::from_millis(3700);

struct Member {
    index: u64,
    hangs: AtomicBool,
    random: Mutex<Random>,
    record: Record,
}

impl Behaviour for Member {
    fn is_primary(&self) -> bool {
        self.index == 0
    }

    fn report(&self) -> Option<String> {
        Some(format!("x0={:.3},x1={},inflight=1,util=0.3", now_ms() / 1e3 - 0.005, u8::from(self.is_primary())))
    }

    fn run(&self, statement: &Statement, _: &str, arrived_ms: f64) -> Reply {
        self.record.line_at(arrived_ms, format!("s-{} received {} {}", self.index, statement.class, statement.id));
        if self.hangs.load(Ordering::Relaxed) {
            return Reply::Silence;
        }
        if statement.is_write && !self.is_primary() {
            return Reply::Error { code: "25006", position: now_ms() as u64 - 5 };
        }
        let pause = exponential(&mut self.random.lock().unwrap(), WORK);
        std::thread::sleep(pause);
        if self.hangs.load(Ordering::Relaxed) {
            return Reply::Silence;
        }
        self.record.line(format!("s-{} ran {} {}", self.index, statement.class, statement.id));
        Reply::Row { value: statement.id.as_bytes().to_vec(), position: now_ms().ceil() as u64 }
    }
}

fn booking(id: &str, value_bytes: usize) -> Vec<u8> {
    let value = "7f".repeat(value_bytes);
    pg::query(&format!(
        "INSERT INTO facts (code, data) VALUES ('acct-{id}', '\\x{value}') RETURNING data /* id={id},c=book-cargo,d=2000,k={id},cluster=1 */"
    ))
}

fn main() {
    let record = Record::create();
    let members: Vec<Arc<Member>> = (0..MEMBERS)
        .map(|index| {
            Arc::new(Member {
                index,
                hangs: AtomicBool::new(false),
                random: Mutex::new(Random(seed() * 1000 + index)),
                record: record.clone(),
            })
        })
        .collect();
    let endpoints: Vec<Endpoint> = members.iter().map(|member| Endpoint::start(member.clone())).collect();
    let entries: Vec<Entry> = members
        .iter()
        .zip(&endpoints)
        .map(|(member, endpoint)| Entry {
            uid: format!("s-{}", member.index),
            address: endpoint.address,
            az: "qianzhen-dc".into(),
            group: 1,
            state: "ready",
            boot_ms: 0,
            is_primary: None,
        })
        .collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(entries);
    let mut router = Router::start("n1", discovery.address, 192, 1024, &known, &settings::kaohsiung(2));
    if !wait_until_ready(router.address) {
        record.say("the router did not become ready");
        exit(2);
    }
    // Usual traffic for a second: the router gets to know the primary.
    let Ok(mut first) = Client::connect(router.address) else { exit(2) };
    for number in 0..8 {
        let id = format!("{:016x}", seed() << 40 | 0xff << 20 | number);
        if first.send(&booking(&id, 16)).is_err() || first.answer().is_err() {
            record.say("the router does not serve");
            exit(2);
        }
    }

    if is_trouble() {
        members[0].hangs.store(true, Ordering::Relaxed);
        record.say("the primary s-0 hangs: it takes requests and answers none");
    }
    let address = router.address;
    let is_written = Arc::new(Barrier::new(CLIENTS as usize + 1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_written, record) = (is_written.clone(), record.clone());
            std::thread::spawn(move || {
                let ids: Vec<String> = (0..BOOKINGS).map(|booking| format!("{:016x}", seed() << 40 | number << 20 | booking)).collect();
                let bookings: Vec<u8> = ids.iter().flat_map(|id| booking(id, VALUE_BYTES)).collect();
                let client = Client::connect(address);
                let begun = Instant::now();
                let client = client.and_then(|mut client| client.stream.write_all(&bookings).map(|()| client));
                record.line(format!(
                    "client {number} has written {BOOKINGS} bookings, {} bytes, in {:.1} ms: {}",
                    bookings.len(),
                    begun.elapsed().as_secs_f64() * 1e3,
                    client.is_ok()
                ));
                is_written.wait();
                let Ok(mut client) = client else { return None };
                let mut unanswered = 0;
                for id in &ids {
                    let word = match client.answer() {
                        Ok(answer) => answer.word(),
                        Err(e) => {
                            unanswered += 1;
                            format!("never answered: {e}")
                        }
                    };
                    record.line(format!("client {number} {id}: {word}"));
                }
                // A close over unread bytes resets the connection. Without a reset, the router has read all of them.
                std::thread::sleep(Duration::from_millis(800));
                let reset = client.stream.take_error().ok().flatten();
                record.line(format!("client {number}: {unanswered} never answered; reset after the end of the stream: {reset:?}"));
                Some((unanswered, reset.is_some()))
            })
        })
        .collect();
    // All bookings are written wholly before the signal.
    is_written.wait();
    std::thread::sleep(BEFORE_SIGNAL);
    let signalled = Instant::now();
    if is_trouble() {
        router.signal("TERM");
        record.say("SIGTERM: a planned restart");
        // The platform's part: the kill, if the router has not ended by then.
        while signalled.elapsed() < KILL_AFTER && !router.has_ended() {
            std::thread::sleep(Duration::from_millis(5));
        }
        record.say(format!("the router has ended by itself after {:.0} ms: {}", signalled.elapsed().as_secs_f64() * 1e3, router.has_ended()));
        if !router.has_ended() {
            router.signal("KILL");
        }
    }
    let results: Vec<Option<(u64, bool)>> = clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    drop(router);
    if results.iter().any(Option::is_none) {
        record.say("a client could not write its bookings before the signal");
        exit(2);
    }
    let unanswered: u64 = results.iter().flatten().map(|(unanswered, _)| unanswered).sum();
    let resets = results.iter().flatten().filter(|(_, is_reset)| *is_reset).count();
    record.say(format!(
        "bookings written before the signal and never answered: {unanswered} of {}; connections reset: {resets} of {CLIENTS}",
        CLIENTS * BOOKINGS
    ));
    exit(i32::from(unanswered > 0));
}
