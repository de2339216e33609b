//! One instance on a socket.

use crate::client::MessageReader;
use crate::replica_set::{FakeReplicaSet, now_ms};
use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use reelrill_pg_protocol::backend::{self, Column};
use reelrill_pg_protocol::frontend::{self, Bind, Command, ObjectKind};
use reelrill_pg_protocol::{Format, oid, put_message};
use socket2::SockRef;
use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// What an instance does with each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScriptedResponse {
    /// Serves it.
    Serve,
    /// Serves, then closes the connection.
    ServeAndClose,
    /// Serves a value of 64 KiB.
    ServeLarge,
    /// Gives an error of this code.
    Error(&'static str),
    /// Says nothing until the test changes the act.
    NoResponse,
    /// Closes after half a row.
    CloseMidRow,
    /// Says half a row, and then nothing.
    StallMidRow,
    /// Says just this, and keeps the connection open.
    Raw(&'static [u8]),
    /// Serves, with this directly behind.
    ServeWithTrailing(&'static [u8]),
}

/// How far a request has come when a fault hits it. A simple query has the last three: it is an Execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Its Parse has been read.
    Parse,
    /// Its Bind has been read.
    Bind,
    /// Half of its Execute has been read: nothing has run.
    PartialExecute,
    /// Its Execute has run, and the Sync has not been read.
    Executed,
    /// All of it has been read and has run, and nothing has been answered.
    BeforeResponse,
}

/// What hits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process dies: all its connections are reset, and new ones until it is revived.
    Kill,
    /// This connection is reset.
    Reset,
    /// This connection stays open and says nothing more.
    NoResponse,
    /// Noise, and nothing more.
    InvalidBytes,
}

/// What an instance has been asked.
#[derive(Default, Debug)]
pub struct EndpointActivity {
    /// Requests in words; a prepared one with its values in place of its parameters.
    pub queries: Vec<String>,
    /// Connections so far.
    pub accepted_connections: usize,
    /// Connections that have ended.
    pub closed_connections: usize,
}

/// What an instance tells of itself with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusContent {
    /// Its position, or a write's commit.
    pub has_position: bool,
    /// Its load report.
    pub has_load_report: bool,
}

enum World {
    /// Answers each request with the name that it goes by, in a role of its own.
    Echo(&'static str),
    FakeReplicaSet(FakeReplicaSet),
}

struct Inner {
    name: String,
    world: World,
    /// The time that a request takes.
    work: Duration,
    /// Extended queries are not known.
    simple_only: bool,
    activity: SharedState<EndpointActivity>,
    response: SharedState<ScriptedResponse>,
    faults: SharedState<VecDeque<(RequestStage, Fault)>>,
    /// Open connections; none while it is dead.
    open: SharedState<Option<Vec<TcpStream>>>,
    /// What it tells with its answers.
    status_content: SharedState<StatusContent>,
    /// Statements prepared before this changed are forgotten.
    memory: SharedState<usize>,
    /// New connections are taken, and not welcomed while this is so.
    is_startup_blocked: SharedState<bool>,
}

/// An instance on a port of its own.
#[derive(Clone)]
pub struct FakeEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has been asked.
    pub activity: SharedState<EndpointActivity>,
    /// What it does with each request.
    pub response: SharedState<ScriptedResponse>,
    /// What hits the next requests, each once, as soon as one comes to that stage.
    pub faults: SharedState<VecDeque<(RequestStage, Fault)>>,
    inner: Arc<Inner>,
}

/// The name of the request that a statement names.
pub fn request_id(query: &str) -> String {
    query
        .split("id=")
        .nth(1)
        .map_or(String::new(), |t| t.chars().take(16).collect())
}

impl FakeEndpoint {
    /// Starts one that answers each request with its name.
    pub fn start(role: &'static str, response: ScriptedResponse) -> FakeEndpoint {
        FakeEndpoint::listen(
            ([127, 0, 0, 1], 0).into(),
            role,
            World::Echo(role),
            response,
            Duration::ZERO,
            false,
        )
    }

    /// The same, but extended queries are errors to it.
    pub fn start_simple_query_only(role: &'static str) -> FakeEndpoint {
        let at = ([127, 0, 0, 1], 0).into();
        FakeEndpoint::listen(
            at,
            role,
            World::Echo(role),
            ScriptedResponse::Serve,
            Duration::ZERO,
            true,
        )
    }

    /// Starts a member of a group; each request takes it `work`.
    pub fn start_in_replica_set(
        group: &FakeReplicaSet,
        name: &str,
        at: SocketAddr,
        work: Duration,
        simple_only: bool,
    ) -> FakeEndpoint {
        FakeEndpoint::listen(
            at,
            name,
            World::FakeReplicaSet(group.clone()),
            ScriptedResponse::Serve,
            work,
            simple_only,
        )
    }

    fn listen(
        at: SocketAddr,
        name: &str,
        world: World,
        response: ScriptedResponse,
        work: Duration,
        simple_only: bool,
    ) -> FakeEndpoint {
        let listener = TcpListener::bind(at).expect("a port for an instance");
        let address = listener.local_addr().expect("an address");
        let (activity, response, faults) = (
            SharedState::default(),
            SharedState::new(response),
            SharedState::default(),
        );
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            world,
            work,
            simple_only,
            activity: SharedState::clone(&activity),
            response: response.clone(),
            faults: SharedState::clone(&faults),
            open: SharedState::new(Some(Vec::new())),
            status_content: SharedState::new(StatusContent {
                has_position: true,
                has_load_report: true,
            }),
            memory: SharedState::new(0),
            is_startup_blocked: SharedState::new(false),
        });
        let i = inner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(other) = stream.try_clone() else {
                    continue;
                };
                let alive = i
                    .open
                    .with(|open| open.as_mut().map(|open| open.push(other)).is_some());
                if !alive {
                    reset(&stream);
                    continue;
                }
                i.activity.with(|s| s.accepted_connections += 1);
                let i = i.clone();
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let address = stream.peer_addr();
                    Connection::new(&i, stream).and_then(Connection::serve);
                    let is_this = |s: &TcpStream| {
                        s.peer_addr()
                            .ok()
                            .is_none_or(|a| Some(a) == address.as_ref().ok().copied())
                    };
                    i.open.with(|open| {
                        open.iter_mut()
                            .for_each(|open| open.retain(|s| !is_this(s)))
                    });
                    i.activity.with(|s| s.closed_connections += 1);
                });
            }
        });
        FakeEndpoint {
            address,
            activity,
            response,
            faults,
            inner,
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.inner.name
    }

    /// Its process dies.
    pub fn kill(&self) {
        self.inner.kill();
    }

    /// It accepts connections again; it has nothing prepared.
    pub fn restart(&self) {
        self.inner.open.with(|open| *open = Some(Vec::new()));
    }

    /// Waits until it is dead.
    pub fn wait_until_killed(&self) -> bool {
        self.inner
            .open
            .wait_for(WAIT_TIMEOUT, |open| open.is_none().then_some(()))
            .is_some()
    }

    /// What it tells of itself with its answers from now on.
    pub fn set_status_content(&self, content: StatusContent) {
        self.inner.status_content.with(|c| *c = content);
    }

    /// Whether it leaves new connections without a welcome, until it is told otherwise.
    pub fn set_startup_blocked(&self, is_blocked: bool) {
        self.inner.is_startup_blocked.with(|b| *b = is_blocked);
    }

    /// Forgets all prepared statements, on connections that stay open.
    pub fn forget_prepared_statements(&self) {
        self.inner.memory.with(|m| *m += 1);
    }

    /// Its line in the list of instances.
    pub fn list_entry(&self, group: u32, state: &str) -> serde_json::Value {
        let mut target = crate::discovery::list_entry(&self.inner.name, self.address, state);
        target["pod_group"] = group.into();
        target
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

impl Inner {
    fn kill(&self) {
        for stream in self.open.with(Option::take).unwrap_or_default() {
            reset(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn fault(&self, at: RequestStage) -> Option<Fault> {
        self.faults.with(|f| {
            let hit = f.front().is_some_and(|(stage, _)| *stage == at);
            if hit {
                f.pop_front().map(|(_, fault)| fault)
            } else {
                None
            }
        })
    }

    fn group(&self) -> Option<&FakeReplicaSet> {
        if let World::FakeReplicaSet(group) = &self.world {
            Some(group)
        } else {
            None
        }
    }
}

struct Portal {
    text: String,
    format: Format,
    has_run: bool,
}

struct Connection<'a> {
    inner: &'a Inner,
    reader: MessageReader,
    stream: TcpStream,
    out: Vec<u8>,
    statements: HashMap<String, (String, Vec<u32>)>,
    portals: HashMap<String, Portal>,
    is_skipping: bool,
    memory: usize,
}

impl<'a> Connection<'a> {
    fn new(inner: &'a Inner, stream: TcpStream) -> Option<Connection<'a>> {
        Some(Connection {
            inner,
            reader: MessageReader::new(stream.try_clone().ok()?),
            stream,
            out: Vec::new(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            is_skipping: false,
            memory: inner.memory.with(|m| *m),
        })
    }

    fn serve(mut self) -> Option<()> {
        self.reader.read_with(frontend::parse_startup)?;
        self.inner
            .is_startup_blocked
            .wait_for(WAIT_TIMEOUT, |is_blocked| (!*is_blocked).then_some(()))?;
        put_message(&mut self.out, b'R', &[&[0; 4]]);
        backend::put_ready_for_query(&mut self.out);
        self.flush()?;
        loop {
            let (tag, body) = self.reader.read_message()?;
            let Ok(command) = frontend::parse_command(tag, &body) else {
                return None;
            };
            match command {
                Command::Terminate => return None,
                Command::Query(text) => self.on_query(text)?,
                Command::Sync => {
                    if !self.is_skipping {
                        self.at(RequestStage::BeforeResponse)?;
                    }
                    self.is_skipping = false;
                    self.portals.clear();
                    self.status();
                    self.flush()?;
                }
                Command::Flush => self.flush()?,
                _ if self.is_skipping => {}
                _ if self.inner.simple_only => {
                    self.error("08P01", "extended queries are not known here")
                }
                command => self.on_extended(command)?,
            }
        }
    }

    fn flush(&mut self) -> Option<()> {
        self.stream.write_all(&std::mem::take(&mut self.out)).ok()
    }

    fn count(&self, count: impl FnOnce(&mut crate::replica_set::MessageCounts)) {
        if let Some(group) = self.inner.group() {
            group.count(&self.inner.name, count);
        }
    }

    fn error(&mut self, code: &str, text: &str) {
        backend::put_error_response(&mut self.out, false, code, text, None);
        self.is_skipping = true;
    }

    /// A fault may hit here. None: the connection is over.
    fn at(&mut self, stage: RequestStage) -> Option<()> {
        match self.inner.fault(stage) {
            None => return Some(()),
            Some(Fault::Kill) => self.inner.kill(),
            Some(Fault::Reset) => reset(&self.stream),
            Some(Fault::NoResponse) => while self.reader.read_message().is_some() {},
            Some(Fault::InvalidBytes) => {
                let _ = self.stream.write_all(b"noise without end");
                while self.reader.read_message().is_some() {}
            }
        }
        None
    }

    fn status(&mut self) {
        let (role, position) = match &self.inner.world {
            World::Echo(role) => (*role, now_ms()),
            World::FakeReplicaSet(g) => {
                let role = if g.is_primary(&self.inner.name) {
                    "master"
                } else {
                    "replica"
                };
                (role, g.position(&self.inner.name))
            }
        };
        backend::put_parameter_status(&mut self.out, "part", role);
        let content = self.inner.status_content.with(|c| *c);
        if content.has_position {
            backend::put_parameter_status(&mut self.out, "caught_up_to", &position.to_string());
        }
        let gauges = format!(
            "x0={},x1={},inflight=0,util=0.1",
            position as f64 / 1e3,
            u8::from(role == "master")
        );
        if content.has_load_report {
            backend::put_parameter_status(&mut self.out, "gauges", &gauges);
        }
        backend::put_ready_for_query(&mut self.out);
    }

    /// Runs a request in words: a value, or an error's code and text.
    fn run(&self, text: &str) -> Result<String, (&'static str, &'static str)> {
        self.inner
            .activity
            .with(|s| s.queries.push(text.to_owned()));
        std::thread::sleep(self.inner.work);
        match &self.inner.world {
            World::Echo(_) => Ok(request_id(text)),
            World::FakeReplicaSet(group) => group
                .execute(&self.inner.name, text)
                .map(|(value, _)| value),
        }
    }

    fn scripted_response(&self) -> Option<ScriptedResponse> {
        self.inner.response.wait_for(WAIT_TIMEOUT, |a| {
            (*a != ScriptedResponse::NoResponse).then_some(*a)
        })
    }

    /// Puts a value and the end of its command.
    fn put_served(&mut self, value: &str, format: Format, tag: &str) {
        match value
            .strip_prefix("\\x")
            .filter(|_| format == Format::Binary)
        {
            Some(digits) => {
                let byte = |i: usize| {
                    u8::from_str_radix(digits.get(i..i + 2).unwrap_or("0"), 16).unwrap_or(0)
                };
                let bytes: Vec<u8> = (0..digits.len()).step_by(2).map(byte).collect();
                backend::put_data_row(&mut self.out, &bytes);
            }
            None => backend::put_data_row(&mut self.out, value.as_bytes()),
        }
        backend::put_command_complete(&mut self.out, tag);
    }

    /// What comes in place of an answer, if anything does. None: the connection is over.
    fn spoil(&mut self, act: ScriptedResponse) -> Option<bool> {
        match act {
            ScriptedResponse::Raw(bytes) => {
                self.stream.write_all(bytes).ok()?;
                Some(true)
            }
            ScriptedResponse::CloseMidRow | ScriptedResponse::StallMidRow => {
                let mut row = Vec::new();
                backend::put_data_row(&mut row, b"half of it");
                self.out.extend_from_slice(&row[..10]);
                self.flush()?;
                (act == ScriptedResponse::StallMidRow).then_some(true)
            }
            _ => Some(false),
        }
    }

    fn on_query(&mut self, text: &str) -> Option<()> {
        self.count(|c| c.queries += 1);
        self.at(RequestStage::PartialExecute)?;
        let ran = self.run(text);
        self.at(RequestStage::Executed)?;
        self.at(RequestStage::BeforeResponse)?;
        let act = self.scripted_response()?;
        if let ScriptedResponse::Error(code) = act {
            backend::put_error_response(&mut self.out, false, code, "no", None);
        } else if matches!(act, ScriptedResponse::Raw(_)) {
            self.spoil(act)?;
            return Some(());
        } else {
            match ran {
                Ok(mut value) => {
                    if act == ScriptedResponse::ServeLarge {
                        value = value.repeat(4096);
                    }
                    let oid = if self.inner.group().is_some() {
                        oid::TEXT
                    } else {
                        oid::UNSPECIFIED
                    };
                    backend::put_row_description(
                        &mut self.out,
                        &Column::new("data", oid, Format::Text),
                    );
                    if self.spoil(act)? {
                        return Some(());
                    }
                    let tag = if text.starts_with("INSERT") {
                        "INSERT 0 1"
                    } else {
                        "SELECT 1"
                    };
                    self.put_served(&value, Format::Text, tag);
                }
                Err((code, text)) => {
                    backend::put_error_response(&mut self.out, false, code, text, None)
                }
            }
        }
        self.status();
        if let ScriptedResponse::ServeWithTrailing(extra) = act {
            self.out.extend_from_slice(extra);
        }
        self.flush()?;
        (act != ScriptedResponse::ServeAndClose).then_some(())
    }

    fn on_extended(&mut self, command: Command) -> Option<()> {
        let memory = self.inner.memory.with(|m| *m);
        if std::mem::replace(&mut self.memory, memory) != memory {
            self.statements.clear();
        }
        match command {
            Command::Parse { name, text, types } => {
                self.count(|c| c.parses += 1);
                self.at(RequestStage::Parse)?;
                if !name.is_empty() && self.statements.contains_key(name) {
                    self.error("42P05", "the statement exists");
                    return Some(());
                }
                self.statements
                    .insert(name.to_owned(), (text.to_owned(), types));
                put_message(&mut self.out, b'1', &[]);
            }
            Command::Bind(bind) => {
                self.count(|c| c.binds += 1);
                self.at(RequestStage::Bind)?;
                let Some((text, types)) = self.statements.get(bind.statement) else {
                    self.error("26000", "no such statement");
                    return Some(());
                };
                let Some(text) = in_words(text, types, &bind) else {
                    self.error("08P01", "parameters that do not fit");
                    return Some(());
                };
                let portal = Portal {
                    text,
                    format: bind.result_format(0),
                    has_run: false,
                };
                self.portals.insert(bind.portal.to_owned(), portal);
                put_message(&mut self.out, b'2', &[]);
            }
            Command::Execute { portal, .. } => {
                self.count(|c| c.executes += 1);
                self.at(RequestStage::PartialExecute)?;
                let Some(p) = self.portals.get_mut(portal).filter(|p| !p.has_run) else {
                    self.error("34000", "no such portal");
                    return Some(());
                };
                p.has_run = true;
                let (text, format) = (p.text.clone(), p.format);
                let ran = self.run(&text);
                self.at(RequestStage::Executed)?;
                match (self.scripted_response()?, ran) {
                    (ScriptedResponse::Error(code), _) => self.error(code, "no"),
                    (_, Err((code, text))) => self.error(code, text),
                    (act, Ok(value)) => {
                        if self.spoil(act)? {
                            return Some(());
                        }
                        let tag = if text.starts_with("INSERT") {
                            "INSERT 0 1"
                        } else {
                            "SELECT 1"
                        };
                        self.put_served(&value, format, tag);
                    }
                }
            }
            Command::Close(object, name) => {
                self.count(|c| c.closes += 1);
                match object {
                    ObjectKind::Statement => drop(self.statements.remove(name)),
                    ObjectKind::Portal => drop(self.portals.remove(name)),
                }
                put_message(&mut self.out, b'3', &[]);
            }
            _ => self.error("0A000", "not spoken here"),
        }
        Some(())
    }
}

/// A prepared statement with its values in place of its parameters, as its simple query would be. None: the values
/// do not fit.
fn in_words(text: &str, types: &[u32], bind: &Bind) -> Option<String> {
    if bind.values.len() != types.len() {
        return None;
    }
    let mut out = String::new();
    let mut rest = text;
    while let Some((before, behind)) = rest.split_once('$') {
        out.push_str(before);
        let end = behind
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(behind.len());
        let index = behind[..end].parse::<usize>().ok()?.checked_sub(1)?;
        rest = &behind[end..];
        // What is in the comment stands there bare, all else in quotes.
        let is_literal = !out.contains("/*");
        let value = bind.values.get(index)?.unwrap_or(b"0");
        let binary = bind.parameter_format(index) == Format::Binary;
        let word = match types[index] {
            oid::BYTEA if binary => {
                "\\x".to_owned() + &value.iter().map(|b| format!("{b:02x}")).collect::<String>()
            }
            oid::INT2 if binary => i16::from_be_bytes(value.try_into().ok()?).to_string(),
            oid::INT4 if binary => i32::from_be_bytes(value.try_into().ok()?).to_string(),
            oid::INT8 if binary && out.ends_with("id=") => {
                format!("{:016x}", u64::from_be_bytes(value.try_into().ok()?))
            }
            oid::INT8 if binary => i64::from_be_bytes(value.try_into().ok()?).to_string(),
            _ => std::str::from_utf8(value).ok()?.to_owned(),
        };
        if is_literal {
            out.push_str(&format!("'{}'", word.replace('\'', "''")));
        } else {
            out.push_str(&word);
        }
    }
    Some(out + rest)
}
