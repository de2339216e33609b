//! The discovery service (or the agent on the router's machine): the list over HTTP/1.1, whole and as a watch.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Debug, Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub az: String,
    pub group: u32,
    pub state: &'static str,
    pub boot_ms: u64,
    /// `Some(true)` for the primary where the list shows roles.
    pub is_primary: Option<bool>,
}

impl Entry {
    fn json(&self) -> String {
        let part = match self.is_primary {
            None => "",
            Some(true) => ",\"part\":\"master\"",
            Some(false) => ",\"part\":\"replica\"",
        };
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}{part}}}",
            self.uid, self.address, self.az, self.group, self.state, self.boot_ms
        )
    }
}

/// Returns a list in discovery's form.
pub fn list_json(rev: u64, is_whole: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"rev\":{rev},\"all\":{is_whole},\"targets\":[{}]}}", targets.join(","))
}

type List = Arc<(Mutex<(u64, Vec<(u64, Entry)>)>, Condvar)>;

/// The service on a port of its own. Each entry has the version at which it last changed.
pub struct Discovery {
    pub address: SocketAddr,
    list: List,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port for discovery");
        let address = listener.local_addr().unwrap();
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let list: List = Arc::new((Mutex::new((1, entries)), Condvar::new()));
        let shared = list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = shared.clone();
                std::thread::spawn(move || serve(stream, &list));
            }
        });
        Discovery { address, list }
    }

    /// Adds entries or changes those of the same uid.
    pub fn change(&self, changed: Vec<Entry>) {
        let mut list = self.list.0.lock().unwrap();
        list.0 += 1;
        let rev = list.0;
        for entry in changed {
            list.1.retain(|(_, other)| other.uid != entry.uid);
            list.1.push((rev, entry));
        }
        self.list.1.notify_all();
    }
}

fn serve(stream: TcpStream, list: &List) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    loop {
        let path = lines.next()?.ok()?.split(' ').nth(1)?.to_owned();
        while !lines.next()?.ok()?.is_empty() {}
        let field = |name: &str| -> Option<u64> {
            path.split(name).nth(1)?.split('&').next()?.parse().ok()
        };
        let body = match field("since=") {
            None => {
                let list = list.0.lock().unwrap();
                let present: Vec<Entry> = list.1.iter().map(|(_, entry)| entry.clone()).filter(|e| e.state != "gone").collect();
                list_json(list.0, true, &present)
            }
            Some(since) => {
                let until = Instant::now() + Duration::from_millis(field("timeout_ms=").unwrap_or(0).min(60_000));
                let mut guard = list.0.lock().unwrap();
                while guard.0 <= since {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    guard = list.1.wait_timeout(guard, left).unwrap().0;
                }
                let changed: Vec<Entry> = guard.1.iter().filter(|(rev, _)| *rev > since).map(|(_, entry)| entry.clone()).collect();
                list_json(guard.0, false, &changed)
            }
        };
        let response = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        (&stream).write_all(response.as_bytes()).ok()?;
    }
}
