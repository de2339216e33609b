//! Connections to endpoints: one pool for each endpoint that is in use.
//!
//! A fleet's list has thousands of endpoints, and a router uses few of them at a time. A [`PoolHandle`] holds what
//! the list says of its endpoint; the pool's task and mailboxes are started by the first command and retired after
//! a quiet time, in which the pool has no connection, no waiting attempt and nothing in flight.
//!
//! - `pool_handle`: the dispatcher's end of a pool
//! - `endpoint_status`: what the endpoint list says of an endpoint
//! - `pool`: idle connections, and the attempts and health checks that wait for one
//! - `exchange`: one attempt or health check on its connection
//! - `dial`: how a connection comes up
//! - `connection`: one connection and the requests written to it
//! - `response`: the messages that make up one response
//! - `load_report`: the text of an endpoint's report
//! - `fault`: whose fault a failure is, and what it means for an attempt

mod connection;
mod dial;
mod endpoint_status;
mod exchange;
mod fault;
mod load_report;
mod pool;
mod pool_handle;
mod response;

pub use pool_handle::{PoolCommand, PoolHandle};
