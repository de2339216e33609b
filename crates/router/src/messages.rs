//! The messages between the client tasks, the dispatcher, the endpoint pools and discovery.
//!
//! These types are plain data and name no client protocol, so that a front end for another protocol can use the same
//! dispatcher. None of them owns a task or a socket.

use crate::write_permit::WritePermit;
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

/// Marks a request as cancelled. Once raised it stays raised. All clones share the flag, so raising it takes effect at
/// once, without a message through a mailbox.
#[derive(Debug, Clone, Default)]
pub struct CancellationFlag(Rc<Cell<bool>>);

impl CancellationFlag {
    /// Raises the flag.
    pub fn raise(&self) {
        self.0.set(true);
    }

    /// Returns whether the flag has been raised.
    pub fn is_raised(&self) -> bool {
        self.0.get()
    }
}

/// A client's request, parsed and ready for the dispatcher.
#[derive(Debug)]
pub struct ClientRequest {
    /// The id that the router assigned. It is unique, while several clients may use the same request id.
    pub id: RequestId,
    /// The id that the client assigned, which is passed on to endpoints.
    pub client_request_id: u64,
    /// The index of the request class in the settings.
    pub class: u32,
    /// The index of the replica set in the settings.
    pub replica_set: u32,
    /// The session whose writes the request must observe.
    pub session: Option<Arc<str>>,
    /// The replication position that a read in a session must observe.
    pub required_position: Option<Timestamp>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// The time for which the client waits for the response, in nanoseconds from `received_at`.
    pub timeout: Nanos,
    /// The time at which the client's task read the request.
    pub received_at: Timestamp,
    /// The statement to execute.
    pub statement: Rc<EndpointQuery>,
    /// Raised by the client's task as soon as the client disconnects or cancels the request. No further step is
    /// started from then on, even if the request waits in a mailbox, for a connection or for a file descriptor.
    pub cancelled: CancellationFlag,
}

/// The final response to a request. Each request gets exactly one, unless its client disconnects first.
#[derive(Debug)]
pub enum FinalResponse {
    /// An endpoint executed the statement.
    Served(Box<QueryResult>),
    /// The request was rejected without a result, and the client may retry it.
    Rejected {
        /// The delay before a retry, in nanoseconds.
        retry_after: Option<Nanos>,
    },
    /// The request failed, with an error message for the client; it may have been executed.
    Failed(&'static str),
    /// The client cancelled the request; it may have been executed.
    Cancelled,
}

impl FinalResponse {
    /// Returns the number of bytes that the response holds besides its fixed size.
    pub fn memory_bytes(&self) -> usize {
        let FinalResponse::Served(result) = self else {
            return 0;
        };
        let name_length = result.column.as_ref().map_or(0, |c| c.name.len());
        result.value.len() + result.command_tag.len() + name_length
    }
}

/// The destination of a request's final response. All requests of one client share a channel with capacity for all of
/// its outstanding requests.
#[derive(Debug, Clone)]
pub struct ResponseTarget {
    /// The request's number among those of its client.
    pub number: u64,
    /// The client's response channel.
    pub sender: async_channel::Sender<(u64, FinalResponse)>,
}

/// The complete result of a statement, as the endpoint sent it: one row of one column.
#[derive(Debug)]
pub struct QueryResult {
    /// The endpoint's description of the column. `None` for a prepared statement, whose value has the requested format.
    pub column: Option<ResultColumn>,
    /// The value of the one column.
    pub value: Vec<u8>,
    /// The command tag, such as `SELECT 1`.
    pub command_tag: Box<str>,
}

/// The description of a result column.
#[derive(Debug)]
pub struct ResultColumn {
    /// The column's name.
    pub name: Box<str>,
    /// The table, attribute and type fields of the RowDescription message, passed on unchanged.
    pub origin_and_type: [u8; 16],
    /// The format of the value.
    pub format: Format,
}

/// The result of an attempt or a health check.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome that the balancer receives.
    pub outcome: AttemptOutcome,
    /// The replication status from the parameters that the endpoint sent with its response.
    pub replication: ReplicationStatus,
    /// The replication status from the endpoint's load report.
    pub report: ReplicationStatus,
    /// The result of the statement, if the outcome is [`AttemptOutcome::Served`].
    pub query_result: Option<Box<QueryResult>>,
}

impl AttemptResult {
    /// Creates a result without a query result, a replication status or a load report.
    pub fn from_outcome(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            replication: ReplicationStatus::default(),
            report: ReplicationStatus::default(),
            query_result: None,
        }
    }
}

/// An entry of the endpoint list, with the address to connect to.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// The entry as the balancer receives it.
    pub entry: EndpointEntry,
    /// The address that the pool connects to.
    pub address: SocketAddr,
}

/// A message to the dispatcher.
#[derive(Debug)]
pub enum Message {
    /// A client sent a request.
    Request {
        /// The request.
        request: ClientRequest,
        /// The destination of its final response.
        response_target: ResponseTarget,
    },
    /// The client disconnected or cancelled the request: no response is due.
    RequestCancelled {
        /// The request's id.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request's id.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// The result of the attempt.
        result: AttemptResult,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The result of the check.
        result: AttemptResult,
    },
    /// The endpoint list was read, changed or could not be read.
    EndpointList {
        /// Whether `listed` is the complete list, a stored copy of it, or only changes, or whether the poll failed.
        kind: ListKind,
        /// The entries.
        listed: Vec<ListedEndpoint>,
    },
    /// The router received SIGTERM or SIGINT.
    ShutdownStarted,
}

/// One attempt, as the dispatcher passes it to an endpoint pool.
#[derive(Debug)]
pub struct Attempt {
    /// The request's id.
    pub request: RequestId,
    /// The number of the attempt within its request, from 0.
    pub number: u32,
    /// The statement to execute.
    pub statement: Rc<EndpointQuery>,
    /// The time at which the router stops waiting for the response.
    pub deadline: Timestamp,
    /// The time from which the request must not be written any more.
    pub write_deadline: Option<Timestamp>,
    /// Raised when the client disconnects or cancels the request. An unwritten request is then not written any more.
    pub request_cancelled: CancellationFlag,
    /// The permission to write the statement, until the dispatcher ends the attempt.
    pub permit: WritePermit,
}
