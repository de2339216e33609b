//! The merge rules: they select the best claim of an endpoint and determine its list entry.
//!
//! The rules read the registry's state and never change it. `docs/design/membership.md` has them as a table.

use super::EndpointRegistry;
use super::claim::{Claim, ClaimedState, StoredClaim};
use super::identity::is_uid;
use super::record::EndpointRecord;
use super::view::{EndpointView, ListingRule};
use reelrill_routing::Timestamp;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

/// The result of applying the rules to an endpoint, without regard to tiers.
#[derive(Debug, Clone)]
pub(super) struct Evaluation {
    pub(super) rule: ListingRule,
    /// The list entry; `None` if the endpoint is not listed.
    pub(super) view: Option<EndpointView>,
    pub(super) tier: u16,
}

/// The precedence among endpoints with the same address, compared field by field in this order. No two values are
/// equal, since endpoint ids are unique.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AddressPrecedence<'a> {
    has_uid: bool,
    newest_start: Timestamp,
    newest_change: Timestamp,
    id: &'a str,
}

fn address_precedence<'a>(record: &EndpointRecord, id: &'a Arc<str>) -> AddressPrecedence<'a> {
    let changes = record.claims.iter().map(|stored| stored.unchanged_since);
    AddressPrecedence {
        has_uid: is_uid(id),
        newest_start: record.newest_start(),
        newest_change: changes.max().unwrap_or(0),
        id,
    }
}

/// Returns the list entry of an endpoint in service with this claim.
fn view_of(claim: &Claim, started_at: Timestamp) -> EndpointView {
    EndpointView {
        address: claim.address,
        replica_set: claim.replica_set,
        zone: claim.zone,
        state: ClaimedState::Ready,
        started_at,
        weight: claim.weight,
    }
}

impl EndpointRegistry {
    /// Applies the rules to an endpoint; returns `None` if it is unknown.
    pub(super) fn evaluate(&self, now: Timestamp, id: &Arc<str>) -> Option<Evaluation> {
        let record = self.endpoints.get(id)?;
        let unlisted = |rule, tier| Evaluation {
            rule,
            view: None,
            tier,
        };
        if record.removal_marker.is_some() {
            return Some(unlisted(ListingRule::Gone, 0));
        }
        let Some((mut rule, mut view, tier)) = self.claimed_view(now, record) else {
            return Some(unlisted(ListingRule::Unnamed, 0));
        };
        if self.is_shadowed(record, id, view.address) {
            return Some(unlisted(ListingRule::Shadowed, tier));
        }
        view.state = ClaimedState::Draining;
        if record.drain_marker.is_some() {
            rule = ListingRule::Drain;
        } else if record.drain_reported_at.is_some() {
            rule = ListingRule::OwnDrain;
        } else {
            view.state = ClaimedState::Ready;
        }
        Some(Evaluation {
            rule,
            view: Some(view),
            tier,
        })
    }

    /// Returns the rule, entry and tier according to the best claim, or the last entry if only the heartbeat is valid.
    fn claimed_view(
        &self,
        now: Timestamp,
        record: &EndpointRecord,
    ) -> Option<(ListingRule, EndpointView, u16)> {
        if let Some(stored) = self.best_claim(record) {
            let view = view_of(&stored.claim, record.newest_start());
            return Some((ListingRule::Named, view, stored.claim.tier));
        }
        if !record.has_heartbeat(now, self.settings.heartbeat_ttl) {
            return None;
        }
        let view = record.last_view.clone()?;
        Some((ListingRule::Vouched, view, record.last_tier))
    }

    /// Returns whether another endpoint has the same address and a higher precedence.
    fn is_shadowed(&self, record: &EndpointRecord, id: &Arc<str>, address: SocketAddr) -> bool {
        let Some(others) = self.endpoints_by_address.get(&address) else {
            return false;
        };
        let precedence = address_precedence(record, id);
        others.iter().filter(|other| *other != id).any(|other| {
            self.endpoints.get(other).is_some_and(|other_record| {
                other_record.removal_marker.is_none()
                    && self.best_claim_address(other_record) == Some(address)
                    && address_precedence(other_record, other) > precedence
            })
        })
    }

    /// Returns the address of the endpoint's best claim.
    pub(super) fn best_claim_address(&self, record: &EndpointRecord) -> Option<SocketAddr> {
        self.best_claim(record).map(|stored| stored.claim.address)
    }

    fn best_claim<'a>(&self, record: &'a EndpointRecord) -> Option<&'a StoredClaim> {
        let claims = record.claims.iter();
        claims.max_by(|a, b| self.compare_claims(a, b))
    }

    /// Compares two claims about one endpoint; the greater one is used. The criteria in order: later start time, fresh
    /// over stale, reachable source, more trusted source kind, later change of content. A mere renewal does not count
    /// as a change. Ties are broken by source number, then by name.
    fn compare_claims(&self, a: &StoredClaim, b: &StoredClaim) -> Ordering {
        let precedence = |stored: &StoredClaim| {
            let source = self.sources.get(&stored.source);
            let is_reachable = source.is_some_and(|source| source.unreachable_since.is_none());
            (
                stored.claim.started_at,
                !stored.is_stale,
                is_reachable,
                source.map(|source| source.kind),
                stored.unchanged_since,
                stored.source,
            )
        };
        let by_precedence = precedence(a).cmp(&precedence(b));
        by_precedence.then_with(|| a.name.cmp(&b.name))
    }
}
