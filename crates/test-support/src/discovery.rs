//! A fake discovery service that serves a whole endpoint list over HTTP, as the platform's discovery service does, with
//! fault modes.

use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Returns an entry of the endpoint list, in zone `a` and replica set 2.
pub fn list_entry(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 2,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Selects how the fake discovery service responds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryFaultMode {
    /// Responds as the protocol requires, with a Content-Length.
    Normal,
    /// Responds to a long poll at once, even without a newer list.
    ImmediateResponse,
    /// Sends the body in two chunks.
    Chunked,
    /// Sends no Content-Length and closes the connection after the body.
    CloseDelimited,
    /// Sends no response until the mode changes, and closes the connection after [`WAIT_TIMEOUT`].
    NoResponse,
    /// Sends indented JSON with a Content-Length.
    IndentedJson,
    /// Writes the response byte by byte.
    SingleByteWrites,
    /// Sends no Content-Length and resets the connection after half of the body.
    ResetMidBody,
}

/// A fake discovery service on its own port.
pub struct FakeDiscovery {
    /// The address on which the service listens.
    pub address: SocketAddr,
    /// The version and the entries of the list; without entries (`None`) the service responds with status 503.
    pub list: SharedState<(u64, Option<Vec<Value>>)>,
    /// The paths of all requests received, in order.
    pub requested_paths: SharedState<Vec<String>>,
    /// The fault mode of all further responses.
    pub fault_mode: SharedState<DiscoveryFaultMode>,
    /// The number of calls of `stall_open_connections`; connections accepted before the last call get no response.
    stall_count: SharedState<u64>,
}

impl FakeDiscovery {
    /// Starts the service on a free loopback port, with `list` as version 1; without a list (`None`) it responds with
    /// status 503.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(list: Option<Vec<Value>>) -> FakeDiscovery {
        FakeDiscovery::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), list)
    }

    /// Starts the service like [`start`](FakeDiscovery::start), but on a given address.
    ///
    /// # Panics
    /// If the address can't be bound.
    pub fn start_at(address: SocketAddr, list: Option<Vec<Value>>) -> FakeDiscovery {
        let listener = TcpListener::bind(address).expect("bind a port for the discovery service");
        let address = listener
            .local_addr()
            .expect("local address of the discovery service");
        let (list, requested_paths) = (SharedState::new((1, list)), SharedState::new(Vec::new()));
        let (fault_mode, stall_count) = (
            SharedState::new(DiscoveryFaultMode::Normal),
            SharedState::new(0),
        );
        let (list_handle, paths_handle, mode_handle, stall_handle) = (
            list.clone(),
            requested_paths.clone(),
            fault_mode.clone(),
            stall_count.clone(),
        );
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, paths, mode, stalls) = (
                    list_handle.clone(),
                    paths_handle.clone(),
                    mode_handle.clone(),
                    stall_handle.clone(),
                );
                std::thread::spawn(move || Self::serve(stream, &list, &paths, &mode, &stalls));
            }
        });
        FakeDiscovery {
            address,
            list,
            requested_paths,
            fault_mode,
            stall_count,
        }
    }

    /// Serves the requests of one connection until it is closed.
    fn serve(
        stream: TcpStream,
        list: &SharedState<(u64, Option<Vec<Value>>)>,
        requested_paths: &SharedState<Vec<String>>,
        fault_mode: &SharedState<DiscoveryFaultMode>,
        stall_count: &SharedState<u64>,
    ) -> Option<()> {
        let initial_stall_count = stall_count.with(|count| *count);
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        loop {
            let path = lines.next()?.ok()?.split(' ').nth(1)?.to_owned();
            while !lines.next()?.ok()?.is_empty() {}
            requested_paths.with(|paths| paths.push(path.clone()));
            let field = |name: &str| {
                path.split(name)
                    .nth(1)
                    .and_then(|rest| rest.split('&').next()?.parse().ok())
            };
            let since: u64 = field("since=").unwrap_or(0);
            let timeout = Duration::from_millis(field("timeout_ms=").unwrap_or(0));
            let fault_mode = fault_mode.wait_for(WAIT_TIMEOUT, |mode| {
                (*mode != DiscoveryFaultMode::NoResponse).then_some(*mode)
            })?;
            let is_immediate = fault_mode == DiscoveryFaultMode::ImmediateResponse;
            list.wait_for(timeout, |(version, entries)| {
                (is_immediate || *version > since || entries.is_none()).then_some(())
            });
            if stall_count.with(|count| *count) != initial_stall_count {
                // The connection stays open without a response, as after a network partition.
                let _ = lines.next();
                return None;
            }
            let body = list.with(|(version, entries)| {
                entries.as_ref().map(|entries| {
                    let no_entries = Vec::new();
                    json!({"rev": version, "all": true, "targets": if *version > since { entries } else { &no_entries }})
                })
            });
            let response = match body {
                // Without a newer list the response is an incremental one with no entries.
                Some(body) if body["targets"] == json!([]) => {
                    json!({"rev": since, "all": false, "targets": []})
                }
                Some(body) => body,
                None => {
                    (&stream)
                        .write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
                        .ok()?;
                    continue;
                }
            };
            let indented = || serde_json::to_string_pretty(&response).unwrap_or_default();
            let text = if fault_mode == DiscoveryFaultMode::IndentedJson {
                indented()
            } else {
                response.to_string()
            };
            let (first_half, second_half) = text.split_at(text.len() / 2);
            let headers_and_body = match fault_mode {
                DiscoveryFaultMode::Chunked => format!(
                    "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{first_half}\r\n{:x}\r\n{second_half}\r\n0\r\n\r\n",
                    first_half.len(),
                    second_half.len()
                ),
                DiscoveryFaultMode::CloseDelimited => format!("Connection: close\r\n\r\n{text}"),
                DiscoveryFaultMode::ResetMidBody => {
                    format!("Connection: close\r\n\r\n{first_half}")
                }
                _ => format!("Content-Length: {}\r\n\r\n{text}", text.len()),
            };
            let whole = format!("HTTP/1.1 200 OK\r\n{headers_and_body}");
            let write_size = if fault_mode == DiscoveryFaultMode::SingleByteWrites {
                1
            } else {
                whole.len()
            };
            stream.set_nodelay(true).ok()?;
            whole
                .as_bytes()
                .chunks(write_size)
                .try_for_each(|bytes| (&stream).write_all(bytes))
                .ok()?;
            if fault_mode == DiscoveryFaultMode::ResetMidBody {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            if matches!(
                fault_mode,
                DiscoveryFaultMode::CloseDelimited | DiscoveryFaultMode::ResetMidBody
            ) {
                return None;
            }
        }
    }

    /// Stops responding on all connections accepted so far and keeps them open.
    pub fn stall_open_connections(&self) {
        self.stall_count.with(|count| *count += 1);
    }

    /// Replaces the list and increments its version.
    pub fn publish(&self, entries: Vec<Value>) {
        self.list.with(|list| *list = (list.0 + 1, Some(entries)));
    }
}
