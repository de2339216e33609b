//! Discovery that tells changes: a caller who names the version it knows gets the lines that changed since, and
//! waits for the next change where there is none. It counts the bytes that it writes.

use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The version that the list has when the server starts.
const FIRST_VERSION: u64 = 1;

#[derive(Debug)]
struct EndpointList {
    version: u64,
    /// Each line with the version that changed it, by `uid`.
    entries: BTreeMap<String, (u64, Value)>,
}

impl EndpointList {
    /// All lines that are newer than `since`; with 0 the whole list.
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

/// A server of one list of endpoints.
#[derive(Debug)]
pub struct ChangeFeed {
    /// Where it listens.
    pub address: SocketAddr,
    /// Bytes written to all callers so far, with the heads of the answers.
    pub bytes_sent: SharedState<u64>,
    /// Calls so far.
    pub request_count: SharedState<u64>,
    list: SharedState<EndpointList>,
}

fn uid(target: &Value) -> String {
    target["uid"].as_str().unwrap_or_default().to_owned()
}

impl ChangeFeed {
    /// Starts on a free port, with these lines as version 1.
    ///
    /// # Panics
    /// If there is no port.
    pub fn start(targets: &[Value]) -> ChangeFeed {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port for discovery");
        let address = listener.local_addr().expect("an address");
        let entries = targets
            .iter()
            .map(|t| (uid(t), (FIRST_VERSION, t.clone())))
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
        let (list, bytes_sent, calls) = (
            feed.list.clone(),
            feed.bytes_sent.clone(),
            feed.request_count.clone(),
        );
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, bytes_sent, calls) = (list.clone(), bytes_sent.clone(), calls.clone());
                std::thread::spawn(move || serve(&stream, &list, &bytes_sent, &calls));
            }
        });
        feed
    }

    /// Tells that this line has changed, under the next version.
    pub fn publish(&self, target: Value) {
        self.list.with(|list| {
            list.version += 1;
            list.entries.insert(uid(&target), (list.version, target));
        });
    }
}

/// Serves one connection until it ends.
fn serve(
    stream: &TcpStream,
    list: &SharedState<EndpointList>,
    bytes_sent: &SharedState<u64>,
    calls: &SharedState<u64>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let mut writer = stream;
    loop {
        let path = lines.next()?.ok()?.split(' ').nth(1)?.to_owned();
        while !lines.next()?.ok()?.is_empty() {}
        calls.with(|calls| *calls += 1);
        let since = query_field(&path, "since=").unwrap_or(0);
        let wait = Duration::from_millis(query_field(&path, "timeout_ms=").unwrap_or(0));
        let has_news = |list: &mut EndpointList| (list.version > since).then_some(());
        list.wait_for(wait.min(WAIT_TIMEOUT), has_news);
        let body = list.with(|list| list.newer_than(since)).to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        bytes_sent.with(|bytes| *bytes += answer.len() as u64);
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

/// The number behind `name` in a path's query.
fn query_field(path: &str, name: &str) -> Option<u64> {
    path.split(name).nth(1)?.split('&').next()?.parse().ok()
}
