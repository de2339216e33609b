//! Case: the primary of a group dies while clients send many commands at once. Each of these clients sends one booking
//! followed by reads, on one connection. The booking waits for a primary, and the router keeps the answers of the reads
//! behind it. The stand-in platform observes the router's memory and kills it over its limit, as the DEPLOY page says.

use review_standins::client::{Answer, Client, wait_until_ready};
use review_standins::discovery::{Discovery, Entry, list_json};
use review_standins::endpoint::{Behaviour, Endpoint, Reply, exponential};
use review_standins::pg::{self, Statement};
use review_standins::record::Record;
use review_standins::router::{Router, status_kib};
use review_standins::{Random, is_trouble, now_ms, seed, settings};
use std::process::{Command, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The router's limits. LATER: 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u64 = 48;
const DESCRIPTORS: u64 = 512;
/// The clients that send many commands at once, the pause between one and the next, and their commands.
const PORTALS: u32 = 10;
const PORTAL_PAUSE: Duration = Duration::from_millis(200);
const COMMANDS: usize = 120;
/// The size of a value. PROTOCOL: at most 64 KiB.
const VALUE_BYTES: usize = 64 * 1024;
/// The mean time of a statement at an endpoint.
const WORK: Duration = Duration::from_millis(20);
/// A replica takes over 1.3 to 2.8 s and another 1.3 to 3.8 s after the primary's death.
const TAKEOVER: Duration = Duration::from_millis(4500);
const MEMBERS: usize = 6;

struct Member {
    index: usize,
    /// The index of the primary; `MEMBERS` while the group has none.
    primary: Arc<AtomicUsize>,
    random: Mutex<Random>,
    received: AtomicU64,
    served: AtomicU64,
    record: Record,
}

impl Behaviour for Member {
    fn is_primary(&self) -> bool {
        self.primary.load(Ordering::Relaxed) == self.index
    }

    fn report(&self) -> Option<String> {
        Some(format!("x0={:.3},x1={},inflight=1,util=0.3", now_ms() / 1e3 - 0.005, u8::from(self.is_primary())))
    }

    fn run(&self, statement: &Statement, _: &str, _: f64) -> Reply {
        self.received.fetch_add(1, Ordering::Relaxed);
        if statement.is_write && !self.is_primary() {
            return Reply::Error { code: "25006", position: now_ms() as u64 - 5 };
        }
        let pause = exponential(&mut self.random.lock().unwrap(), WORK);
        std::thread::sleep(pause);
        self.served.fetch_add(1, Ordering::Relaxed);
        self.record.line(format!("s-{} ran {} {}", self.index, statement.class, statement.id));
        let position = if self.is_primary() { now_ms().ceil() as u64 } else { now_ms() as u64 - 5 };
        Reply::Row { value: value_of(&statement.id), position }
    }
}

/// Returns the value that belongs to the request of this id only.
fn value_of(id: &str) -> Vec<u8> {
    id.as_bytes().iter().copied().cycle().take(VALUE_BYTES).collect()
}

#[derive(Default)]
struct Totals {
    served: u64,
    refused_or_failed: u64,
    foreign: u64,
    unanswered: u64,
}

fn main() {
    let record = Record::create();
    let primary = Arc::new(AtomicUsize::new(0));
    let members: Vec<Arc<Member>> = (0..MEMBERS)
        .map(|index| {
            Arc::new(Member {
                index,
                primary: primary.clone(),
                random: Mutex::new(Random(seed() * 1000 + index as u64)),
                received: AtomicU64::new(0),
                served: AtomicU64::new(0),
                record: record.clone(),
            })
        })
        .collect();
    let endpoints: Vec<Endpoint> = members.iter().map(|member| Endpoint::start(member.clone())).collect();
    let entry = |index: usize, state: &'static str| Entry {
        uid: format!("s-{index}"),
        address: endpoints[index].address,
        az: "qianzhen-dc".into(),
        group: 1,
        state,
        boot_ms: 0,
        is_primary: None,
    };
    let entries: Vec<Entry> = (0..MEMBERS).map(|index| entry(index, "ready")).collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(entries);
    let mut router = Router::start("n1", discovery.address, MEMORY_MB, DESCRIPTORS, &known, &settings::kaohsiung(2));
    if !wait_until_ready(router.address) {
        record.say("the router did not become ready");
        exit(2);
    }

    // The platform: it kills the router over its memory limit. Only private memory counts here, not the program's file.
    let (peak_kib, is_over, is_done) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let platform = {
        let (peak_kib, is_over, is_done) = (peak_kib.clone(), is_over.clone(), is_done.clone());
        let (record, pid) = (record.clone(), router.pid());
        std::thread::spawn(move || {
            let mut noted = 0;
            while !is_done.load(Ordering::Relaxed) {
                let Some(kib) = status_kib(pid, "RssAnon") else { return };
                peak_kib.fetch_max(kib, Ordering::Relaxed);
                if kib > noted + 1024 {
                    noted = kib;
                    record.line(format!("the router uses {kib} KiB"));
                }
                if kib > MEMORY_MB * 1024 && !is_over.swap(true, Ordering::Relaxed) {
                    record.say(format!("the router uses {kib} KiB of {}: the platform kills it", MEMORY_MB * 1024));
                    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        })
    };

    // Usual clients with one request at a time.
    let address = router.address;
    let ids = Arc::new(AtomicU64::new(seed() << 40));
    let next_id = |ids: &AtomicU64| format!("{:016x}", ids.fetch_add(1, Ordering::Relaxed) + 1);
    for number in 0..8u64 {
        let (ids, is_done) = (ids.clone(), is_done.clone());
        std::thread::spawn(move || {
            let Ok(mut client) = Client::connect(address) else { return };
            let mut random = Random(seed() * 77 + number);
            while !is_done.load(Ordering::Relaxed) {
                let id = next_id(&ids);
                let text = if random.unit() < 0.1 {
                    write_text(&id, number)
                } else {
                    format!("SELECT data FROM facts WHERE code = 'board-{number}' /* id={id},c=sailing-board,d=1000,cluster=1 */")
                };
                if client.ask(&text).is_err() {
                    return;
                }
                std::thread::sleep(exponential(&mut random, Duration::from_millis(100)));
            }
        });
    }
    std::thread::sleep(Duration::from_secs(3));
    record.say(format!("before: the router used {} KiB at most", peak_kib.load(Ordering::Relaxed)));

    if is_trouble() {
        primary.store(MEMBERS, Ordering::Relaxed);
        endpoints[0].kill();
        record.say("the primary s-0 dies");
    }
    let died_at = Instant::now();
    let totals = Arc::new(Mutex::new(Totals::default()));
    let portals: Vec<_> = (0..PORTALS)
        .map(|number| {
            let (ids, record, totals) = (ids.clone(), record.clone(), totals.clone());
            std::thread::spawn(move || {
                std::thread::sleep(PORTAL_PAUSE * number);
                let own: Vec<String> = (0..COMMANDS).map(|_| next_id(&ids)).collect();
                let mut commands = pg::query(&write_text(&own[0], 100 + u64::from(number)));
                for id in &own[1..] {
                    commands.extend(pg::query(&format!(
                        "SELECT data FROM facts WHERE code = 'history-{number}' /* id={id},c=load-history,d=1200,cluster=1 */"
                    )));
                }
                let Ok(mut client) = Client::connect(address) else {
                    return record.line(format!("portal {number} can't connect"));
                };
                record.line(format!("portal {number} sends {COMMANDS} commands at once, {} bytes", commands.len()));
                let _ = client.send(&commands);
                for id in &own {
                    let answer = client.answer();
                    let mut totals = totals.lock().unwrap();
                    let word = match answer {
                        Ok(Answer::Served(value)) if value == value_of(id) => {
                            totals.served += 1;
                            "served".to_owned()
                        }
                        Ok(Answer::Served(_)) => {
                            totals.foreign += 1;
                            "served with another value".to_owned()
                        }
                        Ok(answer) => {
                            totals.refused_or_failed += 1;
                            answer.word()
                        }
                        Err(e) => {
                            totals.unanswered += 1;
                            format!("no answer: {e}")
                        }
                    };
                    record.line(format!("portal {number} {id}: {word}"));
                }
            })
        })
        .collect();
    if is_trouble() {
        std::thread::sleep(Duration::from_secs(2).saturating_sub(died_at.elapsed()));
        discovery.change(vec![entry(0, "gone")]);
        record.line("discovery tells that s-0 is gone");
        std::thread::sleep(TAKEOVER.saturating_sub(died_at.elapsed()));
        primary.store(1, Ordering::Relaxed);
        record.line("s-1 takes over as the primary");
    }
    for portal in portals {
        let _ = portal.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    is_done.store(true, Ordering::Relaxed);
    let _ = platform.join();
    for (member, endpoint) in members.iter().zip(&endpoints) {
        record.line(format!(
            "s-{}: {} statements received, {} run, {} connections, {} invalid statements",
            member.index,
            member.received.load(Ordering::Relaxed),
            member.served.load(Ordering::Relaxed),
            endpoint.accepted(),
            endpoint.invalid.load(Ordering::Relaxed)
        ));
    }
    let totals = totals.lock().unwrap();
    record.say(format!(
        "portals: {} served, {} refused or failed, {} with a foreign value, {} never answered",
        totals.served, totals.refused_or_failed, totals.foreign, totals.unanswered
    ));
    record.say(format!("the router used {} KiB of {} at most; it has ended: {}", peak_kib.load(Ordering::Relaxed), MEMORY_MB * 1024, router.has_ended()));
    let is_broken = is_over.load(Ordering::Relaxed);
    drop(router);
    exit(i32::from(is_broken));
}

fn write_text(id: &str, account: u64) -> String {
    format!("INSERT INTO facts (code, data) VALUES ('acct-{account}', '\\x01') RETURNING data /* id={id},c=book-cargo,d=2000,k={id},cluster=1 */")
}
