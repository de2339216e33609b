//! Tiers: an endpoint is on standby while its replica set has an endpoint in service in a lower tier.

use super::EndpointRegistry;
use super::claim::ClaimedState;
use super::record::TierKey;
use super::rules::Evaluation;
use super::view::ListChange;
use reelrill_routing::Timestamp;
use std::sync::Arc;

impl EndpointRegistry {
    /// Returns whether an endpoint is on standby: without regard to tiers it would be listed as in service, but its
    /// replica set has an endpoint in service in a lower tier.
    pub(super) fn is_standby(&self, evaluation: &Evaluation) -> bool {
        let Some(view) = &evaluation.view else {
            return false;
        };
        let lowest = self.lowest_tier(view.replica_set);
        let has_lower = lowest.is_some_and(|lowest| lowest < evaluation.tier);
        view.state == ClaimedState::Ready && has_lower
    }

    fn lowest_tier(&self, replica_set: u32) -> Option<u16> {
        let tiers = self.tiers.get(&replica_set)?;
        let ((tier, _), _) = tiers.first_key_value()?;
        Some(*tier)
    }

    fn serial_of(&self, id: &Arc<str>) -> u64 {
        self.endpoints.get(id).map_or(0, |record| record.serial)
    }

    /// Adds an endpoint that came into service to the tier index.
    pub(super) fn add_to_tier(
        &mut self,
        key: TierKey,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<ListChange>,
    ) {
        let earlier_lowest = self.lowest_tier(key.replica_set);
        let serial = self.serial_of(id);
        let tiers = self.tiers.entry(key.replica_set).or_default();
        tiers.insert((key.tier, serial), id.clone());
        self.on_tiers_changed(key.replica_set, earlier_lowest, now, changes);
    }

    /// Removes an endpoint that is no longer in service from the tier index.
    pub(super) fn remove_from_tier(
        &mut self,
        key: TierKey,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<ListChange>,
    ) {
        let earlier_lowest = self.lowest_tier(key.replica_set);
        let serial = self.serial_of(id);
        if let Some(tiers) = self.tiers.get_mut(&key.replica_set) {
            tiers.remove(&(key.tier, serial));
            if tiers.is_empty() {
                self.tiers.remove(&key.replica_set);
            }
        }
        self.on_tiers_changed(key.replica_set, earlier_lowest, now, changes);
    }

    /// Publishes the endpoints of the new and the earlier lowest tier of a replica set if the lowest tier changed.
    fn on_tiers_changed(
        &mut self,
        replica_set: u32,
        earlier_lowest: Option<u16>,
        now: Timestamp,
        changes: &mut Vec<ListChange>,
    ) {
        let lowest = self.lowest_tier(replica_set);
        if lowest == earlier_lowest {
            return;
        }
        let mut affected = self.endpoints_in_tier(replica_set, lowest);
        affected.extend(self.endpoints_in_tier(replica_set, earlier_lowest));
        for id in affected {
            let Some(evaluation) = self.evaluate(now, &id) else {
                continue;
            };
            if let Some(record) = self.endpoints.get_mut(&id) {
                record.rule = Some(evaluation.rule);
                record.rule_before_tiers = Some(evaluation.rule);
            }
            self.publish(&id, evaluation, changes);
        }
    }

    fn endpoints_in_tier(&self, replica_set: u32, tier: Option<u16>) -> Vec<Arc<str>> {
        let (Some(tier), Some(tiers)) = (tier, self.tiers.get(&replica_set)) else {
            return Vec::new();
        };
        let in_tier = tiers.range((tier, 0)..=(tier, u64::MAX));
        in_tier.map(|(_, id)| id.clone()).collect()
    }
}
