//! A discovery service, or the agent on the router's machine: it serves the list and the watch over HTTP.

use crate::record::Record;
use crate::{now_ms, sleep_ms};
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Debug, Clone)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub group: u32,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    pub boot_ms: u64,
    /// The role that the list shows, where it shows roles.
    pub role: Option<&'static str>,
}

impl Target {
    /// Returns an entry that is ready, started long ago, without a role.
    pub fn new(uid: &str, address: SocketAddr, group: u32) -> Target {
        Target {
            uid: uid.to_owned(),
            address,
            group,
            state: "ready",
            boot_ms: 0,
            role: None,
        }
    }

    fn json(&self) -> String {
        let role = self
            .role
            .map_or_else(String::new, |role| format!(r#","part":"{role}""#));
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"m2","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{}{role}}}"#,
            self.uid, self.address, self.group, self.state, self.boot_ms
        )
    }
}

/// Returns a list in discovery's form.
pub fn list_json(version: u64, is_whole: bool, targets: &[&Target]) -> String {
    let entries: Vec<String> = targets.iter().map(|target| target.json()).collect();
    format!(
        r#"{{"rev":{version},"all":{is_whole},"targets":[{}]}}"#,
        entries.join(",")
    )
}

struct List {
    version: u64,
    /// Each entry with the version of its last change; entries that are gone stay for the watch.
    targets: Vec<(u64, Target)>,
    /// Watches of an older version get the whole list.
    whole_before: u64,
}

/// The service.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Record,
    name: &'static str,
    /// The Unix times in milliseconds at which whole lists were written.
    whole_lists_at: Arc<Mutex<Vec<u64>>>,
    outage: Arc<Outage>,
}

/// Whether the service is down, and its open connections.
#[derive(Default)]
struct Outage {
    is_down: AtomicBool,
    /// The calls that were reset since the service went down.
    reset_calls: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

impl Discovery {
    /// Starts a service whose list has these entries at version `version`.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(
        name: &'static str,
        record: &Record,
        version: u64,
        targets: Vec<Target>,
    ) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let list = List {
            version,
            targets: targets
                .into_iter()
                .map(|target| (version, target))
                .collect(),
            whole_before: 0,
        };
        let discovery = Discovery {
            address: listener.local_addr().expect("the address of a listener"),
            list: Arc::new((Mutex::new(list), Condvar::new())),
            record: record.clone(),
            name,
            whole_lists_at: Arc::default(),
            outage: Arc::default(),
        };
        let service = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if service.outage.is_down.load(Ordering::SeqCst) {
                    service.outage.reset_calls.fetch_add(1, Ordering::SeqCst);
                    service
                        .record
                        .line(format!("{} is down and resets a call", service.name));
                    continue;
                }
                if let Ok(clone) = stream.try_clone() {
                    service
                        .outage
                        .connections
                        .lock()
                        .expect("connections")
                        .push(clone);
                }
                let service = service.clone();
                std::thread::spawn(move || {
                    let _ = service.serve(&stream);
                });
            }
        });
        discovery
    }

    /// Changes one entry, or adds it.
    pub fn set(&self, target: Target) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().expect("list");
        list.version += 1;
        let version = list.version;
        self.record.line(format!(
            "{}: {} is {} at version {version}",
            self.name, target.uid, target.state
        ));
        list.targets.retain(|(_, other)| other.uid != target.uid);
        list.targets.push((version, target));
        changed.notify_all();
    }

    /// Takes the service down: its watches end, and calls are reset.
    pub fn go_down(&self) {
        self.record.line(format!("{} goes down", self.name));
        self.outage.reset_calls.store(0, Ordering::SeqCst);
        self.outage.is_down.store(true, Ordering::SeqCst);
        for stream in self
            .outage
            .connections
            .lock()
            .expect("connections")
            .drain(..)
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Brings the service back.
    pub fn come_back(&self) {
        self.outage.is_down.store(false, Ordering::SeqCst);
        self.record.line(format!("{} is back", self.name));
    }

    /// Waits for up to 9 s until a call has been reset and no other one has followed it for 400 ms.
    pub fn wait_for_quiet(&self) {
        let calls = || self.outage.reset_calls.load(Ordering::SeqCst);
        let (mut last, mut since, first) = (calls(), None, calls());
        for _ in 0..9000 {
            sleep_ms(1);
            if calls() != last {
                (last, since) = (calls(), Some(now_ms()));
            }
            if last > first && since.is_some_and(|since| now_ms() - since >= 400) {
                return;
            }
        }
    }

    /// Takes an entry away; the watches get the whole list, which does not name it any more.
    pub fn drop_from_whole_list(&self, uid: &str) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().expect("list");
        list.version += 1;
        list.whole_before = list.version;
        self.record.line(format!(
            "{}: {uid} is taken away at version {}",
            self.name, list.version
        ));
        list.targets.retain(|(_, other)| other.uid != uid);
        changed.notify_all();
    }

    /// Waits for up to 6 s until a whole list has been written after `since`; returns when.
    pub fn wait_until_told(&self, since: u64) -> Option<u64> {
        for _ in 0..600 {
            let told = self
                .whole_lists_at
                .lock()
                .expect("times")
                .iter()
                .copied()
                .find(|at| *at >= since);
            if told.is_some() {
                return told;
            }
            sleep_ms(10);
        }
        None
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut lines = BufReader::new(stream).lines();
        loop {
            let Some(request) = lines.next().transpose()? else {
                return Ok(());
            };
            while let Some(header) = lines.next().transpose()? {
                if header.is_empty() {
                    break;
                }
            }
            let path = request.split_whitespace().nth(1).unwrap_or("/").to_owned();
            let (body, uids) = self.answer(&path);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            (&*stream).write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
            if body.contains(r#""all":true"#) {
                self.whole_lists_at.lock().expect("times").push(now_ms());
            }
            if !uids.is_empty() {
                self.record
                    .line(format!("{} told the router ({path}): {body}", self.name));
            }
        }
    }

    /// Returns the body of the answer, and the ids in it.
    fn answer(&self, path: &str) -> (String, Vec<String>) {
        let parameter = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        let (list, changed) = &*self.list;
        let mut list = list.lock().expect("list");
        let since = parameter("since");
        if let Some(since) = since {
            let wait = Duration::from_millis(parameter("timeout_ms").unwrap_or(0).min(60_000));
            let end = Instant::now() + wait;
            while list.version <= since {
                let Some(left) = end.checked_duration_since(Instant::now()) else {
                    break;
                };
                list = changed.wait_timeout(list, left).expect("list").0;
            }
        }
        let changes = since.filter(|since| *since >= list.whole_before);
        let is_told = |(version, target): &&(u64, Target)| match changes {
            Some(since) => *version > since,
            None => target.state != "gone",
        };
        let told: Vec<&Target> = list
            .targets
            .iter()
            .filter(is_told)
            .map(|(_, target)| target)
            .collect();
        let uids = told.iter().map(|target| target.uid.clone()).collect();
        (list_json(list.version, changes.is_none(), &told), uids)
    }
}
