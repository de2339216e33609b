//! The platform's terms of acceptance, each on the real program: graceful shutdown, what a closed connection owes,
//! and shortages of the host.

mod common;

use common::*;
use reelrill_standin::client::query;
use serde_json::Value;
use std::io::Write as _;
use std::process::Command;
use std::time::{Duration, Instant};

/// Settings in which no class has a longer deadline than this.
fn with_longest_deadline(deadline: Duration) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["hardLimit"] = u64::try_from(deadline.as_nanos()).unwrap().into();
        class["onTime"] = u64::try_from(deadline.as_nanos() / 2).unwrap().into();
    }
    settings
}

/// One endpoint, and a router that knows it.
fn one_endpoint(act: Act, settings: Value) -> (Instance, Discovery, Router) {
    let instance = Instance::start("master", act);
    let list = vec![target("s-1", instance.address, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let router = start_with(&discovery, &list, 1024, settings, None);
    (instance, discovery, router)
}

fn book(id: u64, session: &str, wait_ms: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('{session}', '\\x00') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    )
}

/// With deadlines of 0.3 s the process may be killed one second after SIGTERM. Its clients send on every connection
/// that stays open, its endpoint hangs throughout: by then each request that came within 0.7 s has its answer, or met
/// the end of its connection.
#[test]
fn short_deadlines_leave_no_request_unanswered_at_the_kill() {
    const DEADLINE_MS: u64 = 300;
    const SENT_AT_MS: [u64; 9] = [0, 100, 200, 300, 400, 500, 580, 640, 680];
    let deadline = Duration::from_millis(DEADLINE_MS);
    let (_instance, _discovery, mut router) = one_endpoint(Act::Silence, with_longest_deadline(deadline));
    let clients: Vec<Client> = (0..4).map(|_| router.client()).collect();
    let (mut sending, mut reading) = (Vec::new(), Vec::new());
    let terminated = Instant::now() + Duration::from_millis(60);
    for (mut client, first) in clients.into_iter().zip((0x1000..).step_by(0x1000)) {
        let mut writer = client.stream.try_clone().unwrap();
        sending.push(std::thread::spawn(move || {
            let begun = terminated - Duration::from_millis(20);
            let mut sent = Vec::new();
            for (id, at) in (first..).zip(SENT_AT_MS) {
                std::thread::sleep((begun + Duration::from_millis(at)) - Instant::now());
                if writer.write_all(&query(&book(id, &format!("{first}"), DEADLINE_MS))).is_err() {
                    break;
                }
                sent.push(Instant::now());
            }
            sent
        }));
        reading.push(std::thread::spawn(move || {
            let mut answered = Vec::new();
            while client.answer().is_some_and(|a| a.tags.ends_with('Z')) {
                answered.push(Instant::now());
            }
            (answered, Instant::now())
        }));
    }
    std::thread::sleep(terminated - Instant::now());
    router.signal("TERM");
    std::thread::sleep((terminated + deadline + Duration::from_millis(700)) - Instant::now());
    // It may have ended by itself.
    let _ = Command::new("kill").args(["-KILL", &router.id().to_string()]).status();
    let since = |at: &Instant| at.saturating_duration_since(terminated);
    for (sending, reading) in sending.into_iter().zip(reading) {
        let sent = sending.join().unwrap();
        let (answered, ended) = reading.join().unwrap();
        // One that crosses the close is sent again by its client.
        let crossed = ended - Duration::from_millis(30);
        let unanswered: Vec<Duration> =
            sent[answered.len()..].iter().filter(|at| **at < crossed).map(since).collect();
        assert!(unanswered.is_empty(), "sent so long after SIGTERM: {unanswered:?}");
    }
    router.exit();
}
