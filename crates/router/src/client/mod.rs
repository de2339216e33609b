//! The clients' side: the accept loop, and one task for each connection.
//!
//! - `connection` reads the messages of one client in order; `message_kind` tells what each asks.
//! - `connection_state` is how far a connection has come, `wait_limits` how long it may wait for a message.
//! - `simple_queries` and `extended_queries` carry out what the client asks; `outstanding` holds the requests that the
//!   dispatcher has of either, and `wakeup` is what the client's task waits for meanwhile.
//! - `reading` bounds what is read, `responses` writes final answers, `closing` ends connections, `socket` writes.

mod accept_loop;
mod closing;
mod connection;
mod connection_state;
mod extended_queries;
mod message_kind;
mod outstanding;
mod reading;
mod responses;
mod simple_queries;
mod socket;
mod wait_limits;
mod wakeup;

pub use accept_loop::accept_connections;
