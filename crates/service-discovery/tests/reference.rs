//! The endpoints against a plain reference: claims in one vector, and all judged anew after every input.

use proptest::prelude::*;
use reelrill_service_discovery::{
    Claim, ClaimedState, EndpointRegistry, EndpointView, ListChange, RegistryInput,
    RegistrySettings, SourceKind, StoredClaim, Withdrawal,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// All times are whole ticks of the wheel, so that both see what is due at the same moment.
const TICK: u64 = 1 << 20;
const SECOND: u64 = 1000 * TICK;
const VOUCH: u64 = 30 * SECOND;

type Uid = Arc<str>;

/// Bound by whom, of what kind, at which start and version.
type Bound = Option<(u16, SourceKind, u64, u64)>;

#[derive(Default)]
struct Plain {
    sources: BTreeMap<u16, (SourceKind, bool)>,
    claims: Vec<(Uid, StoredClaim)>,
    drains: BTreeMap<Uid, Bound>,
    gone: BTreeMap<Uid, Bound>,
    own: BTreeMap<Uid, u64>,
    known: BTreeSet<Uid>,
    answered: BTreeMap<Uid, u64>,
    last: BTreeMap<Uid, (EndpointView, u16)>,
}

fn is_nameless(uid: &str) -> bool {
    uid.starts_with("name:")
}

impl Plain {
    fn of<'a>(&'a self, uid: &'a str) -> impl Iterator<Item = &'a StoredClaim> {
        self.claims
            .iter()
            .filter(move |(u, _)| **u == *uid)
            .map(|(_, h)| h)
    }

    fn best<'a>(&'a self, uid: &'a str) -> Option<&'a StoredClaim> {
        let order = |h: &StoredClaim| {
            let source = self.sources.get(&h.source);
            let (heard, kind) = (source.is_some_and(|s| !s.1), source.map(|s| s.0));
            (
                h.claim.started_at,
                !h.is_stale,
                heard,
                kind,
                h.unchanged_since,
                h.source,
                h.name.clone(),
            )
        };
        self.of(uid).max_by_key(|h| order(h))
    }

    fn at(&self, address: SocketAddr) -> BTreeSet<Uid> {
        self.claims
            .iter()
            .filter(|(_, h)| h.claim.address == address)
            .map(|(u, _)| u.clone())
            .collect()
    }

    fn remove(&mut self, source: u16, name: &str) -> Option<(Uid, StoredClaim)> {
        let at = self
            .claims
            .iter()
            .position(|(_, h)| h.source == source && *h.name == *name)?;
        Some(self.claims.remove(at))
    }

    fn told(&mut self, now: u64, source: u16, name: &Uid, claim: &Claim) {
        let Some(known) = self.sources.get_mut(&source) else {
            return;
        };
        known.1 = false;
        let kind = known.0;
        let named: Vec<Uid> = self
            .at(claim.address)
            .into_iter()
            .filter(|u| !is_nameless(u))
            .collect();
        let uid = match (&claim.uid, &named[..]) {
            (Some(uid), _) => uid.clone(),
            (None, [only]) => only.clone(),
            _ => format!("name:{source}:{name}").into(),
        };
        let last = self.last.get(&uid).map_or(0, |(v, _)| v.started_at);
        if claim.started_at > last && self.of(&uid).all(|h| h.claim.started_at < claim.started_at) {
            self.own.remove(&uid);
        }
        let old = self.remove(source, name).filter(|(u, _)| *u == uid);
        let same = old.filter(|(_, h)| {
            Claim {
                version: 0,
                expires_at: None,
                ..h.claim.clone()
            } == Claim {
                version: 0,
                expires_at: None,
                ..claim.clone()
            }
        });
        let since = same.map_or(now, |(_, h)| h.unchanged_since);
        let lifts = |b: &(u16, SourceKind, u64, u64)| {
            (claim.started_at > b.2 && kind >= b.1)
                || (source == b.0 && kind == SourceKind::EndpointList && claim.version > b.3)
        };
        let gone = self.gone.entry(uid.clone()).or_default();
        *gone = gone.filter(|b| {
            claim.started_at <= b.2
                && !(source == b.0 && kind == SourceKind::EndpointList && claim.version > b.3)
        });
        let drain = self.drains.entry(uid.clone()).or_default();
        *drain = match claim.state {
            ClaimedState::Ready => drain.filter(|b| !lifts(b)),
            ClaimedState::Draining => drain
                .filter(|b| b.1 > kind && b.2 >= claim.started_at)
                .or(Some((source, kind, claim.started_at, claim.version))),
        };
        let held = StoredClaim {
            source,
            name: name.clone(),
            claim: claim.clone(),
            renewed_at: now,
            unchanged_since: since,
            is_stale: false,
        };
        self.claims.push((uid.clone(), held));
        self.known.insert(uid.clone());
        // One named endpoint at an endpoint takes what nameless ones claimed there.
        let named: Vec<Uid> = self
            .at(claim.address)
            .into_iter()
            .filter(|u| !is_nameless(u))
            .collect();
        if named == [uid.clone()] {
            let mut taken = BTreeSet::new();
            for (u, h) in &mut self.claims {
                if is_nameless(u) && h.claim.address == claim.address {
                    taken.insert(std::mem::replace(u, uid.clone()));
                }
            }
            for other in taken {
                let drain = self.drains.get(&other).copied().flatten();
                let mine = self.drains.entry(uid.clone()).or_default();
                *mine = mine.or(drain);
                if let Some(at) = self.answered.get(&other).copied() {
                    let mine = self.answered.entry(uid.clone()).or_default();
                    *mine = at.max(*mine);
                }
            }
        }
    }

    fn removed(&mut self, source: u16, name: &str, how: Withdrawal) {
        if let Some((uid, held)) = self.remove(source, name)
            && how == Withdrawal::Removed
        {
            let kind = self.sources[&source].0;
            self.gone.insert(
                uid,
                Some((source, kind, held.claim.started_at, held.claim.version)),
            );
        }
    }

    fn handle(&mut self, now: u64, input: &RegistryInput) {
        match input {
            RegistryInput::SourceAdded { source, kind } => {
                self.sources.insert(*source, (*kind, false));
            }
            RegistryInput::SourceRemoved { source } => {
                self.claims.retain(|(_, h)| h.source != *source);
                self.sources.remove(source);
                for bound in self.drains.values_mut().chain(self.gone.values_mut()) {
                    *bound = bound.filter(|b| b.0 != *source);
                }
            }
            RegistryInput::Claimed {
                source,
                name,
                claim,
            } => self.told(now, *source, name, claim),
            RegistryInput::Withdrawn {
                source,
                name,
                withdrawal: how,
            } => {
                if let Some(s) = self.sources.get_mut(source) {
                    s.1 = false;
                    self.removed(*source, name, *how);
                }
            }
            RegistryInput::Snapshot { source, names } => {
                if let Some(s) = self.sources.get_mut(source) {
                    s.1 = false;
                }
                self.claims
                    .retain(|(_, h)| h.source != *source || names.contains(&h.name));
            }
            RegistryInput::SourceFailed { source } => {
                if let Some(s) = self.sources.get_mut(source) {
                    s.1 = true;
                }
            }
            RegistryInput::EndpointResponded {
                endpoint,
                is_draining,
            } => {
                if self.known.contains(endpoint) {
                    self.answered.insert(endpoint.clone(), now);
                    if *is_draining {
                        self.own.insert(endpoint.clone(), now);
                    }
                }
            }
        }
    }

    /// The whole list, judged anew.
    fn list(&mut self, now: u64) -> BTreeMap<Uid, EndpointView> {
        self.own.retain(|_, at| now < *at + VOUCH);
        for (_, h) in &mut self.claims {
            h.is_stale |= h.claim.expires_at.is_some_and(|u| u <= now);
        }
        let mut uids: BTreeSet<Uid> = self.claims.iter().map(|(u, _)| u.clone()).collect();
        uids.extend(self.last.keys().cloned());
        let hold = |p: &Plain, uid: &Uid| {
            let started = p.of(uid).map(|h| h.claim.started_at).max().unwrap_or(0);
            let since = p.of(uid).map(|h| h.unchanged_since).max().unwrap_or(0);
            (!is_nameless(uid), started, since, uid.clone())
        };
        let bound =
            |map: &BTreeMap<Uid, Bound>, uid: &Uid| map.get(uid).copied().flatten().is_some();
        let mut list: BTreeMap<Uid, (EndpointView, u16)> = BTreeMap::new();
        for uid in &uids {
            if bound(&self.gone, uid) {
                continue;
            }
            let answered = self.answered.get(uid).is_some_and(|at| now < at + VOUCH);
            let (mut view, tier) = match (self.best(uid), self.last.get(uid)) {
                (Some(h), _) => {
                    let c = &h.claim;
                    let started = self.of(uid).map(|h| h.claim.started_at).max().unwrap_or(0);
                    let (address, replica_set, zone, weight) =
                        (c.address, c.replica_set, c.zone, c.weight);
                    (
                        EndpointView {
                            address,
                            replica_set,
                            zone,
                            state: ClaimedState::Ready,
                            started_at: started,
                            weight,
                        },
                        c.tier,
                    )
                }
                (None, Some(last)) if answered => last.clone(),
                _ => continue,
            };
            let shadowed = self
                .at(view.address)
                .iter()
                .filter(|o| *o != uid && !bound(&self.gone, o))
                .any(|o| {
                    self.best(o)
                        .is_some_and(|h| h.claim.address == view.address)
                        && hold(self, o) > hold(self, uid)
                });
            if shadowed {
                continue;
            }
            let leaves = bound(&self.drains, uid) || self.own.contains_key(uid);
            view.state = if leaves {
                ClaimedState::Draining
            } else {
                ClaimedState::Ready
            };
            list.insert(uid.clone(), (view, tier));
        }
        for (uid, (view, tier)) in &list {
            self.last.insert(uid.clone(), (view.clone(), *tier));
        }
        let mut lowest: BTreeMap<u32, u16> = BTreeMap::new();
        for (view, tier) in list
            .values()
            .filter(|(v, _)| v.state == ClaimedState::Ready)
        {
            let lowest = lowest.entry(view.replica_set).or_insert(*tier);
            *lowest = *tier.min(lowest);
        }
        let in_use = |(_, (view, tier)): &(Uid, (EndpointView, u16))| {
            view.state == ClaimedState::Draining || lowest[&view.replica_set] == *tier
        };
        list.into_iter()
            .filter(in_use)
            .map(|(uid, (view, _))| (uid, view))
            .collect()
    }
}

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
    let until = prop_oneof![
        Just(None),
        Just(Some(0u64)),
        Just(Some(SECOND)),
        Just(Some(86_400 * SECOND))
    ];
    let place = (1..5u16, 1..3u32, 0..2u16);
    (uid, place, proptest::bool::weighted(0.7), 0..3u64, until).prop_map(
        |(uid, place, ready, started, until)| Claim {
            uid,
            state: if ready {
                ClaimedState::Ready
            } else {
                ClaimedState::Draining
            },
            started_at: started,
            expires_at: until,
            tier: place.2,
            ..Claim::new("", SocketAddr::from(([127, 0, 0, 1], place.0)), place.1)
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let name = || (0..4u8).prop_map(|n| Uid::from(format!("n{n}")));
    let how = prop_oneof![Just(Withdrawal::Removed), Just(Withdrawal::Absent)];
    let whole = proptest::collection::hash_set(name(), 0..4);
    let input = prop_oneof![
        8 => (0..3u16, name(), claim()).prop_map(|(source, name, claim)| RegistryInput::Claimed { source, name, claim }),
        3 => (0..3u16, name(), how).prop_map(|(source, name, how)| RegistryInput::Withdrawn { source, name, withdrawal: how }),
        1 => (0..3u16, whole).prop_map(|(source, names)| RegistryInput::Snapshot { source, names }),
        1 => (0..3u16).prop_map(|source| RegistryInput::SourceFailed { source }),
        3 => (uid(), any::<bool>()).prop_map(|(endpoint, is_draining)| RegistryInput::EndpointResponded { endpoint, is_draining }),
    ];
    prop_oneof![8 => input.prop_map(Step::Input), 1 => (0..40_000u64).prop_map(|n| Step::Wait(n * TICK))]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_list_is_the_one_that_is_rebuilt(steps in proptest::collection::vec(step(), 1..40)) {
        let start = 1_000_000 * SECOND;
        // Nothing is forgotten within the test: the reference never forgets.
        let settings = RegistrySettings { heartbeat_ttl: VOUCH, retention: u64::MAX / 4, ..RegistrySettings::default() };
        let (mut endpoints, mut plain) = (EndpointRegistry::new(settings, start), Plain::default());
        let (mut now, mut changes, mut version) = (start, Vec::new(), 0);
        let mut list: BTreeMap<Uid, EndpointView> = BTreeMap::new();
        for (source, kind) in [(0, SourceKind::EndpointList), (1, SourceKind::DnsRecords), (2, SourceKind::DnsRecords)] {
            let input = RegistryInput::SourceAdded { source, kind };
            plain.handle(now, &input);
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
                    plain.list(now);
                    plain.handle(now, &input);
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
            prop_assert_eq!(&list, &plain.list(now));
        }
    }
}

/// Guards the tables that are kept beside the claims: a removed source leaves nothing behind.
#[test]
fn a_source_that_is_removed_takes_only_its_own() {
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
    for n in 0..10u16 {
        let at = SocketAddr::from(([127, 0, 0, 1], 7000 + n));
        let claim = Claim::new(&format!("s-{n}"), at, 1);
        let name: Uid = format!("n{n}").into();
        endpoints.handle(
            SECOND,
            RegistryInput::Claimed {
                source: n % 2,
                name: name.clone(),
                claim: claim.clone(),
            },
            &mut changes,
        );
        if n < 4 {
            endpoints.handle(
                SECOND,
                RegistryInput::Claimed {
                    source: (n + 1) % 2,
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
    let gone: HashSet<&str> = changes.iter().map(ListChange::endpoint).collect();
    assert_eq!(gone, HashSet::from(["s-5", "s-7", "s-9"]));
    assert_eq!(endpoints.len(), 7);
    endpoints.handle(
        2 * SECOND,
        RegistryInput::SourceRemoved { source: 0 },
        &mut changes,
    );
    assert!(endpoints.is_empty() && endpoints.next_due().is_none());
}

/// Guards the drain that an endpoint tells itself: what it still finishes does not lift it; a newer start does, and time.
#[test]
fn a_endpoint_that_leaves_may_still_answer() {
    let mut endpoints = EndpointRegistry::new(
        RegistrySettings {
            heartbeat_ttl: VOUCH,
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
    let told = |started| {
        let claim = Claim {
            started_at: started,
            ..Claim::new("s-1", SocketAddr::from(([127, 0, 0, 1], 1)), 1)
        };
        RegistryInput::Claimed {
            source: 1,
            name: "n1".into(),
            claim,
        }
    };
    let answered = |is_draining| RegistryInput::EndpointResponded {
        endpoint: "s-1".into(),
        is_draining,
    };
    let state = |m: &EndpointRegistry| m.endpoint_statuses()[0].listed.as_ref().map(|v| v.state);
    let steps = [
        (told(1), ClaimedState::Ready),
        (answered(true), ClaimedState::Draining),
        (answered(false), ClaimedState::Draining),
        (told(1), ClaimedState::Draining),
        (told(2), ClaimedState::Ready),
        (answered(true), ClaimedState::Draining),
    ];
    let mut now = SECOND;
    for (input, wanted) in steps {
        now += SECOND;
        endpoints.handle(now, input, &mut changes);
        assert_eq!(state(&endpoints), Some(wanted));
    }
    endpoints.on_due(now + VOUCH - TICK, &mut changes);
    assert_eq!(state(&endpoints), Some(ClaimedState::Draining));
    endpoints.on_due(now + VOUCH, &mut changes);
    assert_eq!(state(&endpoints), Some(ClaimedState::Ready));
}
