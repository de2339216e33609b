//! The instants in which something ends while something is still owed, or no longer is: clients that go, connections
//! that close, the end of the process. Each crossing is forced by a stand-in that holds until the test lets it go.

mod common;

use common::*;
use reelrill_pg_protocol::frontend;
use reelrill_test_support::client::{query_message, startup_message};
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
    let mut settings = base_settings();
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

fn one(
    role: &'static str,
    act: ScriptedResponse,
    settings: Value,
) -> (FakeEndpoint, FakeDiscovery, RouterProcess) {
    let instance = FakeEndpoint::start(role, act);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    (instance, discovery, router)
}

fn asked(instance: &FakeEndpoint) -> usize {
    instance.activity.with(|s| s.queries.len())
}

fn until_asked(instance: &FakeEndpoint, n: usize) {
    assert!(
        instance
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.queries.len() >= n).then_some(()))
            .is_some()
    );
}

fn until_dialled(instance: &FakeEndpoint) {
    assert!(
        instance
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.accepted_connections >= 1)
                .then_some(()))
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
    let (instance, _discovery, router) = one("master", ScriptedResponse::Serve, uncancelled());
    instance.set_startup_blocked(true);
    let mut client = router.connect_client();
    client.send(&query_message(&if is_write {
        book(ID, "s", 20_000)
    } else {
        select_query(ID, 20_000)
    }));
    until_dialled(&instance);
    let _left = how.go(client);
    assert!(
        router.wait_for_counter("client_left=1")
            && router.wait_for_counter("attempts_unwritten_client_left=1")
    );
    instance.set_startup_blocked(false);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 20_000))
            .value,
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
    let (instance, _discovery, router) = one("master", ScriptedResponse::Serve, settings);
    instance.set_startup_blocked(true);
    let mut clients: Vec<Client> = (0..100).map(|_| router.connect_client()).collect();
    for (client, id) in clients.iter_mut().zip(100..) {
        client.send(&query_message(&select_query(id, 3_000_000)));
    }
    assert!(router.wait_for_counter("requests=100"));
    drop(clients);
    assert!(router.wait_for_counter("client_left=100") && router.wait_for_counter("rejected=0"));
    instance.set_startup_blocked(false);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 3_000_000))
            .value,
        "0000000000000002"
    );
    assert_eq!(asked(&instance), 1);
}

/// Guards a write that waits for a primary: with its client goes the wait, and the next primary never hears of it.
#[test]
fn what_waits_for_a_primary_is_forgotten_with_its_client() {
    let (instance, _discovery, router) =
        one("replica", ScriptedResponse::Error("25006"), uncancelled());
    let mut client = router.connect_client();
    client.send(&query_message(&book(ID, "s", 20_000)));
    until_asked(&instance, 1);
    drop(client);
    assert!(router.wait_for_counter("client_left=1"));
    let before = asked(&instance);
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&book(2, "s", 20_000))
            .value,
        "0000000000000002"
    );
    let late = instance.activity.with(|s| {
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
    let (instance, _discovery, router) = one("master", ScriptedResponse::NoResponse, uncancelled());
    let mut client = router.connect_client();
    // Writes of one session wait for one another.
    let all: Vec<u8> = (0..5)
        .flat_map(|i| query_message(&book(ID + i, "s", 20_000)))
        .collect();
    client.send(&all);
    until_asked(&instance, 1);
    let _left = how.go(client);
    assert!(router.wait_for_counter("client_left=1"));
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    assert!(router.wait_for_counter("attempts_served=1"));
    assert_eq!(
        (asked(&instance), router.wait_for_counter("attempts=1")),
        (1, true)
    );
}

/// Guards against unread bytes that hide an end: beyond what is read ahead, the router asks whether the client has
/// hung up.
#[test]
fn an_end_behind_unread_bytes_is_seen() {
    let (instance, _discovery, router) = one("master", ScriptedResponse::NoResponse, uncancelled());
    let mut client = router.connect_client();
    client.send(&query_message(&book(ID, "s", 20_000)));
    until_asked(&instance, 1);
    // More than is read ahead, less than the system holds back: the end stands right behind it.
    let one = query_message(&book(ID + 1, "s", 20_000));
    let many = one.repeat(100_000 / one.len());
    client.send(&many);
    drop(client.stream.shutdown(Shutdown::Write));
    let began = Instant::now();
    assert!(router.wait_for_counter("client_left=1"));
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert!(router.wait_for_log("reason: left_waiting"));
}

/// Guards CancelRequest as the clients' other way to go.
#[test]
fn what_is_called_off_is_withdrawn_from_a_dial() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    instance.set_startup_blocked(true);
    let list = vec![list_entry("s-1", instance.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(
        &discovery,
        &list,
        1024,
        uncancelled(),
        Some("extended: {mode: on}\n"),
    );
    let mut client = router.connect_client();
    client.send(&query_message(&select_query(ID, 20_000)));
    until_dialled(&instance);
    let mut cancel = Vec::new();
    frontend::put_cancel_request(&mut cancel, client.cancel_key.0, client.cancel_key.1);
    Client::connect(router.address).send(&cancel);
    assert_eq!(client.read_response().unwrap().sqlstate, "57014");
    assert!(router.wait_for_counter("attempts_unwritten_client_left=1"));
    instance.set_startup_blocked(false);
    assert_eq!(
        client.simple_query(&select_query(2, 20_000)).value,
        "0000000000000002"
    );
    assert_eq!(asked(&instance), 1);
}

/// Guards the time of pipelined queries: they are all out before the first is answered, and answered in order.
#[test]
fn pipelined_queries_do_not_wait_for_one_another() {
    let (instance, _discovery, router) = one(
        "master",
        ScriptedResponse::NoResponse,
        unhurried(base_settings()),
    );
    let mut client = router.connect_client();
    client.send(
        &(1..=8)
            .flat_map(|id| query_message(&select_query(id, 20_000)))
            .collect::<Vec<u8>>(),
    );
    until_asked(&instance, 8);
    instance.response.with(|a| *a = ScriptedResponse::Serve);
    for id in 1..=8 {
        assert_eq!(client.read_response().unwrap().value, format!("{id:016x}"));
    }
}

/// Guards a request of which half has come when the router is told to end: the rest is waited for, and it is answered.
#[test]
fn a_half_read_request_is_answered_at_the_end() {
    let (_instance, _discovery, mut router) =
        one("master", ScriptedResponse::Serve, base_settings());
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let whole = query_message(&select_query(2, 5000));
    client.send(&whole[..40]);
    // Another connection's end says that the first half has been read.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(3, 5000))
            .value,
        "0000000000000003"
    );
    router.signal("TERM");
    assert!(router.wait_for_log("graceful shutdown started"));
    client.send(&whole[40..]);
    assert_eq!(client.read_response().unwrap().value, "0000000000000002");
    assert!(router.wait_for_exit().success());
}

/// Guards what crosses the close of a resting connection: the client sees an end and no reset, and what it wrote
/// meanwhile is not sent on, so that it may ask again elsewhere.
#[test]
fn a_request_that_crosses_the_close_meets_an_end_and_is_not_sent_on() {
    let (instance, _discovery, mut router) =
        one("master", ScriptedResponse::Serve, base_settings());
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    router.signal("TERM");
    assert_eq!(client.stream.peek(&mut [0]).unwrap(), 0);
    client.send(&query_message(&select_query(2, 5000)));
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    assert!(router.wait_for_exit().success());
    assert_eq!(asked(&instance), 1);
    assert!(router.wait_for_log("reason: shutdown"));
}

/// Guards all that is open when the router ends: an endpoint that hangs holds no answer beyond the time at which the
/// process may be killed, however long the client would wait. Further signals change nothing.
#[test]
fn all_is_answered_before_the_process_may_be_killed() {
    let (instance, discovery, mut router) = one(
        "master",
        ScriptedResponse::NoResponse,
        unhurried(base_settings()),
    );
    let mut clients: Vec<Client> = (0..5).map(|_| router.connect_client()).collect();
    for (client, id) in clients.iter_mut().zip(10..) {
        client.send(&query_message(&if id % 2 == 0 {
            select_query(id, 20_000)
        } else {
            book(id, "s", 20_000)
        }));
    }
    assert!(router.wait_for_counter("requests=5"));
    until_asked(&instance, 1);
    router.signal("TERM");
    let told = Instant::now();
    assert!(router.wait_for_log("graceful shutdown started"));
    router.reload_config("discovery", discovery.address.to_string().into());
    router.signal("TERM");
    assert!(router.wait_for_log("graceful shutdown already in progress"));
    // The settings' longest deadline is 30 s, of which 3 s count, and 0.7 s later it may be killed.
    for client in &mut clients {
        let Some(answer) = client.read_response() else {
            panic!("{:#?}", router.log.with(|l| l.clone()))
        };
        assert!(
            ["53300", "58000"].contains(&&*answer.sqlstate),
            "{answer:?}"
        );
    }
    assert!(
        told.elapsed() < Duration::from_millis(3700),
        "{:?}",
        told.elapsed()
    );
    assert!(router.wait_for_exit().success());
}

/// Guards the end against a client that never pauses: all that was read is answered in order, and its connection ends.
#[test]
fn a_client_that_never_pauses_does_not_hold_up_the_end() {
    let (_instance, _discovery, mut router) = one(
        "master",
        ScriptedResponse::Serve,
        unhurried(base_settings()),
    );
    let mut client = router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    let mut writer = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || {
        for id in 2.. {
            if writer
                .write_all(&query_message(&select_query(id, 5000)))
                .is_err()
            {
                return;
            }
        }
    });
    let mut next = 2;
    let mut answer = |client: &mut Client| {
        let answer = client.read_response()?;
        // At full speed some may be refused, each in its place: a value out of place names another id.
        assert!(
            answer.sqlstate == "53300" || answer.value == format!("{next:016x}"),
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
    assert!(router.wait_for_exit().success());
    drop(client);
    sending.join().unwrap();
}

/// Guards the time that an endpoint is told: at most what is left when the bytes are written, after a wait for the
/// connection.
#[test]
fn an_instance_is_told_the_time_that_is_left_after_its_dial() {
    let (instance, _discovery, router) = one("master", ScriptedResponse::Serve, uncancelled());
    instance.set_startup_blocked(true);
    let mut client = router.connect_client();
    let sent = Instant::now();
    client.send(&query_message(&select_query(ID, 20_000)));
    until_dialled(&instance);
    // The other request's end says that time has passed.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 2500))
            .sqlstate,
        "53300"
    );
    let waited = sent.elapsed().as_millis() as u64;
    instance.set_startup_blocked(false);
    assert_eq!(client.read_response().unwrap().value, format!("{ID:016x}"));
    let told = instance.activity.with(|s| s.queries[0].clone());
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
    let (instance, _discovery, router) = one("master", ScriptedResponse::Serve, settings);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&book(1, "s", 20_000))
            .value,
        "0000000000000001"
    );
    // The next one runs, its connection breaks before the answer, and the connection after that does not come up.
    instance
        .faults
        .with(|f| f.push_back((RequestStage::Executed, Fault::Reset)));
    instance.set_startup_blocked(true);
    let mut client = router.connect_client();
    client.send(&query_message(&book(ID, "s", 5000)));
    let began = Instant::now();
    assert!(
        instance
            .activity
            .wait_for(WAIT_TIMEOUT, |s| (s.accepted_connections >= 2)
                .then_some(()))
            .is_some()
    );
    // Another request's time passes, and with it the window.
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(2, 2500))
            .sqlstate,
        "53300"
    );
    assert!(began.elapsed() > Duration::from_millis(650));
    instance.set_startup_blocked(false);
    assert_eq!(client.read_response().unwrap().sqlstate, "58000");
    let copies = instance.activity.with(|s| {
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
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    let router = start_router(&discovery, &[], 64);
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = Client::connect(router.address);
        client.send(&startup_message());
        idle.push(client);
    }
    let calls = discovery.requested_paths.with(|c| c.len());
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() > calls + 2).then_some(()))
            .is_some()
    );
    discovery.publish(vec![list_entry("s-1", instance.address, "ready")]);
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 15_000)).value,
        "0000000000000001"
    );
    assert!(router.wait_for_counter("accept_errors=0"));
}

/// Guards the start: a router that knows a list is ready, and serves, while discovery says nothing, or is down.
#[rstest]
fn a_restarted_router_is_ready_without_discovery(#[values(false, true)] is_silent: bool) {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let discovery = FakeDiscovery::start(None);
    if is_silent {
        discovery
            .fault_mode
            .with(|m| *m = DiscoveryFaultMode::NoResponse);
    }
    let router = start_router(
        &discovery,
        &[list_entry("s-1", instance.address, "ready")],
        1024,
    );
    let began = Instant::now();
    let mut client = router.connect_client();
    assert_eq!(client.simple_query("").tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
    assert!(began.elapsed() < Duration::from_secs(6));
}

/// Guards the memory limit against long lists: an endpoint that is only known costs next to nothing.
#[test]
fn many_endpoints_cost_little_memory() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let resident_kb = |endpoints: usize| -> u64 {
        let list: Vec<Value> = (0..endpoints)
            .map(|i| list_entry(&format!("s-{i}"), instance.address, "ready"))
            .collect();
        let discovery = FakeDiscovery::start(Some(list.clone()));
        let router = start_router(&discovery, &list, 256);
        assert_eq!(router.connect_client().simple_query("").tags, "IZ");
        let status = std::fs::read_to_string(format!("/proc/{}/status", router.pid())).unwrap();
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
    let mut settings = base_settings();
    settings["ceilings"]["mayCancel"] = may_cancel.into();
    let instances = [
        FakeEndpoint::start("master", ScriptedResponse::Serve),
        FakeEndpoint::start("replica", ScriptedResponse::Serve),
    ];
    let list: Vec<Value> = instances
        .iter()
        .enumerate()
        .map(|(i, m)| list_entry(&format!("s-{i}"), m.address, "ready"))
        .collect();
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let mut router = start_router_with(&discovery, &list, 128, settings, None);
    let acts = [
        ScriptedResponse::Serve,
        ScriptedResponse::NoResponse,
        ScriptedResponse::CloseMidRow,
        ScriptedResponse::Error("XX000"),
        ScriptedResponse::Error("53300"),
        ScriptedResponse::ServeAndClose,
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
                .response
                .with(|a| *a = acts[next_f64(6) as usize]),
            1 if !open.is_empty() => drop(open.swap_remove(next_f64(open.len() as u64) as usize)),
            2 if !open.is_empty() => open[0].shutdown_write(),
            3 => instances[next_f64(2) as usize].set_startup_blocked(next_f64(2) == 0),
            _ => {
                if open.len() < 20 {
                    let mut client = Client::connect(router.address);
                    client.send(&startup_message());
                    open.push(client);
                }
                let at = next_f64(open.len() as u64) as usize;
                for i in 0..=next_f64(3) {
                    let (id, wait) = (step * 10 + i, 50 + next_f64(900));
                    let text = if next_f64(3) == 0 {
                        book(id, "s", wait)
                    } else {
                        select_query(id, wait)
                    };
                    open[at].send(&query_message(&text));
                }
            }
        }
    }
    for instance in &instances {
        instance.response.with(|a| *a = ScriptedResponse::Serve);
        instance.set_startup_blocked(false);
    }
    router.signal("TERM");
    assert!(router.wait_for_exit().success());
    drop(open);
    let line = router
        .log
        .with(|l| l.iter().rfind(|l| l.contains("counters")).cloned())
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
