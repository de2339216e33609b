//! The clients' side: the accept loop, and one task for each connection.
//!
//! `connection` reads the messages of one client in order and hands simple queries to
//! `simple_queries`, extended ones to `extended_queries`; `outstanding` holds what the dispatcher has of either;
//! `connection_state` is how far the connection has come and `wait_limits` how long it may wait for a message;
//! `wakeup` is what their tasks wait for; `reading` bounds what is read, `closing` ends connections, `responses` writes final answers.

mod accept_loop;
mod closing;
mod connection;
mod connection_state;
mod extended_queries;
mod outstanding;
mod reading;
mod responses;
mod simple_queries;
mod socket;
mod wait_limits;
mod wakeup;

pub use accept_loop::listen;
