//! The list of instances over HTTP, as the platform's discovery serves it.

use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// One line of the list.
pub fn list_entry(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 2,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// How discovery answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryFaultMode {
    /// As the protocol says.
    Normal,
    /// Calls that may wait are answered at once, news or none.
    ImmediateResponse,
    /// In two chunks.
    Chunked,
    /// Without a length, closing the connection after it.
    CloseDelimited,
    /// Takes the call and says nothing.
    NoResponse,
    /// Indented, with a length.
    IndentedJson,
    /// In single bytes.
    SingleByteWrites,
    /// Without a length, and reset half-way.
    ResetMidBody,
}

/// Discovery on a port of its own.
pub struct FakeDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The version and the whole list; none: calls fail.
    pub list: SharedState<(u64, Option<Vec<Value>>)>,
    /// The paths asked for.
    pub requested_paths: SharedState<Vec<String>>,
    /// How it answers.
    pub fault_mode: SharedState<DiscoveryFaultMode>,
    /// Connections made before the newest count are open and say nothing more.
    mute: SharedState<u64>,
}

impl FakeDiscovery {
    /// Starts on a free port, with this list; none: calls fail.
    pub fn start(list: Option<Vec<Value>>) -> FakeDiscovery {
        FakeDiscovery::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), list)
    }

    /// The same at an address.
    pub fn start_at(at: SocketAddr, list: Option<Vec<Value>>) -> FakeDiscovery {
        let listener = TcpListener::bind(at).expect("a port for discovery");
        let address = listener.local_addr().expect("an address");
        let (list, calls) = (SharedState::new((1, list)), SharedState::new(Vec::new()));
        let (manner, mute) = (
            SharedState::new(DiscoveryFaultMode::Normal),
            SharedState::new(0),
        );
        let (l, c, h, m) = (list.clone(), calls.clone(), manner.clone(), mute.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (l, c, h, m) = (l.clone(), c.clone(), h.clone(), m.clone());
                std::thread::spawn(move || Self::serve(stream, &l, &c, &h, &m));
            }
        });
        FakeDiscovery {
            address,
            list,
            requested_paths: calls,
            fault_mode: manner,
            mute,
        }
    }

    fn serve(
        stream: TcpStream,
        list: &SharedState<(u64, Option<Vec<Value>>)>,
        calls: &SharedState<Vec<String>>,
        manner: &SharedState<DiscoveryFaultMode>,
        mute: &SharedState<u64>,
    ) -> Option<()> {
        let made = mute.with(|m| *m);
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        loop {
            let path = lines.next()?.ok()?.split(' ').nth(1)?.to_owned();
            while !lines.next()?.ok()?.is_empty() {}
            calls.with(|c| c.push(path.clone()));
            let field = |name: &str| {
                path.split(name)
                    .nth(1)
                    .and_then(|t| t.split('&').next()?.parse().ok())
            };
            let since: u64 = field("since=").unwrap_or(0);
            let wait = Duration::from_millis(field("timeout_ms=").unwrap_or(0));
            let manner = manner.wait_for(WAIT_TIMEOUT, |m| {
                (*m != DiscoveryFaultMode::NoResponse).then_some(*m)
            })?;
            let hasty = manner == DiscoveryFaultMode::ImmediateResponse;
            list.wait_for(wait, |(rev, l)| {
                (hasty || *rev > since || l.is_none()).then_some(())
            });
            if mute.with(|m| *m) != made {
                // Open and quiet, as behind a cut link.
                let _ = lines.next();
                return None;
            }
            let body = list.with(|(rev, l)| {
                l.as_ref().map(|l| {
                    let none = Vec::new();
                    json!({"rev": rev, "all": true, "targets": if *rev > since { l } else { &none }})
                })
            });
            let answer = match body {
                // Nothing new: changes, of which there are none.
                Some(b) if b["targets"] == json!([]) => {
                    json!({"rev": since, "all": false, "targets": []})
                }
                Some(b) => b,
                None => {
                    (&stream)
                        .write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
                        .ok()?;
                    continue;
                }
            };
            let indented = || serde_json::to_string_pretty(&answer).unwrap_or_default();
            let text = if manner == DiscoveryFaultMode::IndentedJson {
                indented()
            } else {
                answer.to_string()
            };
            let (a, b) = text.split_at(text.len() / 2);
            let rest = match manner {
                DiscoveryFaultMode::Chunked => format!(
                    "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n",
                    a.len(),
                    b.len()
                ),
                DiscoveryFaultMode::CloseDelimited => format!("Connection: close\r\n\r\n{text}"),
                DiscoveryFaultMode::ResetMidBody => format!("Connection: close\r\n\r\n{a}"),
                _ => format!("Content-Length: {}\r\n\r\n{text}", text.len()),
            };
            let whole = format!("HTTP/1.1 200 OK\r\n{rest}");
            let piece = if manner == DiscoveryFaultMode::SingleByteWrites {
                1
            } else {
                whole.len()
            };
            stream.set_nodelay(true).ok()?;
            whole
                .as_bytes()
                .chunks(piece)
                .try_for_each(|p| (&stream).write_all(p))
                .ok()?;
            if manner == DiscoveryFaultMode::ResetMidBody {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            if matches!(
                manner,
                DiscoveryFaultMode::CloseDelimited | DiscoveryFaultMode::ResetMidBody
            ) {
                return None;
            }
        }
    }

    /// All connections made so far fall silent, and stay open.
    pub fn stall_open_connections(&self) {
        self.mute.with(|m| *m += 1);
    }

    /// Tells a new list, under the next version.
    pub fn publish(&self, targets: Vec<Value>) {
        self.list.with(|l| *l = (l.0 + 1, Some(targets)));
    }
}
