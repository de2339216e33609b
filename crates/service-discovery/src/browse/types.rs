//! Configuration, outputs and counters of the browser.

use crate::RegistryInput;
use hickory_proto::rr::Name;
use reelrill_routing::Nanos;
use std::net::SocketAddr;

/// The configuration of a browser.
#[derive(Debug, Clone)]
pub struct BrowserConfig {
    /// The DNS servers in the order in which they are tried.
    pub servers: Vec<SocketAddr>,
    /// The name of the service, such as `_postgresql._tcp.qianzhen-dc.example.org`.
    pub service: Name,
    /// The domain of the endpoints and hosts. Records with names outside of it are ignored.
    pub domain: Name,
    /// The minimum and maximum to which TTLs are clamped, in nanoseconds.
    pub ttl_range: (Nanos, Nanos),
    /// The time after which a query without a response has failed, in nanoseconds.
    pub query_timeout: Nanos,
    /// The maximum number of queries per second.
    pub max_queries_per_second: f64,
    /// The names of the zones; [`crate::Claim::zone`] is an index into them.
    pub zones: Vec<String>,
}

/// A query to be sent from its own local port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DnsQuery {
    /// The query's number, which is passed to [`super::Browser::on_response`].
    pub id: u64,
    /// The server's address.
    pub server: SocketAddr,
    /// Whether the query is sent over TCP, preceded by its length, rather than over UDP.
    pub is_tcp: bool,
    /// The encoded DNS message.
    pub message: Vec<u8>,
}

/// An instruction of the browser to its caller.
#[derive(Debug, Clone)]
pub enum BrowserOutput {
    /// Send a query, and pass back every message received for it until the query is cancelled.
    SendQuery(DnsQuery),
    /// Stop waiting for responses to the query with this number.
    CancelQuery(u64),
    /// Pass this input to the endpoint registry.
    UpdateRegistry(RegistryInput),
}

/// Counters of the browser since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrowserCounters {
    /// Number of queries sent.
    pub queries_sent: u64,
    /// Number of queries sent over TCP.
    pub tcp_queries: u64,
    /// Number of queries without a response in time.
    pub queries_timed_out: u64,
    /// Number of queries that could not be sent, whose connection failed, or whose response reported a server failure.
    pub queries_failed: u64,
    /// Number of messages that were not a response to the query: another id, question or message type, or malformed.
    pub mismatched_messages: u64,
    /// Number of records ignored because they are outside the domain or unrelated to the question.
    pub unrelated_records: u64,
    /// Number of endpoint updates whose records state no replica set.
    pub incomplete_endpoints: u64,
}
