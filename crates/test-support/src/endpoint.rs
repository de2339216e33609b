//! A fake endpoint: a database process on its own socket, with scripted responses to simple and extended queries and
//! with faults at selected stages of a request.

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

/// The number of times that [`ScriptedResponse::ServeLarge`] repeats the value.
const LARGE_VALUE_REPEATS: usize = 4096;

/// Selects how a fake endpoint responds to each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScriptedResponse {
    /// Returns the value.
    Serve,
    /// Returns the value and closes the connection after ReadyForQuery (simple queries only).
    ServeAndClose,
    /// Returns the value repeated 4096 times, which makes 64 KiB of a request id.
    ServeLarge,
    /// Returns an error with this SQLSTATE.
    Error(&'static str),
    /// Sends no response until the test sets another one.
    NoResponse,
    /// Sends half of a data row and closes the connection.
    CloseMidRow,
    /// Sends half of a data row and nothing more.
    StallMidRow,
    /// Sends only these bytes and keeps the connection open.
    Raw(&'static [u8]),
    /// Returns the value and sends these bytes right after ReadyForQuery (simple queries only).
    ServeWithTrailing(&'static [u8]),
}

impl ScriptedResponse {
    /// Returns the value that the endpoint sends in place of `value`.
    fn value(self, value: String) -> String {
        match self {
            ScriptedResponse::ServeLarge => value.repeat(LARGE_VALUE_REPEATS),
            _ => value,
        }
    }
}

/// Names the stage of a request at which a fault occurs. A simple query counts as one Execute and has only the last
/// three stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// After the Parse was received.
    Parse,
    /// After the Bind was received.
    Bind,
    /// Before the Execute runs, as if only half of that message had been received.
    PartialExecute,
    /// After the Execute has run and before the Sync is received.
    Executed,
    /// After the whole request was received and has run, and before any response is sent.
    BeforeResponse,
}

/// Selects the fault that occurs at a stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint crashes: all its connections are reset, and so are new ones until it is restarted.
    Kill,
    /// The connection is reset.
    Reset,
    /// The connection stays open without any further response.
    NoResponse,
    /// Bytes that are not a valid message are sent, followed by no further response.
    InvalidBytes,
}

/// Counts the connections of a fake endpoint and records its requests.
#[derive(Default, Debug)]
pub struct EndpointActivity {
    /// The executed statements in order; prepared ones with the parameter values inserted.
    pub queries: Vec<String>,
    /// The number of connections accepted.
    pub accepted_connections: usize,
    /// The number of accepted connections that have been closed.
    pub closed_connections: usize,
}

/// Selects the status parameters that a fake endpoint sends with each response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusContent {
    /// Whether the applied position is sent.
    pub has_position: bool,
    /// Whether the load report is sent.
    pub has_load_report: bool,
}

/// Selects the source of the results.
enum Backend {
    /// Returns the id of each request, and reports this role.
    EchoRequestId(&'static str),
    /// Executes requests on the shared data of a replica set.
    ReplicaSet(FakeReplicaSet),
}

/// State that a fake endpoint shares with the threads of its connections.
struct Inner {
    name: String,
    backend: Backend,
    /// The processing time of each request.
    processing_time: Duration,
    /// Whether commands of the extended query protocol are errors.
    is_simple_query_only: bool,
    activity: SharedState<EndpointActivity>,
    response: SharedState<ScriptedResponse>,
    faults: SharedState<VecDeque<(RequestStage, Fault)>>,
    /// Handles of the open connections; `None` while the endpoint is crashed.
    open_connections: SharedState<Option<Vec<TcpStream>>>,
    /// The status parameters sent with each response.
    status_content: SharedState<StatusContent>,
    /// Counts the calls of `forget_prepared_statements`; a connection drops its statements when the count changes.
    statement_generation: SharedState<usize>,
    /// Whether the response to startup messages is withheld.
    is_startup_blocked: SharedState<bool>,
}

/// A fake endpoint on its own port.
#[derive(Clone)]
pub struct FakeEndpoint {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The requests and connections so far.
    pub activity: SharedState<EndpointActivity>,
    /// The response to each further request.
    pub response: SharedState<ScriptedResponse>,
    /// The scripted faults in order. The first one occurs when a request reaches its stage, and is then removed.
    pub faults: SharedState<VecDeque<(RequestStage, Fault)>>,
    inner: Arc<Inner>,
}

/// Returns the 16 hexadecimal digits of the request id in a statement's annotations; empty without one.
pub fn request_id(query: &str) -> String {
    query
        .split("id=")
        .nth(1)
        .map_or(String::new(), |rest| rest.chars().take(16).collect())
}

impl FakeEndpoint {
    /// Starts an endpoint of the given role that returns the id of each request as its value.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(role: &'static str, response: ScriptedResponse) -> FakeEndpoint {
        FakeEndpoint::listen(
            ([127, 0, 0, 1], 0).into(),
            role,
            Backend::EchoRequestId(role),
            response,
            Duration::ZERO,
            false,
        )
    }

    /// Starts an endpoint like [`start`](FakeEndpoint::start) that rejects extended queries.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start_simple_query_only(role: &'static str) -> FakeEndpoint {
        let address = ([127, 0, 0, 1], 0).into();
        FakeEndpoint::listen(
            address,
            role,
            Backend::EchoRequestId(role),
            ScriptedResponse::Serve,
            Duration::ZERO,
            true,
        )
    }

    /// Starts an endpoint of a replica set on the given address. Each request takes `processing_time`; extended queries
    /// are rejected if `is_simple_query_only`.
    ///
    /// # Panics
    /// If the address can't be bound.
    pub fn start_in_replica_set(
        replica_set: &FakeReplicaSet,
        name: &str,
        address: SocketAddr,
        processing_time: Duration,
        is_simple_query_only: bool,
    ) -> FakeEndpoint {
        FakeEndpoint::listen(
            address,
            name,
            Backend::ReplicaSet(replica_set.clone()),
            ScriptedResponse::Serve,
            processing_time,
            is_simple_query_only,
        )
    }

    /// Binds the address and serves its connections on a thread of their own each.
    fn listen(
        address: SocketAddr,
        name: &str,
        backend: Backend,
        response: ScriptedResponse,
        processing_time: Duration,
        is_simple_query_only: bool,
    ) -> FakeEndpoint {
        let listener = TcpListener::bind(address).expect("bind a port for the endpoint");
        let address = listener
            .local_addr()
            .expect("local address of the endpoint");
        let (activity, response, faults) = (
            SharedState::default(),
            SharedState::new(response),
            SharedState::default(),
        );
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            backend,
            processing_time,
            is_simple_query_only,
            activity: SharedState::clone(&activity),
            response: response.clone(),
            faults: SharedState::clone(&faults),
            open_connections: SharedState::new(Some(Vec::new())),
            status_content: SharedState::new(StatusContent {
                has_position: true,
                has_load_report: true,
            }),
            statement_generation: SharedState::new(0),
            is_startup_blocked: SharedState::new(false),
        });
        let shared = inner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(handle) = stream.try_clone() else {
                    continue;
                };
                let is_running = shared
                    .open_connections
                    .with(|open| open.as_mut().map(|open| open.push(handle)).is_some());
                if !is_running {
                    reset_on_close(&stream);
                    continue;
                }
                shared
                    .activity
                    .with(|activity| activity.accepted_connections += 1);
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let address = stream.peer_addr();
                    Connection::new(&shared, stream).and_then(Connection::serve);
                    let is_this = |handle: &TcpStream| {
                        handle
                            .peer_addr()
                            .ok()
                            .is_none_or(|peer| Some(peer) == address.as_ref().ok().copied())
                    };
                    shared.open_connections.with(|open| {
                        open.iter_mut()
                            .for_each(|open| open.retain(|handle| !is_this(handle)))
                    });
                    shared
                        .activity
                        .with(|activity| activity.closed_connections += 1);
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

    /// Returns the name of the endpoint in its replica set.
    pub fn name(&self) -> &str {
        &self.inner.name
    }

    /// Simulates a crash: resets all connections, and new ones until [`restart`](FakeEndpoint::restart).
    pub fn kill(&self) {
        self.inner.kill();
    }

    /// Accepts connections again, without prepared statements.
    pub fn restart(&self) {
        self.inner
            .open_connections
            .with(|open| *open = Some(Vec::new()));
    }

    /// Waits until a [`Fault::Kill`] or [`kill`](FakeEndpoint::kill) has taken effect; returns whether it has.
    pub fn wait_until_killed(&self) -> bool {
        self.inner
            .open_connections
            .wait_for(WAIT_TIMEOUT, |open| open.is_none().then_some(()))
            .is_some()
    }

    /// Selects the status parameters of all further responses.
    pub fn set_status_content(&self, content: StatusContent) {
        self.inner.status_content.with(|current| *current = content);
    }

    /// Withholds the response to startup messages while `is_blocked`, for up to [`WAIT_TIMEOUT`].
    pub fn set_startup_blocked(&self, is_blocked: bool) {
        self.inner
            .is_startup_blocked
            .with(|current| *current = is_blocked);
    }

    /// Drops the prepared statements of all connections and keeps the connections open.
    pub fn forget_prepared_statements(&self) {
        self.inner
            .statement_generation
            .with(|generation| *generation += 1);
    }

    /// Returns the entry of this endpoint for a discovery list, with the given replica set and state.
    pub fn list_entry(&self, replica_set: u32, state: &str) -> serde_json::Value {
        let mut entry = crate::discovery::list_entry(&self.inner.name, self.address, state);
        entry["pod_group"] = replica_set.into();
        entry
    }
}

/// Makes the close of the stream a reset instead of an orderly end.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

impl Inner {
    /// Resets all connections and rejects new ones.
    fn kill(&self) {
        for stream in self.open_connections.with(Option::take).unwrap_or_default() {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Removes and returns the first scripted fault if it is due at this stage.
    fn take_fault(&self, current_stage: RequestStage) -> Option<Fault> {
        self.faults.with(|faults| {
            let is_due = faults
                .front()
                .is_some_and(|(stage, _)| *stage == current_stage);
            if is_due {
                faults.pop_front().map(|(_, fault)| fault)
            } else {
                None
            }
        })
    }

    fn replica_set(&self) -> Option<&FakeReplicaSet> {
        if let Backend::ReplicaSet(replica_set) = &self.backend {
            Some(replica_set)
        } else {
            None
        }
    }
}

/// A bound statement.
struct Portal {
    /// The statement with the parameter values inserted.
    statement: String,
    format: Format,
    has_run: bool,
}

/// The protocol state of one client connection.
struct Connection<'a> {
    inner: &'a Inner,
    reader: MessageReader,
    stream: TcpStream,
    /// Bytes of the response that are not yet written.
    out: Vec<u8>,
    /// The text and parameter types of the prepared statements, by name.
    statements: HashMap<String, (String, Vec<u32>)>,
    portals: HashMap<String, Portal>,
    /// Whether commands are ignored up to the next Sync, because an earlier one failed.
    is_skipping: bool,
    /// The value of `Inner::statement_generation` for which `statements` is valid.
    statement_generation: usize,
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
            statement_generation: inner.statement_generation.with(|generation| *generation),
        })
    }

    /// Serves the connection until it ends; always returns `None` then.
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
                Command::Query(text) => self.handle_query(text)?,
                Command::Sync => {
                    if !self.is_skipping {
                        self.apply_fault(RequestStage::BeforeResponse)?;
                    }
                    self.is_skipping = false;
                    self.portals.clear();
                    self.put_status();
                    self.flush()?;
                }
                Command::Flush => self.flush()?,
                _ if self.is_skipping => {}
                _ if self.inner.is_simple_query_only => {
                    self.put_error("08P01", "extended queries are not supported")
                }
                command => self.handle_extended(command)?,
            }
        }
    }

    /// Writes the output to the connection; returns `None` if the write fails.
    fn flush(&mut self) -> Option<()> {
        self.stream.write_all(&std::mem::take(&mut self.out)).ok()
    }

    /// Calls `update` with the message counts of this endpoint in the execution log; an endpoint outside a replica set
    /// has none.
    fn update_counts(&self, update: impl FnOnce(&mut crate::replica_set::MessageCounts)) {
        if let Some(replica_set) = self.inner.replica_set() {
            replica_set.update_counts(&self.inner.name, update);
        }
    }

    /// Appends an error to the output; further commands are ignored up to the next Sync.
    fn put_error(&mut self, sqlstate: &str, message: &str) {
        backend::put_error_response(&mut self.out, false, sqlstate, message, None);
        self.is_skipping = true;
    }

    /// Applies the first scripted fault if it is due at this stage; returns `None` if the connection has ended.
    fn apply_fault(&mut self, stage: RequestStage) -> Option<()> {
        match self.inner.take_fault(stage) {
            None => return Some(()),
            Some(Fault::Kill) => self.inner.kill(),
            Some(Fault::Reset) => reset_on_close(&self.stream),
            Some(Fault::NoResponse) => while self.reader.read_message().is_some() {},
            Some(Fault::InvalidBytes) => {
                // Read as a message, these bytes declare a length of 1.9 GB.
                let _ = self.stream.write_all(b"noise without end");
                while self.reader.read_message().is_some() {}
            }
        }
        None
    }

    /// Appends the status parameters and ReadyForQuery to the output.
    fn put_status(&mut self) {
        let (role, position) = match &self.inner.backend {
            Backend::EchoRequestId(role) => (*role, now_ms()),
            Backend::ReplicaSet(replica_set) => {
                let role = if replica_set.is_primary(&self.inner.name) {
                    "master"
                } else {
                    "replica"
                };
                (role, replica_set.position(&self.inner.name))
            }
        };
        backend::put_parameter_status(&mut self.out, "part", role);
        let content = self.inner.status_content.with(|content| *content);
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

    /// Executes a statement with the parameter values inserted. Returns the value, or an error's SQLSTATE and message.
    fn execute(&self, statement: &str) -> Result<String, (&'static str, &'static str)> {
        self.inner
            .activity
            .with(|activity| activity.queries.push(statement.to_owned()));
        std::thread::sleep(self.inner.processing_time);
        match &self.inner.backend {
            Backend::EchoRequestId(_) => Ok(request_id(statement)),
            Backend::ReplicaSet(replica_set) => replica_set
                .execute(&self.inner.name, statement)
                .map(|(value, _)| value),
        }
    }

    /// Waits until a response is scripted and returns it; `None` if there is none within [`WAIT_TIMEOUT`].
    fn scripted_response(&self) -> Option<ScriptedResponse> {
        self.inner.response.wait_for(WAIT_TIMEOUT, |response| {
            (*response != ScriptedResponse::NoResponse).then_some(*response)
        })
    }

    /// Appends a data row and CommandComplete to the output. In binary format a value that starts with `\x` is sent as
    /// the bytes of its hexadecimal digits.
    fn put_result(&mut self, value: &str, format: Format, tag: &str) {
        match value
            .strip_prefix("\\x")
            .filter(|_| format == Format::Binary)
        {
            Some(digits) => {
                let byte = |index: usize| {
                    u8::from_str_radix(digits.get(index..index + 2).unwrap_or("0"), 16).unwrap_or(0)
                };
                let bytes: Vec<u8> = (0..digits.len()).step_by(2).map(byte).collect();
                backend::put_data_row(&mut self.out, &bytes);
            }
            None => backend::put_data_row(&mut self.out, value.as_bytes()),
        }
        backend::put_command_complete(&mut self.out, tag);
    }

    /// Sends the malformed response if one is scripted, and returns whether it did; `None` if the connection has ended.
    fn send_malformed(&mut self, scripted: ScriptedResponse) -> Option<bool> {
        match scripted {
            ScriptedResponse::Raw(bytes) => {
                self.stream.write_all(bytes).ok()?;
                Some(true)
            }
            ScriptedResponse::CloseMidRow | ScriptedResponse::StallMidRow => {
                let mut row = Vec::new();
                backend::put_data_row(&mut row, b"half of it");
                // The whole message has 21 bytes.
                self.out.extend_from_slice(&row[..10]);
                self.flush()?;
                (scripted == ScriptedResponse::StallMidRow).then_some(true)
            }
            _ => Some(false),
        }
    }

    /// Handles a simple query; returns `None` if the connection has ended.
    fn handle_query(&mut self, statement: &str) -> Option<()> {
        self.update_counts(|counts| counts.queries += 1);
        self.apply_fault(RequestStage::PartialExecute)?;
        let result = self.execute(statement);
        self.apply_fault(RequestStage::Executed)?;
        self.apply_fault(RequestStage::BeforeResponse)?;
        let scripted = self.scripted_response()?;
        if let ScriptedResponse::Error(sqlstate) = scripted {
            backend::put_error_response(&mut self.out, false, sqlstate, "scripted error", None);
        } else if matches!(scripted, ScriptedResponse::Raw(_)) {
            self.send_malformed(scripted)?;
            return Some(());
        } else {
            match result {
                Ok(value) => {
                    let value = scripted.value(value);
                    let oid = if self.inner.replica_set().is_some() {
                        oid::TEXT
                    } else {
                        oid::UNSPECIFIED
                    };
                    backend::put_row_description(
                        &mut self.out,
                        &Column::new("data", oid, Format::Text),
                    );
                    if self.send_malformed(scripted)? {
                        return Some(());
                    }
                    let tag = if statement.starts_with("INSERT") {
                        "INSERT 0 1"
                    } else {
                        "SELECT 1"
                    };
                    self.put_result(&value, Format::Text, tag);
                }
                Err((sqlstate, message)) => {
                    backend::put_error_response(&mut self.out, false, sqlstate, message, None)
                }
            }
        }
        self.put_status();
        if let ScriptedResponse::ServeWithTrailing(trailing) = scripted {
            self.out.extend_from_slice(trailing);
        }
        self.flush()?;
        (scripted != ScriptedResponse::ServeAndClose).then_some(())
    }

    /// Handles a command of the extended query protocol; returns `None` if the connection has ended.
    fn handle_extended(&mut self, command: Command) -> Option<()> {
        let generation = self
            .inner
            .statement_generation
            .with(|generation| *generation);
        if std::mem::replace(&mut self.statement_generation, generation) != generation {
            self.statements.clear();
        }
        match command {
            Command::Parse { name, text, types } => {
                self.update_counts(|counts| counts.parses += 1);
                self.apply_fault(RequestStage::Parse)?;
                if !name.is_empty() && self.statements.contains_key(name) {
                    self.put_error("42P05", "prepared statement already exists");
                    return Some(());
                }
                self.statements
                    .insert(name.to_owned(), (text.to_owned(), types));
                put_message(&mut self.out, b'1', &[]);
            }
            Command::Bind(bind) => {
                self.update_counts(|counts| counts.binds += 1);
                self.apply_fault(RequestStage::Bind)?;
                let Some((text, types)) = self.statements.get(bind.statement) else {
                    self.put_error("26000", "prepared statement does not exist");
                    return Some(());
                };
                let Some(statement) = insert_parameters(text, types, &bind) else {
                    self.put_error("08P01", "parameters do not match the statement");
                    return Some(());
                };
                let portal = Portal {
                    statement,
                    format: bind.result_format(0),
                    has_run: false,
                };
                self.portals.insert(bind.portal.to_owned(), portal);
                put_message(&mut self.out, b'2', &[]);
            }
            Command::Execute { portal, .. } => {
                self.update_counts(|counts| counts.executes += 1);
                self.apply_fault(RequestStage::PartialExecute)?;
                let Some(portal) = self
                    .portals
                    .get_mut(portal)
                    .filter(|portal| !portal.has_run)
                else {
                    self.put_error("34000", "portal does not exist");
                    return Some(());
                };
                portal.has_run = true;
                let (statement, format) = (portal.statement.clone(), portal.format);
                let result = self.execute(&statement);
                self.apply_fault(RequestStage::Executed)?;
                match (self.scripted_response()?, result) {
                    (ScriptedResponse::Error(sqlstate), _) => {
                        self.put_error(sqlstate, "scripted error")
                    }
                    (_, Err((sqlstate, message))) => self.put_error(sqlstate, message),
                    (scripted, Ok(value)) => {
                        if self.send_malformed(scripted)? {
                            return Some(());
                        }
                        let tag = if statement.starts_with("INSERT") {
                            "INSERT 0 1"
                        } else {
                            "SELECT 1"
                        };
                        self.put_result(&scripted.value(value), format, tag);
                    }
                }
            }
            Command::Close(object, name) => {
                self.update_counts(|counts| counts.closes += 1);
                match object {
                    ObjectKind::Statement => drop(self.statements.remove(name)),
                    ObjectKind::Portal => drop(self.portals.remove(name)),
                }
                put_message(&mut self.out, b'3', &[]);
            }
            _ => self.put_error("0A000", "command is not supported"),
        }
        Some(())
    }
}

/// Returns a prepared statement with the values of its parameters inserted, as the text of the equivalent simple query;
/// `None` if the values do not match the parameters.
fn insert_parameters(text: &str, types: &[u32], bind: &Bind) -> Option<String> {
    if bind.values.len() != types.len() {
        return None;
    }
    let mut statement = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('$') {
        statement.push_str(before);
        let end = after
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(after.len());
        let index = after[..end].parse::<usize>().ok()?.checked_sub(1)?;
        rest = &after[end..];
        // Annotation values in the trailing comment are bare; all other values are quoted literals.
        let is_literal = !statement.contains("/*");
        let value = bind.values.get(index)?.unwrap_or(b"0");
        let is_binary = bind.parameter_format(index) == Format::Binary;
        let value_text = match types[index] {
            oid::BYTEA if is_binary => {
                "\\x".to_owned()
                    + &value
                        .iter()
                        .map(|byte| format!("{byte:02x}"))
                        .collect::<String>()
            }
            oid::INT2 if is_binary => i16::from_be_bytes(value.try_into().ok()?).to_string(),
            oid::INT4 if is_binary => i32::from_be_bytes(value.try_into().ok()?).to_string(),
            oid::INT8 if is_binary && statement.ends_with("id=") => {
                format!("{:016x}", u64::from_be_bytes(value.try_into().ok()?))
            }
            oid::INT8 if is_binary => i64::from_be_bytes(value.try_into().ok()?).to_string(),
            _ => std::str::from_utf8(value).ok()?.to_owned(),
        };
        if is_literal {
            statement.push_str(&format!("'{}'", value_text.replace('\'', "''")));
        } else {
            statement.push_str(&value_text);
        }
    }
    Some(statement + rest)
}
