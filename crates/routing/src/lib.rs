//! Decisions of a read/write splitter for replicated PostgreSQL clusters, without any I/O.
//!
//! A router owns one [`Balancer`] and passes it [`Event`]s with timestamps of its own clock; the
//! balancer returns [`Action`]s, which the router carries out in order. See the README for a
//! complete example.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod admission;
mod balancer;
mod decaying_average;
mod discovery_backoff;
mod dispatch;
mod endpoint_list;
mod event;
mod executed_requests;
mod latency_cost;
mod outlier_detection;
mod pending_request;
mod primary_tracking;
mod processor_share;
mod random;
mod replica_selection;
mod retry;
mod session_consistency;
mod settings;
mod slow_start;
mod units;

pub use action::{Action, RejectReason};
pub use balancer::Balancer;
pub use event::{
    AttemptEnded, AttemptOutcome, EndpointEntry, EndpointState, Event, ListKind, ReplicationStatus,
    Request, Role,
};
pub use executed_requests::ExecutedRequests;
pub use processor_share::{Allowance, ProcessorShare};
pub use settings::{
    Class, Consistency, Idempotency, KeyScope, Limits, ListRole, Operation, ReportSource, Rules,
    SCHEDULING_DELAY, Settings, SettingsError, StaleReadPolicy, Tenant,
};
pub use units::{EndpointId, Nanos, RequestId, Timestamp};

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct ReadmeExamples;
