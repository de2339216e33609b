//! Maps claims to endpoints, and maintains the index of endpoints by address.
//!
//! A source may list an endpoint without its unique id (uid). If exactly one endpoint with a uid has a claim for the
//! same address, the claim belongs to that endpoint. Otherwise it is stored under a provisional id, formed from the
//! source and the name at the source. The address index lists every endpoint under the address of each of its claims
//! and under the address with which it was last listed.

use super::EndpointRegistry;
use super::claim::{Claim, SourceId};
use super::view::ListChange;
use reelrill_routing::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// Prefix of provisional endpoint ids.
const PROVISIONAL_ID_PREFIX: &str = "name:";

/// Returns whether an endpoint id is a uid rather than a provisional id.
pub(super) fn is_uid(id: &str) -> bool {
    !id.starts_with(PROVISIONAL_ID_PREFIX)
}

impl EndpointRegistry {
    /// Returns the id of the endpoint that a claim concerns.
    pub(super) fn resolve_endpoint(
        &mut self,
        source: SourceId,
        name: &Arc<str>,
        claim: &Claim,
    ) -> Arc<str> {
        if let Some(uid) = &claim.uid {
            return uid.clone();
        }
        let claiming = self.endpoints_claiming(claim.address);
        let mut with_uid = claiming.iter().filter(|id| is_uid(id));
        match (with_uid.next(), with_uid.next()) {
            (Some(only), None) => return only.clone(),
            (Some(_), Some(_))
                if !self
                    .endpoints_by_source_name
                    .contains_key(&(source, name.clone())) =>
            {
                self.counters.ambiguous_names += 1;
            }
            _ => {}
        }
        format!("{PROVISIONAL_ID_PREFIX}{source}:{name}").into()
    }

    /// Returns the endpoints that have a claim for an address.
    fn endpoints_claiming(&self, address: SocketAddr) -> Vec<Arc<str>> {
        let has_claim = |id: &&Arc<str>| {
            let record = self.endpoints.get(*id);
            record.is_some_and(|record| record.has_claim_at(address))
        };
        let indexed = self
            .endpoints_by_address
            .get(&address)
            .into_iter()
            .flatten();
        indexed.filter(has_claim).cloned().collect()
    }

    /// Returns all endpoints indexed under an address except `id`. There is rarely more than one endpoint per address.
    pub(super) fn other_endpoints_at(&self, address: SocketAddr, id: &Arc<str>) -> Vec<Arc<str>> {
        let indexed = self
            .endpoints_by_address
            .get(&address)
            .into_iter()
            .flatten();
        indexed.filter(|other| *other != id).cloned().collect()
    }

    /// Indexes an endpoint under the address of a claim. If it is the only endpoint with a uid there, provisional
    /// endpoints with claims for the same address are the same endpoint and are merged into it.
    pub(super) fn index_address(
        &mut self,
        address: SocketAddr,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<ListChange>,
    ) {
        let indexed = self
            .endpoints_by_address
            .entry(address)
            .or_insert_with(|| Vec::with_capacity(1));
        if !indexed.contains(id) {
            indexed.push(id.clone());
        }
        if indexed.len() == 1 || !is_uid(id) {
            return;
        }
        let claiming = self.endpoints_claiming(address);
        let (with_uid, provisional): (Vec<_>, Vec<_>) =
            claiming.into_iter().partition(|id| is_uid(id));
        if with_uid.len() != 1 {
            return;
        }
        for other in provisional {
            if !self.merge_provisional(&other, id, address) {
                continue;
            }
            self.release_address(address, &other, now, changes);
            self.reevaluate(now, &other, changes);
        }
    }

    /// Moves a provisional endpoint's claims for an address to the endpoint `id`, and copies its drain marker and
    /// heartbeat. Returns whether the provisional endpoint was known.
    fn merge_provisional(
        &mut self,
        provisional: &Arc<str>,
        id: &Arc<str>,
        address: SocketAddr,
    ) -> bool {
        let Some(record) = self.endpoints.get_mut(provisional) else {
            return false;
        };
        let drain_marker = record.drain_marker;
        let last_response_at = record.last_response_at;
        let claims: Vec<_> = record
            .claims
            .extract_if(.., |stored| stored.claim.address == address)
            .collect();
        for stored in &claims {
            let key = (stored.source, stored.name.clone());
            self.endpoints_by_source_name.insert(key, id.clone());
        }
        if let Some(record) = self.endpoints.get_mut(id) {
            record.claims.extend(claims);
            record.drain_marker = record.drain_marker.or(drain_marker);
            record.last_response_at = record.last_response_at.max(last_response_at);
        }
        true
    }

    /// Removes an endpoint from the index at an address if it has no claim for it any more, and re-evaluates the other
    /// endpoints there.
    pub(super) fn release_address(
        &mut self,
        address: SocketAddr,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<ListChange>,
    ) {
        let record = self.endpoints.get(id);
        if record.is_some_and(|record| record.has_claim_at(address)) {
            return;
        }
        self.unindex_address(address, id);
        self.reevaluate_others_at(now, address, id, changes);
    }

    /// Removes an endpoint from the index at an address unless it has a claim for it or was last listed with it.
    pub(super) fn unindex_address(&mut self, address: SocketAddr, id: &Arc<str>) {
        if let Some(record) = self.endpoints.get(id) {
            let last_address = record.last_view.as_ref().map(|view| view.address);
            if last_address == Some(address) || record.has_claim_at(address) {
                return;
            }
        }
        if let Some(indexed) = self.endpoints_by_address.get_mut(&address) {
            indexed.retain(|other| other != id);
            if indexed.is_empty() {
                self.endpoints_by_address.remove(&address);
            }
        }
    }

    /// Re-evaluates the other endpoints at the address of an endpoint that changed.
    pub(super) fn reevaluate_others_at(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        id: &Arc<str>,
        changes: &mut Vec<ListChange>,
    ) {
        for other in self.other_endpoints_at(address, id) {
            self.reevaluate(now, &other, changes);
        }
    }
}
