//! The instants in which something ends while something is still owed, or no longer is: clients that go, connections
//! that close, the end of the process. Each crossing is forced by a stand-in that holds until the test lets it go.

mod common;

use common::*;
use reelrill_pg_protocol::frontend;
use reelrill_test_support::client::{query, startup};
use rstest::rstest;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

const ID: u64 = 0xe1;

#[derive(Clone, Copy, Debug)]
enum Leave {
    Eof,
    Reset,
    Terminate,
}

impl Leave {
    fn go(self, client: Client) -> Option<Client> {
        match self {
            Leave::Eof => client.stream.shutdown(Shutdown::Write).unwrap(),
            Leave::Reset => {
                socket2::SockRef::from(&client.stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                return None;
            }
            Leave::Terminate => (&client.stream).write_all(&[b'X', 0, 0, 0, 4]).unwrap(),
        }
        Some(client)
    }
}

fn book(id: u64, session: &str, wait_ms: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('{session}', '\\x00') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    )
}

/// Settings in which nothing may be cancelled and a connection may take long to come up.
fn uncancelled() -> Value {
    let mut settings = settings();
    settings["ceilings"]["mayCancel"] = false.into();
    settings["ceilings"]["connectTimeout"] = 15_000_000_000u64.into();
    unhurried(settings)
}

/// Nothing is refused for what has waited for some seconds.
fn unhurried(mut settings: Value) -> Value {
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["onTime"] = 4_000_000_000u64.into();
    }
    settings
}

fn one(role: &'static str, act: Act, settings: Value) -> (Instance, Discovery, Router) {
    let instance = Instance::start(role, act);
    let list = vec![target("s-1", instance.address, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let router = start_with(&discovery, &list, 1024, settings, None);
    (instance, discovery, router)
}

fn asked(instance: &Instance) -> usize {
    instance.seen.change(|s| s.queries.len())
}

fn until_asked(instance: &Instance, n: usize) {
    assert!(
        instance
            .seen
            .wait_for(LIMIT, |s| (s.queries.len() >= n).then_some(()))
            .is_some()
    );
}

fn until_dialled(instance: &Instance) {
    assert!(
        instance
            .seen
            .wait_for(LIMIT, |s| (s.connections >= 1).then_some(()))
            .is_some()
    );
}

/// Guards endpoints against work for nobody: an attempt that waits for its connection to come up is withdrawn when its
/// client goes, though the settings let nothing be cancelled; the connection serves the next request.
#[rstest]
fn what_waits_for_a_dial_is_withdrawn(
    #[values(Leave::Eof, Leave::Reset, Leave::Terminate)] how: Leave,
    #[values(false, true)] is_write: bool,
) {
    let (instance, _discovery, router) = one("master", Act::Serve, uncancelled());
    instance.keep_aloof(true);
    let mut client = router.client();
    client.send(&query(&if is_write {
        book(ID, "s", 20_000)
    } else {
        read(ID, 20_000)
    }));
    until_dialled(&instance);
    let _left = how.go(client);
    assert!(router.counted("client_left=1") && router.counted("attempts_unwritten_client_left=1"));
    instance.keep_aloof(false);
    assert_eq!(
        router.client().ask(&read(2, 20_000)).value,
        "0000000000000002"
    );
    assert_eq!(asked(&instance), 1);
}

/// The same for a hundred that go together.
#[test]
fn a_burst_of_clients_that_go_leaves_nothing_behind() {
    let mut settings = uncancelled();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        // No load is shed: without a first answer that begins once all open requests together have waited for about
        // half the objective, which on a busy machine is before the last of a hundred has come.
        class["hardLimit"] = 3_000_000_000_000u64.into();
        class["onTime"] = 3_000_000_000_000u64.into();
    }
    let (instance, _discovery, router) = one("master", Act::Serve, settings);
    instance.keep_aloof(true);
    let mut clients: Vec<Client> = (0..100).map(|_| router.client()).collect();
    for (client, id) in clients.iter_mut().zip(100..) {
        client.send(&query(&read(id, 3_000_000)));
    }
    assert!(router.counted("requests=100"));
    drop(clients);
    assert!(router.counted("client_left=100") && router.counted("rejected=0"));
    instance.keep_aloof(false);
    assert_eq!(
        router.client().ask(&read(2, 3_000_000)).value,
        "0000000000000002"
    );
    assert_eq!(asked(&instance), 1);
}

/// Guards a write that waits for a primary: with its client goes the wait, and the next primary never hears of it.
#[test]
fn what_waits_for_a_primary_is_forgotten_with_its_client() {
    let (instance, _discovery, router) = one("replica", Act::Code("25006"), uncancelled());
    let mut client = router.client();
    client.send(&query(&book(ID, "s", 20_000)));
    until_asked(&instance, 1);
    drop(client);
    assert!(router.counted("client_left=1"));
    let before = asked(&instance);
    instance.act.change(|a| *a = Act::Serve);
    assert_eq!(
        router.client().ask(&book(2, "s", 20_000)).value,
        "0000000000000002"
    );
    let late = instance.seen.change(|s| {
        s.queries[before..]
            .iter()
            .any(|q| q.contains(&format!("id={ID:016x}")))
    });
    assert!(!late);
}

/// Guards what is pipelined behind a request that is out: none of it begins once its client has gone, and the one that
/// was written has its one outcome.
#[rstest]
fn what_is_pipelined_behind_goes_with_its_client(
    #[values(Leave::Eof, Leave::Reset, Leave::Terminate)] how: Leave,
) {
    let (instance, _discovery, router) = one("master", Act::Silence, uncancelled());
    let mut client = router.client();
    // Writes of one session wait for one another.
    let all: Vec<u8> = (0..5)
        .flat_map(|i| query(&book(ID + i, "s", 20_000)))
        .collect();
    client.send(&all);
    until_asked(&instance, 1);
    let _left = how.go(client);
    assert!(router.counted("client_left=1"));
    instance.act.change(|a| *a = Act::Serve);
    assert!(router.counted("attempts_served=1"));
    assert_eq!((asked(&instance), router.counted("attempts=1")), (1, true));
}

/// Guards against unread bytes that hide an end: beyond what is read ahead, the router asks whether the client has
/// hung up.
#[test]
fn an_end_behind_unread_bytes_is_seen() {
    let (instance, _discovery, router) = one("master", Act::Silence, uncancelled());
    let mut client = router.client();
    client.send(&query(&book(ID, "s", 20_000)));
    until_asked(&instance, 1);
    // More than is read ahead, less than the system holds back: the end stands right behind it.
    let one = query(&book(ID + 1, "s", 20_000));
    let many = one.repeat(100_000 / one.len());
    client.send(&many);
    drop(client.stream.shutdown(Shutdown::Write));
    let began = Instant::now();
    assert!(router.counted("client_left=1"));
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert!(router.logged("reason: left_waiting"));
}

/// Guards CancelRequest as the clients' other way to go.
#[test]
fn what_is_called_off_is_withdrawn_from_a_dial() {
    let instance = Instance::start("master", Act::Serve);
    instance.keep_aloof(true);
    let list = vec![target("s-1", instance.address, "ready")];
    let discovery = Discovery::start(Some(list.clone()));
    let router = start_with(
        &discovery,
        &list,
        1024,
        uncancelled(),
        Some("extended: {mode: on}\n"),
    );
    let mut client = router.client();
    client.send(&query(&read(ID, 20_000)));
    until_dialled(&instance);
    let mut cancel = Vec::new();
    frontend::put_cancel_request(&mut cancel, client.key.0, client.key.1);
    Client::connect(router.address).send(&cancel);
    assert_eq!(client.answer().unwrap().code, "57014");
    assert!(router.counted("attempts_unwritten_client_left=1"));
    instance.keep_aloof(false);
    assert_eq!(client.ask(&read(2, 20_000)).value, "0000000000000002");
    assert_eq!(asked(&instance), 1);
}

/// Guards the time of pipelined queries: they are all out before the first is answered, and answered in order.
#[test]
fn pipelined_queries_do_not_wait_for_one_another() {
    let (instance, _discovery, router) = one("master", Act::Silence, unhurried(settings()));
    let mut client = router.client();
    client.send(
        &(1..=8)
            .flat_map(|id| query(&read(id, 20_000)))
            .collect::<Vec<u8>>(),
    );
    until_asked(&instance, 8);
    instance.act.change(|a| *a = Act::Serve);
    for id in 1..=8 {
        assert_eq!(client.answer().unwrap().value, format!("{id:016x}"));
    }
}

/// Guards a request of which half has come when the router is told to end: the rest is waited for, and it is answered.
#[test]
fn a_half_read_request_is_answered_at_the_end() {
    let (_instance, _discovery, mut router) = one("master", Act::Serve, settings());
    let mut client = router.client();
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    let whole = query(&read(2, 5000));
    client.send(&whole[..40]);
    // Another connection's end says that the first half has been read.
    assert_eq!(
        router.client().ask(&read(3, 5000)).value,
        "0000000000000003"
    );
    router.signal("TERM");
    assert!(router.logged("graceful shutdown started"));
    client.send(&whole[40..]);
    assert_eq!(client.answer().unwrap().value, "0000000000000002");
    assert!(router.exit().success());
}

/// Guards what crosses the close of a resting connection: the client sees an end and no reset, and what it wrote
/// meanwhile is not sent on, so that it may ask again elsewhere.
#[test]
fn a_request_that_crosses_the_close_meets_an_end_and_is_not_sent_on() {
    let (instance, _discovery, mut router) = one("master", Act::Serve, settings());
    let mut client = router.client();
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    router.signal("TERM");
    assert_eq!(client.stream.peek(&mut [0]).unwrap(), 0);
    client.send(&query(&read(2, 5000)));
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    assert!(router.exit().success());
    assert_eq!(asked(&instance), 1);
    assert!(router.logged("reason: shutdown"));
}

/// Guards all that is open when the router ends: an endpoint that hangs holds no answer beyond the time at which the
/// process may be killed, however long the client would wait. Further signals change nothing.
#[test]
fn all_is_answered_before_the_process_may_be_killed() {
    let (instance, discovery, mut router) = one("master", Act::Silence, unhurried(settings()));
    let mut clients: Vec<Client> = (0..5).map(|_| router.client()).collect();
    for (client, id) in clients.iter_mut().zip(10..) {
        client.send(&query(&if id % 2 == 0 {
            read(id, 20_000)
        } else {
            book(id, "s", 20_000)
        }));
    }
    assert!(router.counted("requests=5"));
    until_asked(&instance, 1);
    router.signal("TERM");
    let told = Instant::now();
    assert!(router.logged("graceful shutdown started"));
    router.reload("discovery", discovery.address.to_string().into());
    router.signal("TERM");
    assert!(router.logged("graceful shutdown already in progress"));
    // The settings' longest deadline is 30 s, of which 3 s count, and 0.7 s later it may be killed.
    for client in &mut clients {
        let Some(answer) = client.answer() else {
            panic!("{:#?}", router.log.change(|l| l.clone()))
        };
        assert!(["53300", "58000"].contains(&&*answer.code), "{answer:?}");
    }
    assert!(
        told.elapsed() < Duration::from_millis(3700),
        "{:?}",
        told.elapsed()
    );
    assert!(router.exit().success());
}

/// Guards the end against a client that never pauses: all that was read is answered in order, and its connection ends.
#[test]
fn a_client_that_never_pauses_does_not_hold_up_the_end() {
    let (_instance, _discovery, mut router) = one("master", Act::Serve, unhurried(settings()));
    let mut client = router.client();
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    let mut writer = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || {
        for id in 2.. {
            if writer.write_all(&query(&read(id, 5000))).is_err() {
                return;
            }
        }
    });
    let mut next = 2;
    let mut answer = |client: &mut Client| {
        let answer = client.answer()?;
        // At full speed some may be refused, each in its place: a value out of place names another id.
        assert!(
            answer.code == "53300" || answer.value == format!("{next:016x}"),
            "{next:x}: {answer:?}"
        );
        next += 1;
        Some(())
    };
    for _ in 0..20 {
        answer(&mut client).unwrap();
    }
    router.signal("TERM");
    let told = Instant::now();
    while answer(&mut client).is_some() {}
    assert!(
        told.elapsed() < Duration::from_millis(3700),
        "{:?}",
        told.elapsed()
    );
    assert!(router.exit().success());
    drop(client);
    sending.join().unwrap();
}

/// Guards the time that an endpoint is told: at most what is left when the bytes are written, after a wait for the
/// connection.
#[test]
fn an_instance_is_told_the_time_that_is_left_after_its_dial() {
    let (instance, _discovery, router) = one("master", Act::Serve, uncancelled());
    instance.keep_aloof(true);
    let mut client = router.client();
    let sent = Instant::now();
    client.send(&query(&read(ID, 20_000)));
    until_dialled(&instance);
    // The other request's end says that time has passed.
    assert_eq!(router.client().ask(&read(2, 2500)).code, "53300");
    let waited = sent.elapsed().as_millis() as u64;
    instance.keep_aloof(false);
    assert_eq!(client.answer().unwrap().value, format!("{ID:016x}"));
    let told = instance.seen.change(|s| s.queries[0].clone());
    let told: u64 = told
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        waited > 200 && told <= 20_000 - waited,
        "{told} after {waited}"
    );
}

/// Guards keys against a copy that waits for its connection until the first is forgotten: it is not written, and its
/// client is told that nobody knows.
#[test]
fn a_further_copy_that_waits_beyond_the_window_is_not_written() {
    let mut settings = uncancelled();
    settings["classes"][2]["window"] = 600_000_000u64.into();
    let (instance, _discovery, router) = one("master", Act::Serve, settings);
    assert_eq!(
        router.client().ask(&book(1, "s", 20_000)).value,
        "0000000000000001"
    );
    // The next one runs, its connection breaks before the answer, and the connection after that does not come up.
    instance
        .faults
        .change(|f| f.push_back((Stage::Executed, Fault::Reset)));
    instance.keep_aloof(true);
    let mut client = router.client();
    client.send(&query(&book(ID, "s", 5000)));
    let began = Instant::now();
    assert!(
        instance
            .seen
            .wait_for(LIMIT, |s| (s.connections >= 2).then_some(()))
            .is_some()
    );
    // Another request's time passes, and with it the window.
    assert_eq!(router.client().ask(&read(2, 2500)).code, "53300");
    assert!(began.elapsed() > Duration::from_millis(650));
    instance.keep_aloof(false);
    assert_eq!(client.answer().unwrap().code, "58000");
    let copies = instance.seen.change(|s| {
        s.queries
            .iter()
            .filter(|q| q.contains(&format!("{ID:016x}")))
            .count()
    });
    assert_eq!(copies, 1);
}

/// Guards the call to discovery, and requests, against idle clients that hold every descriptor while discovery is down.
#[test]
fn idle_clients_hold_up_neither_discovery_nor_requests() {
    let instance = Instance::start("master", Act::Serve);
    let discovery = Discovery::start(None);
    let router = start(&discovery, &[], 64);
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = Client::connect(router.address);
        client.send(&startup());
        idle.push(client);
    }
    let calls = discovery.calls.change(|c| c.len());
    assert!(
        discovery
            .calls
            .wait_for(LIMIT, |c| (c.len() > calls + 2).then_some(()))
            .is_some()
    );
    discovery.publish(vec![target("s-1", instance.address, "ready")]);
    let mut client = router.client();
    assert_eq!(client.ask("").tags, "IZ");
    assert_eq!(client.ask(&read(1, 15_000)).value, "0000000000000001");
    assert!(router.counted("accept_errors=0"));
}

/// Guards the start: a router that knows a list is ready, and serves, while discovery says nothing, or is down.
#[rstest]
fn a_restarted_router_is_ready_without_discovery(#[values(false, true)] is_silent: bool) {
    let instance = Instance::start("master", Act::Serve);
    let discovery = Discovery::start(None);
    if is_silent {
        discovery.manner.change(|m| *m = Manner::Silent);
    }
    let router = start(
        &discovery,
        &[target("s-1", instance.address, "ready")],
        1024,
    );
    let began = Instant::now();
    let mut client = router.client();
    assert_eq!(client.ask("").tags, "IZ");
    assert_eq!(client.ask(&read(1, 5000)).value, "0000000000000001");
    assert!(began.elapsed() < Duration::from_secs(6));
}

/// Guards the memory limit against long lists: an endpoint that is only known costs next to nothing.
#[test]
fn many_endpoints_cost_little_memory() {
    let instance = Instance::start("master", Act::Serve);
    let resident_kb = |endpoints: usize| -> u64 {
        let list: Vec<Value> = (0..endpoints)
            .map(|i| target(&format!("s-{i}"), instance.address, "ready"))
            .collect();
        let discovery = Discovery::start(Some(list.clone()));
        let router = start(&discovery, &list, 256);
        assert_eq!(router.client().ask("").tags, "IZ");
        let status = std::fs::read_to_string(format!("/proc/{}/status", router.id())).unwrap();
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    };
    let (few, many) = (resident_kb(1), resident_kb(301));
    assert!(
        many.saturating_sub(few) < 300 * 48,
        "{few} kB with one member, {many} kB with 301"
    );
}

/// Guards every owner's duty to give back what it holds, over all ends together: taken is answered or left, each attempt
/// has its outcome, and the process ends, for which all clients' slots must be back.
#[rstest]
fn what_is_taken_balances(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(false, true)] may_cancel: bool,
) {
    let mut settings = settings();
    settings["ceilings"]["mayCancel"] = may_cancel.into();
    let instances = [
        Instance::start("master", Act::Serve),
        Instance::start("replica", Act::Serve),
    ];
    let list: Vec<Value> = instances
        .iter()
        .enumerate()
        .map(|(i, m)| target(&format!("s-{i}"), m.address, "ready"))
        .collect();
    let discovery = Discovery::start(Some(list.clone()));
    let mut router = start_with(&discovery, &list, 128, settings, None);
    let acts = [
        Act::Serve,
        Act::Silence,
        Act::Break,
        Act::Code("XX000"),
        Act::Code("53300"),
        Act::ServeAndClose,
    ];
    // A plain linear congruence: the same steps for the same seed.
    let mut state = seed;
    let mut next_f64 = |n: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % n
    };
    let mut open: Vec<Client> = Vec::new();
    for step in 0..120u64 {
        match next_f64(7) {
            0 => instances[next_f64(2) as usize]
                .act
                .change(|a| *a = acts[next_f64(6) as usize]),
            1 if !open.is_empty() => drop(open.swap_remove(next_f64(open.len() as u64) as usize)),
            2 if !open.is_empty() => open[0].shut(),
            3 => instances[next_f64(2) as usize].keep_aloof(next_f64(2) == 0),
            _ => {
                if open.len() < 20 {
                    let mut client = Client::connect(router.address);
                    client.send(&startup());
                    open.push(client);
                }
                let at = next_f64(open.len() as u64) as usize;
                for i in 0..=next_f64(3) {
                    let (id, wait) = (step * 10 + i, 50 + next_f64(900));
                    let text = if next_f64(3) == 0 {
                        book(id, "s", wait)
                    } else {
                        read(id, wait)
                    };
                    open[at].send(&query(&text));
                }
            }
        }
    }
    for instance in &instances {
        instance.act.change(|a| *a = Act::Serve);
        instance.keep_aloof(false);
    }
    router.signal("TERM");
    assert!(router.exit().success());
    drop(open);
    let line = router
        .log
        .change(|l| l.iter().rfind(|l| l.contains("counters")).cloned())
        .unwrap();
    let sum = |names: &str| -> u64 {
        let count = |name: &str| -> u64 {
            let field = line
                .split([' ', ','])
                .find_map(|f| f.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
            field.unwrap_or_else(|| panic!("{name}: {line}"))
        };
        names.split(' ').map(count).sum()
    };
    assert!(sum("requests") > 20, "{line}");
    assert_eq!(
        sum("requests"),
        sum("served rejected failed client_left"),
        "{line}"
    );
    let endings = "attempts_served attempts_error attempts_overloaded attempts_timed_out attempts_connect_failed attempts_connection_reset attempts_cancelled attempts_abandoned attempts_misrouted attempts_malformed_response attempts_not_sent attempts_invalid_request";
    // Those that were written and may not be cancelled may still be out when the process ends.
    let out = sum("attempts") - sum(endings);
    assert!(
        out == 0 || !may_cancel && out <= sum("client_left"),
        "{line}"
    );
}
