//! Serves clients: the accept loop, and one task for each connection.
//!
//! - `connection` processes the messages of one client in order; `message_kind` classifies each message.
//! - `input_wait` waits for a client's next request or the rest of one: `connection_state` records whether the connection has
//!   had requests, and `wait_limits` limits the wait.
//! - `simple_queries` and `extended_queries` execute the client's queries. `outstanding` holds their requests that the
//!   dispatcher is processing, and `wakeup` the events that the client's task waits for meanwhile.
//! - `reading` limits how much is read, `terminate_scan` finds the end of the session in it, `input_backlog` tracks whether a client may have written more, and `rejection`
//!   rejects messages without storing them.
//! - `start_gate` delays requests of a client that may have left behind unread input.
//! - `turn_end` lets other tasks run, and pauses clients that use too much processor time.
//! - `responses` encodes final responses, `closing` closes connections, and `socket`
//!   writes to a client's socket.

mod accept_loop;
mod closing;
mod connection;
mod connection_state;
mod extended_queries;
mod input_backlog;
mod input_wait;
mod message_kind;
mod outstanding;
mod reading;
mod rejection;
mod responses;
mod simple_queries;
mod socket;
mod start_gate;
mod terminate_scan;
mod turn_end;
mod wait_limits;
mod wakeup;

pub use accept_loop::accept_connections;
