//! Tests the endpoint registry against a reference implementation that stores all claims in one vector and rebuilds the
//! whole list after every input.

use proptest::prelude::*;
use reelrill_service_discovery::{
    Claim, ClaimedState, EndpointRegistry, EndpointView, ListChange, RegistryInput,
    RegistrySettings, SourceKind, StoredClaim, Withdrawal,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// One tick of the timer wheel, in nanoseconds. All times are whole ticks, so that both implementations process
/// expiries at the same time.
const TICK: u64 = 1 << 20;
/// A thousand ticks, or 1.05 s.
const SECOND: u64 = 1000 * TICK;
const HEARTBEAT_TTL: u64 = 30 * SECOND;

type Uid = Arc<str>;

/// A drain or removal: its source, the source's kind, the process start and the version.
type Marker = Option<(u16, SourceKind, u64, u64)>;

/// The reference implementation. It never forgets an endpoint.
#[derive(Default)]
struct ReferenceRegistry {
    /// The kind of each source, and whether it is unreachable.
    sources: BTreeMap<u16, (SourceKind, bool)>,
    claims: Vec<(Uid, StoredClaim)>,
    drains: BTreeMap<Uid, Marker>,
    removals: BTreeMap<Uid, Marker>,
    /// The times at which endpoints last reported their own drain.
    reported_drains: BTreeMap<Uid, u64>,
    known: BTreeSet<Uid>,
    /// The times at which endpoints last responded.
    responses: BTreeMap<Uid, u64>,
    /// The last entry and tier of each endpoint.
    last_entries: BTreeMap<Uid, (EndpointView, u16)>,
}

fn is_provisional(uid: &str) -> bool {
    uid.starts_with("name:")
}

impl ReferenceRegistry {
    fn claims_about<'a>(&'a self, uid: &'a str) -> impl Iterator<Item = &'a StoredClaim> {
        self.claims
            .iter()
            .filter(move |(claim_uid, _)| **claim_uid == *uid)
            .map(|(_, stored)| stored)
    }

    fn best_claim<'a>(&'a self, uid: &'a str) -> Option<&'a StoredClaim> {
        let order = |stored: &StoredClaim| {
            let source = self.sources.get(&stored.source);
            let (is_reachable, kind) = (
                source.is_some_and(|state| !state.1),
                source.map(|state| state.0),
            );
            (
                stored.claim.started_at,
                !stored.is_stale,
                is_reachable,
                kind,
                stored.unchanged_since,
                stored.source,
                stored.name.clone(),
            )
        };
        self.claims_about(uid).max_by_key(|stored| order(stored))
    }

    fn endpoints_claiming(&self, address: SocketAddr) -> BTreeSet<Uid> {
        self.claims
            .iter()
            .filter(|(_, stored)| stored.claim.address == address)
            .map(|(uid, _)| uid.clone())
            .collect()
    }

    fn remove_claim(&mut self, source: u16, name: &str) -> Option<(Uid, StoredClaim)> {
        let index = self
            .claims
            .iter()
            .position(|(_, stored)| stored.source == source && *stored.name == *name)?;
        Some(self.claims.remove(index))
    }

    fn handle_claim(&mut self, now: u64, source: u16, name: &Uid, claim: &Claim) {
        let Some(source_state) = self.sources.get_mut(&source) else {
            return;
        };
        source_state.1 = false;
        let kind = source_state.0;
        let with_uid: Vec<Uid> = self
            .endpoints_claiming(claim.address)
            .into_iter()
            .filter(|uid| !is_provisional(uid))
            .collect();
        let uid = match (&claim.uid, &with_uid[..]) {
            (Some(uid), _) => uid.clone(),
            (None, [only]) => only.clone(),
            _ => format!("name:{source}:{name}").into(),
        };
        let last_started_at = self
            .last_entries
            .get(&uid)
            .map_or(0, |(view, _)| view.started_at);
        if claim.started_at > last_started_at
            && self
                .claims_about(&uid)
                .all(|stored| stored.claim.started_at < claim.started_at)
        {
            self.reported_drains.remove(&uid);
        }
        let earlier = self
            .remove_claim(source, name)
            .filter(|(earlier_uid, _)| *earlier_uid == uid);
        let unchanged = earlier.filter(|(_, stored)| {
            Claim {
                version: 0,
                expires_at: None,
                ..stored.claim.clone()
            } == Claim {
                version: 0,
                expires_at: None,
                ..claim.clone()
            }
        });
        let unchanged_since = unchanged.map_or(now, |(_, stored)| stored.unchanged_since);
        let lifts_drain = |marker: &(u16, SourceKind, u64, u64)| {
            (claim.started_at > marker.2 && kind >= marker.1)
                || (source == marker.0
                    && kind == SourceKind::EndpointList
                    && claim.version > marker.3)
        };
        let removal = self.removals.entry(uid.clone()).or_default();
        *removal = removal.filter(|marker| {
            claim.started_at <= marker.2
                && !(source == marker.0
                    && kind == SourceKind::EndpointList
                    && claim.version > marker.3)
        });
        let drain = self.drains.entry(uid.clone()).or_default();
        *drain = match claim.state {
            ClaimedState::Ready => drain.filter(|marker| !lifts_drain(marker)),
            ClaimedState::Draining => drain
                .filter(|marker| marker.1 > kind && marker.2 >= claim.started_at)
                .or(Some((source, kind, claim.started_at, claim.version))),
        };
        let stored = StoredClaim {
            source,
            name: name.clone(),
            claim: claim.clone(),
            renewed_at: now,
            unchanged_since,
            is_stale: false,
        };
        self.claims.push((uid.clone(), stored));
        self.known.insert(uid.clone());
        // A single endpoint with a uid takes over the claims of provisional endpoints for the same address.
        let with_uid: Vec<Uid> = self
            .endpoints_claiming(claim.address)
            .into_iter()
            .filter(|uid| !is_provisional(uid))
            .collect();
        if with_uid == [uid.clone()] {
            let mut merged = BTreeSet::new();
            for (claim_uid, stored) in &mut self.claims {
                if is_provisional(claim_uid) && stored.claim.address == claim.address {
                    merged.insert(std::mem::replace(claim_uid, uid.clone()));
                }
            }
            for other in merged {
                let drain = self.drains.get(&other).copied().flatten();
                let own = self.drains.entry(uid.clone()).or_default();
                *own = own.or(drain);
                if let Some(at) = self.responses.get(&other).copied() {
                    let own = self.responses.entry(uid.clone()).or_default();
                    *own = at.max(*own);
                }
            }
        }
    }

    fn handle_withdrawal(&mut self, source: u16, name: &str, withdrawal: Withdrawal) {
        if let Some((uid, stored)) = self.remove_claim(source, name)
            && withdrawal == Withdrawal::Removed
        {
            let kind = self.sources[&source].0;
            self.removals.insert(
                uid,
                Some((source, kind, stored.claim.started_at, stored.claim.version)),
            );
        }
    }

    fn handle(&mut self, now: u64, input: &RegistryInput) {
        match input {
            RegistryInput::SourceAdded { source, kind } => {
                self.sources.insert(*source, (*kind, false));
            }
            RegistryInput::SourceRemoved { source } => {
                self.claims.retain(|(_, stored)| stored.source != *source);
                self.sources.remove(source);
                for marker in self.drains.values_mut().chain(self.removals.values_mut()) {
                    *marker = marker.filter(|marker| marker.0 != *source);
                }
            }
            RegistryInput::Claimed {
                source,
                name,
                claim,
            } => self.handle_claim(now, *source, name, claim),
            RegistryInput::Withdrawn {
                source,
                name,
                withdrawal,
            } => {
                if let Some(source_state) = self.sources.get_mut(source) {
                    source_state.1 = false;
                    self.handle_withdrawal(*source, name, *withdrawal);
                }
            }
            RegistryInput::Snapshot { source, names } => {
                if let Some(source_state) = self.sources.get_mut(source) {
                    source_state.1 = false;
                }
                self.claims
                    .retain(|(_, stored)| stored.source != *source || names.contains(&stored.name));
            }
            RegistryInput::SourceFailed { source } => {
                if let Some(source_state) = self.sources.get_mut(source) {
                    source_state.1 = true;
                }
            }
            RegistryInput::EndpointResponded {
                endpoint,
                is_draining,
            } => {
                if self.known.contains(endpoint) {
                    self.responses.insert(endpoint.clone(), now);
                    if *is_draining {
                        self.reported_drains.insert(endpoint.clone(), now);
                    }
                }
            }
        }
    }

    /// Rebuilds and returns the whole list.
    fn list(&mut self, now: u64) -> BTreeMap<Uid, EndpointView> {
        self.reported_drains
            .retain(|_, at| now < *at + HEARTBEAT_TTL);
        for (_, stored) in &mut self.claims {
            stored.is_stale |= stored
                .claim
                .expires_at
                .is_some_and(|expires_at| expires_at <= now);
        }
        let mut uids: BTreeSet<Uid> = self.claims.iter().map(|(uid, _)| uid.clone()).collect();
        uids.extend(self.last_entries.keys().cloned());
        let precedence = |registry: &ReferenceRegistry, uid: &Uid| {
            let started_at = registry
                .claims_about(uid)
                .map(|stored| stored.claim.started_at)
                .max()
                .unwrap_or(0);
            let unchanged_since = registry
                .claims_about(uid)
                .map(|stored| stored.unchanged_since)
                .max()
                .unwrap_or(0);
            (
                !is_provisional(uid),
                started_at,
                unchanged_since,
                uid.clone(),
            )
        };
        let has_marker =
            |map: &BTreeMap<Uid, Marker>, uid: &Uid| map.get(uid).copied().flatten().is_some();
        let mut list: BTreeMap<Uid, (EndpointView, u16)> = BTreeMap::new();
        for uid in &uids {
            if has_marker(&self.removals, uid) {
                continue;
            }
            let has_heartbeat = self
                .responses
                .get(uid)
                .is_some_and(|at| now < at + HEARTBEAT_TTL);
            let (mut view, tier) = match (self.best_claim(uid), self.last_entries.get(uid)) {
                (Some(stored), _) => {
                    let claim = &stored.claim;
                    let started_at = self
                        .claims_about(uid)
                        .map(|stored| stored.claim.started_at)
                        .max()
                        .unwrap_or(0);
                    let (address, replica_set, zone, weight) =
                        (claim.address, claim.replica_set, claim.zone, claim.weight);
                    (
                        EndpointView {
                            address,
                            replica_set,
                            zone,
                            state: ClaimedState::Ready,
                            started_at,
                            weight,
                        },
                        claim.tier,
                    )
                }
                (None, Some(last)) if has_heartbeat => last.clone(),
                _ => continue,
            };
            let is_shadowed = self
                .endpoints_claiming(view.address)
                .iter()
                .filter(|other| *other != uid && !has_marker(&self.removals, other))
                .any(|other| {
                    self.best_claim(other)
                        .is_some_and(|stored| stored.claim.address == view.address)
                        && precedence(self, other) > precedence(self, uid)
                });
            if is_shadowed {
                continue;
            }
            let is_draining =
                has_marker(&self.drains, uid) || self.reported_drains.contains_key(uid);
            view.state = if is_draining {
                ClaimedState::Draining
            } else {
                ClaimedState::Ready
            };
            list.insert(uid.clone(), (view, tier));
        }
        for (uid, (view, tier)) in &list {
            self.last_entries.insert(uid.clone(), (view.clone(), *tier));
        }
        let mut lowest_tiers: BTreeMap<u32, u16> = BTreeMap::new();
        for (view, tier) in list
            .values()
            .filter(|(view, _)| view.state == ClaimedState::Ready)
        {
            let lowest = lowest_tiers.entry(view.replica_set).or_insert(*tier);
            *lowest = *tier.min(lowest);
        }
        let is_listed = |(_, (view, tier)): &(Uid, (EndpointView, u16))| {
            view.state == ClaimedState::Draining || lowest_tiers[&view.replica_set] == *tier
        };
        list.into_iter()
            .filter(is_listed)
            .map(|(uid, (view, _))| (uid, view))
            .collect()
    }
}

/// A step of the test: an input, or the passing of time in nanoseconds.
#[derive(Debug, Clone)]
enum Step {
    Input(RegistryInput),
    Wait(u64),
}

fn uid() -> impl Strategy<Value = Uid> {
    (0..4u8).prop_map(|n| format!("s-{n}").into())
}

fn claim() -> impl Strategy<Value = Claim> {
    let uid = prop_oneof![3 => uid().prop_map(Some), 1 => Just(None)];
    let ttl = prop_oneof![
        Just(None),
        Just(Some(0u64)),
        Just(Some(SECOND)),
        Just(Some(86_400 * SECOND))
    ];
    let placement = (1..5u16, 1..3u32, 0..2u16);
    (uid, placement, proptest::bool::weighted(0.7), 0..3u64, ttl).prop_map(
        |(uid, placement, is_ready, started_at, ttl)| Claim {
            uid,
            state: if is_ready {
                ClaimedState::Ready
            } else {
                ClaimedState::Draining
            },
            started_at,
            expires_at: ttl,
            tier: placement.2,
            ..Claim::new(
                "",
                SocketAddr::from(([127, 0, 0, 1], placement.0)),
                placement.1,
            )
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let name = || (0..4u8).prop_map(|n| Uid::from(format!("n{n}")));
    let withdrawal = prop_oneof![Just(Withdrawal::Removed), Just(Withdrawal::Absent)];
    let names = proptest::collection::hash_set(name(), 0..4);
    let input = prop_oneof![
        8 => (0..3u16, name(), claim()).prop_map(|(source, name, claim)| RegistryInput::Claimed { source, name, claim }),
        3 => (0..3u16, name(), withdrawal).prop_map(|(source, name, withdrawal)| RegistryInput::Withdrawn { source, name, withdrawal }),
        1 => (0..3u16, names).prop_map(|(source, names)| RegistryInput::Snapshot { source, names }),
        1 => (0..3u16).prop_map(|source| RegistryInput::SourceFailed { source }),
        3 => (uid(), any::<bool>()).prop_map(|(endpoint, is_draining)| RegistryInput::EndpointResponded { endpoint, is_draining }),
    ];
    prop_oneof![8 => input.prop_map(Step::Input), 1 => (0..40_000u64).prop_map(|ticks| Step::Wait(ticks * TICK))]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against incremental updates that miss a change: after any sequence of inputs the published list must be
    /// the one that the reference rebuilds.
    #[test]
    fn published_list_equals_rebuilt_list_after_any_inputs(steps in proptest::collection::vec(step(), 1..40)) {
        let start = 1_000_000 * SECOND;
        // The reference never forgets an endpoint, so the retention exceeds the length of the test.
        let settings = RegistrySettings { heartbeat_ttl: HEARTBEAT_TTL, retention: u64::MAX / 4, ..RegistrySettings::default() };
        let (mut endpoints, mut reference) = (EndpointRegistry::new(settings, start), ReferenceRegistry::default());
        let (mut now, mut changes, mut version) = (start, Vec::new(), 0);
        let mut list: BTreeMap<Uid, EndpointView> = BTreeMap::new();
        for (source, kind) in [(0, SourceKind::EndpointList), (1, SourceKind::DnsRecords), (2, SourceKind::DnsRecords)] {
            let input = RegistryInput::SourceAdded { source, kind };
            reference.handle(now, &input);
            endpoints.handle(now, input, &mut changes);
        }
        for step in steps {
            match step {
                Step::Wait(span) => now += span,
                Step::Input(mut input) => {
                    now += 2 * TICK;
                    if let RegistryInput::Claimed { source, claim, .. } = &mut input {
                        version += 1;
                        claim.version = if *source == 0 { version } else { 0 };
                        claim.expires_at = claim.expires_at.map(|ttl| now + ttl);
                    }
                    reference.list(now);
                    reference.handle(now, &input);
                    endpoints.on_due(now, &mut changes);
                    endpoints.handle(now, input, &mut changes);
                }
            }
            endpoints.on_due(now, &mut changes);
            for change in changes.drain(..) {
                match change {
                    ListChange::Listed { endpoint, view, .. } => drop(list.insert(endpoint, view)),
                    ListChange::Removed { endpoint } => drop(list.remove(&endpoint)),
                }
            }
            prop_assert_eq!(&list, &reference.list(now));
        }
    }
}

/// Guards against leftovers in the indexes and timers when a source is removed, and against the loss of other sources'
/// endpoints.
#[test]
fn removing_a_source_removes_only_endpoints_without_other_sources() {
    let mut endpoints = EndpointRegistry::new(
        RegistrySettings {
            heartbeat_ttl: 0,
            retention: 0,
            ..RegistrySettings::default()
        },
        SECOND,
    );
    let mut changes = Vec::new();
    for (source, kind) in [(0, SourceKind::EndpointList), (1, SourceKind::DnsRecords)] {
        endpoints.handle(
            SECOND,
            RegistryInput::SourceAdded { source, kind },
            &mut changes,
        );
    }
    for number in 0..10u16 {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000 + number));
        let claim = Claim::new(&format!("s-{number}"), address, 1);
        let name: Uid = format!("n{number}").into();
        endpoints.handle(
            SECOND,
            RegistryInput::Claimed {
                source: number % 2,
                name: name.clone(),
                claim: claim.clone(),
            },
            &mut changes,
        );
        if number < 4 {
            endpoints.handle(
                SECOND,
                RegistryInput::Claimed {
                    source: (number + 1) % 2,
                    name,
                    claim,
                },
                &mut changes,
            );
        }
    }
    changes.clear();
    endpoints.handle(
        2 * SECOND,
        RegistryInput::SourceRemoved { source: 1 },
        &mut changes,
    );
    let removed: HashSet<&str> = changes.iter().map(ListChange::endpoint).collect();
    assert_eq!(removed, HashSet::from(["s-5", "s-7", "s-9"]));
    assert_eq!(endpoints.len(), 7);
    endpoints.handle(
        2 * SECOND,
        RegistryInput::SourceRemoved { source: 0 },
        &mut changes,
    );
    assert!(endpoints.is_empty() && endpoints.next_due().is_none());
}

/// Guards against a self-reported drain that is lifted by responses to requests still in progress. Only a later process
/// start or the heartbeat TTL ends it.
#[test]
fn self_reported_drain_stays_in_force_when_endpoint_still_responds() {
    let mut endpoints = EndpointRegistry::new(
        RegistrySettings {
            heartbeat_ttl: HEARTBEAT_TTL,
            ..RegistrySettings::default()
        },
        SECOND,
    );
    let mut changes = Vec::new();
    endpoints.handle(
        SECOND,
        RegistryInput::SourceAdded {
            source: 1,
            kind: SourceKind::DnsRecords,
        },
        &mut changes,
    );
    let claimed = |started_at| {
        let claim = Claim {
            started_at,
            ..Claim::new("s-1", SocketAddr::from(([127, 0, 0, 1], 1)), 1)
        };
        RegistryInput::Claimed {
            source: 1,
            name: "n1".into(),
            claim,
        }
    };
    let responded = |is_draining| RegistryInput::EndpointResponded {
        endpoint: "s-1".into(),
        is_draining,
    };
    let state = |registry: &EndpointRegistry| {
        registry.endpoint_statuses()[0]
            .listed
            .as_ref()
            .map(|view| view.state)
    };
    let steps = [
        (claimed(1), ClaimedState::Ready),
        (responded(true), ClaimedState::Draining),
        (responded(false), ClaimedState::Draining),
        (claimed(1), ClaimedState::Draining),
        (claimed(2), ClaimedState::Ready),
        (responded(true), ClaimedState::Draining),
    ];
    let mut now = SECOND;
    for (input, expected) in steps {
        now += SECOND;
        endpoints.handle(now, input, &mut changes);
        assert_eq!(state(&endpoints), Some(expected));
    }
    endpoints.on_due(now + HEARTBEAT_TTL - TICK, &mut changes);
    assert_eq!(state(&endpoints), Some(ClaimedState::Draining));
    endpoints.on_due(now + HEARTBEAT_TTL, &mut changes);
    assert_eq!(state(&endpoints), Some(ClaimedState::Ready));
}
