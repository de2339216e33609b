//! Tests that a client, or an endpoint, that sends without a pause does not keep the others waiting.

mod common;

use common::flood::{BATCH_BYTES, Flood, LocalMessage};
use common::*;
use reelrill_test_support::client::{
    bind_and_execute, parse_message, query_message, startup_message, sync_message,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The clients that send at full speed.
const SENDERS: usize = 6;
/// The time for which they send messages of one kind.
const FLOOD_DURATION: Duration = Duration::from_millis(1200);
/// The time for which another client waits for its response, in milliseconds.
const WAIT_MS: u64 = 500;
/// The time after which a response counts as lost, from the end of its client's wait.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// The pause of another client between a response and its next request.
const THINK_TIME: Duration = Duration::from_millis(10);

/// The protocol of the messages and of the other clients' requests.
#[derive(Clone, Copy, Debug)]
enum Protocol {
    Simple,
    Extended,
}

impl Protocol {
    fn extensions(self) -> Option<&'static str> {
        match self {
            Protocol::Simple => None,
            Protocol::Extended => Some("extended: {mode: on}"),
        }
    }

    /// Sends a read.
    fn send_read(self, client: &mut Client, id: u64) {
        match self {
            Protocol::Simple => client.send(&query_message(&select_query(id, WAIT_MS))),
            Protocol::Extended => {
                let text =
                    "SELECT data FROM facts WHERE code = 'k' /* id=$1,c=board,d=$2,cluster=$3 */";
                let (id, wait_ms) = (format!("{id:016x}"), WAIT_MS.to_string());
                let values = [Some(id.as_str()), Some(&wait_ms), Some("2")];
                let commands = [parse_message("", text, &[]), bind_and_execute("", &values)];
                client.send(&[commands.concat(), sync_message()].concat());
            }
        }
    }
}

/// The responses that the other clients got.
#[derive(Debug, Default, PartialEq)]
struct Responses {
    served: usize,
    /// Rejected, failed, or received after the client's wait.
    not_served: usize,
    lost: usize,
}

/// Returns settings in which a request is expected to take a tenth of its client's wait.
fn settings() -> serde_json::Value {
    let mut settings = base_settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["onTime"] = 100_000_000u64.into();
    }
    settings
}

/// Sends reads one after the other, also on new connections, for `duration`.
fn read_for(
    address: SocketAddr,
    protocol: Protocol,
    first_id: u64,
    duration: Duration,
) -> Responses {
    let mut responses = Responses::default();
    let (mut client, mut is_started) = (None, false);
    let started = Instant::now();
    let limit = Duration::from_millis(WAIT_MS) + LOST_AFTER;
    for id in first_id.. {
        if started.elapsed() > duration {
            break;
        }
        let sent = Instant::now();
        let mut connection = client.take().unwrap_or_else(|| {
            let mut client = Client::connect(address);
            client.stream.set_read_timeout(Some(limit)).unwrap();
            client.send(&startup_message());
            is_started = false;
            client
        });
        protocol.send_read(&mut connection, id);
        if !is_started {
            is_started = connection.read_response().is_some();
        }
        let response = connection.read_response().filter(|_| is_started);
        let is_in_time = sent.elapsed() <= Duration::from_millis(WAIT_MS);
        match response {
            Some(response) if response.value == format!("{id:016x}") && is_in_time => {
                responses.served += 1;
            }
            Some(_) if sent.elapsed() <= limit => responses.not_served += 1,
            _ => responses.lost += 1,
        }
        // Every fourth request is sent on a new connection, and so is one after a lost response.
        client = Some(connection).filter(|_| id % 4 > 0 && is_in_time);
        std::thread::sleep(THINK_TIME);
    }
    responses
}

/// Guards against a client's task that never lets other tasks run while it responds to messages that need no endpoint
/// (issue 43): requests of all other clients got their responses after their time, or never.
#[rstest]
#[case::simple(Protocol::Simple, &[
    LocalMessage::EncryptionRequest, LocalMessage::EmptyQuery, LocalMessage::QueryWithoutId,
    LocalMessage::UnknownClass, LocalMessage::LongStatement, LocalMessage::Sync,
])]
#[case::extended(Protocol::Extended, &[
    LocalMessage::EmptyQuery, LocalMessage::Sync, LocalMessage::InvalidParse,
    LocalMessage::PreparedUnderNewNames, LocalMessage::UnknownStatement, LocalMessage::UtilityQuery,
])]
fn clients_are_served_while_others_send_local_messages_at_full_speed(
    #[case] protocol: Protocol,
    #[case] messages: &[LocalMessage],
) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 512, settings(), protocol.extensions());
    let undisturbed = read_for(router.address, protocol, 1 << 20, FLOOD_DURATION / 4);
    assert_eq!(
        undisturbed.not_served + undisturbed.lost,
        0,
        "{undisturbed:?}"
    );
    for (message, number) in messages.iter().zip(1..) {
        let flood = Flood::start(router.address, *message, SENDERS);
        let responses = read_for(router.address, protocol, number << 32, FLOOD_DURATION);
        flood.stop();
        let all = responses.served + responses.not_served + responses.lost;
        let is_served = responses.lost == 0 && responses.served * 10 >= all * 9;
        assert!(is_served, "{message:?}: {responses:?}");
    }
}

/// The moment from which an endpoint sends notices without end.
#[derive(Clone, Copy, Debug)]
enum EndlessNotices {
    DuringStartup,
    InPlaceOfResponse,
}

/// Starts an endpoint whose connections get notices without end, as fast as the router reads them.
fn start_endless_endpoint(from: EndlessNotices) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || send_notices(stream, from));
        }
    });
    address
}

fn send_notices(mut stream: TcpStream, from: EndlessNotices) {
    let mut input = vec![0; 16 * 1024];
    let _ = stream.read(&mut input);
    if let EndlessNotices::InPlaceOfResponse = from {
        let _ = stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I");
        let _ = stream.read(&mut input);
    }
    let notices = b"N\0\0\0\x05\0".repeat(BATCH_BYTES);
    while stream.write_all(&notices).is_ok() {}
}

/// Guards against a response that never ends and keeps the router's one thread busy, so that not even the time limit of its
/// own attempt ends it (issue 43).
#[rstest]
fn requests_are_served_while_an_endpoint_sends_notices_without_end(
    #[values(EndlessNotices::DuringStartup, EndlessNotices::InPlaceOfResponse)]
    from: EndlessNotices,
) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let mut endless = list_entry("s-2", start_endless_endpoint(from), "ready");
    endless["pod_group"] = 1.into();
    let list = vec![list_entry("s-1", endpoint.address, "ready"), endless];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 512, settings(), None);
    let mut others: Vec<Client> = (0..SENDERS).map(|_| router.connect_client()).collect();
    for (client, id) in others.iter_mut().zip(1..) {
        let query = select_query(id, 3 * WAIT_MS).replace("cluster=2", "cluster=1");
        client.send(&query_message(&query));
    }
    let responses = read_for(router.address, Protocol::Simple, 1 << 32, FLOOD_DURATION);
    assert_eq!(responses.not_served + responses.lost, 0, "{responses:?}");
    for mut client in others {
        assert_eq!(client.read_response().unwrap().sqlstate, "53300");
    }
}
