//! Service discovery: the endpoint list's watch, the merge of several sources, and the operator's socket.

pub mod admin_socket;
pub mod client;
pub mod http;
pub mod list;
pub mod list_watch;
pub mod messages;
pub mod registry;
