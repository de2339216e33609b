//! What the browser takes from its host and gives out.

use crate::RegistryInput;
use hickory_proto::rr::Name;
use reelrill_routing::Nanos;
use std::net::SocketAddr;

/// What to browse, and how.
#[derive(Debug, Clone)]
pub struct BrowserConfig {
    /// Servers, in the order in which they are tried.
    pub servers: Vec<SocketAddr>,
    /// The service, such as `_postgresql._tcp.qianzhen-dc.example.org`.
    pub service: Name,
    /// Names outside of this domain are not believed.
    pub domain: Name,
    /// The least and the most that a TTL counts for, in nanoseconds.
    pub ttl_range: (Nanos, Nanos),
    /// How long one query may take, in nanoseconds.
    pub query_timeout: Nanos,
    /// The most queries a second.
    pub max_queries_per_second: f64,
    /// The zones' names, in the order that [`crate::Claim::zone`] counts.
    pub zones: Vec<String>,
}

/// A query that is to be sent, from a port of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DnsQuery {
    /// Its number, for [`super::Browser::on_response`].
    pub id: u64,
    /// Where it is sent.
    pub server: SocketAddr,
    /// It is sent over TCP, with the length in front.
    pub is_tcp: bool,
    /// The message.
    pub message: Vec<u8>,
}

/// What the host is to do.
#[derive(Debug, Clone)]
pub enum BrowserOutput {
    /// Send a query, and give back all that comes until it is cancelled.
    SendQuery(DnsQuery),
    /// Wait for the query of this number no longer.
    CancelQuery(u64),
    /// Give this to the endpoint registry.
    UpdateRegistry(RegistryInput),
}

/// What has been counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrowserCounters {
    /// Queries sent.
    pub queries_sent: u64,
    /// Those of them that were sent over TCP.
    pub tcp_queries: u64,
    /// Those of them without a response in time.
    pub queries_timed_out: u64,
    /// Queries that could not be sent, and responses by which the server failed.
    pub queries_failed: u64,
    /// Messages that are no response to the query: another id, question or kind, or unreadable.
    pub mismatched_messages: u64,
    /// Records in a response that do not belong to the question.
    pub unrelated_records: u64,
    /// Endpoints whose records state no replica set.
    pub incomplete_endpoints: u64,
}
