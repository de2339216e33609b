//! The outputs of the endpoint registry: list entries, list changes, and the status shown to operators.

use super::claim::{ClaimedState, StateMarker, StoredClaim};
use reelrill_routing::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// An entry of the merged endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointView {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's replica set.
    pub replica_set: u32,
    /// The endpoint's zone.
    pub zone: u32,
    /// The endpoint's state.
    pub state: ClaimedState,
    /// The time of the endpoint's last start, in Unix nanoseconds; 0 if unknown or long past.
    pub started_at: Timestamp,
    /// The endpoint's capacity relative to other endpoints; 1 is the usual capacity.
    pub weight: f64,
}

/// A change of the merged endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum ListChange {
    /// The endpoint was added, or its entry changed.
    Listed {
        /// The endpoint's id.
        endpoint: Arc<str>,
        /// The new entry.
        view: EndpointView,
        /// Whether the endpoint was not in the list before.
        is_new: bool,
    },
    /// The endpoint was removed from the list.
    Removed {
        /// The endpoint's id.
        endpoint: Arc<str>,
    },
}

impl ListChange {
    /// Returns the id of the endpoint that the change concerns.
    pub fn endpoint(&self) -> &str {
        match self {
            ListChange::Listed { endpoint, .. } | ListChange::Removed { endpoint } => endpoint,
        }
    }
}

/// The rule that decided whether and how an endpoint is listed. Logs and the status table print the variants' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListingRule {
    /// Listed as in service: at least one source has a claim about the endpoint, and no other rule applies.
    Named,
    /// Listed as in service by its last entry: no source has a claim about the endpoint, but its latest heartbeat is
    /// still valid.
    Vouched,
    /// Not listed: no source has a claim about the endpoint, and it has no valid heartbeat.
    Unnamed,
    /// Listed as draining: a source stated the drain, and no newer claim has lifted it.
    Drain,
    /// Listed as draining: the endpoint itself reported the drain.
    OwnDrain,
    /// Not listed: a source stated that the endpoint was removed, and no newer claim has lifted that.
    Gone,
    /// Not listed: another endpoint with a higher precedence has the same address.
    Shadowed,
    /// Not listed: the replica set has endpoints in service in a lower tier.
    Standby,
}

/// The status of an endpoint, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The endpoint's list entry; `None` if it is not listed.
    pub listed: Option<EndpointView>,
    /// The rule that decided about the entry.
    pub rule: ListingRule,
    /// All claims about the endpoint.
    pub claims: Vec<StoredClaim>,
    /// The drain in force that a source stated, if any.
    pub drain_marker: Option<StateMarker>,
    /// The time at which the endpoint last reported its own drain.
    pub drain_reported_at: Option<Timestamp>,
    /// The removal in force that a source stated, if any.
    pub removal_marker: Option<StateMarker>,
    /// The time at which the endpoint last responded.
    pub last_response_at: Option<Timestamp>,
}

/// Counters of the registry since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegistryCounters {
    /// Number of endpoints added to the list.
    pub endpoints_added: u64,
    /// Number of endpoints removed from the list.
    pub endpoints_removed: u64,
    /// Number of claims whose state differed from a fresh claim of another source on arrival.
    pub state_conflicts: u64,
    /// Number of new names, claimed without a uid, whose address matched more than one endpoint.
    pub ambiguous_names: u64,
    /// Number of claims rejected because of the limit on endpoints.
    pub rejected_claims: u64,
}
