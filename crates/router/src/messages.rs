//! What passes between the client tasks, the dispatcher, the endpoint pools and discovery.
//!
//! Plain data that names no client protocol, so that another one can be put before the same dispatcher. Nothing here
//! owns a task or a socket.

use reelrill_pg_protocol::Format;
use reelrill_pg_session::endpoint_query::EndpointQuery;
use reelrill_routing::{
    AttemptOutcome, EndpointEntry, EndpointId, ListKind, Nanos, ReplicationStatus, RequestId,
    Timestamp,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Raised once, and seen at once by all that hold it: no message has to pass through a mailbox first.
#[derive(Debug, Clone, Default)]
pub struct CancellationFlag(Rc<Cell<bool>>);

impl CancellationFlag {
    pub fn raise(&self) {
        self.0.set(true);
    }

    pub fn is_raised(&self) -> bool {
        self.0.get()
    }
}

/// A client's request as its task has read it.
#[derive(Debug)]
pub struct ClientRequest {
    /// The router's own name for this request: clients may name theirs alike.
    pub request: RequestId,
    /// The client's name for it, which endpoints get to see.
    pub id: u64,
    pub class: u32,
    pub replica_set: u32,
    pub session: Option<Arc<str>>,
    /// The position that a session read must see.
    pub after: Option<Timestamp>,
    pub is_retry: bool,
    /// How long the client waits from `arrived` on, in nanoseconds.
    pub wait: Nanos,
    pub arrived: Timestamp,
    pub ask: Rc<EndpointQuery>,
    /// Raised by the client's task as soon as the client has gone or called the request off: nothing begins from then
    /// on, whatever still waits in a mailbox, for a connection or for a descriptor.
    pub left: CancellationFlag,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum FinalResponse {
    Served(Answer),
    Refused {
        retry_after: Option<Nanos>,
    },
    Failed(&'static str),
    /// Its client called it off.
    Cancelled,
}

/// Where the one reply goes: a client's parts share a channel that has room for all that it has out.
#[derive(Debug, Clone)]
pub struct ResponseTarget {
    pub part: u64,
    pub to: async_channel::Sender<(u64, FinalResponse)>,
}

/// A complete answer as an endpoint gave it: one value.
#[derive(Debug)]
pub struct Answer {
    /// What the endpoint said of it; none: it was asked for in a format, and is in that.
    pub column: Option<Column>,
    pub value: Vec<u8>,
    /// What was done, such as `SELECT 1`.
    pub tag: Box<str>,
}

/// The column of a value.
#[derive(Debug)]
pub struct Column {
    pub name: Box<str>,
    /// Where it comes from and its type; passed on as it came.
    pub kind: [u8; 16],
    pub format: Format,
}

/// How an attempt ended on its connection.
#[derive(Debug)]
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub replication: ReplicationStatus,
    pub report: ReplicationStatus,
    pub answer: Option<Answer>,
}

impl AttemptResult {
    /// An outcome that came without a report from the endpoint.
    pub fn silent(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            replication: ReplicationStatus::default(),
            report: ReplicationStatus::default(),
            answer: None,
        }
    }
}

/// One line of the list of endpoints and where to dial it.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    pub entry: EndpointEntry,
    pub address: SocketAddr,
}

/// What goes into the dispatcher's mailbox.
#[derive(Debug)]
pub enum Message {
    Request {
        incoming: ClientRequest,
        reply: ResponseTarget,
    },
    ClientLeft {
        request: RequestId,
    },
    AttemptEnded {
        request: RequestId,
        attempt: u32,
        result: AttemptResult,
    },
    HealthCheckEnded {
        endpoint: EndpointId,
        result: AttemptResult,
    },
    List {
        kind: ListKind,
        listed: Vec<ListedEndpoint>,
    },
    /// SIGTERM has come.
    ShutdownStarted,
}

/// How far an attempt has come with its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum AttemptPhase {
    /// It waits in a pool. Nothing has been written.
    #[default]
    WaitingForConnection,
    /// Its connection writes. Not enough has been written for the request to run.
    Writing,
    /// The last byte with which the request may run has been written.
    Written,
}

/// How far an attempt has come, as its connection tells the dispatcher without a message.
#[derive(Debug, Clone, Default)]
pub struct AttemptProgress(Rc<Cell<AttemptPhase>>);

impl AttemptProgress {
    /// A connection begins to write. A request that may have run stays so, also when it is written again.
    pub fn start_writing(&self) {
        if self.0.get() == AttemptPhase::WaitingForConnection {
            self.0.set(AttemptPhase::Writing);
        }
    }

    /// The last byte with which the request may run has been written.
    pub fn finish_writing(&self) {
        self.0.set(AttemptPhase::Written);
    }

    /// The request may have run.
    pub fn is_written(&self) -> bool {
        self.0.get() == AttemptPhase::Written
    }
}

/// One attempt as a pool gets it.
#[derive(Debug)]
pub struct Attempt {
    pub request: RequestId,
    /// Counts the attempts of a request from 0 on.
    pub number: u32,
    pub ask: Rc<EndpointQuery>,
    /// When the router stops waiting.
    pub until: Timestamp,
    /// It must be written by then, or not at all.
    pub write_by: Option<Timestamp>,
    /// Closed once the dispatcher waits for the attempt no more.
    pub abandoned: async_channel::Receiver<()>,
    /// Its client has gone: what has not been written is not written any more.
    pub client_left: CancellationFlag,
    pub progress: AttemptProgress,
}
