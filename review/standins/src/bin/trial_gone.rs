//! Trial: clients send many bookings at once and go. Observes the attempts that begin after a client has closed its
//! connection.

use review_standins::client::{Client, wait_until_ready};
use review_standins::discovery::{Discovery, Entry, list_json};
use review_standins::endpoint::{Behaviour, Endpoint, Reply, exponential};
use review_standins::pg::{self, Statement};
use review_standins::record::Record;
use review_standins::router::Router;
use review_standins::{Random, is_trouble, now_ms, seed, settings};
use std::io::Write;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The clients, the pause between one and the next, and the commands of each. LATER: hundreds of commands at once.
const CLIENTS: u64 = 24;
const PAUSE: Duration = Duration::from_millis(1200);
const COMMANDS: u64 = 950;
/// The size of a value. PROTOCOL: at most 64 KiB.
const VALUE_BYTES: usize = 60;
/// The mean time of a booking at an endpoint. BRIEF: 80 to 140 ms.
const WORK: Duration = Duration::from_millis(140);
/// An attempt that begins later after the close is a break: 0.1 s, and 50 ms of slack for each time limit on sockets.
const LATEST_MS: f64 = 100.0 + 50.0;
const MEMBERS: u64 = 5;

struct Member {
    name: String,
    is_primary: bool,
    random: Mutex<Random>,
    /// The ids of the statements received, with their times.
    received: Mutex<Vec<(u64, f64)>>,
    record: Record,
}

impl Behaviour for Member {
    fn is_primary(&self) -> bool {
        self.is_primary
    }

    fn report(&self) -> Option<String> {
        Some(format!("x0={:.3},x1={},inflight=1,util=0.3", now_ms() / 1e3 - 0.005, u8::from(self.is_primary)))
    }

    fn run(&self, statement: &Statement, _: &str, arrived_ms: f64) -> Reply {
        let id = u64::from_str_radix(&statement.id, 16).unwrap_or(0);
        self.received.lock().unwrap().push((id, arrived_ms));
        self.record.line_at(arrived_ms, format!("{} received {} {}", self.name, statement.class, statement.id));
        if statement.is_write && !self.is_primary {
            return Reply::Error { code: "25006", position: now_ms() as u64 - 5 };
        }
        let pause = exponential(&mut self.random.lock().unwrap(), WORK);
        std::thread::sleep(pause);
        self.record.line(format!("{} ran {} {}", self.name, statement.class, statement.id));
        Reply::Row { value: statement.id.as_bytes().to_vec(), position: now_ms().ceil() as u64 }
    }
}

fn main() {
    let record = Record::create();
    let members: Vec<Arc<Member>> = (0..MEMBERS)
        .map(|index| {
            Arc::new(Member {
                name: format!("s-{index}"),
                is_primary: index == 0,
                random: Mutex::new(Random(seed() * 1000 + index)),
                received: Mutex::default(),
                record: record.clone(),
            })
        })
        .collect();
    let endpoints: Vec<Endpoint> = members.iter().map(|member| Endpoint::start(member.clone())).collect();
    let entries: Vec<Entry> = members
        .iter()
        .zip(&endpoints)
        .map(|(member, endpoint)| Entry {
            uid: member.name.clone(),
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
    let router = Router::start("n1", discovery.address, 192, 1024, &known, &settings::kaohsiung(2));
    if !wait_until_ready(router.address) {
        record.say("the router did not become ready");
        exit(2);
    }

    // The primary is known before the first client comes.
    let Ok(mut first) = Client::connect(router.address) else { exit(2) };
    for number in 0..5 {
        let _ = first.ask(&booking(seed() << 40 | 0xff << 20 | number));
    }
    let mut closes = Vec::new();
    let mut staying = Vec::new();
    for number in 0..CLIENTS {
        let Ok(mut client) = Client::connect(router.address) else { exit(2) };
        let commands: Vec<u8> = (0..COMMANDS).flat_map(|command| pg::query(&booking(seed() << 40 | number << 20 | command))).collect();
        if client.stream.write_all(&commands).is_err() {
            record.line(format!("client {number} can't send all of its commands"));
        }
        record.line(format!("client {number} has sent {COMMANDS} bookings, {} bytes", commands.len()));
        if is_trouble() {
            drop(client);
            let closed_ms = now_ms();
            record.line_at(closed_ms, format!("client {number} has closed its connection"));
            closes.push((number, closed_ms));
        } else {
            // The client stays and reads its answers.
            let record = record.clone();
            staying.push(std::thread::spawn(move || {
                let answered = (0..COMMANDS).take_while(|_| client.answer().is_ok()).count();
                record.line(format!("client {number} has had {answered} answers"));
                answered as u64 == COMMANDS
            }));
        }
        std::thread::sleep(PAUSE);
    }
    let is_answered = staying.into_iter().map(|client| client.join().unwrap_or(false)).filter(|is_answered| *is_answered).count();
    if !is_trouble() {
        record.say(format!("{is_answered} of {CLIENTS} clients stayed and had all their answers"));
    }
    std::thread::sleep(Duration::from_secs(1));

    let received: Vec<(u64, f64)> = members.iter().flat_map(|member| member.received.lock().unwrap().clone()).collect();
    let (mut late_attempts, mut clients_with_late, mut latest_ms) = (0, 0, 0.0f64);
    for (number, closed_ms) in closes {
        let own: Vec<f64> = received.iter().filter(|(id, _)| id >> 20 & 0xff == number).map(|(_, at)| at - closed_ms).collect();
        let late = own.iter().filter(|after| **after > LATEST_MS).count();
        latest_ms = own.iter().copied().fold(latest_ms, f64::max);
        late_attempts += late;
        clients_with_late += usize::from(late > 0);
        record.line(format!("client {number}: {} attempts, {late} of them more than {LATEST_MS} ms after the close", own.len()));
    }
    record.say(format!(
        "attempts begun more than {LATEST_MS} ms after their client's close: {late_attempts}, of {clients_with_late} clients; the last {latest_ms:.0} ms after it"
    ));
    drop(router);
    exit(i32::from(late_attempts > 0));
}

fn booking(id: u64) -> String {
    let value = "7f".repeat(VALUE_BYTES);
    format!("INSERT INTO facts (code, data) VALUES ('acct-{id:016x}', '\\x{value}') RETURNING data /* id={id:016x},c=book-cargo,d=2000,k={id:016x},cluster=1 */")
}
