//! What the registry gives out: the list's entries and their changes, and the status shown to operators.

use super::claim::{ClaimedState, StateMarker, StoredClaim};
use reelrill_routing::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// How the list shows an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointView {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its replica set.
    pub replica_set: u32,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub state: ClaimedState,
    /// When it last started.
    pub started_at: Timestamp,
    /// Its capacity relative to others; 1 is usual.
    pub weight: f64,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq)]
pub enum ListChange {
    /// The list shows the endpoint like this.
    Listed {
        /// The endpoint.
        endpoint: Arc<str>,
        /// How the list shows it.
        view: EndpointView,
        /// It was not in the list before.
        is_new: bool,
    },
    /// The endpoint is not in the list any more.
    Removed {
        /// The endpoint.
        endpoint: Arc<str>,
    },
}

impl ListChange {
    /// The endpoint that it is about.
    pub fn endpoint(&self) -> &str {
        match self {
            ListChange::Listed { endpoint, .. } | ListChange::Removed { endpoint } => endpoint,
        }
    }
}

/// The rule that decided how the list shows an endpoint. Operators see these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListingRule {
    /// A source names it and nothing speaks against it.
    Named,
    /// No source names it now, but its latest heartbeat counts still.
    Vouched,
    /// No source names it.
    Unnamed,
    /// A source states that it is draining, and nothing newer has lifted that.
    Drain,
    /// It states itself that it is draining.
    OwnDrain,
    /// A source states that it is gone, and nothing newer has lifted that.
    Gone,
    /// Another endpoint has its address.
    Shadowed,
    /// Its replica set has endpoints in service in a lower tier.
    Standby,
}

/// An endpoint, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// How the list shows it, if it does.
    pub listed: Option<EndpointView>,
    /// Why.
    pub rule: ListingRule,
    /// Who states what.
    pub claims: Vec<StoredClaim>,
    /// A drain that was stated and not lifted.
    pub drain_marker: Option<StateMarker>,
    /// When it last stated itself that it is draining.
    pub drain_reported_at: Option<Timestamp>,
    /// A removal that was stated and not lifted.
    pub removal_marker: Option<StateMarker>,
    /// When it last responded.
    pub last_response_at: Option<Timestamp>,
}

/// What has been counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegistryCounters {
    /// Endpoints added to the list.
    pub endpoints_added: u64,
    /// Endpoints removed from the list.
    pub endpoints_removed: u64,
    /// Claims of a state that another source's claim contradicted when they came.
    pub state_conflicts: u64,
    /// Names that could stand for more than one endpoint.
    pub ambiguous_names: u64,
    /// Claims of endpoints beyond the limit, which were not taken in.
    pub rejected_claims: u64,
}
