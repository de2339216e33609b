//! Responses: whether a message answers a query, which of its records are kept, and for how long.

use super::queries::PendingQuery;
use super::types::BrowserOutput;
use super::{Browser, EMPTY_LIST_THRESHOLD, RecordKey};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use rand::RngExt as _;
use reelrill_routing::{Nanos, Timestamp};
use std::collections::HashSet;

/// The part of a TTL after which records are requested again; up to a tenth of it is taken off at random, so that
/// routers spread.
const REFRESH_FRACTION: f64 = 0.8;
/// Records other than the list of endpoints wait longer by this: a refresh of the list may bring them along.
const EXTRA_REFRESH_FRACTION: f64 = 0.1;
/// The most records of one name and type that a response may bring.
const MAX_RECORDS: usize = 4096;
const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// The record types that describe an endpoint, and those that give its host's address.
const ENDPOINT_KINDS: [RecordType; 2] = [RecordType::SRV, RecordType::TXT];
const ADDRESS_KINDS: [RecordType; 2] = [RecordType::A, RecordType::AAAA];

/// Records of one name and type, with the shortest of their TTLs in seconds.
struct Found {
    records: Vec<RData>,
    ttl: u32,
}

fn find(records: &[Record], key: &RecordKey) -> Found {
    let fits = |r: &&Record| r.name == key.name && r.data.record_type() == key.kind;
    let found: Vec<&Record> = records.iter().filter(fits).take(MAX_RECORDS).collect();
    Found {
        ttl: found.iter().map(|r| r.ttl).min().unwrap_or(0),
        records: found.into_iter().map(|r| r.data.clone()).collect(),
    }
}

/// How long it holds that there are no such records, in seconds: as long as the SOA says, and its own TTL
/// (RFC 2308, 5).
fn negative_ttl(message: &Message, name: &Name) -> u32 {
    let soa_ttl = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) if r.name.zone_of(name) => Some(soa.minimum.min(r.ttl)),
        _ => None,
    });
    soa_ttl.unwrap_or(0)
}

/// Reads a message, if it is a response to the query.
pub(super) fn read_response(bytes: &[u8], pending: &PendingQuery) -> Option<Message> {
    let message = Message::from_vec(bytes).ok()?;
    let key = &pending.query.key;
    let is_question = |q: &Query| q.name == key.name && q.query_type == key.kind;
    let is_response = message.metadata.id == pending.message_id
        && message.metadata.message_type == MessageType::Response
        && message.metadata.op_code == OpCode::Query
        && message.queries.len() == 1
        && message.queries.iter().all(is_question);
    is_response.then_some(message)
}

/// Whether the server could answer, if only that there are no such records.
pub(super) fn is_success(message: &Message) -> bool {
    matches!(
        message.metadata.response_code,
        ResponseCode::NoError | ResponseCode::NXDomain
    )
}

/// The endpoints that PTR records name.
fn endpoints_in(records: &[RData]) -> impl Iterator<Item = &Name> {
    records.iter().filter_map(|r| match r {
        RData::PTR(name) => Some(&name.0),
        _ => None,
    })
}

impl Browser {
    /// Takes in a response: the records asked for, or that there are none, and what it brings along.
    pub(super) fn take_response(
        &mut self,
        now: Timestamp,
        key: RecordKey,
        message: &Message,
        outputs: &mut Vec<BrowserOutput>,
    ) {
        let Found { records, mut ttl } = find(&message.answers, &key);
        if records.is_empty() {
            ttl = negative_ttl(message, &key.name);
        }
        if key.kind == RecordType::PTR && !self.believes_list(records.is_empty()) {
            self.failures = 0;
            return self.back_off(now, key, outputs);
        }
        let mut affected: HashSet<Name> = HashSet::new();
        let mut listed: HashSet<Name> = HashSet::new();
        match key.kind {
            RecordType::PTR => {
                listed = self.take_list(&records, outputs);
                affected.extend(listed.iter().cloned());
            }
            RecordType::SRV | RecordType::TXT => {
                affected.insert(key.name.clone());
            }
            _ => affected.extend(self.hosted.get(&key.name).into_iter().flatten().cloned()),
        }
        self.keep(now, key, records, ttl);
        self.keep_additionals(now, message, listed, &affected);
        let mut affected: Vec<Name> = affected.into_iter().collect();
        affected.sort();
        for name in affected {
            self.update_claim(now, &name, outputs);
        }
    }

    /// Counts empty lists in a row, and says whether a list is believed: a server that has lost its zone must not
    /// empty the router's list.
    fn believes_list(&mut self, is_empty: bool) -> bool {
        if !is_empty {
            self.empty_lists = 0;
            return true;
        }
        self.empty_lists += 1;
        self.empty_lists >= EMPTY_LIST_THRESHOLD || self.claimed.is_empty()
    }

    /// Takes in the list of endpoints: withdraws those that are gone, and returns those that are there.
    fn take_list(&mut self, records: &[RData], outputs: &mut Vec<BrowserOutput>) -> HashSet<Name> {
        let in_domain = |name: &&Name| self.config.domain.zone_of(name);
        let names: HashSet<Name> = endpoints_in(records).filter(in_domain).cloned().collect();
        self.counters.unrelated_records += (records.len() - names.len()) as u64;
        let is_gone = |name: &&Name| !names.contains(*name);
        let gone: Vec<Name> = self.claimed.keys().filter(is_gone).cloned().collect();
        for name in gone {
            self.withdraw_claim(&name, outputs);
        }
        names
    }

    /// Keeps the additional records that belong to what was asked (RFC 6763, 12.1): those of the listed endpoints
    /// first, then those of the hosts that the affected endpoints name.
    fn keep_additionals(
        &mut self,
        now: Timestamp,
        message: &Message,
        listed: HashSet<Name>,
        affected: &HashSet<Name>,
    ) {
        let mut used = 0;
        for name in listed {
            used += self.keep_additionals_of(now, message, &name, ENDPOINT_KINDS);
        }
        let targets = affected.iter().filter_map(|name| self.service_target(name));
        let hosts: HashSet<Name> = targets
            .map(|target| target.host)
            .filter(|host| self.config.domain.zone_of(host))
            .collect();
        for host in hosts {
            used += self.keep_additionals_of(now, message, &host, ADDRESS_KINDS);
        }
        self.counters.unrelated_records += message.additionals.len().saturating_sub(used) as u64;
    }

    /// Keeps the additional records of one name; returns how many there are.
    fn keep_additionals_of(
        &mut self,
        now: Timestamp,
        message: &Message,
        name: &Name,
        kinds: [RecordType; 2],
    ) -> usize {
        let mut used = 0;
        for kind in kinds {
            let key = RecordKey::new(name, kind);
            let Found { records, ttl } = find(&message.additionals, &key);
            used += records.len();
            if !records.is_empty() {
                self.requested.remove(&key);
                self.queue.retain(|queued| queued.key != key);
                self.keep(now, key, records, ttl);
            }
        }
        used
    }

    /// Keeps a set of records, and sets when it is to be requested again.
    fn keep(&mut self, now: Timestamp, key: RecordKey, records: Vec<RData>, ttl_seconds: u32) {
        let (min_ttl, max_ttl) = self.config.ttl_range;
        let ttl = (u64::from(ttl_seconds) * NANOS_PER_SECOND).clamp(min_ttl, max_ttl);
        let extra = match key.kind {
            RecordType::PTR => 0.0,
            _ => EXTRA_REFRESH_FRACTION,
        };
        let fraction = (REFRESH_FRACTION + extra) * self.random.random_range(0.9..1.0);
        let refresh_at = now.saturating_add((ttl as f64 * fraction) as Nanos);
        self.refresh_at(refresh_at, key.clone());
        self.deferred.remove(&key);
        let set = self.sets.entry(key).or_default();
        set.records = records;
        set.until = now.saturating_add(ttl);
    }
}
