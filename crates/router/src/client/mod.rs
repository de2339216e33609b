//! The clients' side: the accept loop, and one task for each connection.
//!
//! `connection` reads the messages of one client in order and hands simple queries to `simple`, extended ones to
//! `pipeline`; `reading` bounds what is read, `closing` ends connections, `responses` writes final answers.

mod accept_loop;
mod closing;
mod connection;
mod pipeline;
mod reading;
mod responses;
mod simple;
mod socket;

pub use accept_loop::listen;
