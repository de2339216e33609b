//! What a source states about an endpoint, and how such claims are kept.

use reelrill_routing::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// A source, as its host numbers them.
pub type SourceId = u16;

/// What a source is, in ascending order of trust.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceKind {
    /// DNS records: they have no versions, and a secondary server may be behind.
    DnsRecords,
    /// The endpoint list: its versions only go up.
    EndpointList,
}

/// The state in which a claim shows an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimedState {
    /// In service.
    Ready,
    /// Finishing its work; it takes no new requests.
    Draining,
}

/// What a source states about an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Its own name; none: the source does not state it.
    pub uid: Option<Arc<str>>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its replica set.
    pub replica_set: u32,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub state: ClaimedState,
    /// When it last started, in Unix nanoseconds; 0: not stated, or long past.
    pub started_at: Timestamp,
    /// The source's version of this claim; 0 where it has none.
    pub version: u64,
    /// Its capacity relative to others; 1 is usual.
    pub weight: f64,
    /// Endpoints of a higher tier are used only while their replica set has none in service in a lower one.
    pub tier: u16,
    /// When the claim gets stale unless it is renewed; none: never.
    pub expires_at: Option<Timestamp>,
}

impl Claim {
    /// A claim of an endpoint in service, with nothing else stated.
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

    /// Whether the list would describe the endpoint alike.
    pub(super) fn has_same_listing_as(&self, other: &Claim) -> bool {
        self.address == other.address
            && self.replica_set == other.replica_set
            && self.zone == other.zone
            && self.tier == other.tier
            && self.weight == other.weight
    }

    /// Whether another claim states the same of the endpoint, whatever its version and expiry.
    pub(super) fn has_same_content_as(&self, other: &Claim) -> bool {
        let renewed = Claim {
            version: other.version,
            expires_at: other.expires_at,
            ..self.clone()
        };
        renewed == *other
    }
}

/// How a source takes an endpoint's name back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Withdrawal {
    /// It states that the endpoint is gone.
    Removed,
    /// It does not name it any more.
    Absent,
}

/// A claim as it is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredClaim {
    /// Who states it.
    pub source: SourceId,
    /// The endpoint's name at the source.
    pub name: Arc<str>,
    /// What is stated.
    pub claim: Claim,
    /// When it was last renewed.
    pub renewed_at: Timestamp,
    /// Since when it states the same.
    pub unchanged_since: Timestamp,
    /// It was not renewed in time: it counts for less than a fresh one.
    pub is_stale: bool,
}

/// A drain or removal that binds until something newer lifts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StateMarker {
    /// The source that stated it.
    pub source: SourceId,
    /// What that source is.
    pub source_kind: SourceKind,
    /// The start of the endpoint's process about which it was stated, in Unix nanoseconds.
    pub started_at: Timestamp,
    /// The source's version of the claim.
    pub version: u64,
    /// When it was stated.
    pub set_at: Timestamp,
}

impl StoredClaim {
    /// A marker that this claim sets at `at`.
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
