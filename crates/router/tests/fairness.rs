//! Tests that a client, or an endpoint, that sends without a pause does not keep the others waiting.

mod common;

use common::*;
use reelrill_test_support::client::{
    bind_and_execute, parse_message, query_message, startup_message, sync_message,
};
use rstest::rstest;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
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
/// The bytes that are written at once.
const BATCH_BYTES: usize = 32 * 1024;

/// A kind of message that the router responds to without an endpoint.
#[derive(Clone, Copy, Debug)]
enum LocalMessage {
    EncryptionRequest,
    EmptyQuery,
    QueryWithoutId,
    UnknownClass,
    LongStatement,
    Sync,
    InvalidParse,
    PreparedUnderNewNames,
    UnknownStatement,
    UtilityQuery,
}

impl LocalMessage {
    /// Returns the bytes of the message with this number.
    fn bytes(self, number: u64) -> Vec<u8> {
        match self {
            LocalMessage::EncryptionRequest => vec![0, 0, 0, 8, 4, 210, 22, 47],
            LocalMessage::EmptyQuery => query_message(";"),
            LocalMessage::QueryWithoutId => {
                query_message("SELECT data FROM facts WHERE code = 'k' /* c=board,cluster=2 */")
            }
            LocalMessage::UnknownClass => query_message(&format!(
                "SELECT data FROM facts WHERE code = 'k' /* id={number:016x},c=new-{number},d=500,cluster=2 */"
            )),
            LocalMessage::LongStatement => {
                query_message(&format!("SELECT '{}'", "x".repeat(60_000)))
            }
            LocalMessage::Sync => sync_message(),
            LocalMessage::InvalidParse => {
                [parse_message("", "SELECT nothing", &[]), sync_message()].concat()
            }
            LocalMessage::PreparedUnderNewNames => {
                let text = format!(
                    "SELECT data FROM facts WHERE code = 'k-{number}' /* id=$1,c=board,cluster=$2 */"
                );
                [
                    parse_message(&format!("s-{number}"), &text, &[]),
                    sync_message(),
                ]
                .concat()
            }
            LocalMessage::UnknownStatement => {
                [bind_and_execute("unknown", &[Some("1")]), sync_message()].concat()
            }
            LocalMessage::UtilityQuery => query_message("DISCARD ALL"),
        }
    }

    /// Returns what the client sends before the messages.
    fn prelude(self) -> Vec<u8> {
        match self {
            LocalMessage::EncryptionRequest => Vec::new(),
            _ => startup_message(),
        }
    }
}

/// Clients that send messages of one kind as fast as the router takes them, read all responses, and connect again when
/// their connection ends.
struct Flood {
    is_stopped: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(address: SocketAddr, message: LocalMessage) -> Flood {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let start_sender = |_| {
            let is_stopped = is_stopped.clone();
            std::thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    send_until(address, message, &is_stopped);
                }
            })
        };
        let senders = (0..SENDERS).map(start_sender).collect();
        Flood {
            is_stopped,
            senders,
        }
    }

    fn stop(self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for sender in self.senders {
            sender.join().unwrap();
        }
    }
}

/// Sends on one connection until it ends or `is_stopped` is set.
fn send_until(address: SocketAddr, message: LocalMessage, is_stopped: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    let timeout = Some(Duration::from_millis(50));
    stream.set_write_timeout(timeout).unwrap();
    let mut responses = stream.try_clone().unwrap();
    let reader = std::thread::spawn(move || {
        let mut buffer = vec![0; 256 * 1024];
        while responses.read(&mut buffer).is_ok_and(|length| length > 0) {}
    });
    let messages = (0..).map(|number| message.bytes(number));
    let mut pending = message.prelude();
    for next in messages {
        pending.extend(next);
        if pending.len() < BATCH_BYTES {
            continue;
        }
        if is_stopped.load(Ordering::Relaxed) || !write_batch(&mut stream, &pending, is_stopped) {
            break;
        }
        pending.clear();
    }
    let _ = stream.shutdown(Shutdown::Both);
    reader.join().unwrap();
}

/// Writes all bytes, unless `is_stopped` is set meanwhile. Returns whether the connection is open.
fn write_batch(stream: &mut TcpStream, bytes: &[u8], is_stopped: &AtomicBool) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() && !is_stopped.load(Ordering::Relaxed) {
        match stream.write(rest) {
            Ok(length) => rest = &rest[length..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}

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
        let flood = Flood::start(router.address, *message);
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
