//! A fake discovery service with an incremental list watch: a request names the list version that the caller has, and
//! the response contains only the entries that changed since. While there are none, the response waits for the next
//! change or for the timeout that the request names. The service counts the bytes that it writes.

use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The list version at the start of the service.
const FIRST_VERSION: u64 = 1;

/// Holds the current endpoint list with the version of each entry's last change.
#[derive(Debug)]
struct EndpointList {
    version: u64,
    /// The entries by `uid`, each with the list version that last changed it.
    entries: BTreeMap<String, (u64, Value)>,
}

impl EndpointList {
    /// Returns the response body with all entries that changed after version `since`; the whole list for 0.
    fn newer_than(&self, since: u64) -> Value {
        let is_newer = |entry: &&(u64, Value)| entry.0 > since;
        let targets: Vec<&Value> = self
            .entries
            .values()
            .filter(is_newer)
            .map(|entry| &entry.1)
            .collect();
        json!({"rev": self.version, "all": since < FIRST_VERSION, "targets": targets})
    }
}

/// A fake discovery service that serves the changes of one endpoint list.
#[derive(Debug)]
pub struct ChangeFeed {
    /// The address on which the service listens.
    pub address: SocketAddr,
    /// The number of bytes written to all callers, including the HTTP response headers.
    pub bytes_sent: SharedState<u64>,
    /// The number of requests received.
    pub request_count: SharedState<u64>,
    list: SharedState<EndpointList>,
}

fn uid(entry: &Value) -> String {
    entry["uid"].as_str().unwrap_or_default().to_owned()
}

impl ChangeFeed {
    /// Starts the service on a free loopback port, with `entries` as version 1 of the list.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(entries: &[Value]) -> ChangeFeed {
        let listener =
            TcpListener::bind(("127.0.0.1", 0)).expect("bind a port for the change feed");
        let address = listener
            .local_addr()
            .expect("local address of the change feed");
        let entries = entries
            .iter()
            .map(|entry| (uid(entry), (FIRST_VERSION, entry.clone())))
            .collect();
        let list = SharedState::new(EndpointList {
            version: FIRST_VERSION,
            entries,
        });
        let feed = ChangeFeed {
            address,
            bytes_sent: SharedState::new(0),
            request_count: SharedState::new(0),
            list,
        };
        let (list, bytes_sent, request_count) = (
            feed.list.clone(),
            feed.bytes_sent.clone(),
            feed.request_count.clone(),
        );
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, bytes_sent, request_count) =
                    (list.clone(), bytes_sent.clone(), request_count.clone());
                std::thread::spawn(move || serve(&stream, &list, &bytes_sent, &request_count));
            }
        });
        feed
    }

    /// Adds or replaces the entry with the same `uid` and increments the list version.
    pub fn publish(&self, entry: Value) {
        self.list.with(|list| {
            list.version += 1;
            list.entries.insert(uid(&entry), (list.version, entry));
        });
    }
}

/// Serves the requests of one connection until it is closed.
fn serve(
    stream: &TcpStream,
    list: &SharedState<EndpointList>,
    bytes_sent: &SharedState<u64>,
    request_count: &SharedState<u64>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let mut writer = stream;
    loop {
        let path = lines.next()?.ok()?.split(' ').nth(1)?.to_owned();
        while !lines.next()?.ok()?.is_empty() {}
        request_count.with(|count| *count += 1);
        let since = query_field(&path, "since=").unwrap_or(0);
        let timeout = Duration::from_millis(query_field(&path, "timeout_ms=").unwrap_or(0));
        let has_changes = |list: &mut EndpointList| (list.version > since).then_some(());
        list.wait_for(timeout.min(WAIT_TIMEOUT), has_changes);
        let body = list.with(|list| list.newer_than(since)).to_string();
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        bytes_sent.with(|bytes| *bytes += response.len() as u64);
        writer.write_all(response.as_bytes()).ok()?;
    }
}

/// Returns the number that follows `name` (with its `=`) in the query part of a request path.
fn query_field(path: &str, name: &str) -> Option<u64> {
    path.split(name).nth(1)?.split('&').next()?.parse().ok()
}
