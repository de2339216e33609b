//! Fake servers on loopback addresses for the services around the router: endpoints of a replica set, discovery
//! services and DNS servers, with scripted faults and a log of all executed writes. They run on blocking threads and
//! share only the protocol codec with the router, so that they don't repeat faults of its runtime. The tests of the
//! router and of service discovery, the example and the experiments use them.
//!
//! | module | contents |
//! | --- | --- |
//! | [`replica_set`] | state shared by a replica set's endpoints: the primary, rows, idempotency keys, execution log |
//! | [`endpoint`] | a fake endpoint for simple and extended queries, with scripted responses and faults |
//! | [`dns`] | a fake DNS server for service records over UDP and TCP, with fault modes |
//! | [`discovery`] | a fake discovery service that serves whole endpoint lists over HTTP, with fault modes |
//! | [`change_feed`] | a fake discovery service that serves only the changed entries and counts its bytes |
//! | [`process`] | the router under test as a child process, with its configuration, log and signals |
//! | [`client`] | a PostgreSQL client that writes and reads whole messages |
//! | [`shared_state`] | values that threads change and tests wait on |
//!
//! A fake server panics if its set-up fails (no free port, no temporary directory), because the test can't continue
//! without it.
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
pub use process::{ProcessLimits, RouterProcess, base_settings};
pub use replica_set::{ExecutionLog, FakeReplicaSet, Freshness, StaleReadPolicy};
pub use shared_state::{SharedState, WAIT_TIMEOUT};
