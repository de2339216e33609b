//! Stores and withdraws claims, and tracks the reachability of their sources.

use super::EndpointRegistry;
use super::claim::{Claim, SourceId, StoredClaim, Withdrawal};
use super::record::EndpointRecord;
use super::view::ListChange;
use reelrill_routing::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

impl EndpointRegistry {
    /// Records whether a source can be reached, and returns whether that changed.
    pub(super) fn set_reachable(
        &mut self,
        now: Timestamp,
        source: SourceId,
        is_reachable: bool,
    ) -> bool {
        let Some(state) = self.sources.get_mut(&source) else {
            return false;
        };
        if state.unreachable_since.is_none() == is_reachable {
            return false;
        }
        state.unreachable_since = (!is_reachable).then_some(now);
        true
    }

    /// Drops the claims and markers of a source that was removed from the configuration.
    pub(super) fn on_source_removed(
        &mut self,
        now: Timestamp,
        source: SourceId,
        changes: &mut Vec<ListChange>,
    ) {
        self.withdraw_all(now, source, changes);
        self.sources.remove(&source);
        let marked: Vec<Arc<str>> = self
            .endpoints
            .iter()
            .filter(|(_, record)| record.has_marker_of(source))
            .map(|(id, _)| id.clone())
            .collect();
        for id in marked {
            if let Some(record) = self.endpoints.get_mut(&id) {
                record.remove_markers_of(source);
            }
            self.reevaluate(now, &id, changes);
        }
    }

    /// Stores a claim and re-evaluates every endpoint that may depend on it.
    pub(super) fn on_claim(
        &mut self,
        now: Timestamp,
        source: SourceId,
        name: Arc<str>,
        claim: Claim,
        changes: &mut Vec<ListChange>,
    ) {
        if !self.sources.contains_key(&source) {
            return;
        }
        let has_reachability_changed = self.set_reachable(now, source, true);
        let id = self.resolve_endpoint(source, &name, &claim);
        let is_full = self.endpoints.len() >= self.settings.max_endpoints;
        if is_full && !self.endpoints.contains_key(&id) {
            self.counters.rejected_claims += 1;
            return;
        }
        // The source may reuse the name for another endpoint. The earlier endpoint is re-evaluated after the new one
        // has the claim.
        let reassigned = self.reassign_name(source, &name, &id);
        let address = claim.address;
        let earlier_address = self.store_claim(now, source, name, claim, &id);
        self.index_address(address, &id, now, changes);
        if let Some(earlier_address) = earlier_address {
            self.release_address(earlier_address, &id, now, changes);
        }
        self.reevaluate(now, &id, changes);
        if let Some((address, earlier_id)) = reassigned {
            self.release_address(address, &earlier_id, now, changes);
            self.reevaluate(now, &earlier_id, changes);
        }
        self.reevaluate_others_at(now, address, &id, changes);
        self.reevaluate_disputed(now, has_reachability_changed, changes);
    }

    /// Maps a source's name to `id`. If the name belonged to another endpoint, removes the claim from that endpoint and
    /// returns the claim's address and the endpoint's id.
    fn reassign_name(
        &mut self,
        source: SourceId,
        name: &Arc<str>,
        id: &Arc<str>,
    ) -> Option<(SocketAddr, Arc<str>)> {
        let earlier_id = self
            .endpoints_by_source_name
            .insert((source, name.clone()), id.clone())?;
        if earlier_id == *id {
            return None;
        }
        let removed = self
            .endpoints
            .get_mut(&earlier_id)?
            .remove_claim(source, name)?;
        Some((removed.claim.address, earlier_id))
    }

    /// Stores a claim at its endpoint, and returns the address of the source's earlier claim if it differs.
    fn store_claim(
        &mut self,
        now: Timestamp,
        source: SourceId,
        name: Arc<str>,
        claim: Claim,
        id: &Arc<str>,
    ) -> Option<SocketAddr> {
        let kind = self.sources.get(&source)?.kind;
        let last_serial = &mut self.last_serial;
        let record = self.endpoints.entry(id.clone()).or_insert_with(|| {
            *last_serial += 1;
            EndpointRecord {
                serial: *last_serial,
                ..EndpointRecord::default()
            }
        });
        if record.has_state_conflict_with(source, &name, &claim) {
            self.counters.state_conflicts += 1;
            self.last_conflicting_endpoint = Some(id.clone());
        }
        if record.is_restart(&claim) {
            record.drain_reported_at = None;
        }
        let stored = StoredClaim {
            source,
            name,
            is_stale: claim.expires_at.is_some_and(|expires_at| expires_at <= now),
            claim,
            renewed_at: now,
            unchanged_since: now,
        };
        record.apply_markers(&stored, kind, self.settings.has_sticky_drains);
        record.store_claim(stored)
    }

    /// Withdraws all claims of a source as absent.
    pub(super) fn withdraw_all(
        &mut self,
        now: Timestamp,
        source: SourceId,
        changes: &mut Vec<ListChange>,
    ) {
        self.withdraw_unless(now, source, |_| false, changes);
    }

    /// Withdraws as absent the claims of a source whose names do not satisfy `is_listed`.
    pub(super) fn withdraw_unless(
        &mut self,
        now: Timestamp,
        source: SourceId,
        is_listed: impl Fn(&Arc<str>) -> bool,
        changes: &mut Vec<ListChange>,
    ) {
        let is_absent = |key: &&(SourceId, Arc<str>)| key.0 == source && !is_listed(&key.1);
        let absent: Vec<Arc<str>> = self
            .endpoints_by_source_name
            .keys()
            .filter(is_absent)
            .map(|key| key.1.clone())
            .collect();
        self.withdraw(now, source, absent, Withdrawal::Absent, changes);
    }

    /// Withdraws claims. All of them are removed before any endpoint is re-evaluated.
    pub(super) fn withdraw(
        &mut self,
        now: Timestamp,
        source: SourceId,
        mut names: Vec<Arc<str>>,
        withdrawal: Withdrawal,
        changes: &mut Vec<ListChange>,
    ) {
        names.sort_unstable();
        let mut withdrawn = Vec::with_capacity(names.len());
        for name in names {
            withdrawn.extend(self.withdraw_one(now, source, name, withdrawal));
        }
        for (id, address) in &withdrawn {
            self.release_address(*address, id, now, changes);
        }
        for (id, _) in &withdrawn {
            self.reevaluate(now, id, changes);
        }
    }

    /// Removes one claim and returns its endpoint and address. Sets a removal marker if the withdrawal calls for it.
    fn withdraw_one(
        &mut self,
        now: Timestamp,
        source: SourceId,
        name: Arc<str>,
        withdrawal: Withdrawal,
    ) -> Option<(Arc<str>, SocketAddr)> {
        let kind = self.sources.get(&source)?.kind;
        let key = (source, name);
        let id = self.endpoints_by_source_name.remove(&key)?;
        let record = self.endpoints.get_mut(&id)?;
        let removed = record.remove_claim(source, &key.1)?;
        if withdrawal == Withdrawal::Removed
            || !self.settings.should_require_all_sources_for_removal
        {
            record.removal_marker = Some(removed.marker(kind, now));
        }
        Some((id, removed.claim.address))
    }
}
