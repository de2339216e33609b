//! Expiry: claims that become stale, heartbeats and drains that end, and endpoints that are forgotten.

use super::EndpointRegistry;
use super::record::EndpointRecord;
use super::settings::RegistrySettings;
use super::view::ListChange;
use reelrill_routing::Timestamp;
use std::sync::Arc;

/// The next step for an endpoint if no further input arrives.
enum Expiry {
    /// The endpoint is re-evaluated at this time; `None` means never.
    Reevaluate(Option<Timestamp>),
    /// The endpoint has no claims and is not listed. It is forgotten at this time.
    Forget(Timestamp),
}

impl EndpointRegistry {
    /// Processes everything that has expired by `now`, and appends the resulting list changes to `changes`.
    pub fn on_due(&mut self, now: Timestamp, changes: &mut Vec<ListChange>) {
        let mut due = Vec::new();
        self.wheel.expire(now, &mut due);
        let heartbeat_ttl = self.settings.heartbeat_ttl;
        for id in due {
            let Some(record) = self.endpoints.get_mut(&id) else {
                continue;
            };
            record.timer = None;
            record.drain_reported_at = record
                .drain_reported_at
                .filter(|at| now < at.saturating_add(heartbeat_ttl));
            for stored in &mut record.claims {
                stored.is_stale |= stored
                    .claim
                    .expires_at
                    .is_some_and(|expires_at| expires_at <= now);
            }
            self.reevaluate(now, &id, changes);
        }
    }

    /// Sets the endpoint's timer to the earliest expiry, or forgets the endpoint if its retention has ended.
    pub(super) fn schedule_expiry(&mut self, now: Timestamp, id: &Arc<str>) {
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        match record.next_expiry(now, &self.settings) {
            Expiry::Forget(at) if at <= now => self.forget(id),
            Expiry::Forget(at) => record.set_timer(&mut self.wheel, Some(at), id),
            Expiry::Reevaluate(at) => record.set_timer(&mut self.wheel, at, id),
        }
    }

    fn forget(&mut self, id: &Arc<str>) {
        let Some(record) = self.endpoints.remove(id) else {
            return;
        };
        self.disputed.remove(id);
        if let Some((timer, _)) = record.timer {
            self.wheel.cancel(timer);
        }
        if let Some(view) = record.last_view {
            self.unindex_address(view.address, id);
        }
    }
}

impl EndpointRecord {
    fn next_expiry(&self, now: Timestamp, settings: &RegistrySettings) -> Expiry {
        let has_no_claims = self.claims.is_empty();
        let heartbeat_end = self
            .last_response_at
            .map(|at| at.saturating_add(settings.heartbeat_ttl))
            .filter(|end| has_no_claims && *end > now);
        if has_no_claims && self.listed.is_none() && heartbeat_end.is_none() {
            return Expiry::Forget(self.last_activity_at().saturating_add(settings.retention));
        }
        let fresh_claims = self.claims.iter().filter(|stored| !stored.is_stale);
        let stale_at = fresh_claims
            .filter_map(|stored| stored.claim.expires_at)
            .min();
        let drain_end = self
            .drain_reported_at
            .map(|at| at.saturating_add(settings.heartbeat_ttl));
        let ends = [stale_at, heartbeat_end, drain_end];
        Expiry::Reevaluate(ends.into_iter().flatten().min())
    }

    /// Returns the time of the latest response, removal or drain marker of an endpoint without claims.
    fn last_activity_at(&self) -> Timestamp {
        let removed_at = self.removal_marker.map(|marker| marker.set_at);
        let drained_at = self.drain_marker.map(|marker| marker.set_at);
        let latest = self.last_response_at.max(removed_at).max(drained_at);
        latest.unwrap_or(0)
    }
}
