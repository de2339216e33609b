//! Re-evaluates endpoints and publishes the resulting changes of the list.

use super::EndpointRegistry;
use super::claim::{ClaimedState, StoredClaim};
use super::record::TierKey;
use super::rules::Evaluation;
use super::view::{EndpointView, ListChange, ListingRule};
use reelrill_routing::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

impl EndpointRegistry {
    /// Re-evaluates an endpoint and publishes the changes for it and for the endpoints that depend on it.
    pub(super) fn reevaluate(
        &mut self,
        now: Timestamp,
        id: &Arc<str>,
        changes: &mut Vec<ListChange>,
    ) {
        let Some(evaluation) = self.evaluate(now, id) else {
            return;
        };
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        let earlier_view = evaluation.view.as_ref().and_then(|view| {
            record.last_tier = evaluation.tier;
            record.last_view.replace(view.clone())
        });
        record.rule = Some(evaluation.rule);
        record.rule_before_tiers = Some(evaluation.rule);
        let earlier_address = record.claimed_address;
        self.update_tier(&evaluation, id, now, changes);
        self.publish(id, evaluation, changes);
        let address = self.update_claimed_address(id);
        if let Some(view) = earlier_view {
            self.unindex_address(view.address, id);
        }
        if let Some(earlier_address) = earlier_address {
            self.reevaluate_shadowed(now, earlier_address, id, changes);
        }
        if let Some(address) = address
            && Some(address) != earlier_address
        {
            self.reevaluate_shadowed(now, address, id, changes);
        }
        self.schedule_expiry(now, id);
    }

    fn update_tier(
        &mut self,
        evaluation: &Evaluation,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<ListChange>,
    ) {
        let in_service = evaluation
            .view
            .as_ref()
            .filter(|view| view.state == ClaimedState::Ready);
        let key = in_service.map(|view| TierKey {
            replica_set: view.replica_set,
            tier: evaluation.tier,
        });
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        let earlier_key = std::mem::replace(&mut record.tier_key, key);
        if earlier_key == key {
            return;
        }
        if let Some(earlier_key) = earlier_key {
            self.remove_from_tier(earlier_key, id, now, changes);
        }
        if let Some(key) = key {
            self.add_to_tier(key, id, now, changes);
        }
    }

    /// Records the address of the best claim, and whether the endpoint's claims would lead to different list entries.
    /// In that case the best claim may depend on the reachability of the sources.
    fn update_claimed_address(&mut self, id: &Arc<str>) -> Option<SocketAddr> {
        let address = self.best_claim_address(self.endpoints.get(id)?);
        let record = self.endpoints.get_mut(id)?;
        record.claimed_address = address;
        let is_different =
            |stored: &StoredClaim| !stored.claim.has_same_listing_as(&record.claims[0].claim);
        if record.claims.iter().any(is_different) {
            self.disputed.insert(id.clone());
        } else if !self.disputed.is_empty() {
            self.disputed.remove(id);
        }
        address
    }

    /// Re-evaluates the other endpoints at an address whose rule changes because `id` uses the address or stopped using
    /// it. The recursion ends because the endpoints at an address have a total order of precedence.
    fn reevaluate_shadowed(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        id: &Arc<str>,
        changes: &mut Vec<ListChange>,
    ) {
        for other in self.other_endpoints_at(address, id) {
            let rule = self.evaluate(now, &other).map(|evaluation| evaluation.rule);
            let earlier_rule = self
                .endpoints
                .get(&other)
                .and_then(|record| record.rule_before_tiers);
            if rule != earlier_rule {
                self.reevaluate(now, &other, changes);
            }
        }
    }

    /// Re-evaluates the disputed endpoints if the reachability of a source changed, since that changes the precedence
    /// of its claims.
    pub(super) fn reevaluate_disputed(
        &mut self,
        now: Timestamp,
        has_reachability_changed: bool,
        changes: &mut Vec<ListChange>,
    ) {
        if !has_reachability_changed {
            return;
        }
        let mut disputed: Vec<Arc<str>> = self.disputed.iter().cloned().collect();
        disputed.sort_unstable();
        for id in disputed {
            self.reevaluate(now, &id, changes);
        }
    }

    /// Publishes the endpoint's entry by appending to `changes`, if it differs from the published one.
    pub(super) fn publish(
        &mut self,
        id: &Arc<str>,
        evaluation: Evaluation,
        changes: &mut Vec<ListChange>,
    ) {
        let is_standby = self.is_standby(&evaluation);
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        if is_standby {
            record.rule = Some(ListingRule::Standby);
        }
        let view: Option<EndpointView> = evaluation.view.filter(|_| !is_standby);
        if record.listed == view {
            return;
        }
        let is_new = record.listed.is_none();
        record.listed.clone_from(&view);
        let endpoint = id.clone();
        changes.push(match view {
            Some(view) => {
                self.counters.endpoints_added += u64::from(is_new);
                ListChange::Listed {
                    endpoint,
                    view,
                    is_new,
                }
            }
            None => {
                self.counters.endpoints_removed += 1;
                ListChange::Removed { endpoint }
            }
        });
    }
}
