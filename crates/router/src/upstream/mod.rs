//! Connections to endpoints: one pool for each endpoint in use.
//!
//! An endpoint list may have thousands of entries, of which a router uses few at a time. A [`PoolHandle`] holds the
//! state of its endpoint; the first command starts the pool's task and creates its mailboxes. A pool that has no
//! connections, no waiting jobs and no jobs in progress is retired after a timeout.
//!
//! - `pool_handle`: the dispatcher's handle of a pool
//! - `endpoint_status`: the state of an endpoint in the endpoint list
//! - `pool`: idle connections, and the attempts and health checks that wait for one
//! - `exchange`: one attempt or health check on its connection
//! - `connect`: the establishment of a connection
//! - `connection`: one connection and the requests written to it
//! - `statement_writer`: the writes of a statement, as long as it may be written
//! - `response`: the messages that form a response
//! - `load_report`: the parsing of an endpoint's load report
//! - `fault`: the origin of a failure, and the resulting outcome of an attempt

mod connect;
mod connection;
mod endpoint_status;
mod exchange;
mod fault;
mod load_report;
mod pool;
mod pool_handle;
mod response;
mod statement_writer;

pub use pool_handle::{PoolCommand, PoolHandle};
