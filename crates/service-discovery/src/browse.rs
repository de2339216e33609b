//! A client of DNS-based service discovery (RFC 6763) over unicast DNS, without I/O: it says which queries go to which
//! server, takes what comes back, and turns the records into claims.
//!
//! One PTR query names the endpoints; what an answer brings along in its additional section (RFC 6763, 12.1) is used
//! where it belongs to what was asked, and only what is still missing is asked for, all at once. So a change of ten
//! records takes one round trip at a server that sends them along, and three at most.
//!
//! What fails takes nothing away: a server that fails is followed by the next, and when all have failed the source is
//! [`Input::SourceFailed`] and asked again after a growing pause. An empty list of endpoints counts as a failure until it
//! has come [`EMPTY`] times in a row; a server that has lost its zone must not empty the router's list.

use crate::wheel::{TimerHandle, TimerWheel};
use crate::{Claim, ClaimedState, Input, SourceId, Withdrawal};
use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reelrill_routing::{Nanos, Timestamp};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// How often in a row a list of endpoints must be empty before it is believed.
pub const EMPTY: u32 = 3;
/// What the client takes over UDP (EDNS, RFC 6891): beyond it servers truncate, and TCP follows.
const PAYLOAD: u16 = 1232;
/// The part of a TTL after which a record is asked for again; one in ten of it is drawn, so that routers spread.
const REFRESH: f64 = 0.8;
/// Records other than the list of endpoints wait a little longer: a refresh of the list may bring them along.
const LATER: f64 = 0.1;
/// The longest pause between attempts at a source that fails.
const PAUSE: Nanos = 30_000_000_000;
/// The most records that one answer may bring.
const MOST_RECORDS: usize = 4096;
/// The most queries that wait for the budget.
const MOST_WAITING: usize = 16_384;

/// What to browse, and how.
#[derive(Debug, Clone)]
pub struct Config {
    /// Servers, in the order in which they are tried.
    pub servers: Vec<SocketAddr>,
    /// The service, such as `_postgresql._tcp.qianzhen-dc.example.org`.
    pub service: Name,
    /// Names outside of this domain are not believed.
    pub domain: Name,
    /// The least and the most that a TTL counts for.
    pub ttl: (Nanos, Nanos),
    /// How long one query may take.
    pub timeout: Nanos,
    /// Queries a second.
    pub budget: f64,
    /// The zones' names, in the order that [`Claim::zone`] counts.
    pub zones: Vec<String>,
}

/// A query that is to go out, from a port of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Its number, for [`Browser::answer`].
    pub query: u64,
    /// To whom.
    pub server: SocketAddr,
    /// Over TCP, with the length in front.
    pub over_tcp: bool,
    /// The message.
    pub message: Vec<u8>,
}

/// What the host is to do.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a query, and give back all that comes until it is dropped.
    Ask(Ask),
    /// Wait for this query no longer.
    Drop(u64),
    /// Tell the endpoints.
    Tell(Input),
}

/// What has been counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queries sent, those of them over TCP, and those without an answer in time.
    pub queries: u64,
    /// See `queries`.
    pub over_tcp: u64,
    /// See `queries`.
    pub timed_out: u64,
    /// Answers that said that the server can't.
    pub failed: u64,
    /// Messages that are no answer to the query: another id, question or kind, or unreadable.
    pub forged: u64,
    /// Records that were brought along and do not belong to what was asked.
    pub foreign: u64,
    /// Instances whose records tell no replica set.
    pub incomplete: u64,
}

type Key = (Name, RecordType);

#[derive(Debug)]
struct Asked {
    key: Key,
    id: u16,
    server: usize,
    /// Servers tried so far, this one included.
    tries: usize,
    over_tcp: bool,
    timer: TimerHandle,
}

/// Records of one name and type; none: there are none, as the server said.
#[derive(Debug, Default)]
struct Set {
    records: Vec<RData>,
    until: Timestamp,
    timer: Option<TimerHandle>,
}

#[derive(Debug, Clone)]
enum Due {
    Timeout(u64),
    Refresh(Key),
    Budget,
}

/// The client of one service.
pub struct Browser {
    config: Config,
    source: SourceId,
    random: StdRng,
    asked: HashMap<u64, Asked>,
    /// Names that are asked for or wait to be.
    wanted: HashSet<Key>,
    waiting: VecDeque<(Key, usize, usize, bool)>,
    sets: HashMap<Key, Set>,
    /// Which endpoints have their service at a target, so that an address finds them.
    targets: HashMap<Name, HashSet<Name>>,
    told: HashMap<Name, Claim>,
    /// The list of endpoints can't be had now.
    is_failing: bool,
    /// Records that are due, and wait until it can: one query at a time tells whether a server is back.
    held: HashSet<Key>,
    /// There is a timer for what waits for the budget.
    is_paced: bool,
    wheel: TimerWheel<Due>,
    next: u64,
    tokens: f64,
    filled: Timestamp,
    failures: u32,
    empties: u32,
    counts: Counts,
}

impl Browser {
    /// A client that has asked nothing yet; `seed` is for ids and jitter.
    pub fn new(config: Config, source: SourceId, seed: u64, now: Timestamp) -> Browser {
        Browser {
            tokens: config.budget.max(1.0),
            config,
            source,
            random: StdRng::seed_from_u64(seed),
            asked: HashMap::new(),
            wanted: HashSet::new(),
            waiting: VecDeque::new(),
            sets: HashMap::new(),
            targets: HashMap::new(),
            told: HashMap::new(),
            is_failing: false,
            held: HashSet::new(),
            is_paced: false,
            wheel: TimerWheel::new(now),
            next: 0,
            filled: now,
            failures: 0,
            empties: 0,
            counts: Counts::default(),
        }
    }

    /// What has been counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Begins to browse.
    pub fn start(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.want((self.config.service.clone(), RecordType::PTR));
        self.pump(now, out);
    }

    /// When [`Browser::on_due`] is to be called at the latest.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.wheel.next_due()
    }

    /// Queries that took too long, records that must be asked for again.
    pub fn on_due(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let mut due = Vec::new();
        self.wheel.expire(now, &mut due);
        for due in due {
            match due {
                Due::Timeout(query) => {
                    self.counts.timed_out += 1;
                    out.push(Output::Drop(query));
                    self.next_server(now, query, out);
                }
                Due::Refresh(key) => {
                    if let Some(set) = self.sets.get_mut(&key) {
                        set.timer = None;
                    }
                    if self.is_failing && key.1 != RecordType::PTR {
                        self.held.insert(key);
                    } else {
                        self.want(key);
                    }
                }
                Due::Budget => self.is_paced = false,
            }
        }
        self.pump(now, out);
    }

    /// A query could not be sent, or its connection broke.
    pub fn broken(&mut self, now: Timestamp, query: u64, out: &mut Vec<Output>) {
        self.counts.failed += 1;
        self.next_server(now, query, out);
        self.pump(now, out);
    }

    /// Takes what came for a query. What is no answer to it changes nothing: the true one may still come.
    pub fn answer(&mut self, now: Timestamp, query: u64, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(asked) = self.asked.get(&query) else {
            return;
        };
        let message = Message::from_vec(bytes).ok().filter(|m| {
            let fits = |q: &Query| q.name == asked.key.0 && q.query_type == asked.key.1;
            m.metadata.id == asked.id
                && m.metadata.message_type == MessageType::Response
                && m.metadata.op_code == OpCode::Query
                && m.queries.len() == 1
                && m.queries.iter().all(fits)
        });
        let Some(message) = message else {
            self.counts.forged += 1;
            return;
        };
        if message.metadata.truncation && !asked.over_tcp {
            let (key, server, tries) = (asked.key.clone(), asked.server, asked.tries);
            self.forget(query, out);
            self.waiting.push_front((key, server, tries, true));
            return self.pump(now, out);
        }
        if !matches!(
            message.metadata.response_code,
            ResponseCode::NoError | ResponseCode::NXDomain
        ) {
            self.counts.failed += 1;
            out.push(Output::Drop(query));
            self.next_server(now, query, out);
            return self.pump(now, out);
        }
        let key = asked.key.clone();
        self.forget(query, out);
        self.wanted.remove(&key);
        self.failures = 0;
        let is_list = key.1 == RecordType::PTR;
        self.is_failing &= !is_list;
        self.take(now, key, &message, out);
        if is_list && !self.is_failing {
            // What the answer brought along is held no more.
            let held: Vec<Key> = self
                .held
                .drain()
                .filter(|key| self.sets.contains_key(key))
                .collect();
            held.into_iter().for_each(|key| self.want(key));
        }
        self.pump(now, out);
    }

    fn forget(&mut self, query: u64, out: &mut Vec<Output>) -> Option<Asked> {
        let asked = self.asked.remove(&query)?;
        self.wheel.cancel(asked.timer);
        out.push(Output::Drop(query));
        Some(asked)
    }

    fn want(&mut self, key: Key) {
        if self.waiting.len() < MOST_WAITING && self.wanted.insert(key.clone()) {
            self.waiting.push_back((key, 0, 1, false));
        }
    }

    /// Asks the next server, or gives up for now.
    fn next_server(&mut self, now: Timestamp, query: u64, out: &mut Vec<Output>) {
        let Some(asked) = self.asked.remove(&query) else {
            return;
        };
        self.wheel.cancel(asked.timer);
        if asked.tries < self.config.servers.len() {
            let server = (asked.server + 1) % self.config.servers.len();
            self.waiting
                .push_back((asked.key, server, asked.tries + 1, false));
            return;
        }
        self.wanted.remove(&asked.key);
        self.failed(now, asked.key, out);
    }

    /// Nothing is known now that was not known before; asked again after a pause that grows.
    fn failed(&mut self, now: Timestamp, key: Key, out: &mut Vec<Output>) {
        out.push(Output::Tell(Input::SourceFailed {
            source: self.source,
        }));
        let pause = self.config.ttl.0.max(100_000_000) << self.failures.min(8);
        self.failures += 1;
        self.is_failing |= key.1 == RecordType::PTR;
        let pause = (pause.min(PAUSE) as f64 * self.random.random_range(0.5..1.0)) as Nanos;
        self.refresh_at(now.saturating_add(pause), key);
    }

    fn refresh_at(&mut self, at: Timestamp, key: Key) {
        let set = self.sets.entry(key.clone()).or_default();
        match set.timer {
            Some(timer) if self.wheel.reset(timer, at) => {}
            _ => set.timer = Some(self.wheel.insert(at, Due::Refresh(key))),
        }
    }

    /// Sends what waits, as far as the budget goes.
    fn pump(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let budget = self.config.budget.max(1.0);
        let since = now.saturating_sub(self.filled) as f64 / 1e9;
        (self.tokens, self.filled) = ((self.tokens + since * budget).min(budget), now);
        while self.tokens >= 1.0
            && let Some((key, server, tries, over_tcp)) = self.waiting.pop_front()
        {
            let Some(address) = self.config.servers.get(server) else {
                return;
            };
            self.tokens -= 1.0;
            self.counts.queries += 1;
            self.counts.over_tcp += u64::from(over_tcp);
            let mut message = Message::query();
            message.metadata.id = self.random.random();
            message.metadata.recursion_desired = true;
            message.add_query(Query::query(key.0.clone(), key.1));
            let mut edns = Edns::new();
            edns.set_max_payload(PAYLOAD);
            message.set_edns(edns);
            let Ok(bytes) = message.to_vec() else {
                continue;
            };
            self.next += 1;
            let timer = self.wheel.insert(
                now.saturating_add(self.config.timeout),
                Due::Timeout(self.next),
            );
            let asked = Asked {
                key,
                id: message.metadata.id,
                server,
                tries,
                over_tcp,
                timer,
            };
            self.asked.insert(self.next, asked);
            out.push(Output::Ask(Ask {
                query: self.next,
                server: *address,
                over_tcp,
                message: bytes,
            }));
        }
        if !self.waiting.is_empty() && !std::mem::replace(&mut self.is_paced, true) {
            self.wheel
                .insert(now.saturating_add((1e9 / budget) as Nanos), Due::Budget);
        }
    }

    /// Keeps a set of records, and says when it is to be asked for again.
    fn keep(&mut self, now: Timestamp, key: Key, records: Vec<RData>, ttl: u32) {
        let ttl = (u64::from(ttl) * 1_000_000_000).clamp(self.config.ttl.0, self.config.ttl.1);
        let later = if key.1 == RecordType::PTR { 0.0 } else { LATER };
        let part = (REFRESH + later) * self.random.random_range(0.9..1.0);
        self.refresh_at(
            now.saturating_add((ttl as f64 * part) as Nanos),
            key.clone(),
        );
        self.held.remove(&key);
        let set = self.sets.entry(key).or_default();
        (set.records, set.until) = (records, now.saturating_add(ttl));
    }

    /// An answer: the records asked for, or that there are none, and what it brings along.
    fn take(&mut self, now: Timestamp, key: Key, message: &Message, out: &mut Vec<Output>) {
        let of = |records: &[Record], name: &Name, kind: RecordType| -> (Vec<RData>, u32) {
            let fits = |r: &&Record| r.name == *name && r.data.record_type() == kind;
            let found: Vec<&Record> = records.iter().filter(fits).take(MOST_RECORDS).collect();
            let ttl = found.iter().map(|r| r.ttl).min().unwrap_or(0);
            (found.into_iter().map(|r| r.data.clone()).collect(), ttl)
        };
        let (records, mut ttl) = of(&message.answers, &key.0, key.1);
        if records.is_empty() {
            // RFC 2308, 5: as long as the SOA says, and its own TTL.
            let soa = message.authorities.iter().find_map(|r| match &r.data {
                RData::SOA(soa) if r.name.zone_of(&key.0) => Some(soa.minimum.min(r.ttl)),
                _ => None,
            });
            ttl = soa.unwrap_or(0);
            if key.1 == RecordType::PTR {
                self.empties += 1;
                if self.empties < EMPTY && !self.told.is_empty() {
                    self.failures = 0;
                    return self.failed(now, key, out);
                }
            }
        } else if key.1 == RecordType::PTR {
            self.empties = 0;
        }
        let mut touched: HashSet<Name> = HashSet::new();
        let mut along: Vec<(Name, [RecordType; 2])> = Vec::new();
        match key.1 {
            RecordType::PTR => {
                let names: HashSet<Name> = instances(&records)
                    .filter(|n| self.config.domain.zone_of(n))
                    .cloned()
                    .collect();
                self.counts.foreign += (records.len() - names.len()) as u64;
                let gone: Vec<Name> = self
                    .told
                    .keys()
                    .filter(|n| !names.contains(*n))
                    .cloned()
                    .collect();
                for name in gone {
                    self.untell(&name, out);
                }
                along.extend(
                    names
                        .iter()
                        .map(|n| (n.clone(), [RecordType::SRV, RecordType::TXT])),
                );
                touched.extend(names);
            }
            RecordType::SRV | RecordType::TXT => drop(touched.insert(key.0.clone())),
            _ => touched.extend(self.targets.get(&key.0).into_iter().flatten().cloned()),
        }
        self.keep(now, key.clone(), records, ttl);
        // Instances first, then the hosts that these name.
        let mut used = 0;
        for pass in 0..2 {
            for (name, kinds) in std::mem::take(&mut along) {
                for kind in kinds {
                    let (records, ttl) = of(&message.additionals, &name, kind);
                    used += records.len();
                    if !records.is_empty() {
                        self.wanted.remove(&(name.clone(), kind));
                        self.waiting.retain(|w| w.0 != (name.clone(), kind));
                        self.keep(now, (name.clone(), kind), records, ttl);
                    }
                }
            }
            if pass == 0 {
                let hosts = touched.iter().filter_map(|n| self.target(n).map(|t| t.0));
                let hosts: HashSet<Name> =
                    hosts.filter(|t| self.config.domain.zone_of(t)).collect();
                along.extend(
                    hosts
                        .into_iter()
                        .map(|t| (t, [RecordType::A, RecordType::AAAA])),
                );
            }
        }
        self.counts.foreign += (message.additionals.len().saturating_sub(used)) as u64;
        let mut touched: Vec<Name> = touched.into_iter().collect();
        touched.sort();
        for name in touched {
            self.tell(now, &name, out);
        }
    }

    /// The target of an endpoint, its port, weight and priority.
    fn target(&self, instance: &Name) -> Option<(Name, u16, u16, u16)> {
        let set = self.sets.get(&(instance.clone(), RecordType::SRV))?;
        set.records.iter().find_map(|r| match r {
            RData::SRV(srv) => Some((srv.target.clone(), srv.port, srv.weight, srv.priority)),
            _ => None,
        })
    }

    fn untell(&mut self, instance: &Name, out: &mut Vec<Output>) {
        if self.told.remove(instance).is_some() {
            let (source, name, how) = (self.source, label(instance), Withdrawal::Absent);
            out.push(Output::Tell(Input::Withdrawn { source, name, how }));
        }
        if let Some((target, ..)) = self.target(instance)
            && let Some(of) = self.targets.get_mut(&target)
        {
            of.remove(instance);
            if of.is_empty() {
                self.targets.remove(&target);
                for kind in [RecordType::A, RecordType::AAAA] {
                    self.drop_set(&(target.clone(), kind));
                }
            }
        }
        for kind in [RecordType::SRV, RecordType::TXT] {
            self.drop_set(&(instance.clone(), kind));
        }
    }

    fn drop_set(&mut self, key: &Key) {
        if let Some(timer) = self.sets.remove(key).and_then(|set| set.timer) {
            self.wheel.cancel(timer);
        }
    }

    /// Tells what is known of an endpoint, or asks for what is missing.
    fn tell(&mut self, now: Timestamp, instance: &Name, out: &mut Vec<Output>) {
        let held = |kind| {
            self.sets
                .get(&(instance.clone(), kind))
                .filter(|s| s.until > 0)
        };
        let (srv, txt) = (held(RecordType::SRV), held(RecordType::TXT));
        let mut until = srv
            .map_or(Timestamp::MAX, |s| s.until)
            .min(txt.map_or(Timestamp::MAX, |s| s.until));
        let texts = txt.map_or(HashMap::new(), |s| texts(&s.records));
        let missing: Vec<RecordType> = [
            (srv.is_none(), RecordType::SRV),
            (txt.is_none(), RecordType::TXT),
        ]
        .into_iter()
        .filter(|m| m.0)
        .map(|m| m.1)
        .collect();
        if !missing.is_empty() {
            missing
                .into_iter()
                .for_each(|kind| self.want((instance.clone(), kind)));
            return;
        }
        let Some((target, port, weight, tier)) = self.target(instance) else {
            // The server says that there is no such endpoint.
            return self.untell(instance, out);
        };
        if !self.config.domain.zone_of(&target) {
            self.counts.foreign += 1;
            return;
        }
        self.targets
            .entry(target.clone())
            .or_default()
            .insert(instance.clone());
        let addresses =
            [RecordType::A, RecordType::AAAA].map(|kind| self.sets.get(&(target.clone(), kind)));
        let address = addresses.into_iter().flatten().find_map(|set| {
            let ip = set.records.iter().find_map(|r| match r {
                RData::A(a) => Some(IpAddr::V4(a.0)),
                RData::AAAA(a) => Some(IpAddr::V6(a.0)),
                _ => None,
            });
            ip.map(|ip| (ip, set.until))
        });
        let Some((ip, fresh)) = address else {
            for kind in [RecordType::A, RecordType::AAAA] {
                if self
                    .sets
                    .get(&(target.clone(), kind))
                    .is_none_or(|s| s.until <= now)
                {
                    self.want((target.clone(), kind));
                }
            }
            return;
        };
        until = until.min(fresh);
        let Some(replica_set) = texts.get("group").and_then(|g| g.parse().ok()) else {
            self.counts.incomplete += 1;
            return;
        };
        let zone = texts
            .get("az")
            .and_then(|az| self.config.zones.iter().position(|z| z == az))
            .unwrap_or(0);
        let boot_ms: u64 = texts
            .get("boot_ms")
            .and_then(|b| b.parse().ok())
            .unwrap_or(0);
        let claim = Claim {
            uid: texts.get("uid").map(|uid| Arc::from(&**uid)),
            address: SocketAddr::new(ip, port),
            replica_set,
            zone: zone as u32,
            state: if texts.get("state").is_none_or(|s| s == "ready") {
                ClaimedState::Ready
            } else {
                ClaimedState::Draining
            },
            started: boot_ms.saturating_mul(1_000_000),
            version: 0,
            // 100 is the usual size; 0 says nothing of it (RFC 2782).
            weight: if weight == 0 {
                1.0
            } else {
                f64::from(weight) / 100.0
            },
            tier,
            until: Some(until),
        };
        self.told.insert(instance.clone(), claim.clone());
        out.push(Output::Tell(Input::Claimed {
            source: self.source,
            name: label(instance),
            claim,
        }));
    }
}

fn instances(records: &[RData]) -> impl Iterator<Item = &Name> {
    records.iter().filter_map(|r| {
        if let RData::PTR(name) = r {
            Some(&name.0)
        } else {
            None
        }
    })
}

/// An endpoint's name, as the endpoints know it: names are the same in upper and lower case.
fn label(instance: &Name) -> Arc<str> {
    instance.to_lowercase().to_ascii().into()
}

/// The pairs of a TXT record (RFC 6763, 6): keys in any case, the first of a key counts. Another version of them tells
/// nothing.
fn texts(records: &[RData]) -> HashMap<String, String> {
    let mut found = HashMap::new();
    for record in records {
        let RData::TXT(txt) = record else { continue };
        for pair in &txt.txt_data {
            let Some((key, value)) = std::str::from_utf8(pair)
                .ok()
                .and_then(|p| p.split_once('='))
            else {
                continue;
            };
            found
                .entry(key.to_ascii_lowercase())
                .or_insert_with(|| value.to_owned());
        }
    }
    if found.get("txtvers").is_some_and(|v| v != "1") {
        HashMap::new()
    } else {
        found
    }
}
