//! The router as a process, and its clients, instances and discovery as threads of the test.
//! All waits are for conditions; the long limits only end a test that has failed.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const LIMIT: Duration = Duration::from_secs(20);

/// A value that threads change and tests wait on.
pub struct Watched<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Watched<T> {
    fn clone(&self) -> Self {
        Watched(self.0.clone())
    }
}

impl<T> Watched<T> {
    pub fn new(value: T) -> Self {
        Watched(Arc::new((Mutex::new(value), Condvar::new())))
    }
    pub fn change<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(&mut self.0.0.lock().unwrap());
        self.0.1.notify_all();
        result
    }
    pub fn wait_for<R>(&self, within: Duration, mut f: impl FnMut(&mut T) -> Option<R>) -> Option<R> {
        let until = Instant::now() + within;
        let mut value = self.0.0.lock().unwrap();
        loop {
            if let Some(found) = f(&mut value) {
                return Some(found);
            }
            let left = until.checked_duration_since(Instant::now())?;
            value = self.0.1.wait_timeout(value, left).unwrap().0;
        }
    }
}

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut m = vec![tag];
    m.extend((body.len() as u32 + 4).to_be_bytes());
    m.extend(body);
    m
}

fn read_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(len) as usize).checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut tag = [0];
    stream.read_exact(&mut tag).ok()?;
    Some((tag[0], read_body(stream)?))
}

/// What an instance does with a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Serve,
    /// Serves, then closes the connection.
    ServeAndClose,
    /// Serves a value of 64 KiB.
    ServeLarge,
    Code(&'static str),
    /// Says nothing until the test changes the act.
    Silence,
    /// Closes after half a row.
    Break,
    /// Says half a row, and then nothing.
    Stall,
    /// Says just this, and keeps the connection open.
    Raw(&'static [u8]),
    /// Serves, with this directly behind.
    ServeAnd(&'static [u8]),
}

#[derive(Default)]
pub struct Seen {
    pub queries: Vec<String>,
    pub connections: usize,
    pub ended: usize,
}

pub struct Instance {
    pub address: SocketAddr,
    pub seen: Watched<Seen>,
    pub act: Watched<Act>,
}

/// The value that an instance gives: the id of the request that it answers.
pub fn id_of(query: &str) -> String {
    query.split("id=").nth(1).map_or(String::new(), |t| t[..16].to_owned())
}

impl Instance {
    pub fn start(role: &'static str, act: Act) -> Instance {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, act) = (Watched::new(Seen::default()), Watched::new(act));
        let (s, a) = (seen.clone(), act.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                s.change(|s| s.connections += 1);
                let (s, a) = (s.clone(), a.clone());
                std::thread::spawn(move || {
                    Self::serve(stream, role, &s, &a);
                    s.change(|s| s.ended += 1);
                });
            }
        });
        Instance { address, seen, act }
    }

    fn serve(mut stream: TcpStream, role: &str, seen: &Watched<Seen>, act: &Watched<Act>) -> Option<()> {
        read_body(&mut stream)?;
        stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
        loop {
            let (_, body) = read_message(&mut stream)?;
            let query = String::from_utf8(body).ok()?.trim_end_matches('\0').to_owned();
            let id = id_of(&query);
            seen.change(|s| s.queries.push(query));
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?.as_millis();
            let act = act.wait_for(LIMIT, |a| (*a != Act::Silence).then_some(*a))?;
            let value = if act == Act::ServeLarge { id.repeat(4096) } else { id };
            let len = (value.len() as u32).to_be_bytes();
            let row = message(b'D', &[&[0, 1], &len[..], value.as_bytes()].concat());
            let columns = message(b'T', &[&b"\0\x01data\0"[..], &[0; 18]].concat());
            let answer = match act {
                Act::Code(code) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
                Act::Break | Act::Stall => [&columns[..], &row[..10]].concat(),
                Act::Raw(bytes) => bytes.to_vec(),
                _ => [columns, row, message(b'C', b"SELECT 1\0")].concat(),
            };
            stream.write_all(&answer).ok()?;
            match act {
                Act::Break => return None,
                Act::Stall | Act::Raw(_) => continue,
                _ => {}
            }
            let status = message(b'S', format!("part\0{role}\0").as_bytes());
            let position = message(b'S', format!("caught_up_to\0{now}\0").as_bytes());
            let extra = if let Act::ServeAnd(extra) = act { extra } else { b"" };
            stream.write_all(&[&status, &position, &message(b'Z', b"I")[..], extra].concat()).ok()?;
            if act == Act::ServeAndClose {
                return None;
            }
        }
    }
}

/// One line of the list.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 2,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// How discovery answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Proper,
    /// Calls that may wait are answered at once, news or none.
    Hasty,
    /// In two chunks.
    Chunked,
    /// Without a length, closing the connection after it.
    Closing,
    /// Takes the call and says nothing.
    Silent,
}

pub struct Discovery {
    pub address: SocketAddr,
    /// The version and the whole list; none: calls fail.
    pub list: Watched<(u64, Option<Vec<Value>>)>,
    /// The paths asked for.
    pub calls: Watched<Vec<String>>,
    pub manner: Watched<Manner>,
}

impl Discovery {
    pub fn start(list: Option<Vec<Value>>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (list, calls) = (Watched::new((1, list)), Watched::new(Vec::new()));
        let manner = Watched::new(Manner::Proper);
        let (l, c, h) = (list.clone(), calls.clone(), manner.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (l, c, h) = (l.clone(), c.clone(), h.clone());
                std::thread::spawn(move || Self::serve(stream, &l, &c, &h));
            }
        });
        Discovery { address, list, calls, manner }
    }

    fn serve(
        stream: TcpStream,
        list: &Watched<(u64, Option<Vec<Value>>)>,
        calls: &Watched<Vec<String>>,
        manner: &Watched<Manner>,
    ) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        loop {
            let path = lines.next()?.ok()?.split(' ').nth(1)?.to_owned();
            while !lines.next()?.ok()?.is_empty() {}
            calls.change(|c| c.push(path.clone()));
            let field = |name: &str| path.split(name).nth(1).and_then(|t| t.split('&').next()?.parse().ok());
            let since: u64 = field("since=").unwrap_or(0);
            let wait = Duration::from_millis(field("timeout_ms=").unwrap_or(0));
            let manner = manner.wait_for(LIMIT, |m| (*m != Manner::Silent).then_some(*m))?;
            let hasty = manner == Manner::Hasty;
            list.wait_for(wait, |(rev, l)| (hasty || *rev > since || l.is_none()).then_some(()));
            let body = list.change(|(rev, l)| {
                l.as_ref().map(|l| {
                    let none = Vec::new();
                    json!({"rev": rev, "all": true, "targets": if *rev > since { l } else { &none }})
                })
            });
            let answer = match body {
                // Nothing new: changes, of which there are none.
                Some(b) if b["targets"] == json!([]) => json!({"rev": since, "all": false, "targets": []}),
                Some(b) => b,
                None => {
                    (&stream).write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n").ok()?;
                    continue;
                }
            };
            let text = answer.to_string();
            let (a, b) = text.split_at(text.len() / 2);
            let rest = match manner {
                Manner::Chunked => format!(
                    "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n",
                    a.len(),
                    b.len()
                ),
                Manner::Closing => format!("Connection: close\r\n\r\n{text}"),
                _ => format!("Content-Length: {}\r\n\r\n{text}", text.len()),
            };
            (&stream).write_all(format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes()).ok()?;
            if manner == Manner::Closing {
                return None;
            }
        }
    }

    pub fn publish(&self, targets: Vec<Value>) {
        self.list.change(|l| *l = (l.0 + 1, Some(targets)));
    }
}

pub fn settings() -> Value {
    let class = |name: &str, repeat: &str, deadline_ms: u64| {
        json!({"name": name, "repeat": repeat, "group": "cell", "credit": 1.0, "lateWorth": 0.5,
               "onTime": 900_000_000u64, "hardLimit": deadline_ms * 1_000_000, "window": 2_000_000_000u64})
    };
    json!({
        "az": 0, "zones": ["a", "b"], "groupSize": 2, "period": 5_000_000, "registryMode": "subscribe",
        "ceilings": {"maxAttempts": 10, "mayCancel": true, "probes": true, "retryAfter": true,
            "maxRetryAfter": 1_000_000_000u64, "secondCopies": true, "connectTimeout": 250_000_000,
            "idleClose": 15_000_000_000u64},
        "classes": [class("board", "retryable", 30_000), class("own", "retryable", 30_000),
            class("book", "dedup", 30_000)],
        "familyInfo": {"freshness": ["eventual", "causal", "mutate"], "guards": "bounce", "maxAge": [0, 0, 0],
            "listRole": "silent", "originTime": 0, "sessionMarks": "brought", "stamps": true},
        "report": {"columns": ["x0", "x1"], "source": "piggyback"},
        "rules": {"coldFrom": 0.16, "drainGrace": 250_000_000, "fall": 1_500_000_000, "fallMultiple": 3.0,
            "warmAfter": 17_000_000_000u64, "askEvery": 10_000_000_000u64}
    })
}

pub struct Router {
    child: Child,
    pub address: SocketAddr,
    pub log: Watched<Vec<String>>,
    config: Value,
    dir: tempfile::TempDir,
}

impl Router {
    pub fn start(discovery: &Discovery, known: &[Value], sockets: u64) -> Router {
        Router::start_with(discovery, known, sockets, settings())
    }

    pub fn start_with(discovery: &Discovery, known: &[Value], sockets: u64, settings: Value) -> Router {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("config.json");
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"rev": 1, "all": true, "targets": known}, "settings": settings});
        std::fs::write(&path, config.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_reelrill"))
            .env("RELAY_CONFIG", &path)
            .env_remove("RELAY_LISTEN")
            .env("RELAY_DISCOVERY", discovery.address.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Watched::new(Vec::<String>::new());
        let (l, stderr) = (log.clone(), child.stderr.take().unwrap());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                l.change(|l| l.push(line));
            }
        });
        let listening = |l: &mut Vec<String>| {
            let line = l.iter().find(|l| l.contains("listening"))?;
            line.split("address: ").nth(1)?.split(',').next()?.parse().ok()
        };
        let address = log.wait_for(LIMIT, listening).expect("the router did not start");
        Router { child, address, log, config, dir }
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Replaces a field of the configuration file and has the router read it again.
    pub fn reload(&self, field: &str, value: Value) {
        let mut config = self.config.clone();
        config[field] = value;
        let (new, path) = (self.dir.path().join("new.json"), self.dir.path().join("config.json"));
        std::fs::write(&new, config.to_string()).unwrap();
        std::fs::rename(new, path).unwrap();
        self.signal("HUP");
    }

    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn logged(&self, text: &str) -> bool {
        self.log.wait_for(LIMIT, |l| l.iter().any(|l| l.contains(text)).then_some(())).is_some()
    }

    /// The counters as they are now, printed on request.
    pub fn counters(&self) -> String {
        let before = self.log.change(|l| l.len());
        self.signal("USR1");
        let line = |l: &mut Vec<String>| l[before..].iter().find(|l| l.contains("counters")).cloned();
        self.log.wait_for(LIMIT, line).expect("no counters")
    }

    /// Waits until the counters hold `text`.
    pub fn counted(&self, text: &str) -> bool {
        let until = Instant::now() + LIMIT;
        while Instant::now() < until {
            if format!("{} ", self.counters()).contains(&format!(" {text} ")) {
                return true;
            }
        }
        false
    }

    pub fn counted_at_exit(&self, text: &str) -> bool {
        self.log.change(|l| l.last().is_some_and(|l| l.contains(&format!(" {text} "))))
    }

    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.address);
        client.stream.write_all(&startup()).unwrap();
        assert_eq!(client.answer().map(|a| a.tags), Some("RSSSKZ".to_owned()));
        client
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0portal\0database\0crm\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

pub fn read(id: u64, wait_ms: u64) -> String {
    format!("SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d={wait_ms},cluster=2 */")
}

/// All messages up to ReadyForQuery or the end.
#[derive(Debug, Default)]
pub struct Answer {
    pub tags: String,
    pub value: String,
    pub code: String,
    pub detail: Option<String>,
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Client { stream }
    }

    /// None: the connection has ended.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            let Some((tag, body)) = read_message(&mut self.stream) else {
                return (!answer.tags.is_empty()).then_some(answer);
            };
            answer.tags.push(char::from(tag));
            match tag {
                b'Z' => return Some(answer),
                b'D' => answer.value = String::from_utf8_lossy(&body[6..]).into_owned(),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let field = |f| text.split('\0').find(|t| t.starts_with(f)).map(|t| t[1..].to_owned());
                    (answer.code, answer.detail) = (field('C').unwrap_or_default(), field('D'));
                }
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        self.stream.write_all(&query(text)).unwrap();
        self.answer().expect("no answer")
    }
}
