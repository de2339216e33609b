//! Stand-ins on loopback for what the router meets, with faults by script and a ledger of all that ran. Tests, the
//! example and the lab use them. They are servers of threads that block: plain, and independent of the router's
//! own ways of doing things but for the codec.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`replica_set`] | a group of instances: who leads, what was written, which keys are remembered, and the ledger |
//! | [`endpoint`] | one instance on a socket: simple and extended queries, acts, and faults at named stages |
//! | [`dns`] | service records over UDP and TCP, with faults by script |
//! | [`discovery`] | the list of instances over HTTP |
//! | [`change_feed`] | the same told as changes, with a count of the bytes |
//! | [`process`] | the router as a process, with its configuration, log and signals |
//! | [`client`] | a client that writes and reads whole messages |
//! | [`shared_state`] | values that threads change and others wait on |
//!
//! A stand-in panics where its own set-up fails (no port, no folder): a test has nothing to go on with then.
#![forbid(unsafe_code)]

pub mod change_feed;
pub mod client;
pub mod discovery;
pub mod dns;
pub mod endpoint;
pub mod process;
pub mod replica_set;
pub mod shared_state;

pub use change_feed::ChangeFeed;
pub use client::{Client, Response};
pub use discovery::{DiscoveryFaultMode, FakeDiscovery, list_entry};
pub use endpoint::{
    EndpointActivity, FakeEndpoint, Fault, RequestStage, ScriptedResponse, StatusContent,
    request_id,
};
pub use process::{RouterProcess, base_settings};
pub use replica_set::{ExecutionLog, FakeReplicaSet, Freshness, StaleReadPolicy};
pub use shared_state::{SharedState, WAIT_TIMEOUT};
