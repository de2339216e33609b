//! What passes between the front, the decider, the peers and the roster: plain data that names no
//! front protocol, so that another one can be put before the same decisions.

use crate::extensions::Discovery;
use reelrill_pg_protocol::Format;
use reelrill_pg_session::bound::Ask;
use reelrill_routing::{
    AttemptOutcome, EndpointEntry, EndpointId, ListKind, Nanos, ReplicationStatus, RequestId,
    Timestamp,
};
use reelrill_service_discovery::Source;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Raised once, and seen at once by all that hold it: no message has to come through a mailbox first.
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

/// A client's request as a front has read it.
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
    /// How long the client waits from `arrived` on.
    pub wait: Nanos,
    pub arrived: Timestamp,
    pub ask: Rc<Ask>,
    /// Raised by the front in the instant in which the client has gone or called it off: nothing begins from then on,
    /// whatever still waits in a mailbox, for a connection or for a slot.
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

/// A whole answer as an endpoint gave it: one value.
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
    /// An ending that came without a word from the endpoint.
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

/// What goes into the decider's mailbox.
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
        ended: AttemptResult,
    },
    Probed {
        endpoint: EndpointId,
        ended: AttemptResult,
    },
    List {
        kind: ListKind,
        listed: Vec<ListedEndpoint>,
    },
    /// SIGTERM has come.
    ShutdownStarted,
}

/// One attempt as a peer gets it.
#[derive(Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub number: u32,
    pub ask: Rc<Ask>,
    /// When the router stops waiting.
    pub until: Timestamp,
    /// It must be written by then, or not at all.
    pub by: Option<Timestamp>,
    /// Closed once the decider has given the attempt up.
    pub given_up: async_channel::Receiver<()>,
    /// Its client has gone: what has not been written is not written any more.
    pub left: CancellationFlag,
    /// Raised by the connection once the last byte with which the request may run has been written.
    pub written: CancellationFlag,
}

/// What the decider asks of the roster.
#[derive(Debug, Clone, Copy)]
pub enum Call {
    Subscribe,
    Fetch,
}

/// What goes into the directory's mailbox.
pub enum News {
    /// What the roster answered, and its version.
    DiscoveryClient {
        kind: ListKind,
        listed: Vec<ListedEndpoint>,
        version: u64,
    },
    /// An endpoint answered for itself.
    Answered { endpoint: EndpointId, leaving: bool },
    /// What came for a query of a service; none: it could not be sent, or its connection broke.
    Records {
        source: Source,
        query: u64,
        bytes: Option<Vec<u8>>,
    },
    /// The settings have been read again.
    Settings(Discovery),
}
