//! Merges the claims of several sources into one endpoint list.
//!
//! [`EndpointRegistry`] owns all claims, the indexes over them and the list that was last published. The submodules
//! implement its parts: [`claims`] stores and withdraws claims, [`identity`] maps claims to endpoints, [`rules`]
//! determines the list entries, [`tiers`] withholds standby endpoints, [`listing`] publishes changes, and [`expiry`]
//! handles timers. The registry does no I/O and reads no clock.

mod claim;
mod claims;
mod expiry;
mod identity;
mod input;
mod listing;
mod record;
mod rules;
mod settings;
mod tiers;
mod view;

pub use claim::{Claim, ClaimedState, SourceId, SourceKind, StateMarker, StoredClaim, Withdrawal};
pub use input::RegistryInput;
pub use settings::RegistrySettings;
pub use view::{EndpointStatus, EndpointView, ListChange, ListingRule, RegistryCounters};

use crate::wheel::TimerWheel;
use record::EndpointRecord;
use reelrill_routing::Timestamp;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Debug, Clone)]
struct SourceState {
    kind: SourceKind,
    /// The time since which the source cannot be reached; `None` if it is reachable.
    unreachable_since: Option<Timestamp>,
}

/// Owns all known endpoints and the claims about them, and publishes the list merged from the claims.
#[derive(Debug, Clone)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    sources: BTreeMap<SourceId, SourceState>,
    endpoints: HashMap<Arc<str>, EndpointRecord>,
    /// The endpoint ids by source and by the name that the source uses.
    endpoints_by_source_name: HashMap<(SourceId, Arc<str>), Arc<str>>,
    /// The endpoints that have a claim for an address or were last listed with it.
    endpoints_by_address: HashMap<SocketAddr, Vec<Arc<str>>>,
    /// The endpoints in service, by replica set, then by tier and serial number.
    tiers: HashMap<u32, BTreeMap<(u16, u64), Arc<str>>>,
    /// The serial number of the endpoint that was added last.
    last_serial: u64,
    wheel: TimerWheel<Arc<str>>,
    /// Endpoints whose claims would lead to different list entries.
    disputed: HashSet<Arc<str>>,
    /// The endpoint of the latest state conflict.
    last_conflicting_endpoint: Option<Arc<str>>,
    counters: RegistryCounters,
}

impl EndpointRegistry {
    /// Returns a registry without sources and endpoints.
    pub fn new(settings: RegistrySettings, now: Timestamp) -> EndpointRegistry {
        EndpointRegistry {
            settings,
            sources: BTreeMap::new(),
            endpoints: HashMap::new(),
            endpoints_by_source_name: HashMap::new(),
            endpoints_by_address: HashMap::new(),
            tiers: HashMap::new(),
            last_serial: 0,
            wheel: TimerWheel::new(now),
            disputed: HashSet::new(),
            last_conflicting_endpoint: None,
            counters: RegistryCounters::default(),
        }
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> RegistryCounters {
        self.counters
    }

    /// Returns the endpoint for which the claims of two sources last stated different states.
    pub fn last_conflicting_endpoint(&self) -> Option<&Arc<str>> {
        self.last_conflicting_endpoint.as_ref()
    }

    /// Returns the number of known endpoints, listed or not.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the status of all known endpoints, ordered by id.
    pub fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let status_of = |(id, record): (&Arc<str>, &EndpointRecord)| EndpointStatus {
            endpoint: id.clone(),
            listed: record.listed.clone(),
            rule: record.rule.unwrap_or(ListingRule::Unnamed),
            claims: record.claims.clone(),
            drain_marker: record.drain_marker,
            drain_reported_at: record.drain_reported_at,
            removal_marker: record.removal_marker,
            last_response_at: record.last_response_at,
        };
        let mut statuses: Vec<EndpointStatus> = self.endpoints.iter().map(status_of).collect();
        statuses.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        statuses
    }

    /// Returns the rule that decided about the endpoint's list entry; `None` if the endpoint is unknown.
    pub fn rule(&self, endpoint: &str) -> Option<ListingRule> {
        self.endpoints.get(endpoint)?.rule
    }

    /// Returns the time since which a source cannot be reached; `None` if it is reachable or unknown.
    pub fn unreachable_since(&self, source: SourceId) -> Option<Timestamp> {
        self.sources.get(&source)?.unreachable_since
    }

    /// Returns the latest time at which [`EndpointRegistry::on_due`] must be called; `None` if no timer is set.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.wheel.next_due()
    }

    /// Processes one input and appends the resulting list changes to `changes`.
    pub fn handle(&mut self, now: Timestamp, input: RegistryInput, changes: &mut Vec<ListChange>) {
        match input {
            RegistryInput::SourceAdded { source, kind } => {
                let state = SourceState {
                    kind,
                    unreachable_since: None,
                };
                self.sources.insert(source, state);
            }
            RegistryInput::SourceRemoved { source } => self.on_source_removed(now, source, changes),
            RegistryInput::Claimed {
                source,
                name,
                claim,
            } => self.on_claim(now, source, name, claim, changes),
            RegistryInput::Withdrawn {
                source,
                name,
                withdrawal,
            } => {
                let has_changed = self.set_reachable(now, source, true);
                self.withdraw(now, source, vec![name], withdrawal, changes);
                self.reevaluate_disputed(now, has_changed, changes);
            }
            RegistryInput::Snapshot { source, names } => {
                let has_changed = self.set_reachable(now, source, true);
                self.withdraw_unless(now, source, |name| names.contains(name), changes);
                self.reevaluate_disputed(now, has_changed, changes);
            }
            RegistryInput::SourceFailed { source } => {
                let has_changed = self.set_reachable(now, source, false);
                if !self.settings.should_keep_claims_of_failed_sources {
                    self.withdraw_all(now, source, changes);
                }
                self.reevaluate_disputed(now, has_changed, changes);
            }
            RegistryInput::EndpointResponded {
                endpoint,
                is_draining,
            } => self.on_endpoint_response(now, &endpoint, is_draining, changes),
        }
    }

    /// Records an endpoint's heartbeat. This is called many times a second and usually costs a single look-up.
    fn on_endpoint_response(
        &mut self,
        now: Timestamp,
        id: &Arc<str>,
        is_draining: bool,
        changes: &mut Vec<ListChange>,
    ) {
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        record.last_response_at = Some(now);
        // A draining endpoint still completes the requests in progress, so a response without the drain flag does not
        // end the drain.
        if is_draining {
            record.drain_reported_at = Some(now);
        }
        if is_draining || record.rule == Some(ListingRule::Unnamed) {
            self.reevaluate(now, id, changes);
        }
    }
}
