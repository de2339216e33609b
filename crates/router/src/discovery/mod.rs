//! Discovers endpoints: watches the endpoint list, merges several sources, and serves the operators' admin socket.

pub mod admin_socket;
pub mod client;
pub mod http;
pub mod list;
pub mod list_watch;
pub mod messages;
pub mod registry;
