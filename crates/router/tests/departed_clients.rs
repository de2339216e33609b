//! Tests of clients that send much at once and close their connection: the end of their input stands behind what the
//! router has not read.

mod common;

use common::*;
use reelrill_test_support::client::{bind_and_execute, parse_message, query_message, sync_message};
use rstest::rstest;
use std::time::Duration;

/// The requests that a client sends at once: more bytes than the router reads ahead and the socket holds.
const REQUESTS: u64 = 2000;
/// The time after the close from which no attempt may begin: 0.1 s, and 50 ms of slack for limits on sockets.
const LAST_ATTEMPT: Duration = Duration::from_millis(150);
/// The time in which an endpoint executes a request.
const PROCESSING_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
enum Protocol {
    Simple,
    Extended,
}

/// What keeps the router from writing a response to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Obstacle {
    FirstRequestHangs,
    ConnectionsAreLate,
}

/// Returns the messages of a read of a replica set.
fn read_request(protocol: Protocol, id: u64, replica_set: u32) -> Vec<u8> {
    let (id, code) = (format!("{id:016x}"), "k".repeat(150));
    match protocol {
        Protocol::Simple => query_message(&format!(
            "SELECT data FROM facts WHERE code = '{code}' \
             /* id={id},c=board,d=8000,cluster={replica_set} */"
        )),
        Protocol::Extended => {
            let replica_set = replica_set.to_string();
            let values = [&code, &id, &replica_set].map(|value| Some(value.as_str()));
            [bind_and_execute("read", &values), sync_message()].concat()
        }
    }
}

/// The fake endpoints, one in each of two replica sets, and the router. The first endpoint does not respond.
struct Setup {
    hanging: FakeEndpoint,
    serving: FakeEndpoint,
    router: RouterProcess,
    _discovery: FakeDiscovery,
}

impl Setup {
    fn start() -> Setup {
        Setup::start_with(base_settings())
    }

    fn start_with(settings: serde_json::Value) -> Setup {
        let replica_set = FakeReplicaSet::new("s-2", Duration::ZERO, Duration::from_secs(2));
        let address = ([127, 0, 0, 1], 0).into();
        let hanging = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
        let serving = FakeEndpoint::start_in_replica_set(
            &replica_set,
            "s-2",
            address,
            PROCESSING_TIME,
            false,
        );
        let mut hanging_entry = list_entry("s-1", hanging.address, "ready");
        hanging_entry["pod_group"] = 1.into();
        let list = vec![hanging_entry, serving.list_entry(2, "ready")];
        let discovery = FakeDiscovery::start(Some(list.clone()));
        let extensions = Some("extended: {mode: on}");
        let router = start_router_with(&discovery, &list, 512, settings, extensions);
        Setup {
            hanging,
            serving,
            router,
            _discovery: discovery,
        }
    }

    /// Connects a client that sends a read of each of these replica sets at once.
    fn send_reads(
        &self,
        protocol: Protocol,
        replica_sets: impl IntoIterator<Item = u32>,
    ) -> Client {
        let mut client = self.router.connect_client();
        if let Protocol::Extended = protocol {
            let text = "SELECT data FROM facts WHERE code = $1 \
                        /* id=$2,c=board,d=8000,cluster=$3 */";
            client.extended_query(&[parse_message("read", text, &[])]);
        }
        let requests = (1..)
            .zip(replica_sets)
            .flat_map(|(id, set)| read_request(protocol, id, set));
        client.send(&requests.collect::<Vec<u8>>());
        client
    }

    /// Returns the number of requests that the endpoints have received.
    fn request_count(&self) -> usize {
        [&self.hanging, &self.serving]
            .map(|endpoint| endpoint.activity.with(|activity| activity.queries.len()))
            .iter()
            .sum()
    }
}

/// Guards against attempts for a client that has closed its connection behind much unread input (issue 43): they began for
/// as long as no response could be written to it.
#[rstest]
fn no_attempt_begins_after_a_client_has_closed_its_connection(
    #[values(Protocol::Simple, Protocol::Extended)] protocol: Protocol,
    #[values(Obstacle::FirstRequestHangs, Obstacle::ConnectionsAreLate)] obstacle: Obstacle,
) {
    let setup = Setup::start();
    let is_late = obstacle == Obstacle::ConnectionsAreLate;
    setup.serving.set_startup_blocked(is_late);
    let first = if is_late { 2 } else { 1 };
    let others = (1..REQUESTS).map(|_| 2);
    drop(setup.send_reads(protocol, std::iter::once(first).chain(others)));
    std::thread::sleep(LAST_ATTEMPT);
    let in_time = setup.request_count();
    setup.serving.set_startup_blocked(false);
    std::thread::sleep(10 * PROCESSING_TIME);
    assert_eq!(setup.request_count(), in_time);
}

/// Guards the requests of a client that stays: all are served, in order.
#[rstest]
fn client_that_sends_much_and_stays_is_served(
    #[values(Protocol::Simple, Protocol::Extended)] protocol: Protocol,
) {
    let setup = Setup::start();
    let mut client = setup.send_reads(protocol, (0..REQUESTS).map(|_| 2));
    for number in 0..REQUESTS {
        let response = client.read_response().unwrap();
        let is_rejected = response.sqlstate == "53300";
        assert!(
            response.values.len() == 1 || is_rejected,
            "{number}: {response:?}"
        );
    }
}

/// Returns a write under this id and key.
fn write_query(id: u64, key: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('k', 'v') RETURNING data \
         /* id={id:016x},c=book,d=8000,k={key:016x},cluster=1 */"
    )
}

/// Guards against a write that is executed twice because its id comes again after its client has left (issue 43): while
/// the first attempt is in progress, and after it was cancelled. A read under the same id may run again.
#[rstest]
fn id_that_comes_again_after_its_client_has_left_is_not_executed_again(
    #[values(false, true)] may_cancel: bool,
) {
    let mut settings = base_settings();
    settings["ceilings"]["mayCancel"] = may_cancel.into();
    let setup = Setup::start_with(settings);
    let mut client = setup.router.connect_client();
    client.send(&query_message(&write_query(7, 1)));
    let is_received =
        |activity: &mut EndpointActivity| (!activity.queries.is_empty()).then_some(());
    assert!(
        setup
            .hanging
            .activity
            .wait_for(WAIT_TIMEOUT, is_received)
            .is_some()
    );
    drop(client);
    assert!(setup.router.wait_for_counter("client_left=1"));
    let mut other = setup.router.connect_client();
    let again = other.simple_query(&write_query(7, 2));
    assert_eq!(
        (again.sqlstate.as_str(), setup.request_count()),
        ("58000", 1),
        "{again:?}"
    );
    let response = &setup.hanging.response;
    response.with(|r| *r = ScriptedResponse::Serve);
    assert_eq!(other.simple_query(&write_query(8, 3)).sqlstate, "");
    for _ in 0..2 {
        assert_eq!(other.simple_query(&select_query(9, 8000)).sqlstate, "");
    }
}
