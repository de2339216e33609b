//! The claims, the rules, and the list.

use crate::wheel::{TimerHandle, TimerWheel};
use reelrill_routing::{Nanos, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A source, as its host numbers them.
pub type SourceId = u16;

/// What a source is. A later kind is the better source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceKind {
    /// Records: no versions, and a secondary may be behind.
    DnsRecords,
    /// The roster: its versions only go up.
    EndpointList,
}

/// What a claim says of the endpoint's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimedState {
    /// In service.
    Ready,
    /// Finishing its work; nothing new.
    Draining,
}

/// What a source says of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Its own name; none: the source does not tell it.
    pub uid: Option<Arc<str>>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its replica set.
    pub replica_set: u32,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub state: ClaimedState,
    /// When it last started, in Unix nanoseconds; 0: not told, or long past.
    pub started: Timestamp,
    /// The source's version of this word; 0 where it has none.
    pub version: u64,
    /// Its size as compared with others.
    pub weight: f64,
    /// Endpoints of a higher tier are used only while their replica set has none in service in a lower one.
    pub tier: u16,
    /// When the claim is stale if it has not been told again; none: never.
    pub until: Option<Timestamp>,
}

impl Claim {
    /// An endpoint in service, with nothing else told.
    pub fn new(uid: &str, address: SocketAddr, replica_set: u32) -> Claim {
        let (state, uid) = (ClaimedState::Ready, Some(uid.into()));
        Claim {
            uid,
            address,
            replica_set,
            zone: 0,
            state,
            started: 0,
            version: 0,
            weight: 1.0,
            tier: 0,
            until: None,
        }
    }
}

impl Claim {
    /// Whether the list would say the same of it.
    fn counts_as(&self, other: &Claim) -> bool {
        (self.address, self.replica_set, self.zone, self.tier)
            == (other.address, other.replica_set, other.zone, other.tier)
            && self.weight == other.weight
    }

    /// Whether another says the same of the endpoint, however old and long it holds.
    fn says_as(&self, other: &Claim) -> bool {
        let (version, until) = (other.version, other.until);
        *other
            == Claim {
                version,
                until,
                ..self.clone()
            }
    }
}

/// How a source takes an endpoint's name back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Withdrawal {
    /// It says that the endpoint is gone.
    Removed,
    /// It does not name it any more.
    Absent,
}

/// What comes in.
#[derive(Debug, Clone)]
pub enum Input {
    /// A source is there from now on.
    SourceAdded {
        /// Its number.
        source: SourceId,
        /// What it is.
        kind: SourceKind,
    },
    /// A source was taken out of the configuration: what it says no longer counts.
    SourceRemoved {
        /// Its number.
        source: SourceId,
    },
    /// A source names an endpoint, or says something else of it.
    Claimed {
        /// The source.
        source: SourceId,
        /// The endpoint, as the source names it.
        name: Arc<str>,
        /// What it says.
        claim: Claim,
    },
    /// A source names an endpoint no longer.
    Withdrawn {
        /// The source.
        source: SourceId,
        /// The endpoint, as the source names it.
        name: Arc<str>,
        /// How.
        how: Withdrawal,
    },
    /// These are all that the source names.
    Snapshot {
        /// The source.
        source: SourceId,
        /// As the source names them.
        names: HashSet<Arc<str>>,
    },
    /// A source can't be heard: it answered with a failure, or not at all.
    SourceFailed {
        /// The source.
        source: SourceId,
    },
    /// An endpoint answered for itself.
    EndpointResponded {
        /// The endpoint.
        endpoint: Arc<str>,
        /// It says that it leaves.
        is_draining: bool,
    },
}

/// What is in the list of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointView {
    /// Where it is dialled.
    pub address: SocketAddr,
    /// Its replica set.
    pub replica_set: u32,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub state: ClaimedState,
    /// When it last started.
    pub started: Timestamp,
    /// Its size as compared with others.
    pub weight: f64,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The endpoint is in the list, like this.
    Listed {
        /// The endpoint.
        endpoint: Arc<str>,
        /// What the list says of it.
        view: EndpointView,
        /// It was not in the list before.
        is_new: bool,
    },
    /// The endpoint is not in the list any more.
    Gone {
        /// The endpoint.
        endpoint: Arc<str>,
    },
}

impl Change {
    /// The endpoint that it is about.
    pub fn endpoint(&self) -> &str {
        match self {
            Change::Listed { endpoint, .. } | Change::Gone { endpoint } => endpoint,
        }
    }
}

/// The rule that decided what the list says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListingRule {
    /// A source names it and nothing speaks against it.
    Named,
    /// No source names it now, but it answered a short while ago.
    Vouched,
    /// No source names it.
    Unnamed,
    /// A source says that it drains, and nothing newer has lifted that.
    Drain,
    /// It says itself that it leaves.
    OwnDrain,
    /// A source says that it is gone, and nothing newer has lifted that.
    Gone,
    /// Another endpoint has its endpoint.
    Shadowed,
    /// Its replica set has endpoints in service in a lower tier.
    Standby,
}

/// A claim as it is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldClaim {
    /// Who says it.
    pub source: SourceId,
    /// The name there.
    pub name: Arc<str>,
    /// What is said.
    pub claim: Claim,
    /// When it was last told.
    pub told: Timestamp,
    /// Since when it says the same.
    pub since: Timestamp,
    /// It was not told again in time: it counts for less than one that was.
    pub is_stale: bool,
}

/// A word that binds until something newer lifts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StateMarker {
    /// Who said it.
    pub by: SourceId,
    /// What that source is.
    pub kind: SourceKind,
    /// The start of the endpoint that it was said of.
    pub started: Timestamp,
    /// The source's version of it.
    pub version: u64,
    /// When it was said.
    pub at: Timestamp,
}

#[derive(Debug, Clone, Default)]
struct EndpointRecord {
    /// Its number among all that ever were: shorter to compare than its name.
    serial: u64,
    claims: Vec<HeldClaim>,
    drain: Option<StateMarker>,
    gone: Option<StateMarker>,
    draining_since: Option<Timestamp>,
    answered: Option<Timestamp>,
    /// The view that the claims last gave: what an endpoint that only vouches for itself is listed by.
    last: Option<EndpointView>,
    last_tier: u16,
    /// Its place among those that are in service, by replica set and tier.
    ranked: Option<(u32, u16)>,
    listed: Option<EndpointView>,
    rule: Option<ListingRule>,
    /// The rule but for the tier.
    judged: Option<ListingRule>,
    /// The endpoint of the claim that counts.
    best: Option<SocketAddr>,
    /// When to look at it again.
    timer: Option<(TimerHandle, Timestamp)>,
}

#[derive(Debug, Clone)]
struct SourceState {
    kind: SourceKind,
    /// Since when it has not been heard.
    silent: Option<Timestamp>,
}

/// What the rules are to go by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegistrySettings {
    /// How long an endpoint's own answer vouches for it, and its own word that it leaves binds.
    pub heartbeat_ttl: Nanos,
    /// How long an endpoint that nobody names is kept in mind, so that an old word about it is known for one.
    pub retention: Nanos,
    /// The most endpoints; what comes beyond is not taken in, and counted.
    pub max_endpoints: usize,
    /// Only newer word lifts a drain. Off only to show that a check finds it.
    pub has_sticky_drains: bool,
    /// A failure of a source takes nothing away. Off only to show that a check finds it.
    pub keeps_claims_of_failed_sources: bool,
    /// An endpoint that one source no longer names stays as long as others name it or it answers. Off only to show
    /// that a check finds it.
    pub requires_all_sources_for_removal: bool,
}

impl Default for RegistrySettings {
    fn default() -> RegistrySettings {
        let (heartbeat_ttl, retention) = (30_000_000_000, 600_000_000_000);
        let (has_sticky_drains, keeps_claims_of_failed_sources, requires_all_sources_for_removal) =
            (true, true, true);
        RegistrySettings {
            heartbeat_ttl,
            retention,
            max_endpoints: 65_536,
            has_sticky_drains,
            keeps_claims_of_failed_sources,
            requires_all_sources_for_removal,
        }
    }
}

/// What has been counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegistryCounts {
    /// Endpoints that came into the list, and that left it.
    pub added: u64,
    /// See `added`.
    pub removed: u64,
    /// Words that another source's contradict, as they were told.
    pub contradictions: u64,
    /// Names that could stand for more than one endpoint.
    pub ambiguous_names: u64,
    /// Claims beyond the bound.
    pub rejected_claims: u64,
}

/// An endpoint, for people.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// What the list says of it, if it is there.
    pub listed: Option<EndpointView>,
    /// Why.
    pub rule: ListingRule,
    /// Who says what.
    pub claims: Vec<HeldClaim>,
    /// A drain that was told and not lifted.
    pub drain: Option<StateMarker>,
    /// Since when it says itself that it leaves.
    pub draining_since: Option<Timestamp>,
    /// It was said to be gone, and that was not lifted.
    pub gone: Option<StateMarker>,
    /// When it last answered.
    pub answered: Option<Timestamp>,
}

/// All endpoints.
#[derive(Debug, Clone)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    sources: BTreeMap<SourceId, SourceState>,
    endpoints: HashMap<Arc<str>, EndpointRecord>,
    /// Which endpoint a source's name stands for.
    names: HashMap<(SourceId, Arc<str>), Arc<str>>,
    /// Which endpoints have claims of an endpoint, or were listed there last.
    addresses: HashMap<SocketAddr, Vec<Arc<str>>>,
    /// The endpoints in service, by replica set and tier.
    tiers: HashMap<u32, BTreeMap<(u16, u64), Arc<str>>>,
    /// Endpoints so far.
    serial: u64,
    wheel: TimerWheel<Arc<str>>,
    /// Endpoints whose claims differ in what the list would say.
    disputed: HashSet<Arc<str>>,
    contradicted: Option<Arc<str>>,
    counts: RegistryCounts,
}

/// What stands before the name of an endpoint whose own name no source tells.
const NAMELESS: &str = "name:";

impl EndpointRegistry {
    /// No sources and no endpoints.
    pub fn new(settings: RegistrySettings, now: Timestamp) -> EndpointRegistry {
        EndpointRegistry {
            settings,
            sources: BTreeMap::new(),
            endpoints: HashMap::new(),
            names: HashMap::new(),
            addresses: HashMap::new(),
            tiers: HashMap::new(),
            serial: 0,
            wheel: TimerWheel::new(now),
            disputed: HashSet::new(),
            contradicted: None,
            counts: RegistryCounts::default(),
        }
    }

    /// What has been counted.
    pub fn counts(&self) -> RegistryCounts {
        self.counts
    }

    /// The endpoint of which two sources last contradicted each other.
    pub fn contradicted(&self) -> Option<&Arc<str>> {
        self.contradicted.as_ref()
    }

    /// How many endpoints are kept in mind, listed or not.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// All endpoints, in the order of their names.
    pub fn status(&self) -> Vec<EndpointStatus> {
        let status = |(id, m): (&Arc<str>, &EndpointRecord)| EndpointStatus {
            endpoint: id.clone(),
            listed: m.listed.clone(),
            rule: m.rule.unwrap_or(ListingRule::Unnamed),
            claims: m.claims.clone(),
            drain: m.drain,
            draining_since: m.draining_since,
            gone: m.gone,
            answered: m.answered,
        };
        let mut all: Vec<EndpointStatus> = self.endpoints.iter().map(status).collect();
        all.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        all
    }

    /// The rule that decided of an endpoint.
    pub fn rule(&self, endpoint: &str) -> Option<ListingRule> {
        self.endpoints.get(endpoint)?.rule
    }

    /// Since when a source has not been heard; none: it has, or is not known.
    pub fn silent_since(&self, source: SourceId) -> Option<Timestamp> {
        self.sources.get(&source)?.silent
    }

    /// When [`Endpoints::on_due`] is to be called at the latest.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.wheel.next_due()
    }

    /// Claims that are stale now, vouching that has ended, endpoints to be forgotten.
    pub fn on_due(&mut self, now: Timestamp, changes: &mut Vec<Change>) {
        let mut due = Vec::new();
        self.wheel.expire(now, &mut due);
        for id in due {
            let Some(m) = self.endpoints.get_mut(&id) else {
                continue;
            };
            m.timer = None;
            m.draining_since = m
                .draining_since
                .filter(|at| now < at.saturating_add(self.settings.heartbeat_ttl));
            for held in &mut m.claims {
                held.is_stale |= held.claim.until.is_some_and(|until| until <= now);
            }
            self.settle(now, &id, changes);
        }
    }

    /// Takes one input, and appends what it changes in the list.
    pub fn handle(&mut self, now: Timestamp, input: Input, changes: &mut Vec<Change>) {
        match input {
            Input::SourceAdded { source, kind } => {
                self.sources
                    .insert(source, SourceState { kind, silent: None });
            }
            Input::SourceRemoved { source } => self.on_no_source(now, source, changes),
            Input::Claimed {
                source,
                name,
                claim,
            } => self.on_told(now, source, name, claim, changes),
            Input::Withdrawn { source, name, how } => {
                let changed = self.hear(now, source, true);
                self.remove_all(now, source, vec![name], how, changes);
                self.settle_disputed(now, changed, changes);
            }
            Input::Snapshot { source, names } => {
                let changed = self.hear(now, source, true);
                let is_absent =
                    |(s, name): &&(SourceId, Arc<str>)| *s == source && !names.contains(name);
                let absent: Vec<Arc<str>> = self
                    .names
                    .keys()
                    .filter(is_absent)
                    .map(|k| k.1.clone())
                    .collect();
                self.remove_all(now, source, absent, Withdrawal::Absent, changes);
                self.settle_disputed(now, changed, changes);
            }
            Input::SourceFailed { source } => {
                let changed = self.hear(now, source, false);
                if !self.settings.keeps_claims_of_failed_sources {
                    self.drop_claims(now, source, changes);
                }
                self.settle_disputed(now, changed, changes);
            }
            Input::EndpointResponded {
                endpoint,
                is_draining,
            } => self.on_answered(now, &endpoint, is_draining, changes),
        }
    }

    /// A source is heard again, or no longer. Says whether that is new.
    fn hear(&mut self, now: Timestamp, source: SourceId, is_heard: bool) -> bool {
        let Some(heard) = self.sources.get_mut(&source) else {
            return false;
        };
        if heard.silent.is_none() == is_heard {
            return false;
        }
        heard.silent = (!is_heard).then_some(now);
        true
    }

    /// What a source says counts for more, or for less, where others contradict it.
    fn settle_disputed(&mut self, now: Timestamp, changed: bool, changes: &mut Vec<Change>) {
        if !changed {
            return;
        }
        let mut disputed: Vec<Arc<str>> = self.disputed.iter().cloned().collect();
        disputed.sort_unstable();
        for id in disputed {
            self.settle(now, &id, changes);
        }
    }

    fn on_answered(
        &mut self,
        now: Timestamp,
        id: &Arc<str>,
        is_draining: bool,
        changes: &mut Vec<Change>,
    ) {
        // The usual case, many times a second: one look-up, and nothing else to do.
        let Some(m) = self.endpoints.get_mut(id) else {
            return;
        };
        m.answered = Some(now);
        // What it still finishes it answers as ever: that does not mean that it stays.
        if is_draining || m.rule == Some(ListingRule::Unnamed) {
            m.draining_since = if is_draining {
                Some(now)
            } else {
                m.draining_since
            };
            self.settle(now, id, changes);
        }
    }

    fn on_no_source(&mut self, now: Timestamp, source: SourceId, changes: &mut Vec<Change>) {
        self.drop_claims(now, source, changes);
        self.sources.remove(&source);
        let bound: Vec<Arc<str>> = self
            .endpoints
            .iter()
            .filter(|(_, m)| m.is_bound_by(source))
            .map(|(id, _)| id.clone())
            .collect();
        for id in bound {
            if let Some(m) = self.endpoints.get_mut(&id) {
                m.drain = m.drain.filter(|b| b.by != source);
                m.gone = m.gone.filter(|b| b.by != source);
            }
            self.settle(now, &id, changes);
        }
    }

    fn drop_claims(&mut self, now: Timestamp, source: SourceId, changes: &mut Vec<Change>) {
        let names: Vec<Arc<str>> = self
            .names
            .keys()
            .filter(|k| k.0 == source)
            .map(|k| k.1.clone())
            .collect();
        self.remove_all(now, source, names, Withdrawal::Absent, changes);
    }

    /// Those that a source names at an endpoint now.
    fn claimants(&self, address: SocketAddr) -> Vec<Arc<str>> {
        let claims = |id: &&Arc<str>| {
            self.endpoints
                .get(*id)
                .is_some_and(|m| m.claims.iter().any(|h| h.claim.address == address))
        };
        self.addresses
            .get(&address)
            .into_iter()
            .flatten()
            .filter(claims)
            .cloned()
            .collect()
    }

    /// Which endpoint a claim is about. Its own name says so; else the one endpoint that has its endpoint; else it is
    /// kept apart, under the source's name for it.
    fn identify(&mut self, source: SourceId, name: &Arc<str>, claim: &Claim) -> Arc<str> {
        if let Some(uid) = &claim.uid {
            return uid.clone();
        }
        let at = self.claimants(claim.address);
        let mut named = at.iter().filter(|id| !id.starts_with(NAMELESS));
        match (named.next(), named.next()) {
            (Some(only), None) => return only.clone(),
            (Some(_), Some(_)) if !self.names.contains_key(&(source, name.clone())) => {
                self.counts.ambiguous_names += 1
            }
            _ => {}
        }
        format!("{NAMELESS}{source}:{name}").into()
    }

    fn on_told(
        &mut self,
        now: Timestamp,
        source: SourceId,
        name: Arc<str>,
        claim: Claim,
        changes: &mut Vec<Change>,
    ) {
        let Some(kind) = self.sources.get(&source).map(|s| s.kind) else {
            return;
        };
        let changed = self.hear(now, source, true);
        let id = self.identify(source, &name, &claim);
        if !self.endpoints.contains_key(&id) && self.endpoints.len() >= self.settings.max_endpoints
        {
            self.counts.rejected_claims += 1;
            return;
        }
        let key = (source, name.clone());
        let before = self.names.insert(key, id.clone());
        // The source may give the name to another endpoint; that one is judged once the name is where it belongs.
        let given = before
            .filter(|before| *before != id)
            .and_then(|before| Some((self.unclaim(source, &name, &before)?.claim.address, before)));
        let serial = &mut self.serial;
        let m = self.endpoints.entry(id.clone()).or_insert_with(|| {
            *serial += 1;
            EndpointRecord {
                serial: *serial,
                ..EndpointRecord::default()
            }
        });
        let contradicts =
            |h: &HeldClaim| h.source != source && !h.is_stale && h.claim.state != claim.state;
        let is_news = !m
            .claims
            .iter()
            .any(|h| h.source == source && h.name == name && h.claim.state == claim.state);
        if is_news && m.claims.iter().any(contradicts) {
            self.counts.contradictions += 1;
            self.contradicted = Some(id.clone());
        }
        let last = m.last.as_ref().map_or(0, |v| v.started);
        if claim.started > last && m.claims.iter().all(|h| h.claim.started < claim.started) {
            // Another process is there now.
            m.draining_since = None;
        }
        m.bind(now, source, kind, &claim, self.settings.has_sticky_drains);
        let address = claim.address;
        let is_stale = claim.until.is_some_and(|until| until <= now);
        let mut held = HeldClaim {
            source,
            name: name.clone(),
            claim,
            told: now,
            since: now,
            is_stale,
        };
        let mut moved = None;
        match m
            .claims
            .iter_mut()
            .find(|h| h.source == source && h.name == name)
        {
            Some(old) => {
                moved = Some(old.claim.address).filter(|e| *e != address);
                if old.claim.says_as(&held.claim) {
                    held.since = old.since;
                }
                *old = held;
            }
            None => {
                // Most endpoints have one claim of each source: room for more would be their largest part.
                m.claims.reserve_exact(1);
                m.claims.push(held);
            }
        }
        self.enter(address, &id, now, changes);
        if let Some(old) = moved {
            self.leave(old, &id, now, changes);
        }
        self.settle(now, &id, changes);
        if let Some((address, before)) = given {
            self.leave(address, &before, now, changes);
            self.settle(now, &before, changes);
        }
        self.settle_others(now, address, &id, changes);
        self.settle_disputed(now, changed, changes);
    }

    /// An endpoint has a claim of an endpoint. Nameless ones that stood for it are the same endpoint.
    fn enter(
        &mut self,
        address: SocketAddr,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<Change>,
    ) {
        let at = self
            .addresses
            .entry(address)
            .or_insert_with(|| Vec::with_capacity(1));
        if !at.contains(id) {
            at.push(id.clone());
        }
        if at.len() == 1 {
            return;
        }
        let at = self.claimants(address);
        let is_named = |id: &Arc<str>| !id.starts_with(NAMELESS);
        if !is_named(id) || at.iter().filter(|id| is_named(id)).count() != 1 {
            return;
        }
        let nameless: Vec<Arc<str>> = at.iter().filter(|id| !is_named(id)).cloned().collect();
        for other in nameless {
            let Some(m) = self.endpoints.get_mut(&other) else {
                continue;
            };
            let claims: Vec<HeldClaim> = m
                .claims
                .extract_if(.., |h| h.claim.address == address)
                .collect();
            let (drain, answered) = (m.drain, m.answered);
            for held in &claims {
                self.names
                    .insert((held.source, held.name.clone()), id.clone());
            }
            if let Some(m) = self.endpoints.get_mut(id) {
                m.claims.extend(claims);
                m.drain = m.drain.or(drain);
                m.answered = m.answered.max(answered);
            }
            self.leave(address, &other, now, changes);
            self.settle(now, &other, changes);
        }
    }

    /// An endpoint may have no claim of an endpoint any more; then others may have it.
    fn leave(
        &mut self,
        address: SocketAddr,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<Change>,
    ) {
        let m = self.endpoints.get(id);
        if m.is_some_and(|m| m.claims.iter().any(|h| h.claim.address == address)) {
            return;
        }
        self.unindex(address, id);
        self.settle_others(now, address, id, changes);
    }

    /// An endpoint without a claim of an endpoint has no place there, unless it may vouch for itself there.
    fn unindex(&mut self, address: SocketAddr, id: &Arc<str>) {
        let m = self.endpoints.get(id);
        let is_last = m.is_some_and(|m| m.last.as_ref().is_some_and(|v| v.address == address));
        if is_last || m.is_some_and(|m| m.claims.iter().any(|h| h.claim.address == address)) {
            return;
        }
        if let Some(at) = self.addresses.get_mut(&address) {
            at.retain(|other| other != id);
            if at.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }

    /// Those that share an endpoint with an endpoint that has changed.
    fn settle_others(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        id: &Arc<str>,
        changes: &mut Vec<Change>,
    ) {
        let Some(at) = self
            .addresses
            .get(&address)
            .filter(|at| at.len() > 1 || !at.contains(id))
        else {
            return;
        };
        let others: Vec<Arc<str>> = at.iter().filter(|other| *other != id).cloned().collect();
        for other in others {
            self.settle(now, &other, changes);
        }
    }

    /// Takes a claim out.
    fn unclaim(&mut self, source: SourceId, name: &Arc<str>, id: &Arc<str>) -> Option<HeldClaim> {
        let m = self.endpoints.get_mut(id)?;
        let at = m
            .claims
            .iter()
            .position(|h| h.source == source && h.name == *name)?;
        Some(m.claims.swap_remove(at))
    }

    /// Takes claims out, all before anything is judged by what is left.
    fn remove_all(
        &mut self,
        now: Timestamp,
        source: SourceId,
        mut names: Vec<Arc<str>>,
        how: Withdrawal,
        changes: &mut Vec<Change>,
    ) {
        let Some(kind) = self.sources.get(&source).map(|h| h.kind) else {
            return;
        };
        names.sort_unstable();
        let mut touched = Vec::new();
        for name in names {
            let Some(id) = self.names.remove(&(source, name.clone())) else {
                continue;
            };
            let Some(held) = self.unclaim(source, &name, &id) else {
                continue;
            };
            if let Some(m) = self.endpoints.get_mut(&id)
                && (how == Withdrawal::Removed || !self.settings.requires_all_sources_for_removal)
            {
                let (started, version) = (held.claim.started, held.claim.version);
                m.gone = Some(StateMarker {
                    by: source,
                    kind,
                    started,
                    version,
                    at: now,
                });
            }
            touched.push((id, held.claim.address));
        }
        for (id, address) in &touched {
            self.leave(*address, id, now, changes);
        }
        for (id, _) in &touched {
            self.settle(now, id, changes);
        }
    }

    /// Judges an endpoint anew and tells what that changes, for it and for those that depend on it.
    fn settle(&mut self, now: Timestamp, id: &Arc<str>, changes: &mut Vec<Change>) {
        let Some((rule, view, tier)) = self.judge(now, id) else {
            return;
        };
        let Some(m) = self.endpoints.get_mut(id) else {
            return;
        };
        // In service and not held back by anything but its tier.
        let ranked = view
            .as_ref()
            .filter(|v| v.state == ClaimedState::Ready)
            .map(|v| (v.replica_set, tier));
        let before = std::mem::replace(&mut m.ranked, ranked);
        let last = view.as_ref().and_then(|view| {
            m.last_tier = tier;
            m.last.replace(view.clone())
        });
        m.rule = Some(rule);
        m.judged = Some(rule);
        let had = m.best;
        if before != ranked {
            if let Some((replica_set, tier)) = before {
                self.unrank(replica_set, tier, id, now, changes);
            }
            if let Some((replica_set, tier)) = ranked {
                self.rank(replica_set, tier, id, now, changes);
            }
        }
        self.publish(id, view, tier, changes);
        let has = self.endpoints.get(id).and_then(|m| self.endpoint_of(m));
        if let Some(m) = self.endpoints.get_mut(id) {
            m.best = has;
            // Which of its claims counts may turn on whether their sources are heard.
            let differ = |h: &HeldClaim| !h.claim.counts_as(&m.claims[0].claim);
            if m.claims.iter().any(differ) {
                self.disputed.insert(id.clone());
            } else if !self.disputed.is_empty() {
                self.disputed.remove(id);
            }
        }
        if let Some(last) = last {
            self.unindex(last.address, id);
        }
        for address in had.into_iter().chain(has.filter(|_| has != had)) {
            self.settle_shadows(now, address, id, changes);
        }
        self.schedule(now, id);
    }

    /// Those that would have an endpoint, but for the endpoint that has it or had it. Each settles by the same order,
    /// so this ends.
    fn settle_shadows(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        id: &Arc<str>,
        changes: &mut Vec<Change>,
    ) {
        // Nearly always an endpoint is alone at its endpoint.
        let at = match self.addresses.get(&address) {
            Some(at) if at.len() > 1 || !at.contains(id) => at.clone(),
            _ => return,
        };
        for other in at.iter().filter(|other| *other != id) {
            let rule = self.judge(now, other).map(|j| j.0);
            if rule != self.endpoints.get(other).and_then(|m| m.judged) {
                self.settle(now, other, changes);
            }
        }
    }

    fn lowest(&self, replica_set: u32) -> Option<u16> {
        self.tiers
            .get(&replica_set)?
            .first_key_value()
            .map(|((tier, _), _)| *tier)
    }

    fn serial_of(&self, id: &Arc<str>) -> u64 {
        self.endpoints.get(id).map_or(0, |m| m.serial)
    }

    fn rank(
        &mut self,
        replica_set: u32,
        tier: u16,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<Change>,
    ) {
        let before = self.lowest(replica_set);
        let serial = self.serial_of(id);
        self.tiers
            .entry(replica_set)
            .or_default()
            .insert((tier, serial), id.clone());
        self.retier(replica_set, before, now, changes);
    }

    fn unrank(
        &mut self,
        replica_set: u32,
        tier: u16,
        id: &Arc<str>,
        now: Timestamp,
        changes: &mut Vec<Change>,
    ) {
        let before = self.lowest(replica_set);
        let serial = self.serial_of(id);
        if let Some(tiers) = self.tiers.get_mut(&replica_set) {
            tiers.remove(&(tier, serial));
            if tiers.is_empty() {
                self.tiers.remove(&replica_set);
            }
        }
        self.retier(replica_set, before, now, changes);
    }

    /// Another tier of a replica set is the lowest one: the endpoints of both change places.
    fn retier(
        &mut self,
        replica_set: u32,
        before: Option<u16>,
        now: Timestamp,
        changes: &mut Vec<Change>,
    ) {
        let after = self.lowest(replica_set);
        if before == after {
            return;
        }
        let of = |tier: Option<u16>| -> Vec<Arc<str>> {
            let (Some(tier), Some(tiers)) = (tier, self.tiers.get(&replica_set)) else {
                return Vec::new();
            };
            tiers
                .range((tier, 0)..=(tier, u64::MAX))
                .map(|(_, id)| id.clone())
                .collect()
        };
        let affected: Vec<Arc<str>> = [of(after), of(before)].concat();
        for id in affected {
            if let Some((rule, view, tier)) = self.judge(now, &id) {
                if let Some(m) = self.endpoints.get_mut(&id) {
                    (m.rule, m.judged) = (Some(rule), Some(rule));
                }
                self.publish(&id, view, tier, changes);
            }
        }
    }

    /// Tells what the list says of an endpoint, if that is new.
    fn publish(
        &mut self,
        id: &Arc<str>,
        view: Option<EndpointView>,
        tier: u16,
        changes: &mut Vec<Change>,
    ) {
        let is_standby = view.as_ref().is_some_and(|v| {
            v.state == ClaimedState::Ready
                && self
                    .lowest(v.replica_set)
                    .is_some_and(|lowest| lowest < tier)
        });
        let Some(m) = self.endpoints.get_mut(id) else {
            return;
        };
        if is_standby {
            m.rule = Some(ListingRule::Standby);
        }
        let view = view.filter(|_| !is_standby);
        if m.listed == view {
            return;
        }
        match (&m.listed, &view) {
            (None, Some(_)) => self.counts.added += 1,
            (Some(_), None) => self.counts.removed += 1,
            _ => {}
        }
        let is_new = m.listed.is_none();
        m.listed.clone_from(&view);
        let endpoint = id.clone();
        changes.push(match view {
            Some(view) => Change::Listed {
                endpoint,
                view,
                is_new,
            },
            None => Change::Gone { endpoint },
        });
    }

    /// What the rules say of an endpoint, but for its tier.
    fn judge(
        &self,
        now: Timestamp,
        id: &Arc<str>,
    ) -> Option<(ListingRule, Option<EndpointView>, u16)> {
        let m = self.endpoints.get(id)?;
        if m.gone.is_some() {
            return Some((ListingRule::Gone, None, 0));
        }
        let answered = m
            .answered
            .is_some_and(|at| now < at.saturating_add(self.settings.heartbeat_ttl));
        let best = m.claims.iter().max_by(|a, b| self.compare(a, b));
        let (mut rule, mut view, tier) = match (best, &m.last) {
            (Some(h), _) => {
                let c = &h.claim;
                let started = m.claims.iter().map(|h| h.claim.started).max().unwrap_or(0);
                let (address, replica_set, zone, weight) =
                    (c.address, c.replica_set, c.zone, c.weight);
                (
                    ListingRule::Named,
                    EndpointView {
                        address,
                        replica_set,
                        zone,
                        state: ClaimedState::Ready,
                        started,
                        weight,
                    },
                    c.tier,
                )
            }
            (None, Some(last)) if answered => (ListingRule::Vouched, last.clone(), m.last_tier),
            _ => return Some((ListingRule::Unnamed, None, 0)),
        };
        let (mine, address) = (self.hold(m, id), view.address);
        let others = self.addresses.get(&address).map_or(&[][..], |at| at);
        let is_shadowed = others.iter().filter(|other| *other != id).any(|other| {
            self.endpoints.get(other).is_some_and(|o| {
                let has = o.gone.is_none() && self.endpoint_of(o) == Some(address);
                has && self.hold(o, other) > mine
            })
        });
        if is_shadowed {
            return Some((ListingRule::Shadowed, None, tier));
        }
        view.state = ClaimedState::Ready;
        if m.drain.is_some() || m.draining_since.is_some() {
            rule = if m.drain.is_some() {
                ListingRule::Drain
            } else {
                ListingRule::OwnDrain
            };
            view.state = ClaimedState::Draining;
        }
        Some((rule, Some(view), tier))
    }

    fn endpoint_of(&self, m: &EndpointRecord) -> Option<SocketAddr> {
        m.claims
            .iter()
            .max_by(|a, b| self.compare(a, b))
            .map(|h| h.claim.address)
    }

    /// How strong an endpoint's hold of its endpoint is: a name of its own, the newest start, the newest word; the
    /// name itself, so that no two are alike.
    fn hold<'a>(
        &self,
        m: &EndpointRecord,
        id: &'a Arc<str>,
    ) -> (bool, Timestamp, Timestamp, &'a str) {
        let started = m.claims.iter().map(|h| h.claim.started).max().unwrap_or(0);
        let since = m.claims.iter().map(|h| h.since).max().unwrap_or(0);
        (!id.starts_with(NAMELESS), started, since, id)
    }

    /// Which of two claims about one endpoint counts: the newer start; a fresh one of a source that is heard; the
    /// better source; the newer word, which is not the one that was repeated last.
    fn compare(&self, a: &HeldClaim, b: &HeldClaim) -> std::cmp::Ordering {
        let heard = |h: &HeldClaim| {
            self.sources
                .get(&h.source)
                .is_some_and(|s| s.silent.is_none())
        };
        let kind = |h: &HeldClaim| self.sources.get(&h.source).map(|s| s.kind);
        let order = |h: &HeldClaim| {
            (
                h.claim.started,
                !h.is_stale,
                heard(h),
                kind(h),
                h.since,
                h.source,
            )
        };
        order(a).cmp(&order(b)).then_with(|| a.name.cmp(&b.name))
    }

    /// Looks again when a claim gets stale, when vouching ends, or when the endpoint can be forgotten.
    fn schedule(&mut self, now: Timestamp, id: &Arc<str>) {
        let Some(m) = self.endpoints.get_mut(id) else {
            return;
        };
        let stale = m
            .claims
            .iter()
            .filter(|h| !h.is_stale)
            .filter_map(|h| h.claim.until)
            .min();
        let (heartbeat_ttl, retention) = (self.settings.heartbeat_ttl, self.settings.retention);
        let unnamed = m.claims.is_empty();
        let vouched = m
            .answered
            .map(|at| at.saturating_add(heartbeat_ttl))
            .filter(|at| unnamed && *at > now);
        if unnamed && m.listed.is_none() && vouched.is_none() {
            let last = m
                .answered
                .max(m.gone.map(|b| b.at))
                .max(m.drain.map(|b| b.at))
                .unwrap_or(0);
            let until = last.saturating_add(retention);
            if until <= now {
                let Some(m) = self.endpoints.remove(id) else {
                    return;
                };
                self.disputed.remove(id);
                if let Some((timer, _)) = m.timer {
                    self.wheel.cancel(timer);
                }
                if let Some(last) = m.last {
                    self.unindex(last.address, id);
                }
                return;
            }
            m.arm(&mut self.wheel, Some(until), id);
            return;
        }
        let own = m.draining_since.map(|at| at.saturating_add(heartbeat_ttl));
        m.arm(
            &mut self.wheel,
            stale.into_iter().chain(vouched).chain(own).min(),
            id,
        );
    }
}

impl EndpointRecord {
    fn is_bound_by(&self, source: SourceId) -> bool {
        [self.drain, self.gone]
            .into_iter()
            .flatten()
            .any(|b| b.by == source)
    }

    /// What a claim binds, and what it lifts. Newer word of the same or a better source lifts: a newer start, or
    /// a newer version that says so. An older record that still points there lifts nothing. That an endpoint is gone
    /// ends with a newer start, whoever tells it: another process is there now.
    fn bind(
        &mut self,
        now: Timestamp,
        source: SourceId,
        kind: SourceKind,
        claim: &Claim,
        has_sticky_drains: bool,
    ) {
        let is_newer_version = |b: &StateMarker| {
            source == b.by && kind == SourceKind::EndpointList && claim.version > b.version
        };
        let lifts =
            |b: &StateMarker| (claim.started > b.started && kind >= b.kind) || is_newer_version(b);
        self.gone = self
            .gone
            .filter(|b| claim.started <= b.started && !is_newer_version(b));
        match claim.state {
            ClaimedState::Ready => {
                self.drain = self.drain.filter(|b| has_sticky_drains && !lifts(b))
            }
            ClaimedState::Draining => {
                let (by, started, version) = (source, claim.started, claim.version);
                let new = StateMarker {
                    by,
                    kind,
                    started,
                    version,
                    at: now,
                };
                // Of two that say so, the better source's word is the one that must be lifted.
                let is_kept = |b: &StateMarker| b.kind > kind && b.started >= started;
                self.drain = self.drain.filter(is_kept).or(Some(new));
            }
        }
    }

    fn arm(&mut self, wheel: &mut TimerWheel<Arc<str>>, at: Option<Timestamp>, id: &Arc<str>) {
        match (self.timer, at) {
            (Some((_, before)), Some(at)) if before == at => {}
            (Some((timer, _)), Some(at)) if wheel.reset(timer, at) => {
                self.timer = Some((timer, at))
            }
            (timer, at) => {
                if let Some((timer, _)) = timer {
                    wheel.cancel(timer);
                }
                self.timer = at.map(|at| (wheel.insert(at, id.clone()), at));
            }
        }
    }
}
