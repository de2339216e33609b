//! Clients that send messages which need no endpoint, at full speed.

use reelrill_test_support::client::{
    bind_and_execute, parse_message, query_message, startup_message, sync_message,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The bytes that are written at once.
pub const BATCH_BYTES: usize = 32 * 1024;

/// A kind of message that the router responds to without an endpoint.
#[derive(Clone, Copy, Debug)]
pub enum LocalMessage {
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
pub struct Flood {
    is_stopped: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts this many clients.
    pub fn start(address: SocketAddr, message: LocalMessage, senders: usize) -> Flood {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let start_sender = |_| {
            let is_stopped = is_stopped.clone();
            std::thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    send_until(address, message, &is_stopped);
                }
            })
        };
        let senders = (0..senders).map(start_sender).collect();
        Flood {
            is_stopped,
            senders,
        }
    }

    /// Ends all clients.
    pub fn stop(self) {
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
