//! The record of one endpoint: its claims, its drain and removal markers, and its last published entry.

use super::claim::{Claim, ClaimedState, SourceId, SourceKind, StateMarker, StoredClaim};
use super::view::{EndpointView, ListingRule};
use crate::wheel::{TimerHandle, TimerWheel};
use reelrill_routing::{Nanos, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;

/// The replica set and tier of an endpoint in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TierKey {
    pub(super) replica_set: u32,
    pub(super) tier: u16,
}

/// The state that the registry stores for one endpoint, listed or not.
#[derive(Debug, Clone, Default)]
pub(super) struct EndpointRecord {
    /// A number unique among all endpoints ever added; cheaper to compare than the id.
    pub(super) serial: u64,
    pub(super) claims: Vec<StoredClaim>,
    pub(super) drain_marker: Option<StateMarker>,
    /// The removal in force that a source stated.
    pub(super) removal_marker: Option<StateMarker>,
    /// The time at which the endpoint last reported its own drain.
    pub(super) drain_reported_at: Option<Timestamp>,
    /// The time at which the endpoint last responded.
    pub(super) last_response_at: Option<Timestamp>,
    /// The entry according to the last evaluation of the claims; used while only the heartbeat keeps the endpoint
    /// listed.
    pub(super) last_view: Option<EndpointView>,
    pub(super) last_tier: u16,
    /// The endpoint's key in the tier index; present while it is in service without regard to tiers.
    pub(super) tier_key: Option<TierKey>,
    /// The published entry; `None` if the endpoint is not listed.
    pub(super) listed: Option<EndpointView>,
    pub(super) rule: Option<ListingRule>,
    /// The rule that applies without regard to tiers.
    pub(super) rule_before_tiers: Option<ListingRule>,
    /// The address of the best claim.
    pub(super) claimed_address: Option<SocketAddr>,
    /// The timer for the next re-evaluation or removal without an input, and its due time.
    pub(super) timer: Option<(TimerHandle, Timestamp)>,
}

impl EndpointRecord {
    pub(super) fn has_claim_at(&self, address: SocketAddr) -> bool {
        self.claims
            .iter()
            .any(|stored| stored.claim.address == address)
    }

    /// Returns the latest start time in any claim; 0 without claims.
    pub(super) fn newest_start(&self) -> Timestamp {
        let starts = self.claims.iter().map(|stored| stored.claim.started_at);
        starts.max().unwrap_or(0)
    }

    pub(super) fn has_heartbeat(&self, now: Timestamp, ttl: Nanos) -> bool {
        self.last_response_at
            .is_some_and(|at| now < at.saturating_add(ttl))
    }

    /// Returns whether `source` set the endpoint's drain marker or its removal marker.
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

    /// Returns whether the claim changes the state that its source stated before and differs from a fresh claim of
    /// another source.
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

    /// Returns whether the claim has a later start time than the last entry and all stored claims, which means that the
    /// endpoint has restarted.
    pub(super) fn is_restart(&self, claim: &Claim) -> bool {
        let last_started = self.last_view.as_ref().map_or(0, |view| view.started_at);
        let is_newest = |stored: &StoredClaim| stored.claim.started_at < claim.started_at;
        claim.started_at > last_started && self.claims.iter().all(is_newest)
    }

    /// Stores a claim, replacing the earlier claim of the same source and name. Returns the address of the earlier
    /// claim if it differs.
    pub(super) fn store_claim(&mut self, mut new: StoredClaim) -> Option<SocketAddr> {
        let is_earlier =
            |stored: &&mut StoredClaim| stored.source == new.source && stored.name == new.name;
        let Some(earlier) = self.claims.iter_mut().find(is_earlier) else {
            // Most endpoints have one claim per source. Spare capacity would be the largest part of the record.
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

    /// Removes and returns a source's claim.
    pub(super) fn remove_claim(&mut self, source: SourceId, name: &str) -> Option<StoredClaim> {
        let is_match = |stored: &StoredClaim| stored.source == source && *stored.name == *name;
        let index = self.claims.iter().position(is_match)?;
        Some(self.claims.swap_remove(index))
    }

    /// Lifts the markers that a new claim supersedes, and sets a drain marker if the claim states a drain.
    ///
    /// A drain is lifted by a later start time from a source of the same or a more trusted kind, or by a newer version
    /// of the list that set it. An outdated DNS record that still lists the endpoint lifts nothing. A removal is lifted
    /// by a later start time from any source, since the endpoint then runs as another process, or by a newer version of
    /// the list that set it.
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
        // If two sources state a drain, the marker of the more trusted kind is kept and must be lifted.
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

    /// Sets, moves or cancels the endpoint's timer; `at` is its new due time.
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
