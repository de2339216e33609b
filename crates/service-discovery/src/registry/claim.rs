//! Claims of the sources about endpoints, and the records in which the registry stores them.

use reelrill_routing::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies a source; the caller assigns the numbers.
pub type SourceId = u16;

/// The kind of a source, in ascending order of trust.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceKind {
    /// DNS records. They have no versions, and a secondary server may return outdated ones.
    DnsRecords,
    /// The endpoint list. Its versions only increase.
    EndpointList,
}

/// The state of an endpoint according to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimedState {
    /// In service.
    Ready,
    /// Draining: completes the requests in progress and accepts no new ones.
    Draining,
}

/// A source's description of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// The endpoint's unique id; `None` if the source does not provide it.
    pub uid: Option<Arc<str>>,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's replica set.
    pub replica_set: u32,
    /// The endpoint's zone.
    pub zone: u32,
    /// The endpoint's state.
    pub state: ClaimedState,
    /// The time of the endpoint's last start, in Unix nanoseconds; 0 if it is not provided or long past.
    pub started_at: Timestamp,
    /// The source's version of this claim; 0 if the source has no versions.
    pub version: u64,
    /// The endpoint's capacity relative to other endpoints; 1 is the usual capacity.
    pub weight: f64,
    /// The endpoint's tier. Endpoints of a higher tier are listed only while their replica set has none in service in a
    /// lower tier.
    pub tier: u16,
    /// The time at which the claim becomes stale unless it is renewed; `None` if it never does.
    pub expires_at: Option<Timestamp>,
}

impl Claim {
    /// Returns a claim that the endpoint is in service, with default values for all other fields.
    pub fn new(uid: &str, address: SocketAddr, replica_set: u32) -> Claim {
        Claim {
            uid: Some(uid.into()),
            address,
            replica_set,
            zone: 0,
            state: ClaimedState::Ready,
            started_at: 0,
            version: 0,
            weight: 1.0,
            tier: 0,
            expires_at: None,
        }
    }

    /// Returns whether both claims lead to the same list entry, apart from the state and the start time.
    pub(super) fn has_same_listing_as(&self, other: &Claim) -> bool {
        self.address == other.address
            && self.replica_set == other.replica_set
            && self.zone == other.zone
            && self.tier == other.tier
            && self.weight == other.weight
    }

    /// Returns whether both claims are equal apart from their version and expiry.
    pub(super) fn has_same_content_as(&self, other: &Claim) -> bool {
        let renewed = Claim {
            version: other.version,
            expires_at: other.expires_at,
            ..self.clone()
        };
        renewed == *other
    }
}

/// The way in which a source withdraws a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Withdrawal {
    /// The source states that the endpoint was removed.
    Removed,
    /// The source no longer lists the endpoint.
    Absent,
}

/// A claim with its source and the times at which the registry received it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredClaim {
    /// The source of the claim.
    pub source: SourceId,
    /// The name that the source uses for the endpoint.
    pub name: Arc<str>,
    /// The claim itself.
    pub claim: Claim,
    /// The time at which the source last sent the claim.
    pub renewed_at: Timestamp,
    /// The time since which the claim has been unchanged apart from its version and expiry.
    pub unchanged_since: Timestamp,
    /// Whether the claim expired without being renewed. Any fresh claim with the same start time overrides it.
    pub is_stale: bool,
}

/// A drain or removal that stays in force until a newer claim lifts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StateMarker {
    /// The source that stated the drain or removal.
    pub source: SourceId,
    /// The kind of that source.
    pub source_kind: SourceKind,
    /// The start time of the endpoint process that the drain or removal concerns, in Unix nanoseconds.
    pub started_at: Timestamp,
    /// The source's version of the claim that set the marker.
    pub version: u64,
    /// The time at which the marker was set.
    pub set_at: Timestamp,
}

impl StoredClaim {
    /// Returns the marker that this claim sets at time `at`.
    pub(super) fn marker(&self, kind: SourceKind, at: Timestamp) -> StateMarker {
        StateMarker {
            source: self.source,
            source_kind: kind,
            started_at: self.claim.started_at,
            version: self.claim.version,
            set_at: at,
        }
    }
}
