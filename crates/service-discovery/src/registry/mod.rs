//! Merging the claims of several sources into the one list of endpoints.
//!
//! [`EndpointRegistry`] owns all claims, the indexes over them and the list that was last published. Its parts are the
//! modules below: [`claims`] takes claims in and out, [`identity`] says which endpoint they are about, [`rules`] says
//! what the list shows, [`tiers`] holds back standby endpoints, [`listing`] publishes changes, and [`expiry`] follows
//! the clock. It never connects anywhere and reads no clock.

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
    /// Since when the source cannot be reached; none: it can.
    unreachable_since: Option<Timestamp>,
}

/// All endpoints, the claims about them, and the list that comes of it. See the module.
#[derive(Debug, Clone)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    sources: BTreeMap<SourceId, SourceState>,
    endpoints: HashMap<Arc<str>, EndpointRecord>,
    /// Which endpoint a source's name stands for.
    endpoints_by_source_name: HashMap<(SourceId, Arc<str>), Arc<str>>,
    /// Which endpoints have claims of an address, or were listed there last.
    endpoints_by_address: HashMap<SocketAddr, Vec<Arc<str>>>,
    /// The endpoints in service, by replica set and tier.
    tiers: HashMap<u32, BTreeMap<(u16, u64), Arc<str>>>,
    /// The serial number of the newest endpoint.
    last_serial: u64,
    wheel: TimerWheel<Arc<str>>,
    /// Endpoints whose claims differ in what the list would show.
    disputed: HashSet<Arc<str>>,
    /// The endpoint of the latest contradiction.
    last_conflicting_endpoint: Option<Arc<str>>,
    counters: RegistryCounters,
}

impl EndpointRegistry {
    /// A registry without sources and endpoints.
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

    /// What has been counted since the start.
    pub fn counters(&self) -> RegistryCounters {
        self.counters
    }

    /// The endpoint of which two sources last contradicted each other.
    pub fn last_conflicting_endpoint(&self) -> Option<&Arc<str>> {
        self.last_conflicting_endpoint.as_ref()
    }

    /// How many endpoints are known, listed or not.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// All known endpoints, in the order of their ids.
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

    /// The rule that decided how the list shows an endpoint.
    pub fn rule(&self, endpoint: &str) -> Option<ListingRule> {
        self.endpoints.get(endpoint)?.rule
    }

    /// Since when a source cannot be reached; none: it can, or is not known.
    pub fn unreachable_since(&self, source: SourceId) -> Option<Timestamp> {
        self.sources.get(&source)?.unreachable_since
    }

    /// When [`EndpointRegistry::on_due`] is to be called at the latest.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.wheel.next_due()
    }

    /// Takes one input, and appends what it changes in the list to `changes`.
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

    /// Notes an endpoint's heartbeat, many times a second: usually one look-up, and nothing else to do.
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
        // A draining endpoint still answers what it has begun, as ever: such a response does not end the drain.
        if is_draining {
            record.drain_reported_at = Some(now);
        }
        if is_draining || record.rule == Some(ListingRule::Unnamed) {
            self.reevaluate(now, id, changes);
        }
    }
}
