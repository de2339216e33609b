//! What is kept of one endpoint: its claims, the markers that bind its state, and what was last published of it.

use super::claim::{Claim, ClaimedState, SourceId, SourceKind, StateMarker, StoredClaim};
use super::view::{EndpointView, ListingRule};
use crate::wheel::{TimerHandle, TimerWheel};
use reelrill_routing::{Nanos, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;

/// The place of an endpoint in service among those of its replica set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TierKey {
    pub(super) replica_set: u32,
    pub(super) tier: u16,
}

/// An endpoint, listed or not.
#[derive(Debug, Clone, Default)]
pub(super) struct EndpointRecord {
    /// Its number among all that ever were: shorter to compare than its name.
    pub(super) serial: u64,
    pub(super) claims: Vec<StoredClaim>,
    pub(super) drain_marker: Option<StateMarker>,
    /// A source stated that the endpoint is gone.
    pub(super) removal_marker: Option<StateMarker>,
    /// When the endpoint last stated itself that it is draining.
    pub(super) drain_reported_at: Option<Timestamp>,
    /// When the endpoint last responded.
    pub(super) last_response_at: Option<Timestamp>,
    /// The view that the claims last gave: how the endpoint is listed by its heartbeat alone.
    pub(super) last_view: Option<EndpointView>,
    pub(super) last_tier: u16,
    /// Present while the endpoint is in service, but for its tier.
    pub(super) tier_key: Option<TierKey>,
    /// What the list shows of it.
    pub(super) listed: Option<EndpointView>,
    pub(super) rule: Option<ListingRule>,
    /// The rule but for the tier.
    pub(super) rule_before_tiers: Option<ListingRule>,
    /// The address in the claim that counts.
    pub(super) claimed_address: Option<SocketAddr>,
    /// When the endpoint is evaluated anew without an input.
    pub(super) timer: Option<(TimerHandle, Timestamp)>,
}

impl EndpointRecord {
    pub(super) fn has_claim_at(&self, address: SocketAddr) -> bool {
        self.claims
            .iter()
            .any(|stored| stored.claim.address == address)
    }

    /// The newest start that any claim states; 0 without claims.
    pub(super) fn newest_start(&self) -> Timestamp {
        let starts = self.claims.iter().map(|stored| stored.claim.started_at);
        starts.max().unwrap_or(0)
    }

    pub(super) fn has_heartbeat(&self, now: Timestamp, ttl: Nanos) -> bool {
        self.last_response_at
            .is_some_and(|at| now < at.saturating_add(ttl))
    }

    /// Whether a marker of this source binds the endpoint.
    pub(super) fn has_marker_of(&self, source: SourceId) -> bool {
        let markers = [self.drain_marker, self.removal_marker];
        markers
            .into_iter()
            .flatten()
            .any(|marker| marker.source == source)
    }

    pub(super) fn remove_markers_of(&mut self, source: SourceId) {
        self.drain_marker = self.drain_marker.filter(|marker| marker.source != source);
        self.removal_marker = self.removal_marker.filter(|marker| marker.source != source);
    }

    /// Whether the claim changes what its source said of the state, against a fresh claim of another source.
    pub(super) fn has_state_conflict_with(
        &self,
        source: SourceId,
        name: &str,
        claim: &Claim,
    ) -> bool {
        let is_repeated = self.claims.iter().any(|stored| {
            stored.source == source && *stored.name == *name && stored.claim.state == claim.state
        });
        let has_other_state = |stored: &StoredClaim| {
            stored.source != source && !stored.is_stale && stored.claim.state != claim.state
        };
        !is_repeated && self.claims.iter().any(has_other_state)
    }

    /// Whether the claim tells of a start that no claim has told of: another process is there now.
    pub(super) fn is_restart(&self, claim: &Claim) -> bool {
        let last_started = self.last_view.as_ref().map_or(0, |view| view.started_at);
        let is_newest = |stored: &StoredClaim| stored.claim.started_at < claim.started_at;
        claim.started_at > last_started && self.claims.iter().all(is_newest)
    }

    /// Keeps a claim in place of its source's earlier one of the same name. Returns the address that this one named,
    /// if it is another.
    pub(super) fn store_claim(&mut self, mut new: StoredClaim) -> Option<SocketAddr> {
        let is_earlier =
            |stored: &&mut StoredClaim| stored.source == new.source && stored.name == new.name;
        let Some(earlier) = self.claims.iter_mut().find(is_earlier) else {
            // Most endpoints have one claim of each source: room for more would be their largest part.
            self.claims.reserve_exact(1);
            self.claims.push(new);
            return None;
        };
        if earlier.claim.has_same_content_as(&new.claim) {
            new.unchanged_since = earlier.unchanged_since;
        }
        let earlier_address = earlier.claim.address;
        let has_moved = earlier_address != new.claim.address;
        *earlier = new;
        has_moved.then_some(earlier_address)
    }

    /// Takes out a source's claim.
    pub(super) fn remove_claim(&mut self, source: SourceId, name: &str) -> Option<StoredClaim> {
        let is_match = |stored: &StoredClaim| stored.source == source && *stored.name == *name;
        let index = self.claims.iter().position(is_match)?;
        Some(self.claims.swap_remove(index))
    }

    /// Lifts the markers that a new claim outdates, and sets the one that it states.
    ///
    /// A drain is lifted by a newer start from the same or a better kind of source, or by a newer version of the list
    /// that set it; an older record that still names the endpoint lifts nothing. A removal marker is lifted by a newer
    /// start from any source: another process is there now.
    pub(super) fn apply_markers(
        &mut self,
        new: &StoredClaim,
        kind: SourceKind,
        has_sticky_drains: bool,
    ) {
        let claim = &new.claim;
        let has_newer_version = |marker: &StateMarker| {
            let is_same_list = new.source == marker.source && kind == SourceKind::EndpointList;
            is_same_list && claim.version > marker.version
        };
        self.removal_marker = self
            .removal_marker
            .filter(|marker| claim.started_at <= marker.started_at && !has_newer_version(marker));
        let lifts_drain = |marker: &StateMarker| {
            let has_newer_start =
                claim.started_at > marker.started_at && kind >= marker.source_kind;
            has_newer_start || has_newer_version(marker)
        };
        // Of two sources that state a drain, the better one's marker is the one that must be lifted.
        let outranks_new = |marker: &StateMarker| {
            marker.source_kind > kind && marker.started_at >= claim.started_at
        };
        self.drain_marker = match claim.state {
            ClaimedState::Ready => self
                .drain_marker
                .filter(|marker| has_sticky_drains && !lifts_drain(marker)),
            ClaimedState::Draining => self
                .drain_marker
                .filter(outranks_new)
                .or_else(|| Some(new.marker(kind, new.renewed_at))),
        };
    }

    /// Sets, moves or cancels the endpoint's timer.
    pub(super) fn set_timer(
        &mut self,
        wheel: &mut TimerWheel<Arc<str>>,
        at: Option<Timestamp>,
        id: &Arc<str>,
    ) {
        match (self.timer, at) {
            (Some((_, before)), Some(at)) if before == at => {}
            (Some((timer, _)), Some(at)) if wheel.reset(timer, at) => {
                self.timer = Some((timer, at));
            }
            (timer, at) => {
                if let Some((timer, _)) = timer {
                    wheel.cancel(timer);
                }
                self.timer = at.map(|at| (wheel.insert(at, id.clone()), at));
            }
        }
    }
}
